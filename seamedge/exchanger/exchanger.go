// Package exchanger is an HTTP/1.1 client with a connection pool, which sends requests
// to endpoints.
//
// It manages its connections itself, because the guarantees given to callers depend on
// them: a request is never resent automatically, a response is accepted only if it
// belongs to the request, and unexpected bytes close a connection.
//
// # Usage
//
//	x := exchanger.New()
//	result := x.Do(ctx, exchanger.Call{Address: "10.0.0.7:9000", ...})
//	if result.Err == nil { ... }
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

// maxBuffered is the size in bytes up to which a response body is read completely
// before the response is passed on, so that no part of a broken response reaches a
// caller. Only larger bodies are streamed.
const maxBuffered = 256 << 10

// maxHeadBytes limits the bytes that are read for the head of a response.
const maxHeadBytes = 64 << 10

// maxExtraResponses is the number of responses, either interim (1xx) or to earlier
// requests, that are skipped before the one to the request.
const maxExtraResponses = 3

// Errors of a call.
var (
	// ErrUnexpectedResponse means that the endpoint sent a response that can't be
	// matched to the request: a success without a request ID, a content-encoded
	// body, a large response to another request, or too many of these.
	ErrUnexpectedResponse = errors.New("unexpected response from endpoint")
)

// Call is a request to an endpoint.
type Call struct {
	Address string
	Method  string
	URI     string
	Host    string
	// Header is sent unchanged. It must not hold hop-by-hop headers.
	Header http.Header
	// Body is the body or its beginning, and BodyRemainder a reader of the part after
	// it, or nil. BodyLength is the size of both together, or -1 if unknown.
	Body          []byte
	BodyRemainder io.Reader
	BodyLength    int64
	// RequestID is the ID that a successful response must carry in the header IDHeader.
	RequestID string
	IDHeader  string
	// NonIdempotent means that the request may run only once. It is not sent on a
	// connection that has been idle for long, which the endpoint may have closed.
	NonIdempotent bool
	Deadline      time.Time
}

// Result is the outcome of a call: a response, or an error.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyRemainder is a reader of the part of the body after Body, or nil if Body is complete.
	// If there is one, Close must be called to close the connection.
	BodyRemainder io.Reader
	Close         func()
	// Err is set if there is no valid response or its body broke off. If BodyRemainder
	// breaks off, reading it returns the error instead.
	Err error
	// MaybeSent means that some bytes of the request may have reached the endpoint.
	MaybeSent bool
	// DialTime is how long it took to open a new connection, or 0. ConnectionReused means
	// that an idle connection was used instead.
	DialTime         time.Duration
	ConnectionReused bool
	// CloseAfter is the time between the end of the call's context and the closing of
	// its connection, or 0 if the context had not ended.
	CloseAfter time.Duration
}

// Exchanger sends calls and keeps idle connections to endpoints. It is safe for
// concurrent use.
type Exchanger struct {
	pool      pool
	openConns atomic.Int64
}

// New returns an exchanger without connections.
func New() *Exchanger {
	return &Exchanger{pool: pool{idle: map[string][]*conn{}}}
}

// Connections returns how many connections are open, including those that are being
// opened, and how many of them are idle.
func (x *Exchanger) Connections() (openConns, idle int) {
	return int(x.openConns.Load()), x.pool.count()
}

// PruneIdle closes connections that have been idle too long, that the endpoint has closed,
// or on which unexpected bytes have arrived.
func (x *Exchanger) PruneIdle() { x.pool.prune(time.Now()) }

// TrimIdle closes idle connections, the longest idle first, until at most maxIdle are left.
func (x *Exchanger) TrimIdle(maxIdle int) {
	if excess := x.pool.count() - maxIdle; excess > 0 {
		x.pool.closeOldest(excess)
	}
}

// HasIdle reports whether an idle connection to an address may be used for a request.
// For a non-idempotent request it must have been idle for a short time only.
func (x *Exchanger) HasIdle(address string, nonIdempotent bool) bool {
	return x.pool.hasIdle(address, nonIdempotent, time.Now())
}

// CloseIdle closes the idle connections to an address.
func (x *Exchanger) CloseIdle(address string) { x.pool.closeIdle(address) }

// Do sends the request and reads the response. It fails when ctx ends or at the call's
// deadline.
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
	result := x.roundTrip(ctx, c, call)
	result.ConnectionReused = reused
	if !reused {
		result.DialTime = c.dialTime
	}
	return result
}

// roundTrip makes a call on a connection and puts the connection back into the pool if
// it can be reused.
func (x *Exchanger) roundTrip(ctx context.Context, c *conn, call Call) Result {
	_ = c.SetDeadline(call.Deadline)
	var endedAt atomic.Int64
	stop := context.AfterFunc(ctx, func() {
		endedAt.Store(time.Now().UnixNano())
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	written := make(chan error, 1)
	if fitsBuffers(call) {
		written <- writeRequest(c, call)
	} else {
		// The endpoint may respond before it has read a long body.
		go func() { written <- writeRequest(c, call) }()
	}
	result, response, err := x.readResponse(c, call)
	if err != nil {
		stop()
		_ = c.Close()
		failure := Result{Err: err, MaybeSent: true}
		if at := endedAt.Load(); at != 0 {
			failure.CloseAfter = time.Since(time.Unix(0, at))
		}
		return failure
	}
	finish := func(complete bool) {
		stopped := stop()
		if complete && stopped && reusable(c, response, written) {
			_ = c.SetDeadline(time.Time{})
			c.maxIdle = maxIdleTime(response.Header)
			c.lastUsed = time.Now()
			x.pool.put(call.Address, c)
			return
		}
		_ = c.Close()
	}
	if result.BodyRemainder == nil {
		finish(true)
		return result
	}
	result.Close = func() { finish(false) }
	return result
}

// fitsBuffers reports whether a request fits into the socket's buffers, so that writing
// it doesn't block.
func fitsBuffers(call Call) bool {
	const buffered = 16 << 10
	return call.BodyRemainder == nil && len(call.Body) <= buffered
}

// readResponse reads responses until the one to the call. It skips interim responses,
// and late responses to earlier requests, which have another request ID.
func (x *Exchanger) readResponse(c *conn, call Call) (Result, *http.Response, error) {
	request := &http.Request{Method: call.Method}
	for extra := 0; extra <= maxExtraResponses; extra++ {
		c.input.N = maxHeadBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return Result{}, nil, fmt.Errorf("read response: %w", err)
		}
		c.input.N = math.MaxInt64
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered))
		if err != nil {
			return Result{}, nil, fmt.Errorf("read response body: %w", err)
		}
		id := response.Header.Get(call.IDHeader)
		if id != "" && id != call.RequestID {
			// This one belongs to an earlier request. It can be skipped only if its body has
			// been read completely.
			if len(body) == maxBuffered {
				return Result{}, nil, ErrUnexpectedResponse
			}
			continue
		}
		if id == "" && response.StatusCode/100 == 2 || response.Header.Get("Content-Encoding") != "" {
			return Result{}, nil, ErrUnexpectedResponse
		}
		if extra > 0 {
			response.Close = true
		}
		result := Result{Status: response.StatusCode, Header: response.Header, Body: body, MaybeSent: true}
		if len(body) == maxBuffered {
			result.BodyRemainder = response.Body
		}
		return result, response, nil
	}
	return Result{}, nil, ErrUnexpectedResponse
}

// reusable reports whether a connection can be used for another request: the request was
// written completely, the end of the response is known, and no bytes follow it.
func reusable(c *conn, response *http.Response, written <-chan error) bool {
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

// maxIdleTime returns how long a connection may stay idle and still be reused, according
// to the timeout in the response's Keep-Alive header.
func maxIdleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			timeout := time.Duration(s) * time.Second
			return max(timeout-idleMargin, time.Duration(idleFraction*float64(timeout)))
		}
	}
	return defaultMaxIdle
}

// writeRequest writes a request and its body. A body of unknown length is chunked.
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
	case call.BodyLength > 0 || call.BodyLength == 0 && hasBody(call.Method):
		fmt.Fprintf(&head, "Content-Length: %d\r\n", call.BodyLength)
	case call.BodyLength < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	head.WriteString("\r\n")
	if call.BodyRemainder == nil {
		head.Write(call.Body)
		_, err := w.Write(head.Bytes())
		return err
	}
	return writeStream(w, head.Bytes(), call)
}

// hasBody reports whether requests of a method usually have a body, so that an empty one
// must be announced by a Content-Length of 0.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeStream writes the head of a request and a body that isn't completely in memory.
func writeStream(w io.Writer, head []byte, call Call) error {
	if _, err := w.Write(head); err != nil {
		return err
	}
	body := io.MultiReader(bytes.NewReader(call.Body), call.BodyRemainder)
	if call.BodyLength >= 0 {
		_, err := io.CopyN(w, body, call.BodyLength)
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

// chunkWriter writes the data of each Write as one chunk of a chunked body.
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
