// Package exchanger sends a request to an endpoint and reads its answer.
//
// It owns its connections, since the callers' promises depend on them: a request
// is never sent again by itself, an answer is taken only if it belongs to the
// request, and bytes that nobody asked for end a connection.
//
// # Usage
//
//	x := exchanger.New()
//	answer := x.Do(ctx, exchanger.Call{Address: "10.0.0.7:9000", ...})
//	if answer.Err == nil { ... }
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// heldMost is the size in bytes up to which an answer is read whole before it
// is passed on, so that a broken one never reaches a caller.
const heldMost = 256 << 10

// headMost is the most bytes that are read to find the head of an answer.
const headMost = 64 << 10

// extraMost is the number of answers to other requests that are passed over.
const extraMost = 3

// Errors of an exchange.
var (
	// ErrMisframed means that the answer is not one in the protocol, or belongs
	// to no request.
	ErrMisframed = errors.New("answer is not one to the request")
)

// Call is a request to an endpoint.
type Call struct {
	Address string
	Method  string
	URI     string
	Host    string
	// Header is sent as it is, without any that concern one connection only.
	Header http.Header
	Body   []byte
	// Rest is what follows Body, Length the size of both, or -1 if unknown.
	Rest   io.Reader
	Length int64
	// RequestID must stand in the answer under the header IDHeader.
	RequestID string
	IDHeader  string
	// NonIdempotent means that the request must not be sent on a connection that has
	// been idle for long.
	NonIdempotent bool
	Deadline      time.Time
}

// Result is what came of a call.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Tail is what follows Body, or nil; Close ends it.
	Tail  io.Reader
	Close func()
	// Err is set if there is no whole answer.
	Err error
	// MaybeSent means that some bytes of the request may have reached the endpoint.
	MaybeSent bool
	// Connect is how long a new connection took, or 0.
	Connect time.Duration
	Reused  bool
	// CloseAfter is how long after the end of its context the call's connection
	// was closed, or 0.
	CloseAfter time.Duration
}

// Exchanger keeps connections to endpoints. It is safe for concurrent use.
type Exchanger struct {
	pool pool
	open atomic.Int64
}

// New returns an exchanger without connections.
func New() *Exchanger {
	return &Exchanger{pool: pool{idle: map[string][]*conn{}}}
}

// Connections returns how many connections are open, those that are being
// opened among them, and how many of them carry no request.
func (x *Exchanger) Connections() (open, idle int) {
	return int(x.open.Load()), x.pool.count()
}

// Prune closes connections that have been idle too long.
func (x *Exchanger) Prune() { x.pool.prune(time.Now()) }

// Trim closes idle connections, the longest idle first, until no more than most
// are left.
func (x *Exchanger) Trim(most int) {
	if over := x.pool.count() - most; over > 0 {
		x.pool.dropOldest(over)
	}
}

// HasIdle reports whether a connection to an address is open and may carry a
// request, which may run only once if once is set.
func (x *Exchanger) HasIdle(address string, once bool) bool {
	return x.pool.has(address, once, time.Now())
}

// Drop closes the idle connections to an address.
func (x *Exchanger) Drop(address string) { x.pool.drop(address) }

// Do sends the request and reads the answer. It ends when ctx ends or at the
// call's deadline.
func (x *Exchanger) Do(ctx context.Context, call Call) Result {
	if err := ctx.Err(); err != nil {
		return Result{Err: err}
	}
	c := x.pool.take(call.Address, call.NonIdempotent, time.Now())
	reused := c != nil
	if c == nil {
		ctx, cancel := context.WithDeadline(ctx, call.Deadline)
		defer cancel()
		var err error
		if c, err = x.dial(ctx, call.Address); err != nil {
			return Result{Err: fmt.Errorf("connect: %w", err)}
		}
	}
	answer := x.exchange(ctx, c, call)
	answer.Reused = reused
	if !reused {
		answer.Connect = c.connect
	}
	return answer
}

// exchange makes a call on a connection.
func (x *Exchanger) exchange(ctx context.Context, c *conn, call Call) Result {
	_ = c.SetDeadline(call.Deadline)
	var ended atomic.Int64
	stop := context.AfterFunc(ctx, func() {
		ended.Store(time.Now().UnixNano())
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	written := make(chan error, 1)
	if small(call) {
		written <- writeRequest(c, call)
	} else {
		// An endpoint may answer before it has read a long body.
		go func() { written <- writeRequest(c, call) }()
	}
	answer, response, err := x.read(c, call)
	if err != nil {
		stop()
		_ = c.Close()
		failed := Result{Err: err, MaybeSent: true}
		if at := ended.Load(); at != 0 {
			failed.CloseAfter = time.Since(time.Unix(0, at))
		}
		return failed
	}
	finish := func(whole bool) {
		stopped := stop()
		if whole && stopped && keepable(c, response, written) {
			_ = c.SetDeadline(time.Time{})
			c.usable = idleFor(response.Header)
			c.usedAt = time.Now()
			x.pool.put(call.Address, c)
			return
		}
		_ = c.Close()
	}
	if answer.Tail == nil {
		finish(true)
		return answer
	}
	answer.Close = func() { finish(false) }
	return answer
}

// small reports whether a request fits into the buffers of a connection.
func small(call Call) bool {
	const buffered = 16 << 10
	return call.Rest == nil && len(call.Body) <= buffered
}

// read reads answers until the one that belongs to the call.
func (x *Exchanger) read(c *conn, call Call) (Result, *http.Response, error) {
	request := &http.Request{Method: call.Method}
	for extra := 0; extra <= extraMost; extra++ {
		c.input.N = headMost
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return Result{}, nil, fmt.Errorf("read answer: %w", err)
		}
		c.input.N = math.MaxInt64
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, heldMost))
		if err != nil {
			return Result{}, nil, fmt.Errorf("read body of answer: %w", err)
		}
		id := response.Header.Get(call.IDHeader)
		if id != "" && id != call.RequestID {
			// It belongs to an earlier request; ours is still to come.
			if len(body) == heldMost {
				return Result{}, nil, ErrMisframed
			}
			continue
		}
		if id == "" && response.StatusCode/100 == 2 || response.Header.Get("Content-Encoding") != "" {
			return Result{}, nil, ErrMisframed
		}
		if extra > 0 {
			response.Close = true
		}
		answer := Result{Status: response.StatusCode, Header: response.Header, Body: body, MaybeSent: true}
		if len(body) == heldMost {
			answer.Tail = response.Body
		}
		return answer, response, nil
	}
	return Result{}, nil, ErrMisframed
}

// keepable reports whether a connection can carry another request.
func keepable(c *conn, response *http.Response, written <-chan error) bool {
	select {
	case err := <-written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close && c.reader.Buffered() == 0
}

// idleFor returns how long a connection may be idle before it is used again.
func idleFor(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			timeout := time.Duration(s) * time.Second
			return max(timeout-idleMargin, time.Duration(idlePart*float64(timeout)))
		}
	}
	return keptIdle
}

// writeRequest writes a request and its body.
func writeRequest(w io.Writer, call Call) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	for name, values := range call.Header {
		for _, v := range values {
			head.WriteString(name)
			head.WriteString(": ")
			head.WriteString(v)
			head.WriteString("\r\n")
		}
	}
	switch {
	case call.Length > 0 || call.Length == 0 && hasBody(call.Method):
		fmt.Fprintf(&head, "Content-Length: %d\r\n", call.Length)
	case call.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	head.WriteString("\r\n")
	if call.Rest == nil {
		head.Write(call.Body)
		_, err := w.Write(head.Bytes())
		return err
	}
	return writeStream(w, head.Bytes(), call)
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeStream writes a body that isn't held whole.
func writeStream(w io.Writer, head []byte, call Call) error {
	if _, err := w.Write(head); err != nil {
		return err
	}
	body := io.MultiReader(bytes.NewReader(call.Body), call.Rest)
	if call.Length >= 0 {
		_, err := io.CopyN(w, body, call.Length)
		return err
	}
	buffer := bufio.NewWriter(w)
	chunks := chunkWriter{w: buffer}
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if _, err := buffer.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return buffer.Flush()
}

// chunkWriter writes each piece as a chunk.
type chunkWriter struct{ w io.Writer }

// Write implements io.Writer.
func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	n, err := c.w.Write(p)
	if err != nil {
		return n, err
	}
	_, err = io.WriteString(c.w, "\r\n")
	return n, err
}
