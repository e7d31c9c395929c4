package edger

import (
	"errors"
	"io"
	"net/http"

	"primroseseam.org/seamedge/exchanger"
)

// writePieceBytes is how much of an answer is written at once. The limiter measures by the
// pieces whether a slow caller takes the answer.
const writePieceBytes = 16 << 10

// writeBody sends the body of an answer to the caller. The connections of callers that stop
// taking it are closed by the limiter, so that the write fails.
func (e *Edge) writeBody(w http.ResponseWriter, answer *exchanger.Result) error {
	if answer.BodyRemainder == nil && len(answer.Body) <= writePieceBytes {
		// A short body fits into the buffers of the connection.
		_, err := w.Write(answer.Body)
		return err
	}
	p := pieceWriter{w}
	_, err := p.Write(answer.Body)
	answer.Body = nil
	if answer.BodyRemainder != nil && err == nil {
		_, err = io.CopyBuffer(p, answer.BodyRemainder, make([]byte, writePieceBytes))
	}
	if err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// pieceWriter writes in pieces of at most writePieceBytes.
type pieceWriter struct{ io.Writer }

// Write implements io.Writer.
func (p pieceWriter) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		n, err := p.Writer.Write(data[:min(len(data), writePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		data = data[n:]
	}
	return written, nil
}
