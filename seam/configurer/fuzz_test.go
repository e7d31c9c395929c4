package configurer_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/configurer"
)

func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../../docs/configuration.example.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	small, err := json.Marshal(validDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(small)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configurer.Parse(data, 1)
		if err != nil {
			return
		}
		again, err := json.Marshal(configurer.Stored{Document: c.Document()})
		if err != nil {
			t.Fatalf("a valid configuration can't be written: %v", err)
		}
		d, err := configurer.Parse(again, 1)
		if err != nil {
			t.Fatalf("what was written is not valid: %v", err)
		}
		if diff := configurer.Diff(c.Document(), d.Document()); len(diff) > 0 {
			t.Fatalf("writing and reading changed %v", diff)
		}
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		for range 100 {
			next, ok := c.NextExpiry(now)
			if !ok {
				break
			}
			if !next.After(now) {
				t.Fatalf("next expiry %v isn't after %v", next, now)
			}
			now = next
		}
		last := c.At(now)
		for _, team := range last.Teams() {
			if team.RatePerSecond <= 0 || team.Burst < 1 || team.Weight <= 0 {
				t.Fatalf("team out of its bounds: %+v", team)
			}
			c.Explain(now, configurer.Subject{Team: team.Name, Path: "/" + team.Name})
		}
		for _, s := range last.Services() {
			for _, p := range s.Endpoints {
				if p.Slots <= 0 || p.MaxConnections < p.Slots {
					t.Fatalf("endpoint out of its bounds: %+v", p)
				}
			}
		}
	})
}
