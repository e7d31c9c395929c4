package faker

import (
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
)

// StoreNode is the store's name in the network: cut it off by this name.
const StoreNode = "store"

// Store is a versioned object store that nodes reach over the network. Each
// call ends exactly once, by an answer or by its time limit.
type Store struct {
	world    *World
	network  *Network
	limit    time.Duration
	down     bool
	loseNext int
	revision int64
	objects  map[storer.Kind]map[string]storer.Object
	writes   int
	reads    int
}

// NewStore returns an empty store whose calls end after limit at the latest.
func NewStore(w *World, n *Network, limit time.Duration) *Store {
	return &Store{world: w, network: n, limit: limit, objects: map[storer.Kind]map[string]storer.Object{}}
}

// SetDown makes calls end by their time limit.
func (s *Store) SetDown(down bool) { s.down = down }

// LoseAnswers drops the answers of the next n writes that took effect.
func (s *Store) LoseAnswers(n int) { s.loseNext = n }

// Writes returns the number of writes that reached the store.
func (s *Store) Writes() int { return s.writes }

// Reads returns the number of reads that reached the store.
func (s *Store) Reads() int { return s.reads }

// Object returns an object without going over the network.
func (s *Store) Object(kind storer.Kind, name string) (storer.Object, bool) {
	o, ok := s.objects[kind][name]
	return o, ok
}

// PutDirect writes an object at once, without going over the network.
func (s *Store) PutDirect(o storer.Object) { _, _ = s.apply(o) }

// Put writes an object if its version still is o.Version, and tells done on
// the calling node. A conflict carries the object that stands in the store.
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
		if err == nil && s.loseNext > 0 {
			s.loseNext--
			return
		}
		answer(storer.Events{Objects: []storer.Object{written}}, err)
	})
}

// List reads all objects of a kind and tells done on the calling node.
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

// call returns the function that sends an answer back; the caller is told once.
func (s *Store) call(from string, late coder.Code, done func(storer.Events, error)) func(storer.Events, error) {
	ended := false
	end := func(events storer.Events, err error) {
		if !ended {
			ended = true
			done(events, err)
		}
	}
	s.world.After(from, s.limit, func() {
		end(storer.Events{}, coder.Errorf(late, "", "no answer within %v", s.limit))
	})
	return func(events storer.Events, err error) {
		s.network.Send(StoreNode, from, func() { end(events, err) })
	}
}

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
