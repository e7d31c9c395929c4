// Package objectkeeper stands in for the users' store of objects by kind and
// name, as their protocol page describes it, with faults that tests turn on.
//
// # Usage
//
//	k := objectkeeper.New()
//	server := httptest.NewServer(k)
//	k.Put("config", "main", spec)
//	k.SetFault(objectkeeper.FaultUnavailable)
package objectkeeper

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a way in which the store misbehaves.
type Fault int

// The faults of a store.
const (
	FaultNone Fault = iota
	// FaultUnavailable refuses all calls with 503, FaultMany with 429.
	FaultUnavailable
	FaultTooManyRequests
	// FaultSilent never answers.
	FaultSilent
	// FaultReset closes connections without an answer.
	FaultReset
	// FaultResponseLost carries writes out and doesn't answer them.
	FaultResponseLost
	// FaultDeaf lets waiting calls hear nothing until their time is over.
	FaultDeaf
)

// pageSize is the number of objects on a page.
const pageSize = 50

// maxWait bounds how long a call may wait for changes.
const maxWait = 30 * time.Second

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// FakeStore is the store. It is safe for concurrent use.
type FakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	// forgotten is the revision up to which history is gone.
	forgotten uint64
	fault     Fault
	changed   chan struct{}
	calls     int
}

// New returns an empty store.
func New() *FakeStore {
	return &FakeStore{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// SetFault sets how the store misbehaves from now on.
func (k *FakeStore) SetFault(f Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
}

// CompactHistory drops the history.
func (k *FakeStore) CompactHistory() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history = nil
	k.forgotten = k.revision
}

// Calls returns the number of calls so far.
func (k *FakeStore) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Put writes an object as another party would.
func (k *FakeStore) Put(kind, name string, spec json.RawMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.write(kind, name, spec)
}

// Remove deletes an object as another party would.
func (k *FakeStore) Remove(kind, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remove(kind, name)
}

func (k *FakeStore) write(kind, name string, spec json.RawMessage) object {
	if k.objects[kind] == nil {
		k.objects[kind] = map[string]object{}
	}
	old, ok := k.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	k.revision++
	o := object{Metadata: metadata{Name: name, Revision: k.revision, Created: k.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	k.objects[kind][name] = o
	k.note(change{kind: kind, object: o})
	return o
}

func (k *FakeStore) remove(kind, name string) {
	o, ok := k.objects[kind][name]
	if !ok {
		return
	}
	k.revision++
	o.Metadata.Revision = k.revision
	delete(k.objects[kind], name)
	k.note(change{kind: kind, object: o, deleted: true})
}

func (k *FakeStore) note(c change) {
	k.history = append(k.history, c)
	close(k.changed)
	k.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (k *FakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	k.calls++
	fault := k.fault
	k.mu.Unlock()
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultSilent:
		<-r.Context().Done()
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		k.watch(w, r, kind, fault == FaultDeaf)
	case r.Method == http.MethodGet && name == "":
		k.list(w, r, kind)
	case r.Method == http.MethodGet:
		k.get(w, kind, name)
	default:
		k.change(w, r, kind, name, fault == FaultResponseLost)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (k *FakeStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	k.mu.Lock()
	names := make([]string, 0, len(k.objects[kind]))
	for name := range k.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]object, 0, len(names))
	for _, name := range names {
		items = append(items, k.objects[kind][name])
	}
	body := map[string]any{"items": items, "has-more": more, "as-of": k.revision}
	k.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (k *FakeStore) get(w http.ResponseWriter, kind, name string) {
	k.mu.Lock()
	o, ok := k.objects[kind][name]
	k.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (k *FakeStore) watch(w http.ResponseWriter, r *http.Request, kind string, deaf bool) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		events, position, gone, changed := k.since(kind, from)
		if gone && !deaf {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !deaf {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": position})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			_, position, gone, _ := k.since(kind, from)
			if gone {
				w.WriteHeader(http.StatusGone)
				return
			}
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": position})
			return
		}
	}
}

// since returns the changes of a kind after a revision.
func (k *FakeStore) since(kind string, from uint64) ([]map[string]any, uint64, bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	events := []map[string]any{}
	for _, c := range k.history {
		if c.kind == kind && c.object.Metadata.Revision > from {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events, k.revision, from < k.forgotten, k.changed
}

func (k *FakeStore) change(w http.ResponseWriter, r *http.Request, kind, name string, lost bool) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	k.mu.Lock()
	old, exists := k.objects[kind][name]
	status, body := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision > 0 && o.Metadata.Revision != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		k.remove(kind, name)
	default:
		body = k.write(kind, name, o.Spec)
	}
	k.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}
