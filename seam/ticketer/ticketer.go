// Package ticketer signs and reads the tickets of look-up answers.
//
// A ticket names the instance that is home to the requests of one caller. The
// caller names a non-idempotent request by its ticket and a counter of its
// own, so the name itself says where the request's record is, and no write to
// the platform's store is needed for each request.
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
	// Lifetime is how long a ticket names new requests.
	Lifetime = 10 * time.Minute
	// Grace is how much longer a home keeps records, for repeats on the way.
	Grace = 5 * time.Minute
	// SecretBytes is the length of the signing key in bytes.
	SecretBytes = 32
	// maxNameBytes bounds a name.
	maxNameBytes = 512
)

// Ticket is what a look-up answer gives a caller for its named requests.
type Ticket struct {
	Home        string `json:"h"`
	Incarnation uint64 `json:"i"`
	// ExpiresMS is in milliseconds since 1970, by the home's clock.
	ExpiresMS int64 `json:"e"`
	// Serial tells the tickets of a home apart.
	Serial string `json:"s"`
}

// Expires returns when the ticket ends, by the home's clock.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresMS) }

// Signer signs tickets with the key that all instances share. It is safe for
// concurrent use.
type Signer struct{ secret []byte }

// NewSigner returns a signer that uses a key from the platform's store.
func NewSigner(secret []byte) *Signer { return &Signer{secret: secret} }

// NewSecret returns a random signing key.
func NewSecret() []byte {
	secret := make([]byte, SecretBytes)
	_, _ = rand.Read(secret)
	return secret
}

// Issue returns a new ticket of a home.
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

// Parse reads a name: a ticket, a dot and the caller's counter. Errors carry
// RequestMalformed. Only the home judges whether the ticket has expired.
func (s *Signer) Parse(name string) (Ticket, error) {
	var t Ticket
	parts := strings.Split(name, ".")
	if len(parts) != 3 || len(name) > maxNameBytes {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "not a ticket, a dot and a counter")
	}
	if _, err := strconv.ParseUint(parts[2], 10, 64); err != nil || strings.HasPrefix(parts[2], "+") {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "%q is not a counter", parts[2])
	}
	if !hmac.Equal([]byte(s.sign(parts[0])), []byte(parts[1])) {
		return t, coder.Errorf(coder.RequestMalformed, "Seam-Name", "ticket is not signed by this fleet")
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
