package faker

import "time"

// Network carries messages between the nodes of a simulation. It delays messages, and
// its options make it lose, duplicate and reorder them.
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

// link is the path from one node to another, in this direction only.
type link struct{ from, to string }

// NetworkOption configures a Network.
type NetworkOption func(*Network)

// WithDelay sets the bounds of the random delay of each message. By default, every
// message takes 1 ms.
func WithDelay(shortest, longest time.Duration) NetworkOption {
	return func(n *Network) { n.minDelay, n.maxDelay = shortest, longest }
}

// WithLoss sets the probability that a message is lost. The default is 0.
func WithLoss(probability float64) NetworkOption {
	return func(n *Network) { n.loss = probability }
}

// WithDuplicates sets the probability that the network carries a message twice. The
// default is 0.
func WithDuplicates(probability float64) NetworkOption {
	return func(n *Network) { n.duplicate = probability }
}

// WithPath sets a function of the sending and the receiving node. It returns a delay
// that is added to that of WithDelay, and whether messages can arrive at all. The
// default adds no delay and lets all messages arrive.
func WithPath(path func(from, to string) (time.Duration, bool)) NetworkOption {
	return func(n *Network) { n.path = path }
}

// NewNetwork returns a network in which every node can reach every other node, unless a
// path function from [WithPath] prevents it.
func NewNetwork(w *World, opts ...NetworkOption) *Network {
	n := &Network{world: w, minDelay: time.Millisecond, maxDelay: time.Millisecond, cuts: map[link]bool{}}
	n.path = func(string, string) (time.Duration, bool) { return 0, true }
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// SetLoss changes the probability that a message is lost.
func (n *Network) SetLoss(probability float64) { n.loss = probability }

// SetCut cuts the network between two nodes in both directions if on is true, and
// restores it if on is false.
func (n *Network) SetCut(a, b string, on bool) {
	n.SetCutOneWay(a, b, on)
	n.SetCutOneWay(b, a, on)
}

// SetCutOneWay cuts the network from one node to another, in this direction only, if on
// is true, and restores it if on is false.
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

// Send sends a message from one node to another. The function deliver runs on the
// receiving node when the message arrives. It doesn't run if the message is lost, and
// runs twice if the message is duplicated.
func (n *Network) Send(from, to string, deliver func()) {
	n.sent++
	n.deliver(from, to, deliver)
	if n.world.rng.Float64() < n.duplicate {
		n.deliver(from, to, deliver)
	}
}

// deliver schedules the arrival of a message, unless the message is lost. The path must
// be open both when the message is sent and when it arrives, so a cut also drops the
// messages that are on their way.
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
