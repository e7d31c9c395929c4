package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a stand-in for a client with one kept connection at a time. Each attempt has an
// id of its own. It sends one request after the other and waits for each answer.
type client struct {
	w       *world
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// call describes a request of a client.
type call struct {
	method, host, path, key, object, body string
	idempotent                            bool
	timeLeft                              time.Duration
	noID                                  bool
}

// send makes one attempt and records what came back. A connection that fails or is closed is
// replaced for the next attempt.
func (c *client) send(q call) *request {
	r := c.w.newRequest(q.idempotent)
	fresh := c.conn == nil
	if fresh {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			r.err = err
			c.w.log("no connection for %s: %v", r.id, err)
			return r
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, r.id, q.timeLeft.Milliseconds())
	if q.key != "" {
		text += "X-Key: " + q.key + "\r\n"
	}
	if q.object != "" {
		text += "X-Affinity-Key: " + q.object + "\r\n"
	}
	if q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	c.w.log("sent %s: %s %s on a %s connection", r.id, q.method, q.path, map[bool]string{true: "new", false: "kept"}[fresh])
	_ = c.conn.SetDeadline(time.Now().Add(q.timeLeft + time.Second))
	answer, body, err := c.exchange(q, text+"\r\n"+q.body)
	if err != nil {
		r.err = err
		c.w.log("no answer to %s: %v", r.id, err)
		c.drop()
		return r
	}
	r.status = answer.StatusCode
	got := answer.Header.Get("X-Response-Signature")
	r.signed = got != "" && got == signature(r.id, body)
	c.w.log("answered %s: %d, signature %q, valid %v, Retry-After %q", r.id, r.status, got, r.signed, answer.Header.Get("Retry-After"))
	if answer.Close {
		c.drop()
	}
	return r
}

func (c *client) exchange(q call, text string) (*http.Response, []byte, error) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return nil, nil, err
	}
	answer, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(answer.Body)
	return answer, body, err
}

func (c *client) drop() {
	_ = c.conn.Close()
	c.conn = nil
}
