// Package exchanger is an HTTP/1.1 client with a connection pool. The edge daemon,
// seamedge, uses it to send callers' requests to endpoints, the servers of the users'
// services.
//
// It doesn't use the client of net/http, because callers are given these guarantees: a
// request is never resent automatically, a response is accepted only if it belongs to the
// attempt, and a connection on which unexpected bytes arrive is closed. Endpoints return the
// ID of the request, which all attempts of a request share; so no connection carries two
// attempts of the same request.
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
	"hash/maphash"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"primroseseam.org/seam/validator"
	"primroseseam.org/seamedge/bufferer"
)

// ErrInvalidCall means that the head of the request would not arrive as it is: some text in it
// would end a line or be changed by the receiver. Nothing was sent.
var ErrInvalidCall = errors.New("request can't be sent unchanged")

// ErrPathDead means that the endpoint acknowledged nothing for too long while a long request was
// sent. An endpoint that only reads slowly acknowledges what arrives.
var ErrPathDead = errors.New("path to endpoint is dead")

// Call is a request to an endpoint.
type Call struct {
	Address string
	Method  string
	URI     string
	Host    string
	// Header is sent unchanged. It must not hold hop-by-hop headers.
	Header http.Header
	// Body is the whole request body or its beginning. BodyRemainder reads the part of
	// the body after Body; it is nil if Body is the whole body. BodyLength is the size of
	// both parts together, or -1 if it isn't known.
	Body          []byte
	BodyRemainder io.Reader
	BodyLength    int64
	// RequestID is the ID of the request. IDHeader is the name of the response header in
	// which the endpoint returns this ID. A response without this header is accepted only
	// if it isn't a 2xx response and is the first one on a new connection: nothing else
	// can have been sent there before. Calls with the same ID, or without one, use
	// different connections.
	RequestID string
	IDHeader  string
	// NonIdempotent means that the request must not run more than once. Such a request
	// is not sent on a connection that has been idle for longer than
	// nonIdempotentMaxIdle, since the endpoint may have dropped the connection.
	NonIdempotent bool
	Deadline      time.Time
	// Room is the memory for the buffered part of the response body, or nil if there is no
	// limit.
	Room bufferer.Room
}

// Result is the outcome of a call: a response, or an error.
type Result struct {
	// Status is a final status, from 200 to 599.
	Status int
	Header http.Header
	Body   []byte
	// BodyRemainder reads the part of the response body after Body. It is nil if the
	// whole body is buffered; see package bufferer. Close frees the buffer and, if
	// BodyRemainder is set, closes the connection. It must be called once if it is set.
	BodyRemainder io.Reader
	Close         func()
	// BodyLength is the size of the whole response body if BodyRemainder is set, or -1 if it isn't known.
	BodyLength int64
	// AwaitUpload is set if the endpoint answered before the whole request body had reached it and
	// hasn't announced that it closes the connection. It returns when the body has reached the
	// endpoint, or can't, or ctx ends; the end of the call's context no longer ends the upload then. Close
	// must be called afterwards; before, it ends the upload.
	AwaitUpload func(ctx context.Context) error
	// UploadRefused means that the endpoint refused the request before the whole body had reached it, and
	// has announced that it closes the connection. The rest of the body isn't read.
	UploadRefused bool
	// Err is set if there is no valid response or its body broke off within the buffered
	// part. If the body breaks off later, reading BodyRemainder returns the error. If what
	// arrived is no valid response, Err wraps a [ResponseError].
	Err error
	// MaybeSent means that some bytes of the request may have reached the endpoint.
	MaybeSent bool
	// DialTime is how long it took to open a new connection for the call. It is 0 if an
	// idle connection was used or no connection could be opened. ConnectionReused means
	// that an idle connection was used. ConnectionID is a number that no other connection
	// of the Exchanger has, or 0 if no connection could be opened.
	DialTime         time.Duration
	ConnectionReused bool
	ConnectionID     uint64
	// SkippedResponses is the number of responses that were skipped because they couldn't
	// be attributed to the request. It is 0 if the call failed.
	SkippedResponses int
	// CloseAfter is the time from the end of the call's context to the closing of the
	// connection. It is 0 unless the context ended while the connection was in use and
	// the call failed.
	CloseAfter time.Duration
}

// Exchanger sends calls and keeps idle connections to endpoints. It is safe for
// concurrent use.
type Exchanger struct {
	pool       pool
	seed       maphash.Seed
	openConns  atomic.Int64
	lastConnID atomic.Uint64
	// lastProbeID numbers the probes.
	lastProbeID     atomic.Uint64
	minKeptDialTime time.Duration
}

// Option configures an Exchanger in New.
type Option func(*Exchanger)

// WithMinKeptDialTime sets the dial time from which on a connection is kept open with probes.
func WithMinKeptDialTime(d time.Duration) Option {
	return func(x *Exchanger) { x.minKeptDialTime = d }
}

// New returns an exchanger without connections.
func New(opts ...Option) *Exchanger {
	x := &Exchanger{seed: maphash.MakeSeed(), pool: pool{idle: map[string][]*conn{}}, minKeptDialTime: defaultMinKeptDialTime}
	for _, opt := range opts {
		opt(x)
	}
	return x
}

// Connections returns two counts. openConns counts all connections, including the idle
// ones and those that are still being opened. idle counts only the idle ones.
func (x *Exchanger) Connections() (openConns, idle int) {
	return int(x.openConns.Load()), x.pool.count()
}

// PruneIdle closes the idle connections that can't be reused: those that have been idle too
// long, that the endpoint has closed, or on which unexpected bytes have arrived.
func (x *Exchanger) PruneIdle() { x.pool.prune(time.Now()) }

// TrimIdle closes idle connections, the longest idle first, until at most maxIdle idle
// connections are left.
func (x *Exchanger) TrimIdle(maxIdle int) {
	if excess := x.pool.count() - maxIdle; excess > 0 {
		x.pool.closeOldest(excess)
	}
}

// HasIdle reports whether there is an idle connection to an address that hasn't been idle
// for too long to be reused. For a non-idempotent request, the limit is
// nonIdempotentMaxIdle if that is shorter. HasIdle doesn't check whether the endpoint has
// closed the connection.
func (x *Exchanger) HasIdle(address string, nonIdempotent bool) bool {
	return x.pool.hasIdle(address, nonIdempotent, time.Now())
}

// Connect opens a connection to an address and keeps it as an idle one. It returns an error
// if that fails within dialTimeout.
func (x *Exchanger) Connect(ctx context.Context, address string) error {
	c, err := x.dial(ctx, address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	x.pool.put(address, c)
	return nil
}

// CloseIdle closes the idle connections to an address.
func (x *Exchanger) CloseIdle(address string) { x.pool.closeIdle(address) }

// Do sends the request of a call, on an idle connection or a new one, and reads the
// response. It fails when ctx ends or at the call's deadline.
func (x *Exchanger) Do(ctx context.Context, call Call) Result {
	if err := ctx.Err(); err != nil {
		return Result{Err: err}
	}
	if err := validate(call); err != nil {
		return Result{Err: err}
	}
	call = call.withDefaults()
	id := maphash.String(x.seed, call.RequestID)
	c := x.pool.take(call.Address, poolRequest{id: id, nonIdempotent: call.NonIdempotent}, time.Now())
	reused := c != nil
	if c == nil {
		ctx, cancel := context.WithDeadline(ctx, call.Deadline)
		defer cancel()
		var err error
		if c, err = x.dial(ctx, call.Address); err != nil {
			return Result{Err: fmt.Errorf("connect: %w", err)}
		}
	}
	c.requests = append(c.requests, id)
	c.lastRequest = time.Now()
	result := x.transfer(ctx, c, call)
	result.ConnectionReused = reused
	result.ConnectionID = c.id
	if !reused {
		result.DialTime = c.dialTime
	}
	return result
}

// withDefaults returns the call with the values that stand for fields that aren't set.
func (c Call) withDefaults() Call {
	if c.Room == nil {
		c.Room = bufferer.Unlimited{}
	}
	return c
}

// validate returns an error that wraps ErrInvalidCall if the head of a call's request would
// not arrive as it is. It is the only check between text from outside and endpoints.
func validate(call Call) error {
	err := errors.Join(validator.Token(call.Method), validator.Word(call.URI), validator.Word(call.Host))
	if err != nil {
		return fmt.Errorf("%w: request line or host: %w", ErrInvalidCall, err)
	}
	for name, values := range call.Header {
		if err := validator.Token(name); err != nil {
			return fmt.Errorf("%w: name of header %q: %w", ErrInvalidCall, name, err)
		}
		for _, v := range values {
			if err := validator.FieldValue(v); err != nil {
				return fmt.Errorf("%w: value of header %q: %w", ErrInvalidCall, name, err)
			}
		}
	}
	return nil
}

// fitsBuffers reports whether a request is so small that it fits into the socket's buffers
// and writing it doesn't block.
func fitsBuffers(call Call) bool {
	const buffered = 16 << 10
	return call.BodyRemainder == nil && len(call.Body) <= buffered
}

// writeRequest writes a request and its body. A body of unknown length is sent in chunked
// encoding.
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

// hasBody reports whether requests of a method usually have a body. For such a method, an
// empty body must be announced by a Content-Length of 0.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeStream writes the head of a request, and then its body from call.Body and
// call.BodyRemainder.
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
	chunks := chunkWriter{buffer}
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if _, err := buffer.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return buffer.Flush()
}

// chunkWriter writes the data of each Write as one chunk of a chunked body. It holds nothing back, since
// the source of the body may pause.
type chunkWriter struct{ buffer *bufio.Writer }

// Write implements io.Writer.
func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(c.buffer, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	n, err := c.buffer.Write(p)
	if err != nil {
		return n, err
	}
	if _, err = c.buffer.WriteString("\r\n"); err != nil {
		return n, err
	}
	return n, c.buffer.Flush()
}
