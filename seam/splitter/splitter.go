// Package splitter splits a JSON text into the values of its outermost array or object. The values
// stay as they are: one that can't be decoded doesn't make the others unreadable. The module
// platform uses it for responses of the store, and the package patcher for documents.
//
// # Usage
//
//	members, err := splitter.Members([]byte(`{"a": 1, "b": [2, 3]}`))
//	list, err := splitter.Array(members[1].Value)
package splitter

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformed means that a text is no array or object, or that a bracket or string has no end.
var ErrMalformed = errors.New("malformed JSON")

// Member is a value of an object, and its name.
type Member struct {
	Name  string
	Value json.RawMessage
}

// scanner splits a JSON text into the values of its outermost array or object without
// decoding these values. It uses no recursion, so the nesting of the values doesn't
// matter.
type scanner struct {
	data []byte
	at   int
}

// skipSpace moves to the next byte that isn't white space and returns it, or 0 at the end.
func (s *scanner) skipSpace() byte {
	for ; s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// next moves past the given byte, which must be the next one after white space.
func (s *scanner) next(want byte) error {
	if s.skipSpace() != want {
		return fmt.Errorf("%w: no %q at byte %d", ErrMalformed, want, s.at)
	}
	s.at++
	return nil
}

// skipString moves past a string, whose opening quote is at the current position.
func (s *scanner) skipString() error {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	return fmt.Errorf("%w: string without an end", ErrMalformed)
}

// value moves past a value and returns it. It checks only that brackets and quotes are
// closed.
func (s *scanner) value() ([]byte, error) {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				return s.data[start:s.at], nil
			}
		}
		if depth < 0 {
			return s.data[start:s.at], nil
		}
		s.at++
	}
	if depth > 0 {
		return nil, fmt.Errorf("%w: value without an end", ErrMalformed)
	}
	return s.data[start:], nil
}

// elements moves past an array or object and calls element at the start of each element,
// which must move past it.
func (s *scanner) elements(opening, closing byte, element func() error) error {
	if err := s.next(opening); err != nil {
		return err
	}
	if s.skipSpace() == closing {
		return s.next(closing)
	}
	for {
		before := s.at
		if err := element(); err != nil {
			return err
		}
		if s.at == before {
			return fmt.Errorf("%w: value missing at byte %d", ErrMalformed, s.at)
		}
		if s.skipSpace() != ',' {
			return s.next(closing)
		}
		s.at++
	}
}

// Array returns the elements of an array. It checks only that brackets and quotes are closed. The
// error is ErrMalformed.
func Array(data []byte) ([]json.RawMessage, error) {
	s := scanner{data: data}
	var list []json.RawMessage
	err := s.elements('[', ']', func() error {
		v, err := s.value()
		list = append(list, v)
		return err
	})
	return list, err
}

// Members returns the members of an object in their order, also those of the same name. The error
// is ErrMalformed.
func Members(data []byte) ([]Member, error) {
	s := scanner{data: data}
	var list []Member
	err := s.elements('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		list = append(list, Member{Name: name, Value: value})
		return err
	})
	return list, err
}

// Object returns the values of an object by their names. Of values with the same name, it returns
// the last. The error is ErrMalformed.
func Object(data []byte) (map[string]json.RawMessage, error) {
	members, err := Members(data)
	fields := make(map[string]json.RawMessage, len(members))
	for _, m := range members {
		fields[m.Name] = m.Value
	}
	return fields, err
}

// name moves past the name of a value in an object and the colon after it, and returns the
// name.
func (s *scanner) name() (string, error) {
	if s.skipSpace() != '"' {
		return "", fmt.Errorf("%w: no name at byte %d", ErrMalformed, s.at)
	}
	start := s.at
	if err := s.skipString(); err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(s.data[start:s.at], &name); err != nil {
		return "", fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return name, s.next(':')
}

// Depth returns how deeply arrays and objects are nested in a JSON text.
func Depth(data []byte) int {
	deepest, depth := 0, 0
	s := scanner{data: data}
	for s.at < len(data) {
		switch data[s.at] {
		case '"':
			if s.skipString() != nil {
				return deepest
			}
			continue
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		}
		s.at++
	}
	return deepest
}
