package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in of an endpoint as PROTOCOL.md describes it: it runs as many requests at a
// time as it has slots, queues a few more, rejects the rest with X-Not-Executed, and drops a
// request whose connection closes.
type endpoint struct {
	id, service, zone, address string
	slots                      int
	record                     *record
	// work is how long a run takes, and answerBytes the size of an answer.
	work        atomic.Int64
	answerBytes int
	server      *http.Server
	tokens      chan struct{}
	waiting     atomic.Int64
	running     atomic.Int64
	ranTotal    atomic.Int64
	mu          sync.Mutex
	sequence    int
}

func startEndpoint(r *record, id, service, zone string, slots int, work time.Duration, answerBytes int) (*endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, zone: zone, slots: slots, record: r, answerBytes: answerBytes, address: l.Addr().String(), tokens: make(chan struct{}, slots)}
	e.work.Store(int64(work))
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// entry returns the endpoint's entry in the store.
func (e *endpoint) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"address": e.address, "born": 1700000000000,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": "ready", "sequence": e.sequence, "cold-remaining-s": 0},
	}
}

// ranCount returns how many requests the endpoint has begun to run.
func (e *endpoint) ranCount() int64 { return e.ranTotal.Load() }

// setWork sets how long a run takes that begins from now on.
func (e *endpoint) setWork(d time.Duration) { e.work.Store(int64(d)) }

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.running.Load(), e.waiting.Load(), e.slots))
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if e.waiting.Add(1) > int64(3*e.slots) {
		e.waiting.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.tokens <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	e.running.Add(1)
	defer func() { e.running.Add(-1); <-e.tokens }()
	e.record.write("endpoint %s runs request %s: %s %s, body of %d bytes, X-Deadline-Ms %s", e.id, id, r.Method, r.URL.Path, n, r.Header.Get("X-Deadline-Ms"))
	e.record.ran(id)
	e.ranTotal.Add(1)
	select {
	case <-time.After(time.Duration(e.work.Load())):
	case <-r.Context().Done():
		e.record.write("endpoint %s drops request %s: its connection was closed", e.id, id)
		return
	}
	w.Header().Set("X-Response-Signature", "s-"+id)
	w.WriteHeader(http.StatusOK)
	_, err = io.WriteString(w, answerOf(id, e.answerBytes))
	e.record.write("endpoint %s answers request %s: 200 (error %v)", e.id, id, err)
}

// answerOf returns the body of the answer to a request.
func answerOf(id string, size int) string {
	return id + strings.Repeat("a", max(size-len(id), 0))
}

// beat keeps the entries of endpoints in the store up to date.
func beat(ctx context.Context, s *store, endpoints ...*endpoint) {
	for {
		for _, e := range endpoints {
			s.put("servers", e.id, e.entry())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
