package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends one request at a time on a connection that it keeps.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	record  *record
}

// call is a request of a client. deadline is the time that it waits.
type call struct {
	id, method, host, path string
	// affinity is the value of X-Affinity-Key, or empty.
	affinity string
	// key is the value of X-Key, or empty.
	key      string
	body     []byte
	deadline time.Duration
}

// result is what a client saw of a call. err is set if it got no complete answer.
type result struct {
	status    int
	body      string
	signature string
	err       error
	kept      bool
	took      time.Duration
}

func (c *client) do(q call) result {
	start := time.Now()
	kept := c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return result{err: fmt.Errorf("connect: %w", err)}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(start.Add(q.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.affinity != "" {
		head += "X-Affinity-Key: " + q.affinity + "\r\n"
	}
	if q.key != "" {
		head += "X-Key: " + q.key + "\r\n"
	}
	if q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	r := c.roundTrip(q, head+"\r\n")
	r.took, r.kept = time.Since(start), kept
	if r.err != nil {
		c.close()
	}
	return r
}

func (c *client) roundTrip(q call, head string) result {
	if _, err := io.WriteString(c.conn, head); err != nil {
		return result{err: fmt.Errorf("send: %w", err)}
	}
	if _, err := c.conn.Write(q.body); err != nil {
		return result{err: fmt.Errorf("send body: %w", err)}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return result{err: fmt.Errorf("read answer: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result{status: response.StatusCode, err: fmt.Errorf("read answer's body: %w", err)}
	}
	if response.Close {
		c.close()
	}
	return result{status: response.StatusCode, body: string(data), signature: response.Header.Get("X-Response-Signature")}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// isTimeout reports whether a client gave up waiting.
func isTimeout(err error) bool {
	t, ok := unwrapTimeout(err)
	return ok && t
}

func unwrapTimeout(err error) (bool, bool) {
	for err != nil {
		if n, ok := err.(net.Error); ok {
			return n.Timeout(), true
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false, false
		}
		err = u.Unwrap()
	}
	return false, false
}
