package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/standin/disruptor"
	"primroseseam.org/standin/objectkeeper"
)

const (
	// serviceCount is the number of services, each with endpointsPerService endpoints.
	serviceCount        = 4
	endpointsPerService = 3
	// endpointSlots is the number of slots that an endpoint's entry in the store declares,
	// which is how many requests it is meant to run at the same time. The endpoint runs up
	// to twice as many and rejects further requests.
	endpointSlots = 8
	// A request runs for a random time between minWork and maxWork, plus the endpoint's
	// extraWork.
	minWork = 5 * time.Millisecond
	maxWork = 120 * time.Millisecond
	// requestedPause is the pause that an endpoint asks for with a refusal.
	requestedPause = 1500 * time.Millisecond
	// namedLimit is the rate limit that an endpoint names, in requests per second.
	namedLimit = 5.0
)

// connKey is the context key of the state of a connection.
type connKey struct{}

// connState is the state of a connection to an endpoint. refusal is the last refusal on it of
// a request for another lifetime of the endpoint, of which a copy is still to be written.
type connState struct {
	requests atomic.Int32
	refusal  atomic.Pointer[string]
}

func connStateOf(r *http.Request) *connState {
	if c, ok := r.Context().Value(connKey{}).(*connState); ok {
		return c
	}
	return &connState{}
}

// server is an HTTP server on a port of 127.0.0.1.
type server struct {
	address string
	http    *http.Server
}

func startServer(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	s := &server{address: listener.Addr().String(), http: &http.Server{
		Handler: handler, ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &connState{})
		},
	}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// endpoint is a stand-in of an upstream's endpoint. It records each request that it runs in
// the history.
type endpoint struct {
	soak    *Soak
	id      string
	service int
	zone    string
	proxy   *disruptor.Proxy

	mu sync.Mutex
	// lifetime counts the starts of the endpoint after the first. Its entry in the store has
	// another name in each. draining is set while its entry is marked as draining.
	lifetime int
	draining bool
	// runningRequests is the number of requests that run now.
	runningRequests int
	// extraWork is the time that each request runs in addition to its random time.
	extraWork time.Duration
	// dropsResponses makes the endpoint run each request and then close the connection
	// without a response.
	dropsResponses bool
	// repeatsRefusals makes the endpoint write a refusal before each response.
	repeatsRefusals bool
	// limit is the rate limit that the endpoint names in its responses, in requests per
	// second, or 0 if it names none.
	limit float64
	// pausing makes the endpoint refuse each request and ask for a pause.
	pausing bool
}

// startEndpoint starts the nth endpoint and its proxy, and writes its entry to the store.
func (s *Soak) startEndpoint(n int) error {
	e := &endpoint{soak: s, id: fmt.Sprintf("i-%d", n), service: n / endpointsPerService, zone: zoneOf(n)}
	server, err := startServer(e)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, server.close)
	if e.proxy, err = disruptor.NewProxy("127.0.0.1:0", server.address); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	s.cleanups = append(s.cleanups, e.proxy.Close)
	s.endpoints = append(s.endpoints, e)
	e.writeEntry(false)
	return nil
}

// writeEntry writes the endpoint's entry to the store, where instances read it. The entry
// marks the endpoint as draining or not.
func (e *endpoint) writeEntry(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
	e.putEntry()
}

// putEntry writes the entry of the current lifetime to the store. The lock must be held.
func (e *endpoint) putEntry() {
	e.soak.fakeStore.PutEndpoint(objectkeeper.Endpoint{
		ID: e.entryName(e.lifetime), Address: e.proxy.Address(), Service: serviceName(e.service), Zone: e.zone, Slots: endpointSlots, Draining: e.draining,
	})
}

// entryName returns the name of the entry of one of the endpoint's lifetimes, which is the ID
// that requests must name.
func (e *endpoint) entryName(lifetime int) string {
	if lifetime == 0 {
		return e.id
	}
	return e.id + "." + strconv.Itoa(lifetime)
}

// startAgain begins another lifetime at the same address. The entry of the one before stays.
func (e *endpoint) startAgain() {
	e.proxy.Reset()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lifetime++
	e.putEntry()
}

// removeOldEntry removes the entry of the lifetime before the current one.
func (e *endpoint) removeOldEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.soak.fakeStore.Remove(platform.KindEndpoints, e.entryName(e.lifetime-1))
}

// isMeant reports whether a request names the endpoint's current lifetime.
func (e *endpoint) isMeant(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.Header.Get(platform.HeaderExpectInstance) == e.entryName(e.lifetime)
}

func serviceName(n int) string { return "service-" + strconv.Itoa(n) }

func (e *endpoint) setExtraWork(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extraWork = d
}

func (e *endpoint) setDropResponses(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropsResponses = on
}

func (e *endpoint) setRepeatRefusals(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repeatsRefusals = on
}

func (e *endpoint) setPausing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausing = on
}

func (e *endpoint) setLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = perSecond
}

// refusesForPause records the arrival of a request. While the endpoint asks for pauses, it
// refuses the request, records the pause that it asks for, and returns true.
func (e *endpoint) refusesForPause(w http.ResponseWriter, id string) bool {
	e.mu.Lock()
	pausing := e.pausing
	e.mu.Unlock()
	now := time.Now()
	e.soak.history.recordArrival(arrival{id: id, endpoint: e, at: now, paused: pausing})
	if !pausing {
		return false
	}
	w.Header().Set(platform.HeaderNotRun, "1")
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(requestedPause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// notRunRefusal is a refusal without a request ID.
const notRunRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// misdirectedRefusal returns the refusal of a request that is meant for another endpoint.
func misdirectedRefusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderNotRun)
}

// writeRepeatedRefusal writes a copy of an earlier refusal and then the response with the
// given body to the connection of a request.
func writeRepeatedRefusal(w http.ResponseWriter, refusal, id, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	// A write error means that the instance has closed the connection.
	_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\nContent-Length: %d\r\n\r\n%s",
		refusal, platform.HeaderRequestID, id, platform.HeaderSignature, id, len(body), body)
}

// ServeHTTP implements http.Handler. It rejects a request that was meant for another
// endpoint or lifetime (421) or that exceeds the endpoint's capacity (503), and marks the
// response as that of a request that didn't run. It records and runs every other request, and
// first writes a late copy of the last 421 response on the connection, if there was one.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	conn := connStateOf(r)
	first := conn.requests.Add(1) == 1
	if !e.isMeant(r) {
		refusal := misdirectedRefusal(id)
		conn.refusal.Store(&refusal)
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrivedAt := time.Now()
	body, err := e.readBody(r, id)
	if err != nil {
		// The body is incomplete, so the request isn't run.
		return
	}
	if e.refusesForPause(w, id) {
		return
	}
	if !e.acquireSlot() {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.soak.history.recordExecution(execution{
		id: id, endpoint: e, at: arrivedAt, team: r.Header.Get(platform.HeaderTeam), key: r.Header.Get(platform.HeaderKey),
		content: r.Method + " " + r.RequestURI + " " + describeBody(body),
	})
	responseBody := id + " " + describeBody(body)
	e.mu.Lock()
	extraWork, dropsResponses, repeatsRefusals, limit := e.extraWork, e.dropsResponses, e.repeatsRefusals, e.limit
	e.mu.Unlock()
	if limit > 0 {
		w.Header().Set(platform.HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	time.Sleep(minWork + rand.N(maxWork-minWork) + extraWork)
	if dropsResponses {
		panic(http.ErrAbortHandler)
	}
	if refusal := conn.refusal.Swap(nil); refusal != nil {
		writeRepeatedRefusal(w, *refusal, id, responseBody)
		return
	}
	if repeatsRefusals && !first {
		writeRepeatedRefusal(w, notRunRefusal, id, responseBody)
		return
	}
	w.Header().Set(platform.HeaderSignature, "s-"+id)
	_, _ = io.WriteString(w, responseBody)
}

// acquireSlot adds a request to the running requests and returns true. It returns false if
// twice as many requests as endpointSlots are already running.
func (e *endpoint) acquireSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runningRequests >= 2*endpointSlots {
		return false
	}
	e.runningRequests++
	return true
}

func (e *endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningRequests--
}
