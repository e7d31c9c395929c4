package faker

import "time"

// Network carries messages between the nodes of a simulation. Depending on its options,
// it loses, delays, duplicates and reorders them.
type Network struct {
	world     *World
	minDelay  time.Duration
	maxDelay  time.Duration
	loss      float64
	duplicate float64
	cuts      map[link]bool
	path      func(from, to string) (time.Duration, bool)
	sent      int
}

// link is the path from one node to another. The way back is another link.
type link struct{ from, to string }

// NetworkOption configures a Network.
type NetworkOption func(*Network)

// WithDelay sets the bounds of a message's random delay. The default is 1 ms.
func WithDelay(shortest, longest time.Duration) NetworkOption {
	return func(n *Network) { n.minDelay, n.maxDelay = shortest, longest }
}

// WithLoss sets the probability that a message is lost. The default is 0.
func WithLoss(part float64) NetworkOption {
	return func(n *Network) { n.loss = part }
}

// WithDuplicates sets the probability that a message is sent twice. The default is 0.
func WithDuplicates(part float64) NetworkOption {
	return func(n *Network) { n.duplicate = part }
}

// WithPath sets a function that returns an additional delay for messages from one node
// to another, and whether they can arrive at all.
func WithPath(path func(from, to string) (time.Duration, bool)) NetworkOption {
	return func(n *Network) { n.path = path }
}

// NewNetwork returns a network without cuts.
func NewNetwork(w *World, opts ...NetworkOption) *Network {
	n := &Network{world: w, minDelay: time.Millisecond, maxDelay: time.Millisecond, cuts: map[link]bool{}}
	n.path = func(string, string) (time.Duration, bool) { return 0, true }
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// SetLoss changes the probability that a message is lost.
func (n *Network) SetLoss(part float64) { n.loss = part }

// SetCut cuts or restores both directions between two nodes.
func (n *Network) SetCut(a, b string, on bool) {
	n.SetCutOneWay(a, b, on)
	n.SetCutOneWay(b, a, on)
}

// SetCutOneWay cuts or restores the direction from one node to another.
func (n *Network) SetCutOneWay(from, to string, on bool) {
	if on {
		n.cuts[link{from, to}] = true
		return
	}
	delete(n.cuts, link{from, to})
}

// ClearCuts restores all directions that were cut.
func (n *Network) ClearCuts() { clear(n.cuts) }

// Sent returns the number of calls of Send so far.
func (n *Network) Sent() int { return n.sent }

// Send sends a message. When it arrives, deliver runs on the receiving node; it doesn't
// if the message is lost, and runs twice if the message is duplicated.
func (n *Network) Send(from, to string, deliver func()) {
	n.sent++
	n.deliver(from, to, deliver)
	if n.world.rng.Float64() < n.duplicate {
		n.deliver(from, to, deliver)
	}
}

// deliver schedules the arrival of a message, unless it is lost. A message also needs an
// open path when it arrives: a cut drops the messages on their way.
func (n *Network) deliver(from, to string, deliver func()) {
	pathDelay, reachable := n.path(from, to)
	if !reachable || n.cuts[link{from, to}] || n.world.rng.Float64() < n.loss {
		return
	}
	delay := n.minDelay + pathDelay
	if jitter := n.maxDelay - n.minDelay; jitter > 0 {
		delay += time.Duration(n.world.rng.Int64N(int64(jitter)))
	}
	n.world.After(to, delay, func() {
		if _, reachable := n.path(from, to); reachable && !n.cuts[link{from, to}] {
			deliver()
		}
	})
}
