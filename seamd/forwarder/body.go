package forwarder

import (
	"bytes"
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
	// io.ReadFull doesn't fit here: it returns the same error for a body that ends early as
	// for a complete one that is shorter than the buffer.
	buffered, err := io.ReadAll(io.LimitReader(body, size))
	switch n := int64(len(buffered)); {
	case err != nil:
		return RequestBody{}, fmt.Errorf("read request body: %w", err)
	case n == size:
		return RequestBody{buffered: buffered, unbuffered: body, length: length}, nil
	case length >= 0 && n != length:
		return RequestBody{}, fmt.Errorf("request body has %d bytes, but its declared length is %d", n, length)
	default:
		return RequestBody{buffered: buffered, length: n}, nil
	}
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
