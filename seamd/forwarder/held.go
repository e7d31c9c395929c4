package forwarder

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// streamPatience is how long the start of an answer of unknown length is
	// held back for its end. A slow stream is passed on as it comes.
	streamPatience = 50 * time.Millisecond
	// pumpBytes is the size of one read from a stream.
	pumpBytes = 16 << 10
)

// readHeld reads the start of an answer: all of a short one. It returns the
// start and a reader of the rest.
func readHeld(body io.Reader, length int64, done <-chan struct{}) ([]byte, io.Reader, error) {
	if length >= 0 {
		held, err := io.ReadAll(io.LimitReader(body, maxHeldAnswerBytes))
		return held, body, err
	}
	p := newPump(body, done)
	timer := time.NewTimer(streamPatience)
	defer timer.Stop()
	var held bytes.Buffer
	for held.Len() < maxHeldAnswerBytes {
		select {
		case part := <-p.parts:
			held.Write(part.data)
			switch {
			case errors.Is(part.err, io.EOF):
				return held.Bytes(), bytes.NewReader(nil), nil
			case part.err != nil:
				return held.Bytes(), nil, part.err
			}
		case <-timer.C:
			return held.Bytes(), p, nil
		}
	}
	return held.Bytes(), p, nil
}

// pump reads a stream beside its user, one part ahead.
type pump struct {
	parts chan part
	rest  part
}

// part is what one read gave.
type part struct {
	data []byte
	err  error
}

// newPump reads until the stream fails or done is closed.
func newPump(body io.Reader, done <-chan struct{}) *pump {
	p := &pump{parts: make(chan part, 1)}
	go func() {
		for {
			data := make([]byte, pumpBytes)
			n, err := body.Read(data)
			select {
			case p.parts <- part{data: data[:n], err: err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return p
}

// Read implements io.Reader.
func (p *pump) Read(out []byte) (int, error) {
	for len(p.rest.data) == 0 && p.rest.err == nil {
		p.rest = <-p.parts
	}
	if len(p.rest.data) == 0 {
		return 0, p.rest.err
	}
	n := copy(out, p.rest.data)
	p.rest.data = p.rest.data[n:]
	return n, nil
}
