package locator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaissmai/bart"

	"primroseseam.org/seam/locator"
)

// blockCount returns the number of blocks in the benchmarks' tables. If the environment
// variable SEAM_WHOLE is set, it returns the number of blocks that the client map is
// expected to grow to. Otherwise it returns a tenth of that number.
func blockCount() int {
	if os.Getenv("SEAM_WHOLE") != "" {
		return 3_500_000
	}
	return 350_000
}

// fleetBlocks returns n distinct IPv4 prefixes from /20 to /28 and, for each, the name
// of one of 91 regions.
func fleetBlocks(n int) ([]netip.Prefix, []string) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, n)
	prefixes, regions := make([]netip.Prefix, 0, n), make([]string, 0, n)
	for len(prefixes) < n {
		p := netip.PrefixFrom(address(rng.Uint32()), 20+rng.IntN(9)).Masked()
		if seen[p] {
			continue
		}
		seen[p] = true
		prefixes = append(prefixes, p)
		regions = append(regions, fmt.Sprintf("site-%d", rng.IntN(91)))
	}
	return prefixes, regions
}

func build(b *testing.B, prefixes []netip.Prefix, regions []string) *locator.Table {
	b.Helper()
	builder := locator.NewBuilder()
	for i, p := range prefixes {
		if err := builder.Add(p, regions[i]); err != nil {
			b.Fatal(err)
		}
	}
	return builder.Build()
}

// heapOf calls build and returns the built value and the number of bytes that it
// occupies on the heap.
func heapOf[T any](build func() T) (T, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, after.HeapAlloc - before.HeapAlloc
}

func addresses() []netip.Addr {
	rng := rand.New(rand.NewPCG(2, 2))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = address(rng.Uint32())
	}
	return addrs
}

func BenchmarkLookup(b *testing.B) {
	prefixes, regions := fleetBlocks(blockCount())
	addrs := addresses()
	b.Run("sorted", func(b *testing.B) {
		started := time.Now()
		table, heap := heapOf(func() *locator.Table { return build(b, prefixes, regions) })
		buildTime := time.Since(started)
		for i := 0; b.Loop(); i++ {
			table.Region(addrs[i&(len(addrs)-1)])
		}
		report(b, heap, len(prefixes), buildTime)
		runtime.KeepAlive(table)
	})
	b.Run("bart", func(b *testing.B) {
		started := time.Now()
		table, heap := heapOf(func() *bart.Table[uint8] {
			t := new(bart.Table[uint8])
			for i, p := range prefixes {
				t.Insert(p, uint8(len(regions[i])))
			}
			return t
		})
		buildTime := time.Since(started)
		for i := 0; b.Loop(); i++ {
			table.Lookup(addrs[i&(len(addrs)-1)])
		}
		report(b, heap, len(prefixes), buildTime)
		runtime.KeepAlive(table)
	})
	b.Run("map", func(b *testing.B) {
		started := time.Now()
		table, heap := heapOf(func() map[netip.Prefix]string {
			t := make(map[netip.Prefix]string, len(prefixes))
			for i, p := range prefixes {
				t[p] = regions[i]
			}
			return t
		})
		buildTime := time.Since(started)
		for i := 0; b.Loop(); i++ {
			mapLookup(table, addrs[i&(len(addrs)-1)])
		}
		report(b, heap, len(prefixes), buildTime)
		runtime.KeepAlive(table)
	})
}

func mapLookup(table map[netip.Prefix]string, addr netip.Addr) (string, bool) {
	for bits := 32; bits >= 0; bits-- {
		if region, ok := table[netip.PrefixFrom(addr, bits).Masked()]; ok {
			return region, true
		}
	}
	return "", false
}

func report(b *testing.B, heap uint64, blocks int, buildTime time.Duration) {
	b.ReportMetric(float64(heap)/float64(blocks), "bytes/block")
	b.ReportMetric(buildTime.Seconds()*1000, "buildMs")
}

// BenchmarkLookupWhileSwapping looks up addresses on one goroutine while another
// goroutine keeps building tables and replacing the table that the lookups use.
func BenchmarkLookupWhileSwapping(b *testing.B) {
	prefixes, regions := fleetBlocks(blockCount())
	addrs := addresses()
	var table atomic.Pointer[locator.Table]
	table.Store(build(b, prefixes, regions))
	done, stopped := make(chan struct{}), make(chan struct{})
	swaps := 0
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			default:
				table.Store(build(b, prefixes, regions))
				swaps++
			}
		}
	}()
	for i := 0; b.Loop(); i++ {
		table.Load().Region(addrs[i&(len(addrs)-1)])
	}
	elapsed := b.Elapsed()
	close(done)
	<-stopped
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "lookups/s")
	b.ReportMetric(float64(swaps), "swaps")
}
