package tracer

import (
	"encoding/json"
	"fmt"
	"io"

	"primroseseam.org/seam/configurer"
)

// Writer writes a trace line by line. It is not safe for concurrent use.
type Writer struct{ enc *json.Encoder }

// NewWriter writes the header to w and returns a writer for the events. It sets the
// header's format and version to those of this package.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	h.Format, h.Version = Format, Version
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(h); err != nil {
		return nil, fmt.Errorf("write header: %w", err)
	}
	return &Writer{enc: enc}, nil
}

// Write writes one event.
func (w *Writer) Write(e Event) error {
	body, err := json.Marshal(e.body)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	line := eventLine{eventHead: eventHead{At: configurer.Duration(e.at), Type: e.body.kind()}, Body: body}
	if err := w.enc.Encode(line); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

// Describe returns a line for reports: the type of an event and the JSON of its body.
func Describe(body Body) string {
	fields, err := json.Marshal(body)
	if err != nil {
		return body.kind()
	}
	return body.kind() + " " + string(fields)
}
