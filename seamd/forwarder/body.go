package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxBufferedBodyBytes limits how much of a request's body is buffered. A body that is
// shorter is buffered completely, so that the request can be sent again.
const maxBufferedBodyBytes = 64 << 10

// RequestBody is the body of a request. A short body is buffered and can be read any
// number of times; a long one is streamed and can be read only once.
type RequestBody struct {
	buffered   []byte
	unbuffered io.Reader
	length     int64
}

// ReadRequestBody reads a body of the given length into a buffer, or its start if it is
// long. The length is -1 if it is unknown.
func ReadRequestBody(body io.Reader, length int64) (RequestBody, error) {
	size := int64(maxBufferedBodyBytes)
	if length >= 0 {
		// Reading one byte more than the length reaches the end of the body.
		size = min(size, length+1)
	}
	buffered := make([]byte, size)
	n, err := io.ReadFull(body, buffered)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		if length >= 0 && int64(n) != length {
			return RequestBody{}, fmt.Errorf("request body has %d bytes, but its declared length is %d", n, length)
		}
		return RequestBody{buffered: buffered[:n], length: int64(n)}, nil
	case err != nil:
		return RequestBody{}, fmt.Errorf("read request body: %w", err)
	}
	return RequestBody{buffered: buffered, unbuffered: body, length: length}, nil
}

// Repeatable reports whether the body can be sent more than once.
func (b RequestBody) Repeatable() bool { return b.unbuffered == nil }

// Length returns the size of the body in bytes, or -1 if it is unknown.
func (b RequestBody) Length() int64 { return b.length }

// Reader returns a reader that starts at the beginning of the body.
func (b RequestBody) Reader() io.Reader {
	if b.unbuffered == nil {
		return bytes.NewReader(b.buffered)
	}
	return io.MultiReader(bytes.NewReader(b.buffered), b.unbuffered)
}
