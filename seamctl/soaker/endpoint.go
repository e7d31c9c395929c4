package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/standin/disruptor"
	"primroseseam.org/standin/objectkeeper"
)

const (
	// services is the number of services, each with endpointsEach endpoints.
	services      = 4
	endpointsEach = 3
	// slots is the number of requests that an endpoint runs at once.
	slots = 8
	// runLeast and runMost bound how long a run takes.
	runLeast = 5 * time.Millisecond
	runMost  = 120 * time.Millisecond
)

// server is an HTTP server on a loopback port.
type server struct {
	address string
	http    *http.Server
}

func serve(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	s := &server{address: listener.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// endpoint is an upstream that tells the ledger what it runs.
type endpoint struct {
	soak    *Soak
	id      string
	service int
	zone    string
	proxy   *disruptor.Proxy

	mu      sync.Mutex
	running int
	slow    time.Duration
	// loses means that answers are lost after the run.
	loses bool
}

func (s *Soak) startEndpoint(n int) error {
	e := &endpoint{soak: s, id: fmt.Sprintf("i-%d", n), service: n / endpointsEach, zone: zoneOf(n)}
	server, err := serve(e)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, server.close)
	if e.proxy, err = disruptor.NewProxy("127.0.0.1:0", server.address); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	s.cleanups = append(s.cleanups, e.proxy.Close)
	s.endpoints = append(s.endpoints, e)
	e.announce(false)
	return nil
}

// announce writes the endpoint's entry.
func (e *endpoint) announce(draining bool) {
	e.soak.keeper.PutEndpoint(objectkeeper.Endpoint{
		ID: e.id, Address: e.proxy.Address(), Service: serviceName(e.service), Zone: e.zone, Slots: slots, Draining: draining,
	})
}

func serviceName(n int) string { return "service-" + strconv.Itoa(n) }

// setSlow makes runs longer.
func (e *endpoint) setSlow(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = d
}

// setLoses lets answers get lost.
func (e *endpoint) setLoses(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loses = on
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != e.id {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The request never came whole, so it isn't run.
		return
	}
	if !e.enter() {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.soak.ledger.ran(run{
		id: id, endpoint: e, at: time.Now(), team: r.Header.Get(platform.HeaderTeam), key: r.Header.Get(platform.HeaderKey),
		request: r.Method + " " + r.RequestURI + " " + string(body),
	})
	e.mu.Lock()
	slow, loses := e.slow, e.loses
	e.mu.Unlock()
	time.Sleep(runLeast + rand.N(runMost-runLeast) + slow)
	if loses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSignature, "s-"+id)
	_, _ = fmt.Fprintf(w, "%s %s", id, body)
}

// enter takes a slot, or reports that there is none.
func (e *endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= 2*slots {
		return false
	}
	e.running++
	return true
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
