// Package storekeeper is an in-memory stand-in for the platform's object service.
//
// It stores versioned objects with conditional updates, serves watches over a
// limited history of changes, and serves a list of instances in which changes
// appear with a delay. Faults can be set while it runs: it can be down or slow,
// or drop the response to a write that took effect.
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
	clock   clockwork.Clock
	history int
	listLag time.Duration

	mu        sync.Mutex
	revision  int64
	objects   map[storer.Kind]map[string]storer.Object
	changes   []storer.Object
	changed   chan struct{}
	instances []instanceChange
	faults    faults
	calls     Calls
}

// Calls counts the requests by kind. Reads includes lists and reads of the instance list;
// changes of the instance list aren't counted, nor are requests that are malformed or fail
// because the store is down.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
}

// faults are the active faults.
type faults struct {
	down  bool
	delay time.Duration
	// loseAnswers is the number of writes still to apply without a response.
	loseAnswers int
	// downAfter is the number of writes until the store goes down; 0 disables this.
	downAfter int
}

// instanceChange is a change of the instance list and the time at which it appears.
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
		clock:   clockwork.NewRealClock(),
		history: defaultHistory,
		listLag: defaultListLag,
		objects: map[storer.Kind]map[string]storer.Object{},
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetDown makes every request fail with status 503, including waiting watches, or ends
// that.
func (s *FakeStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.wakeWatches()
}

// SetDelay delays every request.
func (s *FakeStore) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the next n successful writes take effect without a response: the
// connection is closed instead.
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

// Calls returns the number of requests so far.
func (s *FakeStore) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetInstance adds an instance to the list, or replaces it. The change appears after the
// list's delay.
func (s *FakeStore) SetInstance(i storer.Instance) { s.changeInstance(i, false) }

// RemoveInstance removes an instance from the list. The change appears after the list's
// delay.
func (s *FakeStore) RemoveInstance(id string) {
	s.changeInstance(storer.Instance{ID: id}, true)
}

func (s *FakeStore) changeInstance(i storer.Instance, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleAt := s.clock.Now().Add(s.listLag)
	s.instances = append(s.instances, instanceChange{instance: i, removed: removed, visibleAt: visibleAt})
}

// put writes an object if its current version is ifVersion, with 0 for an object that
// doesn't exist yet. Otherwise it returns the current object and false. The caller holds
// the lock.
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

// wakeWatches makes waiting watches look for changes and faults. The caller holds the lock.
func (s *FakeStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesAfter returns the changes of a kind after a revision, or false if the history
// doesn't reach back that far. The caller holds the lock.
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

// visibleInstances returns the list with the changes whose delay has passed. The caller
// holds the lock.
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

// withoutInstance returns a copy of the list without the instance of this id.
func withoutInstance(list []storer.Instance, id string) []storer.Instance {
	var rest []storer.Instance
	for _, i := range list {
		if i.ID != id {
			rest = append(rest, i)
		}
	}
	return rest
}
