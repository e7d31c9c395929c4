// Package locator maps client addresses to regions.
//
// A [Table] holds disjoint address ranges in sorted arrays. An IPv4 range, or a
// gap between two of them, takes five bytes, so a small instance can hold millions
// of blocks. A table is immutable and is replaced as a whole, so lookups take no
// lock.
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
	// noRegion is the region ID of addresses that belong to no block.
	noRegion = maxRegions
	// slotBits is the number of leading IPv4 address bits by which ranges are
	// indexed. A slot is one value of these bits.
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

// ranges4 holds the first addresses of IPv4 ranges in ascending order, with
// their region IDs. Each range ends before the next one starts.
type ranges4 struct {
	starts    []uint32
	regionIDs []uint8
	// index holds for each slot the position of the first range that starts in
	// that slot or later, and one more entry: the number of ranges.
	index []uint32
}

// ranges6 holds IPv6 ranges in the same way as ranges4, without an index.
type ranges6 struct {
	starts    []address6
	regionIDs []uint8
}

// address6 is an IPv6 address as two 64-bit numbers. Builders also keep an IPv4
// address in its low one.
type address6 struct{ high, low uint64 }

func (a address6) less(b address6) bool {
	return a.high < b.high || a.high == b.high && a.low < b.low
}

// Region returns the region of an address. It reports false if no block contains
// the address.
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

// Bytes returns the size in bytes of the table's arrays.
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

// buildIndex fills the index from the starts of the ranges.
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
