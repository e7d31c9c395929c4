package authenticator_test

import (
	"encoding/json"
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
)

// FuzzParseRecord checks every record that ParseRecord accepts. The record must be valid
// after it is encoded again. A keyring must find the record by its digest if the record
// isn't withdrawn. A keyring must not find the record by another digest with the same
// prefix.
func FuzzParseRecord(f *testing.F) {
	_, record, err := authenticator.Issue("crew", time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC))
	if err != nil {
		f.Fatal(err)
	}
	for _, isWithdrawn := range []bool{false, true} {
		record.Withdrawn = isWithdrawn
		data, err := json.Marshal(record)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := authenticator.ParseRecord(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatalf("a valid record can't be encoded: %v", err)
		}
		if _, err := authenticator.ParseRecord(encoded); err != nil {
			t.Fatalf("the encoded record is rejected: %v", err)
		}
		keyring := authenticator.NewKeyring([]authenticator.Record{r})
		if team, ok := keyring.Team(r.Digest); ok == r.Withdrawn || ok && team != r.Team {
			t.Fatalf("withdrawn is %t, but the keyring returns %q, %t", r.Withdrawn, team, ok)
		}
		other := r.Digest
		other[len(other)-1] ^= 1
		if _, ok := keyring.Team(other); ok {
			t.Fatal("the keyring found a key by another digest")
		}
	})
}

func TestIssuedSecretsDiffer(t *testing.T) {
	firstSecret, firstRecord, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	secondSecret, secondRecord, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if firstSecret == secondSecret || firstRecord.Digest == secondRecord.Digest || firstRecord.Digest != authenticator.DigestOf(firstSecret) {
		t.Fatal("got equal secrets or digests, or a digest that does not match its secret")
	}
}
