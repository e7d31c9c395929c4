// Package authenticator finds the team that owns an API key. The fleet daemon seamd checks
// keys with it, and the operators' client seamctl issues them with it.
//
// An API key is a secret. The system stores and compares only its digest. A [Keyring] is
// immutable. When keys change, it is replaced as a whole, so that every request is checked
// against the newest keyring, even on a connection that was opened before the change.
//
// # Usage
//
//	secret, record, err := authenticator.Issue("registry-liaison", now)
//	keyring := authenticator.NewKeyring([]authenticator.Record{record})
//	team, ok := keyring.TeamAt(authenticator.DigestOf(secret), now)
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

// secretBytes is the number of random bytes in a key's secret.
const secretBytes = 32

// Digest is the SHA-256 digest of a key's secret.
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

// Record is the stored form of a key, without its secret.
type Record struct {
	Digest    Digest    `json:"digest"`
	Team      string    `json:"team"`
	Issued    time.Time `json:"issued"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
	// Expires is when the key becomes invalid; nil means never. In a rotation, the old
	// key gets an expiry time, so that it can be used beside the new key until then.
	Expires *time.Time `json:"expires,omitempty"`
}

// ParseRecord decodes the JSON record of a key. It fails if the record has no team or no
// digest.
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

// Issue generates a new key for team and returns its secret and its record. The record
// holds only a digest of the secret, so the secret can't be recovered later.
func Issue(team string, now time.Time) (secret string, record Record, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", Record{}, fmt.Errorf("read random bytes: %w", err)
	}
	secret = "seam_" + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Record{Digest: DigestOf(secret), Team: team, Issued: now}, nil
}

// Keyring holds the keys that are not withdrawn and finds them by digest.
type Keyring struct {
	// recordsByPrefix groups the records by the first bytes of their digests. The time
	// of the map lookup may depend on the prefix, but on no other bytes of the digest:
	// the whole digests of a group are compared in constant time.
	recordsByPrefix map[digestPrefix][]Record
	count           int
}

// digestPrefix holds the first bytes of a digest.
type digestPrefix [8]byte

// NewKeyring returns a keyring with all records that are not withdrawn.
func NewKeyring(records []Record) *Keyring {
	k := &Keyring{recordsByPrefix: make(map[digestPrefix][]Record, len(records))}
	for _, r := range records {
		if r.Withdrawn {
			continue
		}
		start := digestPrefix(r.Digest[:len(digestPrefix{})])
		k.recordsByPrefix[start] = append(k.recordsByPrefix[start], r)
		k.count++
	}
	return k
}

// Team returns the team that owns the key with this digest, even if the key has expired.
// It returns false if there is no such key.
func (k *Keyring) Team(d Digest) (string, bool) {
	r, ok := k.find(d)
	return r.Team, ok
}

// TeamAt returns the team that owns the key with this digest. It returns false if there is
// no such key or the key has expired at now.
func (k *Keyring) TeamAt(d Digest, now time.Time) (string, bool) {
	r, ok := k.find(d)
	if !ok || r.Expires != nil && !now.Before(*r.Expires) {
		return "", false
	}
	return r.Team, true
}

func (k *Keyring) find(d Digest) (Record, bool) {
	for _, r := range k.recordsByPrefix[digestPrefix(d[:len(digestPrefix{})])] {
		if subtle.ConstantTimeCompare(r.Digest[:], d[:]) == 1 {
			return r, true
		}
	}
	return Record{}, false
}

// Len returns the number of keys that are not withdrawn, including expired ones.
func (k *Keyring) Len() int { return k.count }
