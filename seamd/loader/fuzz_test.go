package loader_test

import (
	"encoding/json"
	"testing"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/loader"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"instance":{"id":"a","region":"west","failureDomain":"west-a"},
		"listen":{"callers":"10.0.0.1:8080","lookups":"10.0.0.1:8081","peers":"10.0.0.1:8082","metrics":"10.0.0.1:8083"},
		"platform":{"address":"https://10.0.0.9:7000"},"shutdown":{"linger":"2s"},
		"security":{"peers":{"certFile":"a.pem","keyFile":"a.key","caFile":"ca.pem"}}}`))
	f.Add([]byte(`{"security":{"unauthenticatedPeers":true}}`))
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"security":{"callers":{}},"log":{"sampling":{"first":1e9}}}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := loader.Parse(data)
		if err != nil {
			if coder.CodeOf(err) != coder.SettingsInvalid {
				t.Fatalf("error without the code SettingsInvalid: %v", err)
			}
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatalf("encode valid settings: %v", err)
		}
		if _, err := loader.Parse(again); err != nil {
			t.Fatalf("encoded settings are not valid: %v", err)
		}
	})
}
