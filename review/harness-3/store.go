package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it: objects by
// kind and name, one revision counter, lists in pages, watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	changes  []storeChange
	changed  chan struct{}
}

type storeMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeChange struct {
	kind    string
	object  storedObject
	deleted bool
}

// storePage is the number of objects on a page of a list.
const storePage = 500

func startStore() (*store, string, error) {
	s := &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return s, l.Addr().String(), nil
}

// put writes an object, as the operator or an endpoint does.
func (s *store) put(kind, name string, spec any) {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := storedObject{Metadata: storeMetadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.note(storeChange{kind: kind, object: o})
	return o
}

func (s *store) erase(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.note(storeChange{kind: kind, object: o, deleted: true})
	return true
}

func (s *store) note(c storeChange) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		ok := s.erase(kind, name)
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		var o storedObject
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		create := r.Method == http.MethodPost
		if create {
			name = o.Metadata.Name
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		_, exists := s.objects[kind][name]
		switch {
		case create && exists:
			reply(w, http.StatusConflict, s.objects[kind][name])
		case !create && !exists:
			w.WriteHeader(http.StatusNotFound)
		default:
			reply(w, http.StatusOK, s.write(kind, name, o.Spec))
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := []string{}
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > storePage
	items := []storedObject{}
	for _, name := range names[:min(len(names), storePage)] {
		items = append(items, s.objects[kind][name])
	}
	body := map[string]any{"items": items, "has-more": more, "as-of": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.object.Metadata.Revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		body := map[string]any{"events": events, "as-of": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			over = true
		}
	}
}
