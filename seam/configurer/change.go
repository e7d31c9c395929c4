package configurer

import (
	"bytes"
	"encoding/json"
	"time"

	"primroseseam.org/seam/coder"
)

// Change says who put a version in the store, and why. The store's value
// carries it beside the document, so that both are accepted together.
type Change struct {
	// ID is unique for each change; a lost answer is settled by it.
	ID string `json:"id"`
	// Sequence counts accepted changes from 1.
	Sequence int64     `json:"sequence"`
	Operator string    `json:"operator,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at"`
}

// Stored is the value of a configuration object in the store.
type Stored struct {
	Document
	Change *Change `json:"change,omitempty"`
}

// ParseStored decodes a store's value without the semantic checks.
func ParseStored(data []byte) (Stored, error) {
	var stored Stored
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&stored); err != nil {
		return Stored{}, coder.Errorf(coder.ConfigInvalid, "", "not a configuration: %w", err)
	}
	if dec.More() {
		return Stored{}, coder.Errorf(coder.ConfigInvalid, "", "data after the document")
	}
	return stored, nil
}
