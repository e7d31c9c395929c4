package locator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"testing"

	"primroseseam.org/seam/locator"
)

func FuzzJoin(f *testing.F) {
	f.Add([]byte{4, 16, 0, 10, 1, 4, 0, 1, 16, 32, 1, 0x20, 0x01, 0x0d, 0xb8}, []byte{10, 1, 2, 3})
	f.Add([]byte{16, 104, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10}, []byte{10, 0, 0, 1})
	f.Fuzz(func(t *testing.T, payload, address []byte) {
		value, err := json.Marshal(map[string][]byte{"blocks": payload})
		if err != nil {
			t.Fatal(err)
		}
		sum := sha256.Sum256(payload)
		m := locator.Manifest{Regions: []string{"a", "b"}, Shards: []locator.Shard{{Name: "s", Digest: hex.EncodeToString(sum[:])}}}
		table, err := locator.Join(m, func(string) []byte { return value }, nil)
		if err != nil {
			return
		}
		if addr, ok := netip.AddrFromSlice(address); ok {
			region, found := table.Region(addr)
			if found != (region == "a" || region == "b") {
				t.Fatalf("region %q, found %t", region, found)
			}
		}
	})
}
