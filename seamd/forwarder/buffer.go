package forwarder

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// streamBufferTimeout limits how long a response of unknown length is buffered. If
	// its end doesn't arrive in time, the response is streamed to the caller.
	streamBufferTimeout = 50 * time.Millisecond
	// chunkBytes is the buffer size of one read from a stream.
	chunkBytes = 16 << 10
)

// bufferStart buffers up to maxBufferedResponseBytes of a response's body. If the length
// is unknown (-1), it stops after streamBufferTimeout. It returns the buffered start and a
// reader of the rest. Reading ends when done is closed.
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

// streamReader reads ahead from a stream in its own goroutine.
type streamReader struct {
	chunks  chan chunk
	current chunk
}

// chunk is the result of one read.
type chunk struct {
	data []byte
	err  error
}

// newStreamReader starts to read from body. It stops when the body ends or fails, or when
// done is closed.
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
