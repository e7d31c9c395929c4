// Package storekeeper stands in for the platform's object service.
//
// It keeps versioned objects in memory, with conditional updates, watches that
// may be compacted, and a lagging list of instances. Faults are set while it
// runs: down, slow, and answers that are lost after the change took effect.
//
// # Usage
//
//	k := storekeeper.New()
//	server := httptest.NewServer(k)
//	k.SetDown(true)
package storekeeper

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/storer"
)

const (
	// defaultHistory is the number of changes that a watch can go back.
	defaultHistory = 4096
	// defaultListLag is how far the instance list is behind.
	defaultListLag = time.Second
)

// FakeStore is the stand-in. It is safe for concurrent use and implements
// http.Handler.
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

// Calls counts what was asked of the stand-in.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
}

// faults are the failures that are on now.
type faults struct {
	down        bool
	delay       time.Duration
	loseAnswers int
	// downAfter counts the writes until the store goes down; 0 is off.
	downAfter int
}

// instanceChange is an entry of the list and when it becomes visible.
type instanceChange struct {
	instance storer.Instance
	gone     bool
	visible  time.Time
}

// Option changes a keeper at its creation.
type Option func(*FakeStore)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option {
	return func(k *FakeStore) { k.clock = c }
}

// WithHistory sets the number of changes that a watch can go back.
func WithHistory(n int) Option {
	return func(k *FakeStore) { k.history = n }
}

// WithListLag sets how far the instance list is behind.
func WithListLag(d time.Duration) Option {
	return func(k *FakeStore) { k.listLag = d }
}

// New returns an empty keeper.
func New(opts ...Option) *FakeStore {
	k := &FakeStore{
		clock:   clockwork.NewRealClock(),
		history: defaultHistory,
		listLag: defaultListLag,
		objects: map[storer.Kind]map[string]storer.Object{},
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// SetDown makes every call fail, or lets calls through again.
func (k *FakeStore) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.down = down
	k.wakeWatches()
}

// SetDelay makes every call slower.
func (k *FakeStore) SetDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.delay = d
}

// LoseAnswers applies the next n writes but drops their answers.
func (k *FakeStore) LoseAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.loseAnswers = n
}

// DownAfterWrites lets the next n writes through and is down then.
func (k *FakeStore) DownAfterWrites(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.downAfter = n
}

// Calls returns the number of calls so far.
func (k *FakeStore) Calls() Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// SetInstance adds or changes an entry of the instance list.
func (k *FakeStore) SetInstance(i storer.Instance) { k.changeInstance(i, false) }

// RemoveInstance takes an instance off the list.
func (k *FakeStore) RemoveInstance(id string) {
	k.changeInstance(storer.Instance{ID: id}, true)
}

func (k *FakeStore) changeInstance(i storer.Instance, gone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	visible := k.clock.Now().Add(k.listLag)
	k.instances = append(k.instances, instanceChange{instance: i, gone: gone, visible: visible})
}

// put applies a conditional update and reports false on a conflict.
func (k *FakeStore) put(kind storer.Kind, name string, ifVersion int64, value json.RawMessage) (storer.Object, bool) {
	byName := k.objects[kind]
	if byName == nil {
		byName = map[string]storer.Object{}
		k.objects[kind] = byName
	}
	if byName[name].Version != ifVersion {
		return byName[name], false
	}
	k.revision++
	o := storer.Object{Kind: kind, Name: name, Version: k.revision, Value: value}
	byName[name] = o
	k.changes = append(k.changes, o)
	if len(k.changes) > k.history {
		k.changes = k.changes[len(k.changes)-k.history:]
	}
	if k.faults.downAfter > 0 {
		k.faults.downAfter--
		k.faults.down = k.faults.downAfter == 0
	}
	k.wakeWatches()
	return o, true
}

func (k *FakeStore) wakeWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// changesAfter returns the changes of a kind, or false if they are compacted.
func (k *FakeStore) changesAfter(kind storer.Kind, after int64) (storer.Events, bool) {
	oldest := k.revision - int64(len(k.changes))
	if after < oldest {
		return storer.Events{}, false
	}
	events := storer.Events{Position: k.revision}
	for _, o := range k.changes {
		if o.Kind == kind && o.Version > after {
			events.Objects = append(events.Objects, o)
		}
	}
	return events, true
}

// visibleInstances replays the list's changes up to the lag.
func (k *FakeStore) visibleInstances() []storer.Instance {
	now := k.clock.Now()
	var list []storer.Instance
	for _, c := range k.instances {
		if c.visible.After(now) {
			continue
		}
		list = withoutInstance(list, c.instance.ID)
		if !c.gone {
			list = append(list, c.instance)
		}
	}
	return list
}

func withoutInstance(list []storer.Instance, id string) []storer.Instance {
	var rest []storer.Instance
	for _, i := range list {
		if i.ID != id {
			rest = append(rest, i)
		}
	}
	return rest
}
