// Package storekeeper is an in-memory stand-in for the platform's object service, which
// seamd and seamctl use. It serves their tests, the commands "seamctl demo" and "seamctl
// measure", and the command "standin platform". (Package objectkeeper is the stand-in for
// the object store of seamedge, which has another protocol.)
//
// An object has a kind, a name and a version. A write takes effect only if it gives the
// object's current version. A watch returns the changes to the objects of a kind after a
// given revision of the store, which is a counter of all writes; the store keeps only a
// limited number of past changes for watches. The store also serves a list of instances,
// in which changes appear after a delay.
//
// Faults can be set while it runs: it can be down or slow, or close the connection instead
// of responding to a write that took effect.
//
// # Usage
//
//	s := storekeeper.New()
//	server := httptest.NewServer(s)
//	s.SetDown(true)
package storekeeper

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/storer"
)

const (
	// defaultHistory is the number of past changes that a watch can start from.
	defaultHistory = 4096
	// defaultListLag is the delay after which a change appears in the instance list.
	defaultListLag = time.Second
)

// FakeStore is the stand-in for the object service. It is safe for concurrent use and
// implements http.Handler.
type FakeStore struct {
	clock clockwork.Clock
	// history is the maximum length of changes.
	history int
	// listLag is the delay after which a change appears in the instance list.
	listLag time.Duration

	mu sync.Mutex
	// revision is the version of the object that was written last.
	revision int64
	objects  map[storer.Kind]map[string]storer.Object
	// changes has the latest written objects, oldest first.
	changes []storer.Object
	// changeSignal is closed and replaced when an object is written or the store goes
	// down or up. Waiting watches wait for that.
	changeSignal chan struct{}
	// instances has every change of the instance list, oldest first.
	instances []instanceChange
	faults    faults
	calls     Calls
}

// Calls has the number of requests that the store has got. Reads counts reads of an object,
// lists of objects and reads of the instance list. Changes of the instance list aren't
// counted, and neither are malformed requests and requests that arrive while the store is
// down.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
}

// faults has the faults that are set now.
type faults struct {
	// down makes every request fail with status 503.
	down bool
	// delay is the time that every request waits before it is served.
	delay time.Duration
	// loseAnswers is the number of successful writes, from the next one, after which the
	// connection is closed without a response.
	loseAnswers int
	// downAfter is the number of successful writes after which the store goes down. If it
	// is 0, the store doesn't go down by itself.
	downAfter int
}

// instanceChange is a change of the instance list: an instance is added, replaced or, if
// removed is set, removed. The list shows the change from the time visibleAt on.
type instanceChange struct {
	instance  storer.Instance
	removed   bool
	visibleAt time.Time
}

// Option configures a FakeStore.
type Option func(*FakeStore)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(s *FakeStore) { s.clock = c }
}

// WithHistory sets the number of past changes that a watch can start from.
func WithHistory(n int) Option {
	return func(s *FakeStore) { s.history = n }
}

// WithListLag sets the delay after which a change appears in the instance list.
func WithListLag(d time.Duration) Option {
	return func(s *FakeStore) { s.listLag = d }
}

// New returns an empty store.
func New(opts ...Option) *FakeStore {
	s := &FakeStore{
		clock:        clockwork.NewRealClock(),
		history:      defaultHistory,
		listLag:      defaultListLag,
		objects:      map[storer.Kind]map[string]storer.Object{},
		changeSignal: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetDown sets whether the store is down. While it is down, every request fails with status
// 503, and so do watches that were waiting when it went down.
func (s *FakeStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.wakeWatches()
}

// SetDelay sets the time that every request waits before it is served.
func (s *FakeStore) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the store close the connection instead of responding to each of the next
// n successful writes. These writes take effect.
func (s *FakeStore) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// DownAfterWrites makes the store go down after the next n successful writes.
func (s *FakeStore) DownAfterWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.downAfter = n
}

// Calls returns the number of requests so far, by kind.
func (s *FakeStore) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetInstance adds an instance to the list, or replaces the entry with the same id. The
// change appears after the delay that WithListLag sets.
func (s *FakeStore) SetInstance(i storer.Instance) { s.changeInstance(i, false) }

// RemoveInstance removes an instance from the list. The change appears after the delay that
// WithListLag sets.
func (s *FakeStore) RemoveInstance(id string) {
	s.changeInstance(storer.Instance{ID: id}, true)
}

func (s *FakeStore) changeInstance(i storer.Instance, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleAt := s.clock.Now().Add(s.listLag)
	s.instances = append(s.instances, instanceChange{instance: i, removed: removed, visibleAt: visibleAt})
}

// put writes an object if its current version is ifVersion, and returns the written object
// and true. An object that doesn't exist has version 0. If the version differs, put returns
// the current object and false. The caller holds the lock.
func (s *FakeStore) put(kind storer.Kind, name string, ifVersion int64, value json.RawMessage) (storer.Object, bool) {
	byName := s.objects[kind]
	if byName == nil {
		byName = map[string]storer.Object{}
		s.objects[kind] = byName
	}
	if byName[name].Version != ifVersion {
		return byName[name], false
	}
	s.revision++
	o := storer.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	byName[name] = o
	s.changes = append(s.changes, o)
	if len(s.changes) > s.history {
		s.changes = s.changes[len(s.changes)-s.history:]
	}
	if s.faults.downAfter > 0 {
		s.faults.downAfter--
		s.faults.down = s.faults.downAfter == 0
	}
	s.wakeWatches()
	return o, true
}

// wakeWatches makes waiting watches check whether there are changes or the store is down.
// The caller holds the lock.
func (s *FakeStore) wakeWatches() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// changesAfter returns the changes to objects of a kind after a revision. It returns false
// if the history no longer holds every change after this revision. The caller holds the
// lock.
func (s *FakeStore) changesAfter(kind storer.Kind, after int64) (storer.Events, bool) {
	oldest := s.revision - int64(len(s.changes))
	if after < oldest {
		return storer.Events{}, false
	}
	events := storer.Events{Position: s.revision}
	for _, o := range s.changes {
		if o.Kind == kind && o.Version > after {
			events.Objects = append(events.Objects, o)
		}
	}
	return events, true
}

// visibleInstances returns the instance list as clients see it now, which is with the
// changes whose delay has passed. The caller holds the lock.
func (s *FakeStore) visibleInstances() []storer.Instance {
	now := s.clock.Now()
	var list []storer.Instance
	for _, c := range s.instances {
		if c.visibleAt.After(now) {
			continue
		}
		list = withoutInstance(list, c.instance.ID)
		if !c.removed {
			list = append(list, c.instance)
		}
	}
	return list
}

// withoutInstance returns a copy of the list without the instance with the given id.
func withoutInstance(list []storer.Instance, id string) []storer.Instance {
	var rest []storer.Instance
	for _, i := range list {
		if i.ID != id {
			rest = append(rest, i)
		}
	}
	return rest
}
