package edger

import (
	"errors"
	"io"
	"net/http"
	"time"

	"primroseseam.org/seamedge/bufferer"
	"primroseseam.org/seamedge/exchanger"
)

// writeBody sends the body of an answer to the caller. A caller that takes nothing of it for
// the configuration's idle timeout is given up: it would hold the buffer, and the connection
// to the endpoint, for ever.
func (e *Edge) writeBody(w http.ResponseWriter, answer *exchanger.Result) error {
	if answer.BodyRemainder == nil && len(answer.Body) <= bufferer.SmallBytes {
		// A short body fits into the buffers of the connection.
		_, err := w.Write(answer.Body)
		return err
	}
	e.mu.Lock()
	maxIdle := e.model.Limits().IdleTimeout
	e.mu.Unlock()
	if maxIdle <= 0 {
		maxIdle = idleTimeout
	}
	p := &progressWriter{w: w, control: http.NewResponseController(w), maxIdle: maxIdle}
	_, err := p.Write(answer.Body)
	answer.Body = nil
	if answer.BodyRemainder != nil && err == nil {
		_, err = io.CopyBuffer(p, answer.BodyRemainder, make([]byte, bufferer.SmallBytes))
	}
	if err != nil {
		return err
	}
	return p.end()
}

// progressWriter writes to a caller and fails if the caller takes nothing for maxIdle.
type progressWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	maxIdle time.Duration
}

// Write implements io.Writer. It writes in small parts, so that a slow caller shows progress.
func (p *progressWriter) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		if err := p.control.SetWriteDeadline(time.Now().Add(p.maxIdle)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return written, err
		}
		n, err := p.w.Write(data[:min(len(data), bufferer.SmallBytes)])
		written += n
		if err != nil {
			return written, err
		}
		data = data[n:]
	}
	return written, nil
}

// end sends what is still buffered and takes the deadline away, which the next answer on the
// connection must not meet.
func (p *progressWriter) end() error {
	err := errors.Join(p.control.Flush(), p.control.SetWriteDeadline(time.Time{}))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
