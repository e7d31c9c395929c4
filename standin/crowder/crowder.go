// Package crowder is a stand-in for crowds of clients that misbehave: each opens many
// connections at once and sends what makes a server hold much for little. Tests and the
// command "seamctl soak" use it to show that no crowd ends a server.
//
// The requests are legal in size, but most of them are never finished, made of very many
// short fields, or sent ahead without reading the responses. A member whose connection is
// closed by the server opens another one after a pause, until the crowd ends.
//
// # Usage
//
//	c := crowder.Start(ctx, crowder.Target{Address: "127.0.0.1:8080", Host: "h", Path: "/x/"}, crowder.NearBodies, 400)
//	c.AwaitSent(20 * time.Second)
//	defer c.Close()
package crowder

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"primroseseam.org/seam/waiter"
)

const (
	// dialTimeout limits the time to open a connection, and reconnectPause is the time from
	// the end of a member's connection to its next one.
	dialTimeout    = 2 * time.Second
	reconnectPause = 200 * time.Millisecond
	// drip is the time between two bytes that a slow member sends or reads.
	drip = 100 * time.Millisecond
)

// Target is where a crowd sends its requests.
type Target struct {
	Address string
	Host    string
	Path    string
	// Key is sent in the header KeyHeader. Without a key, no such header is sent.
	KeyHeader, Key string
	// HeadBytes and BodyBytes are the largest legal sizes of a request's head and body.
	HeadBytes, BodyBytes int
	// From is the IP address of the clients, or nil for the system's choice.
	From net.IP
}

// Crowd is a group of clients. All methods are safe for concurrent use.
type Crowd struct {
	target Target
	script script
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// sent counts the members that have sent all that they send on one connection at least
	// once, or whose connection the server has closed. closings counts the connections that
	// the server closed.
	sent     atomic.Int64
	closings atomic.Int64
	members  int
}

// Start starts a crowd of the given number of clients. It ends with ctx or [Crowd.Close].
func Start(ctx context.Context, target Target, form Form, members int) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{target: target, script: newScript(form, target), cancel: cancel, members: members}
	for range members {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.run(ctx)
		}()
	}
	return c
}

// AwaitSent waits until each client has sent its part or was cut off once, but no longer than
// the timeout. It returns the number of clients that have.
func (c *Crowd) AwaitSent(timeout time.Duration) int {
	for end := time.Now().Add(timeout); time.Now().Before(end) && int(c.sent.Load()) < c.members; {
		time.Sleep(10 * time.Millisecond)
	}
	return int(c.sent.Load())
}

// Closings returns how many connections of the crowd the server has closed.
func (c *Crowd) Closings() int { return int(c.closings.Load()) }

// Close closes all connections of the crowd and waits for its clients to end.
func (c *Crowd) Close() {
	c.cancel()
	c.wg.Wait()
}

// run opens one connection after the other until ctx ends.
func (c *Crowd) run(ctx context.Context) {
	var once sync.Once
	markSent := func() { once.Do(func() { c.sent.Add(1) }) }
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.target.From != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.target.From}
	}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", c.target.Address)
		if err == nil {
			c.play(ctx, conn.(*net.TCPConn), markSent)
		}
		if ctx.Err() == nil {
			c.closings.Add(1)
		}
		markSent()
		waiter.Pause(ctx, reconnectPause)
	}
}

// play sends a client's part on a connection and keeps the connection open until the server
// closes it or ctx ends. It calls markSent once all is sent.
func (c *Crowd) play(ctx context.Context, conn *net.TCPConn, markSent func()) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if c.script.readPause > 0 {
		_ = conn.SetReadBuffer(smallBuffer)
	}
	if c.send(ctx, conn) != nil {
		return
	}
	markSent()
	if c.script.readPause < 0 {
		awaitEnd(ctx, conn)
		return
	}
	// Without an error, the server has closed the connection.
	_, _ = io.Copy(io.Discard, slowReader{ctx: ctx, conn: conn, pause: c.script.readPause})
}

// send writes the pieces of the script.
func (c *Crowd) send(ctx context.Context, conn net.Conn) error {
	for _, piece := range c.script.pieces {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		if c.script.pause > 0 && !waiter.Pause(ctx, c.script.pause) {
			return ctx.Err()
		}
	}
	return nil
}

// awaitEnd waits until a connection fails or ctx ends, without reading from it.
func awaitEnd(ctx context.Context, conn *net.TCPConn) {
	for waiter.Pause(ctx, reconnectPause) {
		if hasFailed(conn) {
			return
		}
	}
}

// slowReader reads a byte at a time, with a pause before each, or all there is if the pause
// is 0.
type slowReader struct {
	ctx   context.Context
	conn  net.Conn
	pause time.Duration
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	if r.pause <= 0 {
		return r.conn.Read(p)
	}
	if !waiter.Pause(r.ctx, r.pause) {
		return 0, r.ctx.Err()
	}
	return r.conn.Read(p[:1])
}
