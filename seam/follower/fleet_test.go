package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// historyStore is a store that keeps its content at each revision, so that copies can be
// compared with the content at their position.
type historyStore struct {
	content   map[string]uint64
	at        []map[string]uint64
	changes   []Change
	compacted uint64
}

func newHistoryStore() *historyStore {
	return &historyStore{content: map[string]uint64{}, at: []map[string]uint64{{}, {}}, changes: []Change{{}, {}}}
}

func (s *historyStore) revision() uint64 { return uint64(len(s.at) - 1) }

// record adds a revision. A change without a name is one of another kind of objects.
func (s *historyStore) record(c Change) {
	s.content = maps.Clone(s.content)
	switch {
	case c.Object.Name == "":
	case c.Deleted:
		delete(s.content, c.Object.Name)
	default:
		c.Object.Revision = s.revision() + 1
		c.Object.Spec = specAt(c.Object.Revision)
		s.content[c.Object.Name] = c.Object.Revision
	}
	s.at, s.changes = append(s.at, s.content), append(s.changes, c)
}

// specAt returns the content of an object that was written at a revision: one part that changes, one that
// some revisions have, and a long one that stays.
func specAt(revision uint64) json.RawMessage {
	sometimes := ""
	if revision%3 == 0 {
		sometimes = `,"sometimes":{}`
	}
	return json.RawMessage(fmt.Sprintf(`{"always":%q,"table":{"changes":{"revision":%d}%s}}`, strings.Repeat("a", 200), revision, sometimes))
}

func (s *historyStore) List(context.Context, string) ([]Object, uint64, error) {
	var list []Object
	for name, revision := range s.content {
		list = append(list, Object{Name: name, Revision: revision, Spec: specAt(revision)})
	}
	return list, s.revision(), nil
}

func (s *historyStore) Watch(_ context.Context, _ string, position uint64, _ time.Duration) ([]Change, uint64, error) {
	if position < s.compacted {
		return nil, 0, ErrHistoryGone
	}
	var list []Change
	for _, c := range s.changes[position+1:] {
		if c.Object.Name != "" {
			list = append(list, c)
		}
	}
	return list, s.revision(), nil
}

func (s *historyStore) Create(context.Context, string, string, json.RawMessage) error { return nil }

func (s *historyStore) Replace(context.Context, string, string, json.RawMessage) error { return nil }

func (s *historyStore) Delete(context.Context, string, string) error { return nil }

// fleet is a few instances that share the polling of a store.
type fleet struct {
	store     *historyStore
	followers []*Follower
	options   []Option
}

// exchange passes an instance another one's state, and lets it fetch what it lacks.
func (f *fleet) exchange(t *rapid.T, to, from int) {
	reader, giver := f.followers[to], f.followers[from]
	if !reader.ObservePeer(giver.State(time.Now()), time.Now()) {
		return
	}
	v, _ := reader.View()
	d, ok := giver.DeltaWithPatches(v.Position, reader.Versions())
	if !ok {
		return
	}
	d, err := reader.ResolvePatches(d)
	if err != nil {
		t.Fatalf("instance %d can't use the patches of instance %d: %v", to, from, err)
	}
	reader.ApplyDelta(d)
}

// check compares each copy with the content of the store at the copy's position.
func (f *fleet) check(t *rapid.T) {
	for n, follower := range f.followers {
		v, ok := follower.View()
		if !ok {
			continue
		}
		got := map[string]uint64{}
		for name, o := range v.Objects {
			got[name] = o.Revision
			if string(o.Spec) != string(specAt(o.Revision)) {
				t.Fatalf("the content of %s at revision %d is %s", name, o.Revision, o.Spec)
			}
		}
		if want := f.store.at[v.Position]; !maps.Equal(got, want) {
			t.Fatalf("the copy of instance %d at position %d is %v, the store had %v", n, v.Position, got, want)
		}
	}
}

// Guards against DRAIN: whoever an instance takes changes from, its copy must be what the store
// had at its position. Instances reach the store and each other in any order, so that some are
// cut off from some while others aren't.
func TestCopiesAreWhatTheStoreHadAtTheirPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{store: newHistoryStore()}
		if rapid.Bool().Draw(t, "patches") {
			f.options = append(f.options, WithPatches())
		}
		for range rapid.IntRange(2, 4).Draw(t, "instances") {
			f.followers = append(f.followers, New(f.store, "servers", f.options...))
		}
		instance := rapid.IntRange(0, len(f.followers)-1)
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"":       f.check,
			"write":  func(t *rapid.T) { f.store.record(Change{Object: Object{Name: name.Draw(t, "name")}}) },
			"remove": func(t *rapid.T) { f.remove(name.Draw(t, "name")) },
			"other":  func(*rapid.T) { f.store.record(Change{}) },
			"compact": func(*rapid.T) {
				f.store.compacted = f.store.revision()
			},
			"poll": func(t *rapid.T) {
				_, _ = f.followers[instance.Draw(t, "instance")].poll(t.Context(), true, true)
			},
			"exchange": func(t *rapid.T) {
				f.exchange(t, instance.Draw(t, "to"), instance.Draw(t, "from"))
			},
			"spread": func(t *rapid.T) {
				f.store.record(Change{Object: Object{Name: name.Draw(t, "name")}})
				first := instance.Draw(t, "first")
				_, _ = f.followers[first].poll(t.Context(), true, true)
				for to := range f.followers {
					f.exchange(t, to, first)
				}
			},
			"restart": func(t *rapid.T) {
				f.followers[instance.Draw(t, "instance")] = New(f.store, "servers", f.options...)
			},
		})
	})
}

// remove removes an object if it exists.
func (f *fleet) remove(name string) {
	if _, ok := f.store.content[name]; ok {
		f.store.record(Change{Object: Object{Name: name}, Deleted: true})
	}
}
