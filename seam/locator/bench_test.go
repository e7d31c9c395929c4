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

// blockCount is the size we grow to; SEAM_WHOLE runs it in full.
func blockCount() int {
	if os.Getenv("SEAM_WHOLE") != "" {
		return 3_500_000
	}
	return 350_000
}

// fleetBlocks returns distinct blocks of /20 to /28 over 91 sites.
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

// heapOf returns the bytes that what make returns keeps alive.
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
	list := make([]netip.Addr, 1<<16)
	for i := range list {
		list[i] = address(rng.Uint32())
	}
	return list
}

func BenchmarkLookup(b *testing.B) {
	prefixes, regions := fleetBlocks(blockCount())
	list := addresses()
	b.Run("sorted", func(b *testing.B) {
		started := time.Now()
		table, heap := heapOf(func() *locator.Table { return build(b, prefixes, regions) })
		took := time.Since(started)
		for i := 0; b.Loop(); i++ {
			table.Region(list[i&(len(list)-1)])
		}
		report(b, heap, len(prefixes), took)
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
		took := time.Since(started)
		for i := 0; b.Loop(); i++ {
			table.Lookup(list[i&(len(list)-1)])
		}
		report(b, heap, len(prefixes), took)
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
		took := time.Since(started)
		for i := 0; b.Loop(); i++ {
			mapLookup(table, list[i&(len(list)-1)])
		}
		report(b, heap, len(prefixes), took)
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

func report(b *testing.B, heap uint64, blocks int, took time.Duration) {
	b.ReportMetric(float64(heap)/float64(blocks), "bytes/block")
	b.ReportMetric(took.Seconds()*1000, "buildMs")
}

// BenchmarkLookupWhileSwapping looks up on one goroutine while another builds
// and swaps whole tables.
func BenchmarkLookupWhileSwapping(b *testing.B) {
	prefixes, regions := fleetBlocks(blockCount())
	list := addresses()
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
		table.Load().Region(list[i&(len(list)-1)])
	}
	elapsed := b.Elapsed()
	close(done)
	<-stopped
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "lookups/s")
	b.ReportMetric(float64(swaps), "swaps")
}
