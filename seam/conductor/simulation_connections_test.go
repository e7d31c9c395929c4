package conductor_test

import "time"

const (
	// An idle connection can be reused for testMaxIdle, and for a non-idempotent request
	// only for nonIdempotentTestMaxIdle.
	testMaxIdle              = 9 * time.Second
	nonIdempotentTestMaxIdle = 3 * time.Second
)

// connections holds, for each address, the times at which an instance's idle
// connections were last used.
type connections map[string][]time.Time

// has reports whether an idle connection can be reused.
func (c connections) has(now time.Time, address string, nonIdempotent bool) bool {
	list := c[address]
	if len(list) == 0 {
		return false
	}
	age := now.Sub(list[len(list)-1])
	return age < testMaxIdle && (!nonIdempotent || age < nonIdempotentTestMaxIdle)
}

// take removes an idle connection for reuse. It returns false if there is no usable
// one.
func (c connections) take(now time.Time, address string, nonIdempotent bool) bool {
	if !c.has(now, address, nonIdempotent) {
		return false
	}
	c[address] = c[address][:len(c[address])-1]
	return true
}

func (c connections) put(now time.Time, address string) { c[address] = append(c[address], now) }
