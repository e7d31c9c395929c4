package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxBufferedBodyBytes is the maximum number of bytes of a request's body that are
// buffered. A shorter body is buffered completely, so that the request can be sent again.
const maxBufferedBodyBytes = 64 << 10

// RequestBody is the body of a request. A body shorter than maxBufferedBodyBytes is
// buffered and can be read any number of times. Of a longer body, only the start is
// buffered; the rest is streamed, so the body can be read only once.
type RequestBody struct {
	buffered   []byte
	unbuffered io.Reader
	length     int64
}

// ReadRequestBody returns the body of a request with the given declared length, or -1 if
// the length is unknown. It reads and buffers up to maxBufferedBodyBytes. It returns an
// error if the body can't be read, or if a short body doesn't have its declared length.
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
