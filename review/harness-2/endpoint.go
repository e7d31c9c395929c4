package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is a stand-in for an endpoint of a service.
type endpoint struct {
	id, service, zone string
	address           string
	record            *record
	server            *http.Server
	bornMs            int64
	slots             int
	// work does a request's work and returns its answer. It is called once the endpoint has
	// begun to work on the request, with the request's body unread.
	work func(e *endpoint, r *http.Request) (status int, body []byte)

	mu       sync.Mutex
	sequence int
	runs     []*run
}

// run is a request at which the endpoint has begun to work.
type run struct {
	id, method, target, tenant, key string
	beganAt                         time.Time
	// endedAt is zero while the endpoint works on it. finished means that it came to its end,
	// and that the connection was still open then.
	endedAt  time.Time
	finished bool
	status   int
	bytes    int
	note     string
}

func startEndpoint(r *record, id, service, zone, ip string, work func(*endpoint, *http.Request) (int, []byte)) (*endpoint, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, zone: zone, record: r, address: listener.Addr().String(), bornMs: time.Now().UnixMilli(), slots: 8, work: work}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// entry returns what the endpoint writes of itself to the store.
func (e *endpoint) entry(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"address": e.address, "born": e.bornMs,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": state, "sequence": e.sequence, "cold-remaining-s": 0},
	}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		e.record.printf("endpoint %s refuses %s, which is for %s: 421", e.id, id, want)
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	this := &run{id: id, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("X-Tenant"), key: r.Header.Get("X-Key"), beganAt: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, this)
	e.mu.Unlock()
	e.record.printf("endpoint %s begins to work on %s (%s %s, deadline %s ms)", e.id, id, r.Method, r.RequestURI, r.Header.Get("X-Deadline-Ms"))
	status, body := e.work(e, r)
	dropped := r.Context().Err() != nil || status == 0
	e.mu.Lock()
	this.endedAt, this.finished, this.status = time.Now(), !dropped, status
	e.mu.Unlock()
	if dropped {
		e.record.printf("endpoint %s drops %s: its connection was closed", e.id, id)
		panic(http.ErrAbortHandler)
	}
	e.record.printf("endpoint %s ends its work on %s: %d", e.id, id, status)
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s", e.id, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// runsOf returns copies of all runs of a request.
func runsOf(endpoints []*endpoint, id string) []run {
	var list []run
	for _, e := range endpoints {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.id == id {
				list = append(list, *r)
			}
		}
		e.mu.Unlock()
	}
	return list
}

// working waits for the time that work takes, or until the connection is closed. It reports
// whether the work came to its end.
func working(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
