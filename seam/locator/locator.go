// Package locator maps client addresses to regions. The map is called the client map: a
// set of address blocks (prefixes), each of which belongs to a region.
//
// A [Table] holds disjoint address ranges in sorted arrays. An IPv4 range takes five
// bytes, and so does a gap between two ranges, so an instance with little memory can
// hold millions of blocks. A table is immutable and is replaced as a whole, so lookups
// take no lock. In the platform's store, the client map is kept in shards, which
// [Builder.Split] writes and [Join] reads.
//
// The fleet daemon seamd looks up addresses. The operators' client seamctl, with
// package applier, changes the client map.
//
// # Usage
//
//	b := locator.NewBuilder()
//	err := b.Add(netip.MustParsePrefix("10.1.0.0/16"), "kolkata")
//	table := b.Build()
//	region, ok := table.Region(netip.MustParseAddr("10.1.2.3"))
//
// Where blocks overlap, the longest prefix wins.
package locator

import (
	"encoding/binary"
	"net/netip"
	"sort"
)

const (
	// maxRegions is the maximum number of regions in a table. Regions are
	// numbered from 0 by region IDs of one byte.
	maxRegions = 255
	// noRegion is the region ID of ranges that belong to no block.
	noRegion = maxRegions
	// slotBits is the number of leading bits of an IPv4 address by which ranges are
	// indexed. A slot is the set of addresses that have the same leading bits.
	slotBits = 16
	slots    = 1 << slotBits
)

// Table maps addresses to regions.
type Table struct {
	regions []string
	v4      ranges4
	v6      ranges6
	blocks  int
}

// ranges4 holds the first address and the region ID of each IPv4 range, in ascending
// order of the addresses. Each range ends where the next range starts, so a gap between
// blocks is a range with noRegion.
type ranges4 struct {
	starts    []uint32
	regionIDs []uint8
	// index holds, for each slot, the position in starts of the first range that starts
	// in that slot or a later one. A last entry holds the number of ranges.
	index []uint32
}

// ranges6 holds IPv6 ranges in the same way as ranges4, without an index.
type ranges6 struct {
	starts    []address6
	regionIDs []uint8
}

// address6 is an IPv6 address as two 64-bit numbers. A sweep also stores IPv4 addresses
// in it: high is 0 and low is the address.
type address6 struct{ high, low uint64 }

func (a address6) less(b address6) bool {
	return a.high < b.high || a.high == b.high && a.low < b.low
}

// Region returns the region of an address. It reports false if no block contains the
// address, if the address is invalid or if the table is nil.
func (t *Table) Region(addr netip.Addr) (string, bool) {
	if t == nil || !addr.IsValid() {
		return "", false
	}
	addr = addr.Unmap()
	var regionID uint8
	if addr.Is4() {
		bytes := addr.As4()
		regionID = t.v4.regionID(binary.BigEndian.Uint32(bytes[:]))
	} else {
		bytes := addr.As16()
		regionID = t.v6.regionID(toAddress6(bytes))
	}
	if regionID == noRegion {
		return "", false
	}
	return t.regions[regionID], true
}

// Blocks returns the number of blocks that the table was built from.
func (t *Table) Blocks() int { return t.blocks }

// Bytes returns the size of the table's arrays of ranges in bytes.
func (t *Table) Bytes() int {
	const v4Bytes, v6Bytes, indexBytes = 5, 17, 4
	return len(t.v4.starts)*v4Bytes + len(t.v6.starts)*v6Bytes + len(t.v4.index)*indexBytes
}

func (r *ranges4) regionID(addr uint32) uint8 {
	if len(r.starts) == 0 {
		return noRegion
	}
	slot := addr >> (32 - slotBits)
	low, high := r.index[slot], r.index[slot+1]
	for low < high {
		middle := (low + high) / 2
		if r.starts[middle] <= addr {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return noRegion
	}
	return r.regionIDs[low-1]
}

// buildIndex computes index from starts.
func (r *ranges4) buildIndex() {
	r.index = make([]uint32, slots+1)
	position := uint32(0)
	for slot := range slots {
		for int(position) < len(r.starts) && r.starts[position]>>(32-slotBits) < uint32(slot) {
			position++
		}
		r.index[slot] = position
	}
	r.index[slots] = uint32(len(r.starts))
}

func (r *ranges6) regionID(addr address6) uint8 {
	after := sort.Search(len(r.starts), func(i int) bool { return addr.less(r.starts[i]) })
	if after == 0 {
		return noRegion
	}
	return r.regionIDs[after-1]
}

func toAddress6(bytes [16]byte) address6 {
	return address6{high: binary.BigEndian.Uint64(bytes[:8]), low: binary.BigEndian.Uint64(bytes[8:])}
}
