package forwarder

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// ResponseClaim lets one of several attempts answer the caller.
type ResponseClaim struct{ taken atomic.Bool }

// TryAcquire reports whether the caller's answer is still to be given, and claims it.
func (g *ResponseClaim) TryAcquire() bool { return g.taken.CompareAndSwap(false, true) }

// Acquired reports whether an attempt has begun to answer the caller.
func (g *ResponseClaim) Acquired() bool { return g.taken.Load() }

// countingDial wraps new connections in countingConn.
func countingDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// sending follows how far a request got.
type sending struct {
	conn    atomic.Pointer[countingConn]
	before  atomic.Int64
	unknown atomic.Bool
}

// trace returns a context that tells which connection a request takes.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		c, ok := conn.(*countingConn)
		if !ok {
			s.unknown.Store(true)
			return
		}
		s.before.Store(c.written.Load())
		s.conn.Store(c)
	}})
}

// left reports whether any byte of the request may have left the instance.
func (s *sending) left() bool {
	c := s.conn.Load()
	return s.unknown.Load() || c != nil && c.written.Load() > s.before.Load()
}

// delimited reports whether the end of an answer can be told from a broken
// connection.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
