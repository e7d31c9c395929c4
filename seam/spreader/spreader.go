// Package spreader keeps an instance's copy of the configuration, the API keys and
// the client map up to date. The fleet daemon seamd uses it.
//
// A few instances of each region, its watchers, watch the platform's store. Every
// other instance is a follower: it gets changes from one watcher by long polling.
// When the watchers of its region fail, a follower also reads the store itself,
// rarely and with jitter. An object is only ever replaced by a newer version,
// whether it comes from the store, a peer or an operator's offer, so stale reads,
// replayed messages and outdated peers never revert an instance.
//
// A position is the point in the store's sequence of changes up to which an
// instance holds all changes of one kind. A serial counts the objects that an
// instance has merged since its start; by a serial, a peer requests only the
// objects merged after it.
//
// The model also tracks key evidence: the latest time at which the keys held are
// known to have included every change that the store had accepted, withdrawals
// above all.
//
// The package performs no I/O: messages go into [Model.Update], and the caller of
// Update executes the commands that it returns.
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

// kinds lists the kinds of object that are kept up to date. Objects are installed
// in this order, keys first.
var kinds = []storer.Kind{storer.KindKey, storer.KindConfig, storer.KindClientMap}

const (
	// keyPollTimeout is how long a watch of the keys waits at the store for changes.
	keyPollTimeout = 2 * time.Second
	// otherPollTimeout is how long a watch of any other kind waits at the store for
	// changes.
	otherPollTimeout = 10 * time.Second
	// relayPollTimeout is how long a watcher holds a follower's call open.
	relayPollTimeout = 2 * time.Second
	// answerByteLimit is the total size of object values after which an answer to a
	// follower is truncated. The follower gets the remaining objects with its next
	// calls.
	answerByteLimit = 2 << 20
	// staleEvidenceAge is the age of a watcher's key evidence above which a
	// follower switches to another watcher.
	staleEvidenceAge = 4 * time.Second
	// retryBase is the unit of waits after failed calls. The first wait of the
	// exponential back-off is 1 to 2 times retryBase. A retry without back-off waits
	// for up to retryBase.
	retryBase = 200 * time.Millisecond
	// maxBackOff limits the back-off after failed calls.
	maxBackOff = 2 * time.Second
	// fallbackInterval is the least time between two reads of the same kind at the
	// store by a follower. A random time up to fallbackInterval is added. After a
	// compacted position or a change of the watchers, a follower may read earlier.
	fallbackInterval = 2 * time.Second
	// probeEvidenceAge is the least age of a watcher's key evidence at which the
	// watcher probes one other watcher of each region.
	probeEvidenceAge = 3 * time.Second
	// probeInterval is the least time between two rounds of probes.
	probeInterval = time.Second
	// outageReportTTL is how long another watcher's report that the store is
	// unreachable stays valid.
	outageReportTTL = 3 * time.Second
)

// Model holds the objects of one instance and the state of its calls to the store
// and to peers. It is not safe for concurrent use.
type Model struct {
	self        string
	region      string
	incarnation uint64
	rng         *rand.Rand

	// objects holds the newest known version of each object by kind and name.
	objects map[storer.Kind]map[string]entry
	// positions holds, for each kind, the store position up to which this instance
	// has all changes, or -1 if it has to list the kind.
	positions map[storer.Kind]int64
	// serial counts the objects merged since the start.
	serial uint64

	// watchers holds the watchers of all regions in random order.
	watchers    []Watcher
	storeCalls  map[storer.Kind]*storeCall
	follow      followCall
	keyEvidence keyEvidence
}

// entry is an object and the value of Model.serial when it was merged.
type entry struct {
	object storer.Object
	serial uint64
}

// storeCall is the state of the reads of one kind at the store.
type storeCall struct {
	inFlight  bool
	notBefore time.Time
	failures  int
}

// followCall is the state of the calls to the watcher being followed.
type followCall struct {
	inFlight  bool
	notBefore time.Time
	failures  int
	// watchersTried counts how often this instance switched to the next watcher since the
	// list of watchers last changed.
	watchersTried int
	// rank is the offset of the first watcher to follow among the watchers of this
	// region; see WatchersChanged.Rank.
	rank int
	// cursors holds the cursor of each peer that answered, by instance id.
	cursors map[string]peerCursor
}

// peerCursor is the serial of a peer's last answer, with the incarnation of the peer
// to which the serial belongs. The next request to the peer repeats both, so that
// the peer answers only with objects that it merged later.
type peerCursor struct {
	incarnation uint64
	serial      uint64
}

// Watcher is an instance that watches the store and relays changes to followers,
// mostly those of its own region.
type Watcher struct {
	ID      string
	Region  string
	Address string
}

// Option configures a new Model.
type Option func(*Model)

// WithSelf sets the instance's id and region.
func WithSelf(id, region string) Option {
	return func(m *Model) { m.self, m.region = id, region }
}

// WithIncarnation sets a number that identifies this start of the instance. Serials
// count from 0 again after a restart, so peers must be able to distinguish the starts.
func WithIncarnation(n uint64) Option { return func(m *Model) { m.incarnation = n } }

// WithSeed seeds the random choices, such as jitter and the order of watchers.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a model without objects.
func New(opts ...Option) *Model {
	m := &Model{
		incarnation: 1,
		rng:         rand.New(rand.NewPCG(1, 1)),
		objects:     map[storer.Kind]map[string]entry{},
		positions:   map[storer.Kind]int64{},
		storeCalls:  map[storer.Kind]*storeCall{},
		follow:      followCall{cursors: map[string]peerCursor{}},
		keyEvidence: newKeyEvidence(),
	}
	for _, kind := range kinds {
		m.objects[kind] = map[string]entry{}
		m.positions[kind] = -1
		m.storeCalls[kind] = &storeCall{}
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update processes a message that arrived at now and returns the commands to
// execute.
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
		cmds = m.merge(msg.Objects)
	case Ticked:
	}
	return append(cmds, m.dueCalls(now)...)
}

// watchersChanged replaces the list of watchers and the rank. If the list differs
// from the previous list, the model follows the first watcher in its order again
// and doesn't wait for pending retries. The list is shuffled so that the followers
// of a region fall back to different watchers of other regions.
func (m *Model) watchersChanged(msg WatchersChanged) {
	m.follow.rank = msg.Rank
	m.keyEvidence.addRegions(msg)
	if sameWatchers(m.watchers, msg.Watchers) {
		return
	}
	m.follow.notBefore = time.Time{}
	for _, c := range m.storeCalls {
		c.notBefore = time.Time{}
	}
	m.watchers = slices.Clone(msg.Watchers)
	m.rng.Shuffle(len(m.watchers), func(i, j int) {
		m.watchers[i], m.watchers[j] = m.watchers[j], m.watchers[i]
	})
	m.follow.watchersTried = 0
}

// sameWatchers reports whether two lists hold the same watchers, whatever the order.
func sameWatchers(a, b []Watcher) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(w Watcher) bool { return !slices.Contains(b, w) })
}

// Watching reports whether this instance is a watcher.
func (m *Model) Watching() bool {
	return slices.ContainsFunc(m.watchers, func(w Watcher) bool { return w.ID == m.self })
}

// Serial returns the number of objects merged since the start. It grows whenever
// an object is added or replaced.
func (m *Model) Serial() uint64 { return m.serial }

// Version returns the version of an object held here, or 0 if there is none.
func (m *Model) Version(kind storer.Kind, name string) int64 {
	return m.objects[kind][name].object.Version
}

// merge stores the objects that are newer than the versions held, and returns the
// command to install these objects, or nil if there are none. It ignores objects of
// unknown kinds.
func (m *Model) merge(objects []storer.Object) []Cmd {
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

// advancePosition records that this instance has all changes of a kind up to a
// position. It ignores a lower position than the current one, which comes from an
// outdated answer.
func (m *Model) advancePosition(kind storer.Kind, position int64) {
	if held, ok := m.positions[kind]; ok {
		m.positions[kind] = max(held, position)
	}
}
