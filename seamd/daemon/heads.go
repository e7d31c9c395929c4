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

// httpErrorSuffix ends the header of the error responses that net/http writes by
// itself when it can't parse a request. No handler sees these requests, and none
// writes a response with this header.
const httpErrorSuffix = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// headListener wraps connections in headConn.
type headListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn}, nil
}

// headConn records the head (request line and headers) of the current request as it
// was received, and adds a refusal code to the error responses that net/http writes by
// itself.
type headConn struct {
	net.Conn
	mu   sync.Mutex
	head []byte
	done bool
}

// NetConn returns the underlying connection.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		c.head = append(c.head, p[:n]...)
		c.done = len(c.head) > 2*maxHeaderBytes || bytes.Contains(c.head, []byte("\r\n\r\n"))
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

// refusalWithCode rewrites an error response of net/http as a refusal with a code.
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

// reset discards the recorded head, since the next byte starts another request.
func (c *headConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.done = false
}

// hasSingleLength reports whether the head of a chunked request has no Content-Length
// too. Both together allow request smuggling, and net/http drops the Content-Length
// without an error. The head of a chunked request that was pipelined, that is, sent
// before the answer to the previous one, may not have been recorded. It then can't be
// checked, and hasSingleLength reports false.
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

// connKey is the context key of the connection of a request.
type connKey struct{}

// wellFramed reports whether a request's length is given once and is valid.
func wellFramed(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		_, err := strconv.ParseUint(r.Header.Get("Content-Length"), 10, 63)
		return err == nil || r.Header.Get("Content-Length") == ""
	}
	c, ok := r.Context().Value(connKey{}).(*headConn)
	return !ok || c.hasSingleLength(r)
}
