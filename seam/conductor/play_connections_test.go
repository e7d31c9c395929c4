package conductor_test

import "time"

const (
	// playIdle is how long an idle connection may be used again, playFresh for
	// requests that may run only once.
	playIdle  = 9 * time.Second
	playFresh = 3 * time.Second
)

// connections are an instance's idle connections: when each was last used.
type connections map[string][]time.Time

// has reports whether a connection may be used.
func (c connections) has(now time.Time, address string, once bool) bool {
	list := c[address]
	if len(list) == 0 {
		return false
	}
	age := now.Sub(list[len(list)-1])
	return age < playIdle && (!once || age < playFresh)
}

// take uses a connection, if there is one.
func (c connections) take(now time.Time, address string, once bool) bool {
	if !c.has(now, address, once) {
		return false
	}
	c[address] = c[address][:len(c[address])-1]
	return true
}

func (c connections) put(now time.Time, address string) { c[address] = append(c[address], now) }
