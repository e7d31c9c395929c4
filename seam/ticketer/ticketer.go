// Package ticketer issues and verifies the signed tickets in lookup responses.
//
// A caller that looks up which instances to use gets a ticket in the response. The
// ticket names the home of the caller's non-idempotent requests: the instance that
// issued the ticket, runs these requests and records their answers. The caller sends
// each of them under a name, an idempotency key made of the ticket, a dot and a
// counter. The name itself identifies the instance that has the record of a request, so
// nothing about the request is written to the platform's store.
//
// The fleet daemon seamd and package deduplicator use this package.
//
// # Usage
//
//	signer := ticketer.NewSigner(secret)
//	ticket := signer.Issue("seamd-3", incarnation, now)
//	name, err := signer.Parse(ticket + ".17")
package ticketer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/seam/coder"
)

const (
	// Lifetime is how long a ticket can be used for new requests.
	Lifetime = 10 * time.Minute
	// Grace is how long a home keeps the records of requests after their ticket has
	// expired, so that requests repeated late still get their answers.
	Grace = 5 * time.Minute
	// SecretBytes is the length of the signing key in bytes.
	SecretBytes = 32
	// maxNameBytes is the maximum length of a name.
	maxNameBytes = 512
)

// Ticket is the content of a ticket. Home is the ID of the instance that issued the
// ticket. Incarnation identifies the run of that instance; it differs after a restart.
type Ticket struct {
	Home        string `json:"h"`
	Incarnation uint64 `json:"i"`
	// ExpiresMS is when the ticket expires, in milliseconds since the Unix epoch by the
	// home's clock.
	ExpiresMS int64 `json:"e"`
	// Serial is random, so that tickets issued by a home at the same time differ.
	Serial string `json:"s"`
}

// Expires returns when the ticket expires, by the home's clock.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresMS) }

// Signer signs and verifies tickets with a key that all instances of the fleet share.
// It is safe for concurrent use.
type Signer struct{ secret []byte }

// NewSigner returns a signer for the given key, which instances read from the
// platform's store.
func NewSigner(secret []byte) *Signer { return &Signer{secret: secret} }

// NewSecret returns a random signing key.
func NewSecret() []byte {
	secret := make([]byte, SecretBytes)
	_, _ = rand.Read(secret)
	return secret
}

// Issue returns the text of a new signed ticket for the given home, which is valid for
// Lifetime from now.
func (s *Signer) Issue(home string, incarnation uint64, now time.Time) string {
	body, err := json.Marshal(Ticket{
		Home: home, Incarnation: incarnation, ExpiresMS: now.Add(Lifetime).UnixMilli(), Serial: rand.Text()[:16],
	})
	if err != nil {
		return ""
	}
	payload := base64.RawURLEncoding.EncodeToString(body)
	return payload + "." + s.sign(payload)
}

func (s *Signer) sign(payload string) string {
	mac := hmac.New(sha256.New, s.secret)
	_, _ = mac.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// Parse verifies the form of a name and the signature of its ticket, and returns the
// ticket. A name is a ticket, a dot and the caller's counter. Errors have the code
// RequestMalformed. Parse doesn't check whether the ticket has expired: the home checks
// that by its own clock.
func (s *Signer) Parse(name string) (Ticket, error) {
	var t Ticket
	parts := strings.Split(name, ".")
	if len(parts) != 3 || len(name) > maxNameBytes {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "name is too long or not a ticket, a dot and a counter")
	}
	if _, err := strconv.ParseUint(parts[2], 10, 64); err != nil || strings.HasPrefix(parts[2], "+") {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "counter %q is not a decimal number of 64 bits", parts[2])
	}
	if !hmac.Equal([]byte(s.sign(parts[0])), []byte(parts[1])) {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "ticket is not signed with this fleet's key")
	}
	body, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "decode ticket: %w", err)
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "decode ticket: %w", err)
	}
	return t, nil
}
