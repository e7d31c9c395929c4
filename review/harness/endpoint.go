package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is a stand-in for an endpoint: one lifetime of a server of a service. It echoes
// X-Request-Id, signs its answers, answers 421 without running a request that expects
// another instance, and otherwise runs each request once.
type endpoint struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	address string
	born    int64
	warmup  time.Duration

	listener net.Listener
	slot     chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int
	ended    bool
	left     bool
	state    string

	// mostExtras is the number of its answers of which the endpoint also sends a second
	// copy, late: where the next answer on the connection is due. extraOf chooses them.
	mostExtras int
	extraOf    func(status int) bool
	answers    int
	extras     int
	// early counts the answers in the first 5 s.
	early int
}

// start listens at the address, or at a free port if it is empty, and registers.
func (e *endpoint) start() error {
	if e.address == "" {
		e.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.listener, e.address = l, l.Addr().String()
	e.slot = make(chan struct{}, e.slots)
	e.conns = map[net.Conn]bool{}
	e.born = time.Now().UnixMilli()
	e.state = "ready"
	e.report()
	go e.beat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	e.w.log("endpoint %s starts: service %s, address %s", e.id, e.service, e.address)
	return nil
}

// report writes the endpoint's entry to the store.
func (e *endpoint) report() {
	e.mu.Lock()
	e.sequence++
	cold := max(e.warmup-time.Since(time.UnixMilli(e.born)), 0).Seconds()
	entry := map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": e.state, "sequence": e.sequence, "cold-remaining-s": cold},
	}
	if !e.ended && !e.left {
		e.w.store.write("servers", e.id, entry)
	}
	e.mu.Unlock()
}

// beat reports at each heartbeat while something but the sequence changes.
func (e *endpoint) beat() {
	for last := ""; ; time.Sleep(heartbeat) {
		e.mu.Lock()
		now := fmt.Sprint(e.state, time.Since(time.UnixMilli(e.born)) < e.warmup+heartbeat)
		ended := e.ended || e.left
		e.mu.Unlock()
		if ended {
			return
		}
		if now != last {
			e.report()
			last = now
		}
	}
}

// crash ends the endpoint without a word. Its entry expires after three heartbeats.
func (e *endpoint) crash() {
	e.mu.Lock()
	e.ended = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.w.log("endpoint %s ends", e.id)
	time.AfterFunc(3*heartbeat, func() {
		e.w.store.remove("servers", e.id)
		e.w.log("the entry of endpoint %s expires", e.id)
	})
}

// leave removes the endpoint's entry without a report that it drains. It serves on.
func (e *endpoint) leave() {
	e.mu.Lock()
	e.left = true
	e.w.store.remove("servers", e.id)
	e.mu.Unlock()
	e.w.log("the entry of endpoint %s is removed; it serves on", e.id)
}

func (e *endpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, answer := e.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		e.mu.Lock()
		e.answers++
		if time.Since(time.UnixMilli(e.born)) < 5*time.Second {
			e.early++
		}
		if e.extraOf != nil && e.extraOf(status) && e.extras < e.mostExtras {
			e.extras++
			late = answer
			e.w.log("endpoint %s will send a second copy of its answer %d to %s late (copy %d, answers so far %d)",
				e.id, status, r.Header.Get("X-Request-Id"), e.extras, e.answers)
		}
		e.mu.Unlock()
	}
}

// answer handles a request and returns the answer.
func (e *endpoint) answer(r *http.Request, body []byte) (int, []byte) {
	id := r.Header.Get("X-Request-Id")
	header := http.Header{"X-Request-Id": {id}, "X-Instance-Id": {e.id}}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		header.Set("X-Not-Executed", "1")
		return http.StatusMisdirectedRequest, response(http.StatusMisdirectedRequest, header, nil)
	}
	if r.URL.Path == "/health" {
		return http.StatusOK, response(http.StatusOK, header, nil)
	}
	e.slot <- struct{}{}
	e.w.ran(id, e, r, body)
	time.Sleep(e.work)
	<-e.slot
	answer := []byte("answer to " + id + "\n")
	header.Set("X-Response-Signature", signature(id, answer))
	return http.StatusOK, response(http.StatusOK, header, answer)
}

func response(status int, header http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", fmt.Sprint(len(body)))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
