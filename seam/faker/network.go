package faker

import "time"

// Network carries messages between nodes of a world. It loses, delays,
// duplicates and reorders them as set.
type Network struct {
	world     *World
	minDelay  time.Duration
	maxDelay  time.Duration
	loss      float64
	duplicate float64
	cuts      map[cut]bool
	path      func(from, to string) (time.Duration, bool)
	sent      int
}

// cut is one direction between two nodes.
type cut struct{ from, to string }

// NetworkOption changes a network at its creation.
type NetworkOption func(*Network)

// WithDelay sets the bounds of a message's delay.
func WithDelay(shortest, longest time.Duration) NetworkOption {
	return func(n *Network) { n.minDelay, n.maxDelay = shortest, longest }
}

// WithLoss sets the part of messages, 0 to 1, that are lost.
func WithLoss(part float64) NetworkOption {
	return func(n *Network) { n.loss = part }
}

// WithDuplicates sets the part of messages, 0 to 1, that arrive twice.
func WithDuplicates(part float64) NetworkOption {
	return func(n *Network) { n.duplicate = part }
}

// WithPath adds a delay for each pair of nodes; false cuts the pair off.
func WithPath(path func(from, to string) (time.Duration, bool)) NetworkOption {
	return func(n *Network) { n.path = path }
}

// NewNetwork returns a network without cuts.
func NewNetwork(w *World, opts ...NetworkOption) *Network {
	n := &Network{world: w, minDelay: time.Millisecond, maxDelay: time.Millisecond, cuts: map[cut]bool{}}
	n.path = func(string, string) (time.Duration, bool) { return 0, true }
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// SetLoss changes the part of messages, 0 to 1, that are lost.
func (n *Network) SetLoss(part float64) { n.loss = part }

// SetCut cuts or mends both directions between two nodes.
func (n *Network) SetCut(a, b string, on bool) {
	n.SetCutOneWay(a, b, on)
	n.SetCutOneWay(b, a, on)
}

// SetCutOneWay cuts or mends the direction from one node to another.
func (n *Network) SetCutOneWay(from, to string, on bool) {
	if on {
		n.cuts[cut{from, to}] = true
		return
	}
	delete(n.cuts, cut{from, to})
}

// ClearCuts removes all cuts.
func (n *Network) ClearCuts() { clear(n.cuts) }

// Sent returns the number of messages sent so far.
func (n *Network) Sent() int { return n.sent }

// Send delivers a message by running deliver on the receiving node.
func (n *Network) Send(from, to string, deliver func()) {
	n.sent++
	n.deliver(from, to, deliver)
	if n.world.rng.Float64() < n.duplicate {
		n.deliver(from, to, deliver)
	}
}

func (n *Network) deliver(from, to string, deliver func()) {
	extra, open := n.path(from, to)
	if !open || n.cuts[cut{from, to}] || n.world.rng.Float64() < n.loss {
		return
	}
	delay := n.minDelay + extra
	if spread := n.maxDelay - n.minDelay; spread > 0 {
		delay += time.Duration(n.world.rng.Int64N(int64(spread)))
	}
	n.world.After(to, delay, func() {
		if _, open := n.path(from, to); open && !n.cuts[cut{from, to}] {
			deliver()
		}
	})
}
