package forwarder

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"primroseseam.org/seam/dialer"
)

const (
	// dialTimeout bounds a new connection to an endpoint.
	dialTimeout = time.Second
	// provenFor is how long a connection is used again after its last answer.
	// Something on the way may lose track of an idle one, so older ones are
	// closed and a request takes a new one.
	provenFor = 2 * time.Second
	// unackedTimeout is how long bytes may stay without an acknowledgement.
	unackedTimeout = 3 * time.Second
	// probeIdle and probeInterval find silent connections while an answer is
	// awaited.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	// maxIdleConns bounds the kept connections to one endpoint or instance.
	maxIdleConns = 128
	// defaultConnections bounds the connections to one endpoint until the
	// configuration says otherwise.
	defaultConnections = 16
)

// connections holds a transport for each endpoint, so that suspicion of one
// connection reaches all idle ones of the same endpoint.
type connections struct {
	mu         sync.Mutex
	limits     map[string]int
	transports map[string]*http.Transport
}

func newConnections() *connections {
	return &connections{limits: map[string]int{}, transports: map[string]*http.Transport{}}
}

// setLimits sets the greatest number of connections to each endpoint; those
// that are left out lose their idle connections.
func (c *connections) setLimits(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for endpoint, t := range c.transports {
		if limit, ok := limits[endpoint]; !ok || limit != t.MaxConnsPerHost {
			t.CloseIdleConnections()
			delete(c.transports, endpoint)
		}
	}
}

func (c *connections) transport(endpoint string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.transports[endpoint]; ok {
		return t
	}
	limit, ok := c.limits[endpoint]
	if !ok {
		limit = defaultConnections
	}
	t := newTransport()
	t.MaxConnsPerHost = limit
	c.transports[endpoint] = t
	return t
}

// suspect closes all idle connections to an endpoint.
func (c *connections) suspect(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.transports[endpoint]; ok {
		t.CloseIdleConnections()
	}
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

func newTransport() *http.Transport {
	connect := dialer.New(dialer.WithTimeout(dialTimeout), dialer.WithKeepAlive(probeIdle, probeInterval), dialer.WithUserTimeout(unackedTimeout))
	return &http.Transport{
		DialContext:            countingDial(connect.DialContext),
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        provenFor,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// countingConn counts the bytes written, so that a request of which none left
// is known not to have run.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
