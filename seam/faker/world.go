// Package faker holds the small fakes that failure tests share: a virtual
// clock, a network between named nodes, and a store.
//
// Everything happens on one goroutine in an order that the seed decides, so a
// failing seed fails again.
//
// # Usage
//
//	w := faker.NewWorld(seed)
//	n := faker.NewNetwork(w, faker.WithDelay(time.Millisecond, 5*time.Millisecond))
//	w.After("a", time.Second, func() { n.Send("a", "b", receive) })
//	w.Run(time.Minute)
package faker

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Epoch is the time at which every world starts.
var Epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// World is a virtual clock with an ordered list of events. Each event belongs
// to a node, or to no node (""). It is not safe for concurrent use.
type World struct {
	now    time.Time
	rng    *rand.Rand
	events eventHeap
	order  uint64
	nodes  map[string]*node
}

// node is the state of a named process.
type node struct {
	incarnation uint64
	paused      bool
	held        []event
}

// event is a function that runs at a time on a node.
type event struct {
	at          time.Time
	order       uint64
	node        string
	incarnation uint64
	run         func()
}

// NewWorld returns a world whose random choices follow the seed.
func NewWorld(seed uint64) *World {
	return &World{now: Epoch, rng: rand.New(rand.NewPCG(seed, seed)), nodes: map[string]*node{}}
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Rand returns the world's seeded random numbers.
func (w *World) Rand() *rand.Rand { return w.rng }

// After runs a function on a node after a delay. A pause of the node delays it
// further; a crash drops it.
func (w *World) After(name string, delay time.Duration, run func()) {
	w.order++
	e := event{
		at: w.now.Add(max(0, delay)), order: w.order, node: name,
		incarnation: w.node(name).incarnation, run: run,
	}
	heap.Push(&w.events, e)
}

// Crash drops all that is pending on a node and starts a new incarnation.
func (w *World) Crash(name string) {
	n := w.node(name)
	n.incarnation++
	n.paused = false
	n.held = nil
}

// Pause freezes a node until Resume.
func (w *World) Pause(name string) { w.node(name).paused = true }

// Resume lets a node run what came due while it was frozen.
func (w *World) Resume(name string) {
	n := w.node(name)
	n.paused = false
	held := n.held
	n.held = nil
	for _, e := range held {
		e.at = w.now
		heap.Push(&w.events, e)
	}
}

// Incarnation counts a node's crashes.
func (w *World) Incarnation(name string) uint64 { return w.node(name).incarnation }

// Paused reports whether a node is frozen.
func (w *World) Paused(name string) bool { return w.node(name).paused }

// Run handles all events of the next d.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		w.step()
	}
	w.now = end
}

func (w *World) step() {
	e := heap.Pop(&w.events).(event)
	w.now = e.at
	n := w.node(e.node)
	switch {
	case e.incarnation != n.incarnation:
	case n.paused:
		n.held = append(n.held, e)
	default:
		e.run()
	}
}

func (w *World) node(name string) *node {
	n, ok := w.nodes[name]
	if !ok {
		n = &node{}
		w.nodes[name] = n
	}
	return n
}

// eventHeap orders events by time, then by creation.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
