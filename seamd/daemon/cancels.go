package daemon

import (
	"context"
	"sync"

	"primroseseam.org/seam/decider"
)

// cancels holds how to stop the attempts that are under way. It is safe for
// concurrent use.
type cancels struct {
	mu       sync.Mutex
	attempts map[attemptKey]context.CancelFunc
}

// attemptKey names an attempt.
type attemptKey struct {
	id       uint64
	endpoint string
}

// add notes an attempt and returns the function that forgets it.
func (c *cancels) add(id uint64, endpoint string, cancel context.CancelFunc) func() {
	key := attemptKey{id: id, endpoint: endpoint}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = map[attemptKey]context.CancelFunc{}
	}
	c.attempts[key] = cancel
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.attempts, key)
	}
}

// stop ends the attempt that a command names, if it is under way.
func (c *cancels) stop(cmd decider.Cancel) {
	c.mu.Lock()
	cancel := c.attempts[attemptKey{id: cmd.ID, endpoint: cmd.Endpoint}]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
