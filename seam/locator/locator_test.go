package locator_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"primroseseam.org/seam/locator"
)

// randomBlocks returns up to n random IPv4 and IPv6 prefixes, some of which overlap,
// and the region of each.
func randomBlocks(rng *rand.Rand, n int) map[netip.Prefix]string {
	blocks := map[netip.Prefix]string{}
	for range n {
		region := fmt.Sprintf("site-%d", rng.IntN(91))
		if rng.IntN(4) == 0 {
			var bytes [16]byte
			binary.BigEndian.PutUint64(bytes[:], 0x2001_0db8_0000_0000|rng.Uint64N(1<<12))
			bytes[15] = byte(rng.Uint32())
			blocks[netip.PrefixFrom(netip.AddrFrom16(bytes), 48+rng.IntN(81)).Masked()] = region
			continue
		}
		blocks[netip.PrefixFrom(address(rng.Uint32N(1<<14)<<8|0x0a000000), rng.IntN(33)).Masked()] = region
	}
	return blocks
}

func address(n uint32) netip.Addr {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], n)
	return netip.AddrFrom4(bytes)
}

// linearSearch compares an address with all prefixes. It returns the region of the
// longest prefix that contains the address, or "" if none does.
func linearSearch(blocks map[netip.Prefix]string, addr netip.Addr) string {
	best, region := -1, ""
	for p, name := range blocks {
		if p.Contains(addr) && p.Bits() > best {
			best, region = p.Bits(), name
		}
	}
	return region
}

func TestTableAgreesWithALinearSearch(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		blocks := randomBlocks(rng, 300)
		builder := locator.NewBuilder()
		var probes []netip.Addr
		for p, region := range blocks {
			if err := builder.Add(p, region); err != nil {
				t.Fatal(err)
			}
			probes = append(probes, p.Addr(), p.Addr().Prev())
		}
		manifest, objects, err := builder.Split(locator.Manifest{})
		if err != nil {
			t.Fatal(err)
		}
		values := map[string][]byte{}
		for _, o := range objects {
			values[o.Name] = o.Value
		}
		joined, err := locator.Join(manifest, func(name string) []byte { return values[name] }, nil)
		if err != nil {
			t.Fatal(err)
		}
		table := builder.Build()
		for range 2000 {
			probes = append(probes, address(rng.Uint32N(1<<22)|0x0a000000))
		}
		for _, addr := range probes {
			if !addr.IsValid() {
				continue
			}
			want := linearSearch(blocks, addr)
			if got, _ := table.Region(addr); got != want {
				t.Fatalf("seed %d: built table: %v is in %q, not %q", seed, addr, want, got)
			}
			if got, _ := joined.Region(addr); got != want {
				t.Fatalf("seed %d: table joined from shards: %v is in %q, not %q", seed, addr, want, got)
			}
		}
	}
}

func TestSmallEditRewritesFewShardsAndWrongShardIsRejected(t *testing.T) {
	builder := locator.NewBuilder()
	for i := range uint32(100_000) {
		if err := builder.Add(netip.PrefixFrom(address(i<<8), 24), fmt.Sprintf("site-%d", i%91)); err != nil {
			t.Fatal(err)
		}
	}
	first, all, err := builder.Split(locator.Manifest{})
	if err != nil {
		t.Fatal(err)
	}
	if err := builder.Add(netip.PrefixFrom(address(5000<<8|128), 25), "site-7"); err != nil {
		t.Fatal(err)
	}
	_, changed, err := builder.Split(first)
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 6 || len(changed) != 1 {
		t.Fatalf("%d of %d shards changed", len(changed), len(all))
	}
	for _, o := range changed {
		for _, s := range first.Shards {
			if s.Name == o.Name {
				t.Fatalf("%s is overwritten, but the current manifest uses it", o.Name)
			}
		}
	}
	wrong := func(string) []byte { return changed[0].Value }
	if _, err := locator.Join(first, wrong, nil); err == nil {
		t.Fatal("a shard with a wrong digest was accepted")
	}
}
