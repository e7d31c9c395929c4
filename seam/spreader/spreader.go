// Package spreader brings the newest configuration and keys to an instance.
//
// A few watchers for each region follow the platform's store; the other
// instances follow a watcher. An instance that no watcher answers reads the
// store itself, with jitter and seldom. Whatever arrives, and on whichever
// way, an object is replaced only by a newer version, so a stale read, a
// replayed message or an old relay never takes an instance back.
//
// The package does no input or output: messages go into [Model.Update], and
// commands come out.
//
// # Usage
//
//	m := spreader.New(spreader.WithSelf("a", "west"), spreader.WithSeed(1))
//	for _, cmd := range m.Update(now, spreader.Ticked{}) {
//		switch c := cmd.(type) {
//		case spreader.ReadStore:
//		case spreader.Follow:
//		case spreader.Install:
//		}
//	}
package spreader

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/storer"
)

// kinds lists what is spread; keys go first.
var kinds = []storer.Kind{storer.KindKey, storer.KindConfig, storer.KindClientMap}

const (
	// keyWait is how long a watch of the keys waits at the store.
	keyWait = 2 * time.Second
	// configWait is how long a watch of another kind waits at the store.
	configWait = 10 * time.Second
	// relayWait is how long a watcher holds a follower's call.
	relayWait = 2 * time.Second
	// answerBytes is the size at which an answer to a follower ends; the rest
	// follows in its next call.
	answerBytes = 2 << 20
	// staleAfter is the age of a watcher's key evidence at which a follower
	// tries another watcher.
	staleAfter = 4 * time.Second
	// retryAfter is the shortest wait after a failed call.
	retryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds the back-off after failed calls.
	maxRetryAfter = 2 * time.Second
	// fallbackEvery is the shortest time between two reads of the store by an
	// instance that is no watcher.
	fallbackEvery = 2 * time.Second
	// askAfter is the age of a watcher's key evidence at which it asks the
	// watchers of other regions.
	askAfter = 3 * time.Second
	// askEvery is the time between two rounds of such questions.
	askEvery = time.Second
	// claimLife is how long another watcher's word on the store counts.
	claimLife = 3 * time.Second
)

// Model is what one instance holds and follows. It is not safe for concurrent
// use.
type Model struct {
	self        string
	region      string
	incarnation uint64
	rng         *rand.Rand

	objects   map[storer.Kind]map[string]entry
	positions map[storer.Kind]int64
	serial    uint64

	watchers []Watcher
	store    map[storer.Kind]*storeCall
	follow   followCall
	evidence evidence
}

// entry is an object and when it was taken, counted in takes.
type entry struct {
	object storer.Object
	serial uint64
}

// storeCall is the state of reading one kind from the store.
type storeCall struct {
	busy     bool
	notUntil time.Time
	failures int
}

// followCall is the state of following a watcher.
type followCall struct {
	busy     bool
	notUntil time.Time
	failures int
	// next counts the watchers tried, starting at rank.
	next  int
	rank  int
	peers map[string]answered
}

// answered is the last answer of a peer, so that it sends only what is new.
type answered struct {
	incarnation uint64
	serial      uint64
}

// Watcher is an instance that follows the store for its region.
type Watcher struct {
	ID      string
	Region  string
	Address string
}

// Option changes a model at its creation.
type Option func(*Model)

// WithSelf sets the instance's id and region.
func WithSelf(id, region string) Option {
	return func(m *Model) { m.self, m.region = id, region }
}

// WithIncarnation sets the number that orders this instance's starts.
func WithIncarnation(n uint64) Option { return func(m *Model) { m.incarnation = n } }

// WithSeed seeds the jitter.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a model that holds nothing yet.
func New(opts ...Option) *Model {
	m := &Model{
		incarnation: 1,
		rng:         rand.New(rand.NewPCG(1, 1)),
		objects:     map[storer.Kind]map[string]entry{},
		positions:   map[storer.Kind]int64{},
		store:       map[storer.Kind]*storeCall{},
		follow:      followCall{peers: map[string]answered{}},
		evidence:    newEvidence(),
	}
	for _, kind := range kinds {
		m.objects[kind] = map[string]entry{}
		m.positions[kind] = -1
		m.store[kind] = &storeCall{}
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update takes one message at the time now and returns what is to be done.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	var cmds []Cmd
	switch msg := msg.(type) {
	case WatchersChanged:
		m.watchersChanged(msg)
	case StoreAnswered:
		cmds = m.storeAnswered(now, msg)
	case StoreFailed:
		m.storeFailed(now, msg)
	case PeerAnswered:
		cmds = m.peerAnswered(now, msg)
	case PeerFailed:
		m.peerFailed(now, msg)
	case Offered:
		cmds = m.take(msg.Objects)
	case Ticked:
	}
	return append(cmds, m.next(now)...)
}

// watchersChanged takes another list of watchers. Followers start at their rank
// among those of their region, and turn to the rest in random order.
func (m *Model) watchersChanged(msg WatchersChanged) {
	m.follow.rank = msg.Rank
	m.evidence.know(msg)
	if sameWatchers(m.watchers, msg.Watchers) {
		return
	}
	m.follow.notUntil = time.Time{}
	for _, c := range m.store {
		c.notUntil = time.Time{}
	}
	m.watchers = slices.Clone(msg.Watchers)
	m.rng.Shuffle(len(m.watchers), func(i, j int) {
		m.watchers[i], m.watchers[j] = m.watchers[j], m.watchers[i]
	})
	m.follow.next = 0
}

// sameWatchers reports whether two lists hold the same in any order.
func sameWatchers(a, b []Watcher) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(w Watcher) bool { return !slices.Contains(b, w) })
}

// Watching reports whether this instance is a watcher.
func (m *Model) Watching() bool {
	return slices.ContainsFunc(m.watchers, func(w Watcher) bool { return w.ID == m.self })
}

// Serial counts the objects taken so far.
func (m *Model) Serial() uint64 { return m.serial }

// Version returns the version held of an object, or 0.
func (m *Model) Version(kind storer.Kind, name string) int64 {
	return m.objects[kind][name].object.Version
}

// take keeps the objects that are newer than those held.
func (m *Model) take(objects []storer.Object) []Cmd {
	var newer []storer.Object
	for _, o := range objects {
		held, ok := m.objects[o.Kind]
		if !ok || o.Version <= held[o.Name].object.Version {
			continue
		}
		m.serial++
		held[o.Name] = entry{object: o, serial: m.serial}
		newer = append(newer, o)
	}
	if len(newer) == 0 {
		return nil
	}
	slices.SortStableFunc(newer, func(a, b storer.Object) int {
		return cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind))
	})
	return []Cmd{Install{Objects: newer}}
}

// advance says that all changes of a kind up to a position are held.
func (m *Model) advance(kind storer.Kind, position int64) {
	if held, ok := m.positions[kind]; ok {
		m.positions[kind] = max(held, position)
	}
}
