package configurer_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/configurer"
)

// FuzzParse checks every configuration that Parse accepts. Encoding and parsing the
// configuration again must change nothing. NextExpiry must return a later time than its
// argument. With all expired exceptions left out, the values of teams and endpoints must
// be within their limits.
func FuzzParse(f *testing.F) {
	exampleDocument, err := os.ReadFile("../../docs/configuration.example.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(exampleDocument)
	minimalDocument, err := json.Marshal(validDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(minimalDocument)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configurer.Parse(data, 1)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(configurer.Stored{Document: c.Document()})
		if err != nil {
			t.Fatalf("a valid configuration can't be encoded: %v", err)
		}
		decoded, err := configurer.Parse(encoded, 1)
		if err != nil {
			t.Fatalf("the encoded configuration is rejected: %v", err)
		}
		if diff := configurer.Diff(c.Document(), decoded.Document()); len(diff) > 0 {
			t.Fatalf("encoding and parsing changed %v", diff)
		}
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		for range 100 {
			next, ok := c.NextExpiry(now)
			if !ok {
				break
			}
			if !next.After(now) {
				t.Fatalf("next expiry %v is not after %v", next, now)
			}
			now = next
		}
		final := c.At(now)
		for _, team := range final.Teams() {
			if team.RatePerSecond <= 0 || team.Burst < 1 || team.Weight <= 0 {
				t.Fatalf("team values are out of range: %+v", team)
			}
			c.Explain(now, configurer.Subject{Team: team.Name, Path: "/" + team.Name})
		}
		for _, s := range final.Services() {
			for _, e := range s.Endpoints {
				if e.Slots <= 0 || e.MaxConnections < e.Slots {
					t.Fatalf("endpoint values are out of range: %+v", e)
				}
			}
		}
	})
}
