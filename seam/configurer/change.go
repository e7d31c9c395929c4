package configurer

import (
	"bytes"
	"encoding/json"
	"time"

	"primroseseam.org/seam/coder"
)

// Change records who changed the configuration, when and why. It is stored in the
// same object as the document, so that a single write updates the document and the
// record.
type Change struct {
	// ID is unique for each change. If the response to a write is lost, the writer
	// can read the object and find out by the ID whether the change was stored.
	ID string `json:"id"`
	// Sequence numbers the accepted changes from 1.
	Sequence int64     `json:"sequence"`
	Operator string    `json:"operator,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at"`
}

// Stored is the JSON value of a configuration object in the store: a document and the
// record of the change that made the document.
type Stored struct {
	Document
	Change *Change `json:"change,omitempty"`
}

// ParseStored decodes the value of a configuration object. It rejects unknown fields
// and trailing data. It doesn't validate the values in the document, which [New] does.
func ParseStored(data []byte) (Stored, error) {
	var stored Stored
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&stored); err != nil {
		return Stored{}, coder.Errorf(coder.ConfigInvalid, "", "decode configuration: %w", err)
	}
	if dec.More() {
		return Stored{}, coder.Errorf(coder.ConfigInvalid, "", "unexpected data after the JSON document")
	}
	return stored, nil
}
