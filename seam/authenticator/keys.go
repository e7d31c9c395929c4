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
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
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
	// Expires ends the key by itself, for the overlap of a rotation.
	Expires *time.Time `json:"expires,omitempty"`
}

// ParseRecord decodes and checks a key's record.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode key record: %w", err)
	}
	if r.Team == "" {
		return Record{}, errors.New("key record has no team")
	}
	if r.Digest == (Digest{}) {
		return Record{}, errors.New("key record has no digest")
	}
	return r, nil
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
	// byPrefix groups records by the start of their digests, so that the rest
	// of a digest is compared in constant time.
	byPrefix map[prefix][]Record
	count    int
}

// prefix is the part of a digest by which records are found.
type prefix [8]byte

// NewKeyring returns the keyring of all records that are not withdrawn.
func NewKeyring(records []Record) *Keyring {
	k := &Keyring{byPrefix: make(map[prefix][]Record, len(records))}
	for _, r := range records {
		if r.Withdrawn {
			continue
		}
		p := prefix(r.Digest[:len(prefix{})])
		k.byPrefix[p] = append(k.byPrefix[p], r)
		k.count++
	}
	return k
}

// Team returns the team that owns the key with this digest, expired or not.
func (k *Keyring) Team(d Digest) (string, bool) {
	r, ok := k.find(d)
	return r.Team, ok
}

// TeamAt returns the team that owns the key with this digest at a time.
func (k *Keyring) TeamAt(d Digest, now time.Time) (string, bool) {
	r, ok := k.find(d)
	if !ok || r.Expires != nil && !now.Before(*r.Expires) {
		return "", false
	}
	return r.Team, true
}

func (k *Keyring) find(d Digest) (Record, bool) {
	for _, r := range k.byPrefix[prefix(d[:len(prefix{})])] {
		if subtle.ConstantTimeCompare(r.Digest[:], d[:]) == 1 {
			return r, true
		}
	}
	return Record{}, false
}

// Len returns the number of keys in force.
func (k *Keyring) Len() int { return k.count }
