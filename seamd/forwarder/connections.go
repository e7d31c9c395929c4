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
	// dialTimeout is the timeout for opening a connection to an endpoint.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection may be reused. A connection that has
	// been idle for longer is closed, and the next request opens a new one. The
	// reason is that NAT gateways and firewalls may drop idle connections without
	// closing them.
	idleTimeout = 2 * time.Second
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	unackedTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval set the TCP keep-alive probes, which detect
	// a dead connection while a request waits for its response.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	// maxIdleConns is the maximum number of idle connections to one endpoint or peer.
	maxIdleConns = 128
	// defaultMaxConns is the maximum number of connections to an endpoint that is
	// missing from the limits given to SetConnectionLimits.
	defaultMaxConns = 16
)

// endpointTransports holds one HTTP transport per endpoint. When a request fails on one
// connection, the idle connections to that endpoint can then be closed without those to
// other endpoints.
type endpointTransports struct {
	mu         sync.Mutex
	limits     map[string]int
	transports map[string]*http.Transport
}

func newEndpointTransports() *endpointTransports {
	return &endpointTransports{limits: map[string]int{}, transports: map[string]*http.Transport{}}
}

// setLimits sets the maximum number of connections to each endpoint. An endpoint that is
// missing from limits, or whose limit changed, gets a new transport. The idle connections
// of its old transport are closed; requests in progress keep their connections until they
// end.
func (c *endpointTransports) setLimits(limits map[string]int) {
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

func (c *endpointTransports) transport(endpoint string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.transports[endpoint]; ok {
		return t
	}
	limit, ok := c.limits[endpoint]
	if !ok {
		limit = defaultMaxConns
	}
	t := newTransport()
	t.MaxConnsPerHost = limit
	c.transports[endpoint] = t
	return t
}

// closeIdle closes all idle connections to an endpoint. It is called after a request
// failed or got a response to another request: the other connections to the endpoint may
// then be broken too.
func (c *endpointTransports) closeIdle(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.transports[endpoint]; ok {
		t.CloseIdleConnections()
	}
}

// close closes the idle connections to all endpoints.
func (c *endpointTransports) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

func newTransport() *http.Transport {
	connect := dialer.New(dialer.WithTimeout(dialTimeout), dialer.WithKeepAlive(keepAliveIdle, keepAliveInterval), dialer.WithUserTimeout(unackedTimeout))
	return &http.Transport{
		DialContext:            countingDial(connect.DialContext),
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// countingConn is a connection that counts the bytes passed to Write. If no byte of a
// request was written, the request certainly did not run.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// resetFor is the attempt for which a close resets the connection, or nil.
	mu       sync.Mutex
	resetFor *sendTracker
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// resetOnClose makes a close reset the connection from now on.
func (c *countingConn) resetOnClose(s *sendTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		c.resetFor = s
		dialer.SetResetOnClose(tcp, true)
	}
}

// deliverOnClose makes a close deliver what was written, unless another attempt uses the connection by now.
func (c *countingConn) deliverOnClose(s *sendTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.resetFor == s {
		c.resetFor = nil
		dialer.SetResetOnClose(tcp, false)
	}
}
