package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxHeldBodyBytes is the size up to which a request's body is kept, so that
// the request can be sent again.
const maxHeldBodyBytes = 64 << 10

// RequestBody is the body of a request. A short one is held and may be read again;
// a long one is streamed once.
type RequestBody struct {
	held   []byte
	rest   io.Reader
	length int64
}

// ReadRequestBody reads the start of a body of the given length, -1 if unknown.
func ReadRequestBody(body io.Reader, length int64) (RequestBody, error) {
	size := int64(maxHeldBodyBytes)
	if length >= 0 {
		// One byte more shows that the body is whole.
		size = min(size, length+1)
	}
	held := make([]byte, size)
	n, err := io.ReadFull(body, held)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		if length >= 0 && int64(n) != length {
			return RequestBody{}, fmt.Errorf("body has %d bytes instead of %d", n, length)
		}
		return RequestBody{held: held[:n], length: int64(n)}, nil
	case err != nil:
		return RequestBody{}, fmt.Errorf("read body: %w", err)
	}
	return RequestBody{held: held, rest: body, length: length}, nil
}

// Repeatable reports whether the body can be sent more than once.
func (c RequestBody) Repeatable() bool { return c.rest == nil }

// Length returns the size of the body in bytes, or -1 if it is not known.
func (c RequestBody) Length() int64 { return c.length }

// Reader returns the body from its start.
func (c RequestBody) Reader() io.Reader {
	if c.rest == nil {
		return bytes.NewReader(c.held)
	}
	return io.MultiReader(bytes.NewReader(c.held), c.rest)
}
