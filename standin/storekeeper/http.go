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
	// maxValueBytes is the greatest size of a value.
	maxValueBytes = 1 << 20
	// maxWatchWait bounds how long a watch waits.
	maxWatchWait = time.Minute
)

// ServeHTTP implements http.Handler.
func (k *FakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !k.passFaults(w, r) {
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case len(parts) == 4 && parts[1] == "objects" && r.Method == http.MethodGet:
		k.serveGet(w, storer.Kind(parts[2]), parts[3])
	case len(parts) == 4 && parts[1] == "objects" && r.Method == http.MethodPut:
		k.servePut(w, r, storer.Kind(parts[2]), parts[3])
	case len(parts) == 3 && parts[1] == "objects":
		k.serveList(w, storer.Kind(parts[2]))
	case len(parts) == 3 && parts[1] == "watch":
		k.serveWatch(w, r, storer.Kind(parts[2]))
	case len(parts) == 2 && parts[1] == "instances" && r.Method == http.MethodGet:
		k.serveInstances(w)
	case len(parts) == 2 && parts[1] == "instances" && r.Method == http.MethodPut:
		k.servePutInstance(w, r)
	default:
		http.NotFound(w, r)
	}
}

// passFaults applies the faults that are on; it reports false if the call ends
// here.
func (k *FakeStore) passFaults(w http.ResponseWriter, r *http.Request) bool {
	k.mu.Lock()
	delay := k.faults.delay
	k.mu.Unlock()
	if delay > 0 {
		select {
		case <-k.clock.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	k.mu.Lock()
	down := k.faults.down
	k.mu.Unlock()
	if down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	}
	return !down
}

func (k *FakeStore) serveGet(w http.ResponseWriter, kind storer.Kind, name string) {
	k.mu.Lock()
	k.calls.Reads++
	o, ok := k.objects[kind][name]
	k.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (k *FakeStore) serveList(w http.ResponseWriter, kind storer.Kind) {
	k.mu.Lock()
	k.calls.Reads++
	events := storer.Events{Position: k.revision}
	for _, o := range k.objects[kind] {
		events.Objects = append(events.Objects, o)
	}
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (k *FakeStore) servePut(w http.ResponseWriter, r *http.Request, kind storer.Kind, name string) {
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
	k.mu.Lock()
	k.calls.Writes++
	o, ok := k.put(kind, name, ifVersion, value)
	lose := ok && k.faults.loseAnswers > 0
	if lose {
		k.faults.loseAnswers--
	}
	k.mu.Unlock()
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case ok:
		writeJSON(w, http.StatusOK, o)
	default:
		writeJSON(w, http.StatusConflict, o)
	}
}

func (k *FakeStore) serveWatch(w http.ResponseWriter, r *http.Request, kind storer.Kind) {
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
	timeout := k.clock.After(min(wait, maxWatchWait))
	k.mu.Lock()
	k.calls.Watches++
	k.mu.Unlock()
	for {
		k.mu.Lock()
		events, ok := k.changesAfter(kind, after)
		changed := k.changed
		down := k.faults.down
		k.mu.Unlock()
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
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, events)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (k *FakeStore) serveInstances(w http.ResponseWriter) {
	k.mu.Lock()
	k.calls.Reads++
	list := k.visibleInstances()
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// servePutInstance takes the part of whatever starts instances on the platform.
func (k *FakeStore) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var i storer.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&i); err != nil {
		http.Error(w, "not an instance", http.StatusBadRequest)
		return
	}
	k.SetInstance(i)
	writeJSON(w, http.StatusOK, i)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
