package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/forwarder"
)

// httpErrorSuffix is the end of the head of the error responses that net/http writes
// without calling a handler, when it can't parse a request. No handler of this package
// writes a response whose head ends like this.
const httpErrorSuffix = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// headListener is a listener whose connections are of type headConn.
type headListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn}, nil
}

// headConn is a caller's connection. It records the head (request line and headers) of
// the current request byte for byte. It also adds a refusal code to the error responses
// that net/http writes without calling a handler.
type headConn struct {
	net.Conn
	mu   sync.Mutex
	head []byte
	// recordingEnded means that the head is complete or too long, so that no more
	// bytes are added to it until reset.
	recordingEnded bool
}

// NetConn returns the underlying connection.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recordingEnded {
		c.head = append(c.head, p[:n]...)
		c.recordingEnded = len(c.head) > 2*maxHeaderBytes || bytes.Contains(c.head, []byte("\r\n\r\n"))
	}
	return n, err
}

// Write implements net.Conn.
func (c *headConn) Write(p []byte) (int, error) {
	status, body, found := bytes.Cut(p, []byte(httpErrorSuffix))
	if !found || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) || bytes.ContainsAny(status, "\r\n") {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(refusalWithCode(status, body)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// refusalWithCode returns the refusal that replaces an error response of net/http with
// the given status line and reason. Its code is RequestMalformed.
func refusalWithCode(status, reason []byte) []byte {
	body, _ := json.Marshal(Refusal{
		Code: int(coder.RequestMalformed), Name: coder.RequestMalformed.String() + ": " + string(reason),
		NotRun: forwarder.FormatRan(coder.NotRun),
	})
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "%s\r\nContent-Type: application/json\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, forwarder.HeaderCode, int(coder.RequestMalformed), forwarder.HeaderNotRun, forwarder.FormatRan(coder.NotRun), len(body), body)
	return out.Bytes()
}

// reset discards the recorded head. It is called when the connection becomes idle: the
// next byte then belongs to a new request.
func (c *headConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.recordingEnded = false
}

// hasSingleLength reports whether a chunked request has no Content-Length header. A
// request with both allows request smuggling, but net/http ignores the Content-Length
// without an error, so the recorded head is searched for it. If the request was pipelined
// (sent before the previous request was answered), its head may not have been recorded.
// It then can't be checked, and hasSingleLength reports false.
func (c *headConn) hasSingleLength(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, complete := bytes.Cut(c.head, []byte("\r\n\r\n"))
	if !complete || !bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" ")) {
		return false
	}
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return false
		}
	}
	return true
}

// connKey is the context key under which a request's context holds its connection.
type connKey struct{}

// wellFramed reports whether the length of a request's body is unambiguous: it has either
// chunked encoding or at most one valid Content-Length, not both.
func wellFramed(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		_, err := strconv.ParseUint(r.Header.Get("Content-Length"), 10, 63)
		return err == nil || r.Header.Get("Content-Length") == ""
	}
	c, ok := r.Context().Value(connKey{}).(*headConn)
	return !ok || c.hasSingleLength(r)
}
