package allocator

import "time"

// caller simulates the requests of one team, which arrive at random times. A request
// for which the instance has no token waits for a loan, as in the fleet daemon.
type caller struct {
	fleet    *fleet
	resource Resource
	rate     float64
	// at returns the instance that receives a request, by the time since the start of
	// the run.
	at        func(time.Duration) *node
	wait      time.Duration
	requested int
	refused   int
	waiting   map[*node]int
}

func (c *caller) run(length time.Duration) {
	f := c.fleet
	start := f.world.Now()
	var next func()
	next = func() {
		elapsed := f.world.Now().Sub(start)
		if elapsed >= length {
			return
		}
		c.requested++
		if n := c.at(elapsed); n.dead || !n.request(c.resource, 1) {
			c.await(n, f.world.Now())
		}
		gap := time.Duration(f.world.Rand().ExpFloat64() / c.rate * float64(time.Second))
		f.world.After("", gap, next)
	}
	f.world.After("", 0, next)
}

// await retries a request every 10 ms. If there is still no token when it has waited
// for c.wait, it counts the request as refused.
func (c *caller) await(n *node, since time.Time) {
	f := c.fleet
	if n.dead || f.world.Now().Sub(since) >= c.wait {
		c.refused++
		return
	}
	c.addWaiting(n, 1)
	n.carryOut(n.ledger.RequestLoans(n.now()))
	f.world.After("", 10*time.Millisecond, func() {
		c.addWaiting(n, -1)
		if _, ok := n.ledger.TakeUncounted(n.now(), c.resource, 1); !ok {
			c.await(n, since)
			return
		}
		f.checks[c.resource].add(f.world.Now(), 1)
	})
}

// addWaiting changes the number of requests that wait at an instance and reports the
// new number to the ledger, as the fleet daemon does.
func (c *caller) addWaiting(n *node, change int) {
	if c.waiting == nil {
		c.waiting = map[*node]int{}
	}
	c.waiting[n] += change
	n.ledger.SetWaiting(c.resource, float64(c.waiting[n]))
}
