package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	id, method, host, path, key, affinity string
	body                                  []byte
	wait                                  time.Duration
	// sendOn makes the client send the rest of the body even after it has got an answer.
	sendOn bool
}

// answer is what the client of a call has seen.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	sentAt  time.Time
	endedAt time.Time
	// writeErr is why a client with sendOn couldn't send the whole request, or nil.
	writeErr error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	signature := a.header.Get("X-Response-Signature")
	if signature == "" {
		signature = "none"
	}
	return fmt.Sprintf("%d, signature %s, %d bytes: %.40q", a.status, signature, len(a.body), strings.TrimSpace(string(a.body[:min(len(a.body), 40)])))
}

// head returns the head of the request.
func (c call) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.wait.Milliseconds())
	if c.affinity != "" {
		fmt.Fprintf(&b, "X-Affinity-Key: %s\r\n", c.affinity)
	}
	if c.key != "" {
		fmt.Fprintf(&b, "X-Key: %s\r\n", c.key)
	}
	if len(c.body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a call on a connection, and reads the answer while it sends.
func (c call) send(conn net.Conn, input *bufio.Reader) answer {
	a := answer{sentAt: time.Now()}
	_ = conn.SetDeadline(a.sentAt.Add(c.wait))
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, c.head())
		if err == nil {
			_, err = conn.Write(c.body)
		}
		written <- err
	}()
	response, err := http.ReadResponse(input, &http.Request{Method: c.method})
	if err == nil {
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = io.ReadAll(response.Body)
	}
	a.err, a.endedAt = err, time.Now()
	if c.sendOn {
		a.writeErr = <-written
	}
	return a
}

// do sends a call on a new connection.
func (c call) do(address string) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		now := time.Now()
		return answer{err: err, sentAt: now, endedAt: now}
	}
	defer func() { _ = conn.Close() }()
	return c.send(conn, bufio.NewReader(conn))
}
