package allocator

import (
	"testing"
	"time"
)

// caller sends requests of one team to an instance that changes with time. A
// request without tokens waits for a loan as the daemon's do.
type caller struct {
	fleet    *fleet
	resource Resource
	rate     float64
	at       func(time.Duration) *node
	wait     time.Duration
	asked    int
	refused  int
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
		c.asked++
		if n := c.at(elapsed); n.dead || !n.request(c.resource, 1) {
			c.await(n, f.world.Now())
		}
		gap := time.Duration(f.world.Rand().ExpFloat64() / c.rate * float64(time.Second))
		f.world.After("", gap, next)
	}
	f.world.After("", 0, next)
}

// await tries again for a while.
func (c *caller) await(n *node, since time.Time) {
	f := c.fleet
	if n.dead || f.world.Now().Sub(since) >= c.wait {
		c.refused++
		return
	}
	n.ledger.Missing(c.resource, 1)
	n.carryOut(n.ledger.Ask(n.now()))
	f.world.After("", 10*time.Millisecond, func() {
		_, ok := n.ledger.Retry(n.now(), c.resource, 1)
		n.ledger.Missing(c.resource, 0)
		if !ok {
			c.await(n, since)
			return
		}
		f.checks[c.resource].add(f.world.Now(), 1)
	})
}

func TestJumpingDemandIsRarelyRefused(t *testing.T) {
	f := newFleet(1, 10, 3, []Capacity{team("clerks", 120, 120)})
	f.world.Run(20 * time.Second)
	t.Log("usable", f.usable())
	c := &caller{fleet: f, resource: f.plan.capacities[0].Resource, rate: 114, wait: 250 * time.Millisecond}
	c.at = func(d time.Duration) *node {
		return f.nodes[int(d/(5*time.Second))*7%10]
	}
	c.run(60 * time.Second)
	f.world.Run(61 * time.Second)
	t.Logf("asked %d refused %d worst %.1f messages %d writes %d reads %d", c.asked, c.refused, f.checks[c.resource].worst, f.asks, f.store.Writes(), f.store.Reads())
	if b := f.broken(); len(b) > 0 {
		t.Fatal(b)
	}
}
