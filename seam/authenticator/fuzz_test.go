package authenticator_test

import (
	"encoding/json"
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
)

func FuzzParseRecord(f *testing.F) {
	_, record, err := authenticator.Issue("crew", time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC))
	if err != nil {
		f.Fatal(err)
	}
	for _, withdrawn := range []bool{false, true} {
		record.Withdrawn = withdrawn
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
		again, err := json.Marshal(r)
		if err != nil {
			t.Fatalf("a valid record can't be written: %v", err)
		}
		if _, err := authenticator.ParseRecord(again); err != nil {
			t.Fatalf("what was written is not valid: %v", err)
		}
		ring := authenticator.NewKeyring([]authenticator.Record{r})
		if team, ok := ring.Team(r.Digest); ok == r.Withdrawn || ok && team != r.Team {
			t.Fatalf("withdrawn %t, but the keyring says %q, %t", r.Withdrawn, team, ok)
		}
		other := r.Digest
		other[len(other)-1] ^= 1
		if _, ok := ring.Team(other); ok {
			t.Fatal("another digest was taken")
		}
	})
}

func TestIssuedSecretsDiffer(t *testing.T) {
	first, a, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	second, b, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if first == second || a.Digest == b.Digest || a.Digest != authenticator.DigestOf(first) {
		t.Fatal("secrets or digests are wrong")
	}
}
