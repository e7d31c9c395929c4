package exchanger

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/seam/validator"
	"primroseseam.org/seamedge/bufferer"
)

//go:generate stringer -type=ResponseFault

const (
	// maxHeadBytes limits the bytes that are read for the head of a response.
	maxHeadBytes = 64 << 10
	// maxExtraResponses is the largest number of responses that are skipped before the response
	// to the request. Interim (1xx) responses and responses that can't be attributed to the
	// request are skipped.
	maxExtraResponses = 3
)

// ResponseFault is what makes bytes from an endpoint no valid response.
type ResponseFault int

const (
	// MalformedResponse means that the status line, a header field or the framing of the body
	// can't be parsed, or that the response is of another major version of HTTP.
	MalformedResponse ResponseFault = iota
	// HeadTooLong means that the head has more than maxHeadBytes.
	HeadTooLong
	// InvalidStatus means that the status is outside 100 to 599, or 101 without having been
	// asked for.
	InvalidStatus
	// InterimLast means that the connection ended after an interim response.
	InterimLast
	// TooManyResponses means that more than maxExtraResponses responses came before the one to
	// the request, or that one of them was too long to be skipped.
	TooManyResponses
	// MissingRequestID means that a 2xx response doesn't name its request.
	MissingRequestID
	// EncodedBody means that the body is encoded, although no encoding was asked for.
	EncodedBody
	responseFaultCount
)

// ResponseFaults returns all faults.
func ResponseFaults() []ResponseFault {
	faults := make([]ResponseFault, responseFaultCount)
	for n := range faults {
		faults[n] = ResponseFault(n)
	}
	return faults
}

// ResponseError means that an endpoint sent bytes that are no valid response to the request.
// Nothing in them counts, so the request may have run.
type ResponseError struct {
	fault ResponseFault
	cause error
}

// Fault returns what makes the response invalid.
func (e *ResponseError) Fault() ResponseFault { return e.fault }

// Error implements error.
func (e *ResponseError) Error() string {
	if e.cause == nil {
		return "invalid response: " + e.fault.String()
	}
	return "invalid response: " + e.fault.String() + ": " + e.cause.Error()
}

// Unwrap returns the error in which the fault showed, or nil.
func (e *ResponseError) Unwrap() error { return e.cause }

// response is a final response to a call with the start of its body. skipped counts the
// responses before it that couldn't be attributed to the call.
type response struct {
	*http.Response
	body    bufferer.Start
	skipped int
}

// readResponse reads responses from a connection until it has the response to the call and
// the start of its body. It skips interim responses and responses that can't be attributed to
// the call. writeFailure returns the error of writing the request, or nil.
func (x *Exchanger) readResponse(c *conn, call Call, writeFailure func() error) (response, error) {
	skipped := 0
	for extra := 0; extra <= maxExtraResponses; extra++ {
		head, err := readHead(c, call)
		if err != nil {
			if extra > skipped && isClosed(err) {
				err = &ResponseError{InterimLast, err}
			}
			return response{}, fmt.Errorf("read response: %w", err)
		}
		if isInterim(head.StatusCode) {
			continue
		}
		if endsWithConnection(head) {
			head.Body = unframedBody{head.Body, writeFailure}
		}
		body, err := bufferer.Read(call.Room, head.Body, bodyLength(head, call))
		if err != nil {
			return response{}, fmt.Errorf("read response body: %w", parseFault(err))
		}
		id := head.Header.Get(call.IDHeader)
		if isForeign(id, call, c.reused() || skipped > 0) {
			body.Release()
			// The response can be skipped only if its whole body has been read.
			if body.More {
				return response{}, &ResponseError{fault: TooManyResponses}
			}
			skipped++
			continue
		}
		if fault, ok := faultOf(head, id); ok {
			body.Release()
			return response{}, &ResponseError{fault: fault}
		}
		if extra > 0 {
			head.Close = true
		}
		return response{head, body, skipped}, nil
	}
	return response{}, &ResponseError{fault: TooManyResponses}
}

// readHead reads the head of a response and checks its version and status.
func readHead(c *conn, call Call) (*http.Response, error) {
	c.input.N = maxHeadBytes
	head, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	switch {
	case err != nil && c.input.N == 0:
		return nil, &ResponseError{fault: HeadTooLong}
	case err != nil:
		return nil, parseFault(err)
	case head.ProtoMajor != 1:
		return nil, &ResponseError{MalformedResponse, fmt.Errorf("version %q", head.Proto)}
	}
	c.input.N = math.MaxInt64
	if err := validator.Status(head.StatusCode); err != nil {
		return nil, &ResponseError{InvalidStatus, err}
	}
	if head.StatusCode == http.StatusSwitchingProtocols {
		// What follows would not be HTTP.
		return nil, &ResponseError{InvalidStatus, errors.New("status 101 without an upgrade")}
	}
	return head, nil
}

// isInterim reports whether another response follows one with this status.
func isInterim(status int) bool { return status < http.StatusOK }

// parseFault returns an error of reading a response as a [ResponseError], unless the connection
// itself failed.
func parseFault(err error) error {
	var failed net.Error
	if isClosed(err) || errors.As(err, &failed) {
		return err
	}
	return &ResponseError{MalformedResponse, err}
}

// isClosed reports whether an error means that no more bytes come.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// faultOf returns what makes a response with the given request ID, or "", invalid for the call
// that it belongs to.
func faultOf(r *http.Response, id string) (ResponseFault, bool) {
	switch {
	case id == "" && r.StatusCode/100 == 2:
		return MissingRequestID, true
	case r.Header.Get("Content-Encoding") != "":
		return EncodedBody, true
	}
	return 0, false
}

// endsWithConnection reports whether the end of a response's body is that of its connection.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// unframedBody is a body that ends with its connection. The system reports a reset of the connection
// once: if the writing of the request gets the error, the body seems to end soundly. So its end counts
// only if the request has been written, or as much of it as there is while its caller pauses.
type unframedBody struct {
	io.ReadCloser
	writeFailure func() error
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.writeFailure(); writeErr != nil {
		return n, fmt.Errorf("%w: the request could not be written: %w", io.ErrUnexpectedEOF, writeErr)
	}
	return n, err
}

// endReader notes whether its Reader was read to its end.
type endReader struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	return n, err
}

// bodyLength returns the size of a response's body, or -1 if it isn't known.
func bodyLength(r *http.Response, call Call) int64 {
	if call.Method == http.MethodHead {
		return 0
	}
	return r.ContentLength
}

// isForeign reports whether a response with the given request ID, or "", can't be
// attributed to the call. Endpoints return the ID of the request. A response without an ID
// may be a late copy of one to an earlier request if the connection has carried other
// responses.
func isForeign(id string, call Call, carriedOthers bool) bool {
	if id == "" {
		return carriedOthers && call.RequestID != ""
	}
	return id != call.RequestID
}

// reusable reports whether a connection can be used for another request after a whole response. This
// requires that it has carried fewer than maxRequestsPerConn, that the end of the response is known, that
// the response isn't marked to close the connection, and that no bytes follow it.
func reusable(c *conn, r *http.Response) bool {
	return len(c.requests) < maxRequestsPerConn && !endsWithConnection(r) && !r.Close && c.reader.Buffered() == 0
}

// maxIdleTime returns how long a connection may be idle and still be reused. The time is
// derived from the timeout in the Keep-Alive header of the last response. If the header has
// no valid timeout, the time is defaultMaxIdle.
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
