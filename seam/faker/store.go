package faker

import (
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
)

// StoreNode is the name of the store's node in the network. [Network.SetCut] with this
// name cuts a node off from the store.
const StoreNode = "store"

// Store is a versioned object store that nodes reach over the network. The callback of
// each call runs once, with the response or, after the timeout, with an error. If the
// calling node crashes, the callback no longer runs, neither for the timeout nor for a
// response that is already on its way.
type Store struct {
	world         *World
	network       *Network
	timeout       time.Duration
	down          bool
	answersToLose int
	revision      int64
	objects       map[storer.Kind]map[string]storer.Object
	writes        int
	reads         int
}

// NewStore returns an empty store whose calls fail after the timeout.
func NewStore(w *World, n *Network, timeout time.Duration) *Store {
	return &Store{world: w, network: n, timeout: timeout, objects: map[storer.Kind]map[string]storer.Object{}}
}

// SetDown sets whether the store is down. While it is down, it ignores calls, and they
// time out.
func (s *Store) SetDown(down bool) { s.down = down }

// LoseAnswers makes the store drop the responses to its next n successful writes. The
// calls end with a timeout although the writes took effect.
func (s *Store) LoseAnswers(n int) { s.answersToLose = n }

// Writes returns the number of writes that reached the store.
func (s *Store) Writes() int { return s.writes }

// Reads returns the number of reads that reached the store.
func (s *Store) Reads() int { return s.reads }

// Object returns an object in the store, or false if there is none. It doesn't use the
// network.
func (s *Store) Object(kind storer.Kind, name string) (storer.Object, bool) {
	o, ok := s.objects[kind][name]
	return o, ok
}

// PutDirect writes an object at once, without using the network. It does nothing if
// o.Version isn't the version of the object in the store.
func (s *Store) PutDirect(o storer.Object) { _, _ = s.apply(o) }

// Put writes an object for the node from, on condition that o.Version is the version of
// the object in the store. A version of 0 means that the store has no such object. Put
// runs done on the node with the written object. If the versions differ, done gets the
// object in the store and a StoreConflict error. After the timeout, done gets a
// StoreOutcomeUnknown error.
func (s *Store) Put(from string, o storer.Object, done func(storer.Object, error)) {
	answer := s.call(from, coder.StoreOutcomeUnknown, func(events storer.Events, err error) {
		var written storer.Object
		if len(events.Objects) > 0 {
			written = events.Objects[0]
		}
		done(written, err)
	})
	s.network.Send(from, StoreNode, func() {
		if s.down {
			return
		}
		s.writes++
		written, err := s.apply(o)
		if err == nil && s.answersToLose > 0 {
			s.answersToLose--
			return
		}
		answer(storer.Events{Objects: []storer.Object{written}}, err)
	})
}

// List reads all objects of a kind for the node from. It runs done on the node with the
// objects, ordered by name. After the timeout, done gets a StoreUnavailable error.
func (s *Store) List(from string, kind storer.Kind, done func(storer.Events, error)) {
	answer := s.call(from, coder.StoreUnavailable, done)
	s.network.Send(from, StoreNode, func() {
		if s.down {
			return
		}
		s.reads++
		answer(s.list(kind), nil)
	})
}

// call starts the timeout of a call from a node. It returns a function that sends the
// store's response to the node. The response or the timeout runs done, whichever comes
// first.
func (s *Store) call(from string, timeoutCode coder.Code, done func(storer.Events, error)) func(storer.Events, error) {
	finished := false
	finish := func(events storer.Events, err error) {
		if !finished {
			finished = true
			done(events, err)
		}
	}
	s.world.After(from, s.timeout, func() {
		finish(storer.Events{}, coder.Errorf(timeoutCode, "", "no answer within %v", s.timeout))
	})
	return func(events storer.Events, err error) {
		s.network.Send(StoreNode, from, func() { finish(events, err) })
	}
}

// apply writes an object and returns it with its new version, which is the next revision
// of the store. If o.Version isn't the version of the object in the store, apply writes
// nothing and returns the object in the store and a StoreConflict error.
func (s *Store) apply(o storer.Object) (storer.Object, error) {
	byName := s.objects[o.Kind]
	if byName == nil {
		byName = map[string]storer.Object{}
		s.objects[o.Kind] = byName
	}
	current := byName[o.Name]
	if current.Version != o.Version {
		return current, coder.Errorf(coder.StoreConflict, o.Name, "version is %d, not %d", current.Version, o.Version)
	}
	s.revision++
	o.Version = s.revision
	byName[o.Name] = o
	return o, nil
}

func (s *Store) list(kind storer.Kind) storer.Events {
	events := storer.Events{Position: s.revision}
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		events.Objects = append(events.Objects, s.objects[kind][name])
	}
	return events
}
