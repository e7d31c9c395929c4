// Package validator checks what stands in the heads of HTTP/1.1 messages: whether a number can be
// the status of a response, and whether text can stand in the head of a request and arrives there
// unchanged. Text that can't may end the line in which it stands, and so add header fields or
// whole requests. The edge daemon seamedge uses it for the names that others write to the
// platform's store, and for all that it sends to endpoints. Both daemons use it for responses.
//
// # Usage
//
//	if err := validator.FieldValue(team); err != nil { ... }
package validator

import (
	"fmt"
	"net/http"
	"strings"
)

// minStatus and maxStatus bound the statuses of HTTP; see RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Status returns an error unless a number can be the status of a response.
func Status(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("status %03d is not from %d to %d", status, minStatus, maxStatus)
	}
	return nil
}

// FinalStatus returns an error unless a number can be the status of a final response. [http.Client]
// accepts any status of three digits, and returns a response with the status 101.
func FinalStatus(status int) error {
	if err := Status(status); err != nil {
		return err
	}
	if status < http.StatusOK {
		return fmt.Errorf("status %d announces another response", status)
	}
	return nil
}

// deleteChar is the control character at the end of ASCII.
const deleteChar = 0x7f

// tokenSymbols are the characters of tokens other than letters and digits; see RFC 9110,
// section 5.6.2.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// FieldValue returns an error unless text can be the value of a header field. It must hold no
// control characters but tabs, and no white space at its ends, which receivers remove.
func FieldValue(text string) error {
	for n := range len(text) {
		if c := text[n]; c < ' ' && c != '\t' || c == deleteChar {
			return fmt.Errorf("byte %d is the control character 0x%02x", n, c)
		}
	}
	if text != strings.Trim(text, " \t") {
		return fmt.Errorf("white space at the start or the end")
	}
	return nil
}

// Token returns an error unless text can be a method or the name of a header field.
func Token(text string) error {
	if text == "" {
		return fmt.Errorf("empty")
	}
	for n := range len(text) {
		c := text[n]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte(tokenSymbols, c) < 0 {
			return fmt.Errorf("byte %d is 0x%02x", n, c)
		}
	}
	return nil
}

// Word returns an error unless text can be the target of a request or the name of a host: it
// must hold neither control characters nor white space.
func Word(text string) error {
	for n := range len(text) {
		if c := text[n]; c <= ' ' || c == deleteChar {
			return fmt.Errorf("byte %d is 0x%02x", n, c)
		}
	}
	return nil
}
