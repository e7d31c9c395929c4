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

// unknownField is how the standard library begins its error.
const unknownField = "json: unknown field "

// decode reads one JSON object into out. It refuses unknown fields, fields
// that stand twice and data after the object.
func decode(data []byte, out any) error {
	if path, err := findDuplicate(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return coder.Errorf(coder.SettingsInvalid, path, "not JSON: %w; check for a missing brace, quote or comma", err)
	} else if path != "" {
		return coder.Errorf(coder.SettingsInvalid, path, "stands twice; keep one")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return coder.Errorf(coder.SettingsInvalid, "", "data after the settings; a file holds one JSON object")
	}
	return nil
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return coder.Errorf(coder.SettingsInvalid, wrongType.Field, "a JSON %s doesn't fit; write a %v", wrongType.Value, wrongType.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return coder.Errorf(coder.SettingsInvalid, strings.Trim(name, `"`), "no such setting; check the spelling and docs/OPERATIONS.md")
	}
	return coder.Errorf(coder.SettingsInvalid, "", "not settings: %w", err)
}

// findDuplicate returns the path of the first field that stands twice in the
// next value, or "".
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
		inner := strings.TrimPrefix(path+"."+name, ".")
		// Field names match in any case, so they clash in any case.
		folded := strings.ToLower(name)
		if seen[folded] {
			return inner, nil
		}
		seen[folded] = true
		if found, err := findDuplicate(dec, inner); found != "" || err != nil {
			return found, err
		}
	}
	_, err := dec.Token()
	return pathOf(path, err), err
}

func duplicateInArray(dec *json.Decoder, path string) (string, error) {
	for i := 0; dec.More(); i++ {
		if found, err := findDuplicate(dec, fmt.Sprintf("%s[%d]", path, i)); found != "" || err != nil {
			return found, err
		}
	}
	_, err := dec.Token()
	return pathOf(path, err), err
}

// pathOf returns the path only if there is an error to go with it.
func pathOf(path string, err error) string {
	if err == nil {
		return ""
	}
	return path
}
