package conductor_test

import "time"

const (
	// testMaxIdle is how long an idle connection can be reused,
	// nonIdempotentTestMaxIdle the same for non-idempotent requests.
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

// take removes an idle connection for reuse; it reports whether there was one.
func (c connections) take(now time.Time, address string, nonIdempotent bool) bool {
	if !c.has(now, address, nonIdempotent) {
		return false
	}
	c[address] = c[address][:len(c[address])-1]
	return true
}

func (c connections) put(now time.Time, address string) { c[address] = append(c[address], now) }
