// Package authenticator finds the team that owns a key.
//
// Only digests of keys are stored and compared. A [Keyring] is immutable, so
// that every request, also on an open connection, reads the newest one.
//
// # Usage
//
//	secret, record, err := authenticator.Issue("registry-liaison", now)
//	ring := authenticator.NewKeyring([]authenticator.Record{record})
//	team, ok := ring.Team(authenticator.DigestOf(secret))
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"time"
)

// secretBytes is the length of a key's random part in bytes.
const secretBytes = 32

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key's secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	if len(raw) != len(d) {
		return fmt.Errorf("decode digest: %d bytes instead of %d", len(raw), len(d))
	}
	copy(d[:], raw)
	return nil
}

// Record is a key as the store keeps it.
type Record struct {
	Digest    Digest    `json:"digest"`
	Team      string    `json:"team"`
	Issued    time.Time `json:"issued"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
}

// Issue makes a new key for team. The secret is not kept anywhere.
func Issue(team string, now time.Time) (secret string, record Record, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", Record{}, fmt.Errorf("read random bytes: %w", err)
	}
	secret = "seam_" + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Record{Digest: DigestOf(secret), Team: team, Issued: now}, nil
}

// Keyring maps digests to teams.
type Keyring struct {
	teams map[Digest]string
}

// NewKeyring returns the keyring of all records that are not withdrawn.
func NewKeyring(records []Record) *Keyring {
	k := &Keyring{teams: make(map[Digest]string, len(records))}
	for _, r := range records {
		if !r.Withdrawn {
			k.teams[r.Digest] = r.Team
		}
	}
	return k
}

// Team returns the team that owns the key with this digest. A map look-up by
// digest leaks no timing of the secret, since the digest is not invertible.
func (k *Keyring) Team(d Digest) (string, bool) {
	team, ok := k.teams[d]
	return team, ok
}

// Len returns the number of keys in force.
func (k *Keyring) Len() int { return len(k.teams) }
