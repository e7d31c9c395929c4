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
	// dialTimeout bounds a new connection. It covers two ways between far
	// regions and leaves time for another endpoint.
	dialTimeout = 450 * time.Millisecond
	// keptIdle is how long a connection is kept if its endpoint doesn't say.
	keptIdle = 4 * time.Second
	// idleMargin is how long before an endpoint's idle timeout a connection is no
	// longer used; it covers the way of the request. Of a short timeout, idlePart
	// is used.
	idleMargin = time.Second
	idlePart   = 0.5
	// freshFor is how long after its last answer a connection is used for a
	// request that may run only once. Endpoints may forget idle connections.
	freshFor = 3 * time.Second
	// keptMost bounds the idle connections to one endpoint.
	keptMost = 16
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// input bounds what reader takes from the connection.
	input *io.LimitedReader
	// usable is how long the connection may be idle, usedAt when it last
	// brought an answer.
	usable time.Duration
	usedAt time.Time
	// connect is how long it took to open.
	connect time.Duration
	// open counts the connections that are open, this one until it is closed.
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// quiet reports whether the other side has neither closed the connection nor
// sent anything that nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// pool keeps idle connections by address, the last used first.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// take returns an idle connection that may be used, or nil.
func (p *pool) take(address string, once bool, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		age := now.Sub(c.usedAt)
		switch {
		case age > c.usable, !c.quiet():
			_ = c.Close()
		case once && age > freshFor:
			// It may still serve requests that can be sent again.
			p.put(address, c)
			return nil
		default:
			return c
		}
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= keptMost {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// has reports whether an idle connection may carry a request.
func (p *pool) has(address string, once bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	last := list[len(list)-1]
	age := now.Sub(last.usedAt)
	return age <= last.usable && (!once || age <= freshFor)
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

// prune closes connections that have been idle too long, or on which anything
// came.
func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.usedAt) > c.usable || !c.quiet() {
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

// dropOldest closes the n connections that have been idle the longest.
func (p *pool) dropOldest(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*conn
	for _, list := range p.idle {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *conn) int { return a.usedAt.Compare(b.usedAt) })
	oldest := map[*conn]bool{}
	for _, c := range all[:min(n, len(all))] {
		oldest[c] = true
		_ = c.Close()
	}
	for address, list := range p.idle {
		p.idle[address] = slices.DeleteFunc(list, func(c *conn) bool { return oldest[c] })
	}
}

// drop closes all idle connections to an address.
func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// connect opens connections to endpoints.
var connect = dialer.New(dialer.WithTimeout(dialTimeout))

// dial opens a connection.
func (x *Exchanger) dial(ctx context.Context, address string) (*conn, error) {
	start := time.Now()
	x.open.Add(1)
	opened, err := connect.DialContext(ctx, "tcp", address)
	if err != nil {
		x.open.Add(-1)
		return nil, err
	}
	input := &io.LimitedReader{R: opened, N: headMost}
	return &conn{
		Conn: opened, reader: bufio.NewReaderSize(input, readBuffer), input: input, usable: keptIdle,
		usedAt: time.Now(), connect: time.Since(start), open: &x.open,
	}, nil
}
