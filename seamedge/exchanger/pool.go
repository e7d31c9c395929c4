package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"primroseseam.org/seam/dialer"
)

const (
	// dialTimeout limits the time to open a connection. It is longer than the round trip
	// between distant regions, and short enough to leave time for another endpoint.
	dialTimeout = 450 * time.Millisecond
	// defaultMaxIdle is how long a connection may be idle and still be reused, if the
	// endpoint announces no idle timeout.
	defaultMaxIdle = 4 * time.Second
	// If an endpoint announces an idle timeout, a connection may be reused after being
	// idle for the timeout less idleMargin, since a request takes time to arrive. For
	// short timeouts, up to idleMargin/(1-idleFraction), the limit is instead
	// idleFraction of the timeout.
	idleMargin   = time.Second
	idleFraction = 0.5
	// nonIdempotentMaxIdle is how long a connection may be idle and still be used for a
	// non-idempotent request. Endpoints may drop idle connections without closing them,
	// and a non-idempotent request that was sent on such a connection must not be sent
	// again.
	nonIdempotentMaxIdle = 3 * time.Second
	// maxRequestsPerConn limits the requests that a connection carries, and with them the
	// memory for their IDs.
	maxRequestsPerConn = 512
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	id     uint64
	reader *bufio.Reader
	// input is what reader reads from: the connection, limited to maxHeadBytes while the
	// head of a response is read.
	input *io.LimitedReader
	// maxIdle is how long the connection may be idle and still be reused. lastUsed is
	// when the last response on it was read, or when it was opened.
	// lastRequest is when the last request other than a probe was sent.
	maxIdle     time.Duration
	lastUsed    time.Time
	lastRequest time.Time
	// requests holds the hashes of the IDs of all requests that were sent on the connection.
	requests []uint64
	// dialTime is how long it took to open the connection.
	dialTime time.Duration
	// openConns is the Exchanger's count of open connections. The first call of Close
	// decrements it.
	openConns *atomic.Int64
	closed    atomic.Bool
	// resetsOnClose means that a close resets the connection.
	resetsOnClose bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// idleAndOpen reports whether the connection is open and no bytes have arrived on it since
// the last response. It peeks at the socket without blocking.
func (c *conn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idleAndOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idleAndOpen = err == syscall.EAGAIN
		return true
	})
	return err == nil && idleAndOpen
}

// reused reports whether an earlier request was sent on the connection.
func (c *conn) reused() bool { return len(c.requests) > 1 }

// pool keeps the idle connections, in a list for each address. The most recently used
// connection is at the end of its list and is reused first.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// poolRequest describes the request for which a connection is taken from the pool. id is the
// hash of its ID.
type poolRequest struct {
	id            uint64
	nonIdempotent bool
}

// take removes an idle connection to an address from the pool and returns it. It returns
// nil if no connection may be used for the request. Connections that take finds unusable
// are closed: those that have been idle too long, that the endpoint has closed, or on which
// unexpected bytes have arrived.
func (p *pool) take(address string, r poolRequest, now time.Time) *conn {
	for {
		c := p.pop(address, r, now)
		if c == nil {
			return nil
		}
		if now.Sub(c.lastUsed) <= c.maxIdle && c.idleAndOpen() {
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used idle connection to an address that has not
// carried a request with the same ID: responses are matched by that ID alone, so a late
// copy of the response to an earlier attempt would be taken for the response to this one.
// pop returns nil if there is no such connection or, for a non-idempotent request, if it has
// been idle for longer than nonIdempotentMaxIdle.
func (p *pool) pop(address string, r poolRequest, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for n := len(list) - 1; n >= 0; n-- {
		c := list[n]
		if slices.Contains(c.requests, r.id) {
			continue
		}
		if age := now.Sub(c.lastUsed); r.nonIdempotent && age > nonIdempotentMaxIdle && age <= c.maxIdle {
			// The connection can still be used for idempotent requests. All others to this
			// address have been idle for longer.
			return nil
		}
		p.idle[address] = slices.Delete(list, n, n+1)
		return c
	}
	return nil
}

// put adds a connection to the pool as the most recently used one to its address. If there
// are maxIdlePerEndpoint already, it closes the least recently used of them.
func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdlePerEndpoint {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// hasIdle reports whether there is an idle connection to an address that hasn't been idle
// for too long to be reused. It doesn't check whether the endpoint has closed the
// connection.
func (p *pool) hasIdle(address string, nonIdempotent bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	last := list[len(list)-1]
	age := now.Sub(last.lastUsed)
	return age <= last.maxIdle && (!nonIdempotent || age <= nonIdempotentMaxIdle)
}

// count returns the number of idle connections.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// prune closes the idle connections that can't be reused: those that have been idle too
// long, that the endpoint has closed, or on which unexpected bytes have arrived.
func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.lastUsed) > c.maxIdle || !c.idleAndOpen() {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// closeOldest closes the n connections that have been idle the longest, over all
// addresses.
func (p *pool) closeOldest(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*conn
	for _, list := range p.idle {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *conn) int { return a.lastUsed.Compare(b.lastUsed) })
	oldest := map[*conn]bool{}
	for _, c := range all[:min(n, len(all))] {
		oldest[c] = true
		_ = c.Close()
	}
	for address, list := range p.idle {
		p.idle[address] = slices.DeleteFunc(list, func(c *conn) bool { return oldest[c] })
	}
}

// closeIdle closes all idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// endpointDialer is the dialer for connections to endpoints.
var endpointDialer = dialer.New(dialer.WithTimeout(dialTimeout))

// dial opens a connection to an address and counts it as open.
func (x *Exchanger) dial(ctx context.Context, address string) (*conn, error) {
	start := time.Now()
	x.openConns.Add(1)
	opened, err := endpointDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		x.openConns.Add(-1)
		return nil, err
	}
	input := &io.LimitedReader{R: opened, N: maxHeadBytes}
	return &conn{
		Conn: opened, id: x.lastConnID.Add(1), reader: bufio.NewReaderSize(input, readBuffer), input: input, maxIdle: defaultMaxIdle,
		lastUsed: time.Now(), dialTime: time.Since(start), openConns: &x.openConns,
	}, nil
}
