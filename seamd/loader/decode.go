package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"primroseseam.org/seam/coder"
)

// unknownFieldPrefix is how encoding/json's error for an unknown field starts. There is
// no error type by which it could be detected.
const unknownFieldPrefix = "json: unknown field "

// decode decodes a single JSON object into out. It rejects unknown fields, duplicate
// fields and data after the object.
func decode(data []byte, out any) error {
	if path, err := findDuplicate(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return coder.Errorf(coder.SettingsInvalid, path, "invalid JSON: %w; check for a missing brace, quote or comma", err)
	} else if path != "" {
		return coder.Errorf(coder.SettingsInvalid, path, "duplicate field; remove one")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return wrapDecodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return coder.Errorf(coder.SettingsInvalid, "", "unexpected data after the JSON object; the file must contain a single one")
	}
	return nil
}

// wrapDecodeError converts an error of encoding/json to a SettingsInvalid error. The
// error has the path of the invalid field, if that is known.
func wrapDecodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return coder.Errorf(coder.SettingsInvalid, wrongType.Field, "is a JSON %s; expected a value of type %v", wrongType.Value, wrongType.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return coder.Errorf(coder.SettingsInvalid, strings.Trim(name, `"`), "unknown setting; check the spelling against docs/OPERATIONS.md")
	}
	return coder.Errorf(coder.SettingsInvalid, "", "invalid settings: %w", err)
}

// findDuplicate reads the next JSON value and returns the path of the first field in it
// that occurs twice in one object, or "" if there is none. If the JSON is invalid, it
// returns the error and the path at which the error occurred.
func findDuplicate(dec *json.Decoder, path string) (string, error) {
	token, err := dec.Token()
	if err != nil {
		return path, err
	}
	switch token {
	case json.Delim('{'):
		return duplicateInObject(dec, path)
	case json.Delim('['):
		return duplicateInArray(dec, path)
	}
	return "", nil
}

func duplicateInObject(dec *json.Decoder, path string) (string, error) {
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return path, err
		}
		name := fmt.Sprint(token)
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		// encoding/json ignores case in field names, so names that differ only in
		// case are duplicates.
		lowerName := strings.ToLower(name)
		if seen[lowerName] {
			return fieldPath, nil
		}
		seen[lowerName] = true
		if found, err := findDuplicate(dec, fieldPath); found != "" || err != nil {
			return found, err
		}
	}
	_, err := dec.Token()
	return pathIfError(path, err), err
}

func duplicateInArray(dec *json.Decoder, path string) (string, error) {
	for i := 0; dec.More(); i++ {
		if found, err := findDuplicate(dec, fmt.Sprintf("%s[%d]", path, i)); found != "" || err != nil {
			return found, err
		}
	}
	_, err := dec.Token()
	return pathIfError(path, err), err
}

// pathIfError returns path if err isn't nil, and "" otherwise.
func pathIfError(path string, err error) string {
	if err == nil {
		return ""
	}
	return path
}
