package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave"] = playLeave }

const (
	leaveHost     = "files.example"
	leaveClients  = 40
	leaveBytes    = 200_000
	leaveDeadline = 5 * time.Second
	// 12 of 40 clients (0.3) leave 400 ms after they began to send.
	leaveCount = 12
	leaveAfter = 400 * time.Millisecond
	// The endpoints read at most leavePiece bytes every leavePause, and have a small window.
	leavePiece  = 16 << 10
	leavePause  = 120 * time.Millisecond
	leaveWindow = 8 << 10
	leaveWork   = 200 * time.Millisecond
	// leaveLate is how long after a client has left its request must not reach an endpoint.
	leaveLate = 500 * time.Millisecond
	leaveFew  = 3
)

// slowReader is an endpoint that reads the bodies of requests slowly.
type slowReader struct {
	id, address string
	record      *record
	mu          sync.Mutex
	// read holds how many bytes of each request's body were read, and whole when the last one was.
	read  map[string]int64
	whole map[string]time.Time
}

func startSlowReader(r *record, id string) (*slowReader, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		_ = c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, leaveWindow)
		})
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &slowReader{id: id, address: l.Addr().String(), record: r, read: map[string]int64{}, whole: map[string]time.Time{}}
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

func (e *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.write("endpoint %s begins to read request %s", e.id, id)
	read := int64(0)
	for {
		n, err := io.CopyN(io.Discard, r.Body, leavePiece)
		read += n
		e.mu.Lock()
		e.read[id] = read
		e.mu.Unlock()
		if err == io.EOF {
			break
		}
		if err != nil {
			e.record.write("endpoint %s: request %s breaks off after %d bytes of its body: %v", e.id, id, read, err)
			return
		}
		time.Sleep(leavePause)
	}
	e.mu.Lock()
	e.whole[id] = time.Now()
	e.mu.Unlock()
	e.record.write("endpoint %s has the whole request %s, with %d bytes of body, and runs it", e.id, id, read)
	e.record.ran(id)
	select {
	case <-time.After(leaveWork):
	case <-r.Context().Done():
		e.record.write("endpoint %s drops request %s: its connection was closed", e.id, id)
		return
	}
	w.Header().Set("X-Response-Signature", "s-"+id)
	_, _ = io.WriteString(w, answerOf(id, 400))
}

func (e *slowReader) entry() map[string]any {
	return map[string]any{
		"address": e.address, "born": 1700000000000,
		"info":   map[string]any{"service": "depot", "version": "v1", "zone": "zone-a", "slots": 30},
		"status": map[string]any{"state": "ready", "sequence": time.Now().UnixMilli(), "cold-remaining-s": 0},
	}
}

// readOf returns how many bytes of a request's body the endpoint has read, and whether it has begun to.
func (e *slowReader) readOf(id string) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.read[id]
	return n, ok
}

// playLeave lets some clients leave while endpoints that read slowly take their uploads.
func playLeave(ctx context.Context, w *world) (verdict, error) {
	var endpoints []*slowReader
	for n := range 3 {
		e, err := startSlowReader(w.record, fmt.Sprintf("i-%d", n))
		if err != nil {
			return verdict{}, err
		}
		endpoints = append(endpoints, e)
	}
	go func() {
		for ctx.Err() == nil {
			for _, e := range endpoints {
				w.store.put("servers", e.id, e.entry())
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	w.store.put("config", "main", map[string]any{
		"version": "r1",
		"routes": map[string]any{"r-files": map[string]any{
			"host": leaveHost, "path-prefix": "/files/", "route-type": "upload", "timeout-s": 5, "target-latency-s": 3,
			"priority": 1, "service": "depot", "max-attempts": 2, "allow-anonymous": false, "sticky": true, "home-regions": []string{},
		}},
		"services": map[string]any{"depot": map[string]any{"health-path": "/health", "max-connections": 390, "warmup-s": 3.0, "cold-per-s": 18.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	})
	i, err := w.addInstance("front-zone-a-1", "zone-a", map[string]string{"zone-a": "region-a"})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	left := make([]time.Time, leaveClients)
	for n := range leaveClients {
		wg.Go(func() {
			c := &client{address: i.listen["callers"]}
			id := fmt.Sprintf("l-%d", n)
			if w.trouble && n < leaveCount {
				time.AfterFunc(leaveAfter, func() {
					w.record.write("client %d leaves: it closes its connection", n)
					left[n] = time.Now()
					c.close()
				})
				// What has not been read by then can't all be in the endpoint's window.
				time.AfterFunc(leaveAfter+leaveLate, func() {
					for _, e := range endpoints {
						if read, ok := e.readOf(id); ok {
							w.record.write("endpoint %s has read %d of the %d bytes of request %s, %v after its client has left; its window holds %d", e.id, read, leaveBytes, id, leaveLate, leaveWindow)
						}
					}
				})
			}
			r := c.do(call{id: id, method: "POST", host: leaveHost, path: "/files/" + id, affinity: fmt.Sprint(n), body: make([]byte, leaveBytes), deadline: leaveDeadline})
			w.record.write("client %d: request %s ended after %.3f s: status %d, error %v", n, id, r.took.Seconds(), r.status, r.err)
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	late := 0
	for n, at := range left {
		if at.IsZero() {
			continue
		}
		for _, e := range endpoints {
			e.mu.Lock()
			whole, ok := e.whole[fmt.Sprintf("l-%d", n)]
			e.mu.Unlock()
			if ok && whole.Sub(at) > leaveLate {
				late++
				w.record.write("request l-%d reached endpoint %s %.3f s after its client had left", n, e.id, whole.Sub(at).Seconds())
			}
		}
	}
	return verdict{broken: late > leaveFew, text: fmt.Sprintf("GONE: %d requests of %d clients that left reached an endpoint over half a second later; a few are allowed", late, leaveCount)}, nil
}
