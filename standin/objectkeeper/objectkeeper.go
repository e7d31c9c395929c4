// Package objectkeeper is an in-memory stand-in for the object store of seamedge. The tests
// of seamedge and its store client, and the command "seamctl soak", use it. (Package
// storekeeper is the stand-in for the object service of seamd, which has another protocol.)
//
// An object has a kind and a name. Every change increases the store's revision, and an
// object has the revision of its last change. A watch returns the changes to the objects of
// a kind after a given revision. Past changes can be dropped (compacted); a watch that needs
// dropped changes gets status 410, so that its client must list the objects again.
//
// Tests can make the store fail with SetFault, and let it go back to an older copy of its
// data with GoBack.
//
// # Usage
//
//	s := objectkeeper.New()
//	server := httptest.NewServer(s)
//	s.Put("config", "main", spec)
//	s.SetFault(objectkeeper.FaultUnavailable)
package objectkeeper

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a way in which the store fails.
type Fault int

// Faults of the store.
const (
	FaultNone Fault = iota
	// FaultUnavailable rejects every request with status 503.
	FaultUnavailable
	// FaultTooManyRequests rejects every request with status 429.
	FaultTooManyRequests
	// FaultSilent doesn't respond to any request.
	FaultSilent
	// FaultReset closes the connection of every request without a response.
	FaultReset
	// FaultResponseLost applies a write and closes its connection without a response. Other
	// requests work.
	FaultResponseLost
	// FaultWatchDelayed makes a watch respond only when its wait time is over, even if
	// there are changes before. This also delays status 410, the response to a watch from
	// a revision whose following changes were dropped. Other requests work.
	FaultWatchDelayed
)

// pageSize is the maximum number of objects on a page of a list.
const pageSize = 50

// HeaderEra is the name of the header that carries the store's era in all responses.
const HeaderEra = "Store-Era"

// maxWatchTime bounds how long a watch waits for changes.
const maxWatchTime = 30 * time.Second

// metadata identifies an object and its revision. Created is the revision at which the
// object was created.
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

// FakeStore is the stand-in for the object store. It is safe for concurrent use and
// implements http.Handler.
type FakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	// compactedRevision is the revision up to which changes were dropped.
	compactedRevision uint64
	fault             Fault
	// era grows each time the store goes back to an older copy of its data.
	era uint64
	// sequence is the number of the last report of an endpoint.
	sequence uint64
	// changeSignal is closed and replaced at each change. Waiting watches wait for that.
	changeSignal chan struct{}
	// calls is the number of requests so far.
	calls int
}

// New returns an empty store.
func New() *FakeStore {
	return &FakeStore{revision: 1, era: 1, objects: map[string]map[string]object{}, changeSignal: make(chan struct{})}
}

// SetFault sets how the store fails from now on. FaultNone ends the current fault.
func (s *FakeStore) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// CompactHistory drops all past changes. A watch from a revision before the current one then
// gets status 410.
func (s *FakeStore) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compactedRevision = s.revision
}

// Calls returns the number of requests so far.
func (s *FakeStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Copy is a copy of the objects of a store and its revision.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
}

// Copy returns a copy of the store's data for GoBack.
func (s *FakeStore) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, objects: map[string]map[string]object{}}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// GoBack replaces the store's data by a copy, as after a loss of the data, and returns the
// data that it had. The revisions go back to that of the copy, the history is gone and a new
// era begins. Waiting watches are cut off.
func (s *FakeStore) GoBack(c Copy) Copy {
	lost := s.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedRevision, s.changes = c.revision, c.revision, nil
	s.objects = map[string]map[string]object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.era++
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
	return lost
}

// WriteAgain makes the objects of a kind the same as in the lost data, as if their writers
// wrote them again. Objects that were written or deleted since the store went back stay.
func (s *FakeStore) WriteAgain(lost Copy, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := map[string]bool{}
	for _, c := range s.changes {
		touched[c.object.Metadata.Name] = touched[c.object.Metadata.Name] || c.kind == kind
	}
	for name := range s.objects[kind] {
		if _, ok := lost.objects[kind][name]; !ok && !touched[name] {
			s.remove(kind, name)
		}
	}
	for name, o := range lost.objects[kind] {
		if !touched[name] {
			s.write(kind, name, o.Spec)
		}
	}
}

// currentEra returns the store's era as the header carries it.
func (s *FakeStore) currentEra() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.era, 10)
}

// Put writes an object without a request, as if another client had written it.
func (s *FakeStore) Put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

// Remove deletes an object without a request, as if another client had deleted it.
func (s *FakeStore) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Get returns the spec of an object. It returns false if there is none.
func (s *FakeStore) Get(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o.Spec, ok
}

// Has reports whether an object exists.
func (s *FakeStore) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
}

// write creates or replaces an object and returns it. If the object already has this spec,
// write changes nothing. The caller holds the lock.
func (s *FakeStore) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.appendChange(change{kind: kind, object: o})
	return o
}

// remove deletes an object if it exists. The caller holds the lock.
func (s *FakeStore) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.appendChange(change{kind: kind, object: o, deleted: true})
}

// appendChange adds a change to the history and wakes the waiting watches. The caller holds
// the lock.
func (s *FakeStore) appendChange(c change) {
	s.changes = append(s.changes, c)
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *FakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	w.Header().Set(HeaderEra, s.currentEra())
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
		s.serveWatch(w, r, kind, fault == FaultWatchDelayed)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name, fault == FaultResponseLost)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

// serveList responds with a page of the objects of a kind, sorted by name. The page begins
// after the name in the parameter after.
func (s *FakeStore) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	body := map[string]any{"items": items, "has-more": more, "as-of": s.revision}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (s *FakeStore) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// serveWatch responds with the changes to objects of a kind after the revision in the
// parameter watch. If there are none yet, it waits for the next one, and responds without
// changes once the time in the parameter wait-ms is over. If changes after the revision were
// dropped, it responds with status 410. With delayEvents it responds only at the end of the
// wait time, with the changes until then or with status 410.
func (s *FakeStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string, delayEvents bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchTime))
	defer timer.Stop()
	era := w.Header().Get(HeaderEra)
	for {
		if s.currentEra() != era {
			panic(http.ErrAbortHandler)
		}
		events, position, compacted, changeSignal := s.changesAfter(kind, after)
		if compacted && !delayEvents {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !delayEvents {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": position})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changeSignal:
		case <-timer.C:
			_, position, compacted, _ := s.changesAfter(kind, after)
			if compacted {
				w.WriteHeader(http.StatusGone)
				return
			}
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": position})
			return
		}
	}
}

// changesAfter returns the changes to objects of a kind after a revision, the current
// revision, whether any changes after the given revision were dropped or the store doesn't
// have that revision, and a channel that
// is closed at the next change.
func (s *FakeStore) changesAfter(kind string, after uint64) ([]map[string]any, uint64, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []map[string]any{}
	for _, c := range s.changes {
		if c.kind == kind && c.object.Metadata.Revision > after {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events, s.revision, after < s.compactedRevision || after > s.revision, s.changeSignal
}

// serveWrite creates an object (POST), deletes it (DELETE) or replaces it (other methods).
// A creation fails with status 409 if an object of this name exists. A replacement fails
// with status 409 if the request has a revision that isn't the object's current one. With
// loseResponse it closes the connection instead of responding.
func (s *FakeStore) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, loseResponse bool) {
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
	if revision := r.URL.Query().Get("revision"); revision != "" {
		var err error
		if o.Metadata.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status, body := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision > 0 && o.Metadata.Revision != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		body = s.write(kind, name, o.Spec)
	}
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}
