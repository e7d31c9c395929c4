package forwarder

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// streamBufferTimeout is the maximum time for which the start of a response of
	// unknown length is buffered. If the response hasn't ended by then, it is
	// streamed to the caller.
	streamBufferTimeout = 50 * time.Millisecond
	// chunkBytes is the size of the buffer for one read from a response's body.
	chunkBytes = 16 << 10
)

// bufferStart reads up to maxBufferedResponseBytes of a response's body. If the length is
// unknown (-1), it stops after streamBufferTimeout. It returns the bytes read and a
// reader of the rest of the body. Closing done stops the goroutine that reads a body of
// unknown length.
func bufferStart(body io.Reader, length int64, done <-chan struct{}) ([]byte, io.Reader, error) {
	if length >= 0 {
		buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedResponseBytes))
		return buffered, body, err
	}
	stream := newStreamReader(body, done)
	timer := time.NewTimer(streamBufferTimeout)
	defer timer.Stop()
	var buffered bytes.Buffer
	for buffered.Len() < maxBufferedResponseBytes {
		select {
		case next := <-stream.chunks:
			buffered.Write(next.data)
			switch {
			case errors.Is(next.err, io.EOF):
				return buffered.Bytes(), bytes.NewReader(nil), nil
			case next.err != nil:
				return buffered.Bytes(), nil, next.err
			}
		case <-timer.C:
			return buffered.Bytes(), stream, nil
		}
	}
	return buffered.Bytes(), stream, nil
}

// streamReader reads a body in a goroutine of its own, up to two chunks ahead of its own
// reader. This way, bufferStart can stop waiting for a slow body.
type streamReader struct {
	chunks  chan chunk
	current chunk
}

// chunk is the result of one read from a body.
type chunk struct {
	data []byte
	err  error
}

// newStreamReader starts the goroutine that reads from body. The goroutine stops when the
// body ends or fails, or when done is closed.
func newStreamReader(body io.Reader, done <-chan struct{}) *streamReader {
	s := &streamReader{chunks: make(chan chunk, 1)}
	go func() {
		for {
			data := make([]byte, chunkBytes)
			n, err := body.Read(data)
			select {
			case s.chunks <- chunk{data: data[:n], err: err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return s
}

// Read implements io.Reader.
func (s *streamReader) Read(out []byte) (int, error) {
	for len(s.current.data) == 0 && s.current.err == nil {
		s.current = <-s.chunks
	}
	if len(s.current.data) == 0 {
		return 0, s.current.err
	}
	n := copy(out, s.current.data)
	s.current.data = s.current.data[n:]
	return n, nil
}
