package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"primroseseam.org/seam/dialer"
)

// deliveryCheckInterval is the time between two looks at what has reached an endpoint.
const deliveryCheckInterval = 50 * time.Millisecond

// errConnEnded means that the connection ended before the whole request had reached the endpoint.
var errConnEnded = errors.New("the endpoint ended the connection")

// transfer sends one request on a connection and reads its response.
type transfer struct {
	x    *Exchanger
	conn *conn
	call Call
	// source is the source of the body of an upload, or nil if the call has the whole body. writeEnded is
	// closed when the request was written, or couldn't be. Then writeErr is the result.
	source     *uploadSource
	writeEnded chan struct{}
	writeErr   error
	// stopContext ends the watch of the context, and reports whether the context was active until then.
	// stopWatch ends the watch of the path.
	stopContext func() bool
	stopWatch   func()
	// detached means that the end of the context no longer ends the transfer.
	detached bool
	// endedAt is when the context ended, in nanoseconds of Unix time, or 0. pathDead is set if the path
	// was found dead.
	endedAt  atomic.Int64
	pathDead atomic.Bool
}

// transfer sends the request of a call on a connection and reads the response. It then ends the use of the
// connection; see ending. If the rest of the response body is to be streamed, or the endpoint still reads
// the request, the connection stays in use until Close of the result is called.
func (x *Exchanger) transfer(ctx context.Context, c *conn, call Call) Result {
	t := &transfer{x: x, conn: c, call: call, writeEnded: make(chan struct{}), stopWatch: func() {}}
	if call.BodyRemainder != nil {
		t.source = &uploadSource{Reader: call.BodyRemainder}
		t.call.BodyRemainder = t.source
	}
	t.start(ctx)
	received, err := x.readResponse(c, call, t.writeFailure)
	if err != nil {
		return t.fail(err)
	}
	return t.result(received)
}

// start writes the request, or begins to write a long one. All reads and writes fail when ctx ends, at the
// call's deadline, or if the path of a long request is dead.
func (t *transfer) start(ctx context.Context) {
	_ = t.conn.SetDeadline(t.call.Deadline)
	t.stopContext = context.AfterFunc(ctx, func() {
		t.endedAt.Store(time.Now().UnixNano())
		_ = t.conn.SetDeadline(time.Unix(1, 0))
	})
	if fitsBuffers(t.call) {
		t.write()
		return
	}
	t.conn.resetOnClose(true)
	// The endpoint may read slowly, and then its receive window closes.
	t.stopWatch = dialer.WatchPath(t.conn.Conn.(syscall.Conn), func() {
		t.pathDead.Store(true)
		_ = t.conn.SetDeadline(time.Unix(1, 0))
	})
	// The endpoint may respond before it has read a long body, so the response is read while the request
	// is being written.
	go t.write()
}

// write writes the request.
func (t *transfer) write() {
	defer close(t.writeEnded)
	t.writeErr = writeRequest(t.conn, t.call)
}

// fail ends the transfer without a response.
func (t *transfer) fail(err error) Result {
	t.stopContext()
	t.stopWatch()
	t.end(resetConn)
	if t.pathDead.Load() {
		err = fmt.Errorf("%w: %w", ErrPathDead, err)
	}
	failure := Result{Err: err, MaybeSent: true}
	if at := t.endedAt.Load(); at != 0 {
		failure.CloseAfter = time.Since(time.Unix(0, at))
	}
	return failure
}

// result returns the result of a call with a response. It ends the transfer, or leaves that to Close of
// the result.
func (t *transfer) result(received response) Result {
	body := received.body
	result := Result{
		Status: received.StatusCode, Header: received.Header, Body: body.Data,
		MaybeSent: true, SkippedResponses: received.skipped,
	}
	arrived := t.written() && t.delivered()
	uploading := readsOn(received.Response) && !arrived
	result.UploadRefused = !uploading && !arrived
	if uploading {
		result.AwaitUpload = t.awaitUpload
	}
	switch {
	case body.More:
		rest := &endReader{Reader: received.Body}
		result.BodyRemainder, result.BodyLength = rest, bodyLength(received.Response, t.call)
		result.Close = func() {
			body.Release()
			t.finish(received, rest.ended)
		}
	case uploading:
		result.Close = func() {
			body.Release()
			t.finish(received, true)
		}
	default:
		if body.Reserved() {
			result.Close = body.Release
		}
		t.finish(received, true)
	}
	return result
}

// finish ends the transfer after a response, of which all was read or only a part.
func (t *transfer) finish(r response, wholeResponse bool) {
	active := t.stopContext() || t.detached
	t.stopWatch()
	how := endingOf(wholeResponse, t.written(), active && t.delivered() && !r.body.More && reusable(t.conn, r.Response))
	if how == keepConn {
		t.conn.maxIdle = maxIdleTime(r.Header)
	}
	t.end(how)
}

// end ends the use of the connection.
func (t *transfer) end(how ending) {
	t.conn.resetOnClose(how == resetConn)
	if how != keepConn {
		_ = t.conn.Close()
		return
	}
	_ = t.conn.SetDeadline(time.Time{})
	t.conn.lastUsed = time.Now()
	t.x.pool.put(t.call.Address, t.conn)
}

// readsOn reports whether an endpoint that sent a response may still read the request's body. One that
// refuses a request and announces the end of the connection doesn't.
func readsOn(r *http.Response) bool { return !r.Close || r.StatusCode < http.StatusMultipleChoices }

// awaitUpload waits until the whole request has reached the endpoint. It returns an error if it can't, or
// if ctx ends before that. The end of the call's context no longer ends the transfer.
func (t *transfer) awaitUpload(ctx context.Context) error {
	t.detached = t.stopContext()
	ticker := time.NewTicker(deliveryCheckInterval)
	defer ticker.Stop()
	writeEnded := t.writeEnded
	for !t.written() || !t.delivered() {
		if err := t.uploadFailure(); err != nil {
			return err
		}
		select {
		case <-writeEnded:
			writeEnded = nil
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// uploadFailure returns why the whole request can't reach the endpoint any more, or nil. What is left of it
// may be in the system's buffers, where no write shows that the connection has ended.
func (t *transfer) uploadFailure() error {
	select {
	case <-t.writeEnded:
		if t.writeErr != nil {
			return t.writeErr
		}
	default:
	}
	if dialer.Ended(t.conn.Conn.(syscall.Conn)) {
		return errConnEnded
	}
	return nil
}

// written reports whether the whole request was written.
func (t *transfer) written() bool {
	select {
	case <-t.writeEnded:
		return t.writeErr == nil
	default:
		return false
	}
}

// writeFailure returns the error of writing the request, or nil. It waits until the request was written or
// the source of its body pauses: then there is nothing to write for a while.
func (t *transfer) writeFailure() error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for t.source == nil || !t.source.pauses() {
		select {
		case <-t.writeEnded:
			return t.writeErr
		case <-ticker.C:
		}
	}
	return nil
}

// delivered reports whether all that was written has reached the endpoint. A request that fits into the
// buffers is taken to have.
func (t *transfer) delivered() bool {
	return fitsBuffers(t.call) || dialer.Delivered(t.conn.Conn.(syscall.Conn))
}
