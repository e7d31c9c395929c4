// Package faker is a small discrete-event simulation of processes that fail: a virtual
// clock, a network between named nodes, and a store. Tests use it, and so do the
// simulations of packages replayer and rehearser.
//
// A node is a simulated process, and an event is a function that runs on a node at a
// virtual time. All events run on one goroutine, in an order that depends only on the
// seed. A test that fails with a seed fails again with the same seed.
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

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// World is a simulation: a virtual clock and the pending events. Each event belongs to
// a node, or to no node (""). It is not safe for concurrent use.
type World struct {
	now      time.Time
	rng      *rand.Rand
	events   eventHeap
	sequence uint64
	nodes    map[string]*node
}

// node is the state of a simulated process. The field deferred holds the events that
// came due while the node was paused. The field incarnation counts its crashes.
type node struct {
	incarnation uint64
	paused      bool
	deferred    []event
}

// event is a function that runs on a node at a time. Events at the same time run in the
// order of their sequence numbers. The field incarnation is that of the node when the
// event was scheduled; the event doesn't run if the node has crashed since then.
type event struct {
	at          time.Time
	sequence    uint64
	node        string
	incarnation uint64
	run         func()
}

// NewWorld returns a World at the time Epoch. Its random choices depend only on the seed.
func NewWorld(seed uint64) *World {
	return &World{now: Epoch, rng: rand.New(rand.NewPCG(seed, seed)), nodes: map[string]*node{}}
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Rand returns the seeded random number generator.
func (w *World) Rand() *rand.Rand { return w.rng }

// After schedules a function to run on a node after a delay. If the node is paused then,
// the function runs when the pause ends. If the node crashes before the function runs,
// the function is dropped.
func (w *World) After(name string, delay time.Duration, run func()) {
	w.sequence++
	e := event{
		at: w.now.Add(max(0, delay)), sequence: w.sequence, node: name,
		incarnation: w.node(name).incarnation, run: run,
	}
	heap.Push(&w.events, e)
}

// Crash drops all pending events of a node, ends a pause of the node and adds 1 to its
// incarnation number. Events that are scheduled after the crash run normally.
func (w *World) Crash(name string) {
	n := w.node(name)
	n.incarnation++
	n.paused = false
	n.deferred = nil
}

// Pause defers the events of a node until Resume is called for it.
func (w *World) Pause(name string) { w.node(name).paused = true }

// Resume ends a pause of a node. The events that came due during the pause become due
// now, in the order in which they were scheduled.
func (w *World) Resume(name string) {
	n := w.node(name)
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, e := range deferred {
		e.at = w.now
		heap.Push(&w.events, e)
	}
}

// Incarnation returns the number of times that a node has crashed.
func (w *World) Incarnation(name string) uint64 { return w.node(name).incarnation }

// Paused reports whether a node is paused.
func (w *World) Paused(name string) bool { return w.node(name).paused }

// Run advances the virtual clock by d and runs the events that come due.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		w.step()
	}
	w.now = end
}

// step takes the next event from the heap, sets the clock to its time and runs it. It
// drops the event if the node has crashed since the event was scheduled, and defers it
// if the node is paused.
func (w *World) step() {
	e := heap.Pop(&w.events).(event)
	w.now = e.at
	n := w.node(e.node)
	switch {
	case e.incarnation != n.incarnation:
	case n.paused:
		n.deferred = append(n.deferred, e)
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

// eventHeap is a heap of events, ordered by time and then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
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
