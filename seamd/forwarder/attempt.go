package forwarder

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"primroseseam.org/seam/dialer"
)

// ResponseClaim ensures that only one of several concurrent attempts at a request
// writes the response to the caller.
type ResponseClaim struct{ acquired atomic.Bool }

// TryAcquire reports whether the calling attempt may write the response. Only the first
// call returns true.
func (c *ResponseClaim) TryAcquire() bool { return c.acquired.CompareAndSwap(false, true) }

// Acquired reports whether an attempt has acquired the right to write the response.
func (c *ResponseClaim) Acquired() bool { return c.acquired.Load() }

// countingDial wraps a dial function so that it returns connections of type countingConn.
func countingDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// sendTracker determines whether any byte of a request was sent. When the transport
// chooses a connection for the request, the tracker stores the number of bytes written to
// the connection so far. More bytes than that mean that a part of the request may have
// been sent. untracked is set if the connection doesn't count its bytes.
//
// It also watches the connection while a long body is sent: the endpoint may read it slowly, and
// then its receive window closes. A connection that is closed before the attempt has succeeded is reset, so
// that no more of such a body arrives. end must be called after the attempt.
type sendTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
	untracked     atomic.Bool
	stopWatch     atomic.Pointer[func()]
}

// maxUnwatchedBytes is the size of the largest body that fits into the receive window of any
// endpoint.
const maxUnwatchedBytes = 16 << 10

// withTrace returns a context for the request, whose body has the given length, or -1. When the
// transport has chosen the request's connection, the context's trace stores it in s.
func (s *sendTracker) withTrace(ctx context.Context, bodyLength int64) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if tlsConn, ok := conn.(*tls.Conn); ok {
			conn = tlsConn.NetConn()
		}
		c, ok := conn.(*countingConn)
		if !ok {
			s.untracked.Store(true)
			return
		}
		s.writtenBefore.Store(c.written.Load())
		s.conn.Store(c)
		if bodyLength < 0 || bodyLength > maxUnwatchedBytes {
			c.resetOnClose(s)
			s.watch(c)
		}
	}})
}

// watch watches the path of a connection, and closes the connection if the path is dead.
func (s *sendTracker) watch(c *countingConn) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	stop := dialer.WatchPath(conn, func() { _ = c.Close() })
	if before := s.stopWatch.Swap(&stop); before != nil {
		(*before)()
	}
}

// end ends the watch. succeeded means that the whole response was read.
func (s *sendTracker) end(succeeded bool) {
	if stop := s.stopWatch.Swap(nil); stop != nil {
		(*stop)()
	}
	if c := s.conn.Load(); c != nil && succeeded {
		c.deliverOnClose(s)
	}
}

// maybeSent reports whether any byte of the request may have been sent. It returns false
// only if certainly none was.
func (s *sendTracker) maybeSent() bool {
	c := s.conn.Load()
	return s.untracked.Load() || c != nil && c.written.Load() > s.writtenBefore.Load()
}

// hasDelimitedBody reports whether the end of a response's body is marked by a length, by
// chunked encoding or by having no body. Otherwise the body ends when the connection
// closes, and a truncated body looks like a complete one.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
