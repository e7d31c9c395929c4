package storekeeper

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/seam/storer"
)

const (
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1 << 20
	// maxWatchTime is the maximum time that a watch waits for changes.
	maxWatchTime = time.Minute
)

// ServeHTTP implements http.Handler. It serves these requests, and 404 for other paths:
//   - GET and PUT /v1/objects/KIND/NAME read and write an object;
//   - /v1/objects/KIND lists the objects of a kind;
//   - /v1/watch/KIND waits for changes of the objects of a kind;
//   - GET and PUT /v1/instances read and change the list of instances.
//
// The first part of the path may be anything instead of "v1".
func (s *FakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case len(parts) == 4 && parts[1] == "objects" && r.Method == http.MethodGet:
		s.serveGet(w, storer.Kind(parts[2]), parts[3])
	case len(parts) == 4 && parts[1] == "objects" && r.Method == http.MethodPut:
		s.servePut(w, r, storer.Kind(parts[2]), parts[3])
	case len(parts) == 3 && parts[1] == "objects":
		s.serveList(w, storer.Kind(parts[2]))
	case len(parts) == 3 && parts[1] == "watch":
		s.serveWatch(w, r, storer.Kind(parts[2]))
	case len(parts) == 2 && parts[1] == "instances" && r.Method == http.MethodGet:
		s.serveInstances(w)
	case len(parts) == 2 && parts[1] == "instances" && r.Method == http.MethodPut:
		s.servePutInstance(w, r)
	default:
		http.NotFound(w, r)
	}
}

// applyFaults waits for the delay of the store's faults. Then it responds with status 503 if
// the store is down. It returns false if the request must not be served, because the store
// is down or the client has cancelled the request.
func (s *FakeStore) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-s.clock.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	s.mu.Lock()
	down := s.faults.down
	s.mu.Unlock()
	if down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	}
	return !down
}

func (s *FakeStore) serveGet(w http.ResponseWriter, kind storer.Kind, name string) {
	s.mu.Lock()
	s.calls.Reads++
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *FakeStore) serveList(w http.ResponseWriter, kind storer.Kind) {
	s.mu.Lock()
	s.calls.Reads++
	events := storer.Events{Position: s.revision}
	for _, o := range s.objects[kind] {
		events.Objects = append(events.Objects, o)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// servePut serves a write of an object. The write takes effect only if the object's version
// is the one in the parameter ifVersion. Otherwise the response has status 409 and the
// current object.
func (s *FakeStore) servePut(w http.ResponseWriter, r *http.Request, kind storer.Kind, name string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(value) {
		http.Error(w, "value is too large or not JSON", http.StatusBadRequest)
		return
	}
	ifVersion, err := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		http.Error(w, "ifVersion is not a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls.Writes++
	o, ok := s.put(kind, name, ifVersion, value)
	loseAnswer := ok && s.faults.loseAnswers > 0
	if loseAnswer {
		s.faults.loseAnswers--
	}
	s.mu.Unlock()
	switch {
	case loseAnswer:
		panic(http.ErrAbortHandler)
	case ok:
		writeJSON(w, http.StatusOK, o)
	default:
		writeJSON(w, http.StatusConflict, o)
	}
}

// serveWatch responds with the changes to objects of a kind after the revision in the
// parameter after. If there are none yet, it waits for the next one, and responds without
// changes once the time in the parameter wait is over. If the history no longer holds every
// change after the revision, it responds with status 410.
func (s *FakeStore) serveWatch(w http.ResponseWriter, r *http.Request, kind storer.Kind) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)
		return
	}
	timeout := s.clock.After(min(wait, maxWatchTime))
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, ok := s.changesAfter(kind, after)
		changeSignal := s.changeSignal
		down := s.faults.down
		s.mu.Unlock()
		switch {
		case down:
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		case !ok:
			http.Error(w, "position is compacted", http.StatusGone)
			return
		case len(events.Objects) > 0:
			writeJSON(w, http.StatusOK, events)
			return
		}
		select {
		case <-changeSignal:
		case <-timeout:
			writeJSON(w, http.StatusOK, events)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *FakeStore) serveInstances(w http.ResponseWriter) {
	s.mu.Lock()
	s.calls.Reads++
	list := s.visibleInstances()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// servePutInstance adds an instance to the list or replaces its entry. In production, the
// system that starts the instances adds them.
func (s *FakeStore) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var i storer.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&i); err != nil {
		http.Error(w, "not an instance", http.StatusBadRequest)
		return
	}
	s.SetInstance(i)
	writeJSON(w, http.StatusOK, i)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
