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

// plainRefusalEnd is how net/http ends the header of its own refusals, which a
// handler never sees and never writes like this.
const plainRefusalEnd = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// headListener keeps the head of each request as it came over the wire.
type headListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn}, nil
}

// headConn keeps the bytes of the request's head and gives a numbered code to
// refusals that net/http makes by itself.
type headConn struct {
	net.Conn
	mu   sync.Mutex
	head []byte
	done bool
}

// NetConn returns the connection below.
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
	status, body, found := bytes.Cut(p, []byte(plainRefusalEnd))
	if !found || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) || bytes.ContainsAny(status, "\r\n") {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(numberedRefusal(status, body)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// numberedRefusal rewrites a refusal of net/http.
func numberedRefusal(status, reason []byte) []byte {
	body, _ := json.Marshal(Refusal{
		Code: int(coder.RequestMalformed), Name: coder.RequestMalformed.String() + ": " + string(reason),
		NotRun: forwarder.FormatRan(coder.NotRun),
	})
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "%s\r\nContent-Type: application/json\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, forwarder.HeaderCode, int(coder.RequestMalformed), forwarder.HeaderNotRun, forwarder.FormatRan(coder.NotRun), len(body), body)
	return out.Bytes()
}

// reset forgets the head, since the next byte starts another request.
func (c *headConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.done = false
}

// oneLength reports whether a chunked request's head says nothing else of its
// length, which net/http drops. One sent before the answer to the request
// ahead of it can't be checked and doesn't pass.
func (c *headConn) oneLength(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, whole := bytes.Cut(c.head, []byte("\r\n\r\n"))
	if !whole || !bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" ")) {
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

// connKey is the context key of a request's connection.
type connKey struct{}

// wellFramed reports whether a request's length is given once.
func wellFramed(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		_, err := strconv.ParseUint(r.Header.Get("Content-Length"), 10, 63)
		return err == nil || r.Header.Get("Content-Length") == ""
	}
	c, ok := r.Context().Value(connKey{}).(*headConn)
	return !ok || c.oneLength(r)
}
