// Package locator finds the region of a client's address.
//
// A [Table] holds disjoint address ranges in sorted arrays, five bytes for an
// IPv4 range and a little for the gap after it, so millions of blocks fit into
// a small instance. It is immutable: a newer one replaces it whole, and
// look-ups never wait.
//
// # Usage
//
//	b := locator.NewBuilder()
//	err := b.Add(netip.MustParsePrefix("10.1.0.0/16"), "kolkata")
//	table, err := b.Build()
//	region, ok := table.Region(netip.MustParseAddr("10.1.2.3"))
//
// Where blocks overlap the longest prefix wins.
package locator

import (
	"encoding/binary"
	"net/netip"
	"sort"
)

const (
	// maxRegions is the number of regions that one table can name.
	maxRegions = 255
	// none marks addresses that belong to no block.
	none = maxRegions
	// slotBits is the number of leading address bits that are indexed.
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

// ranges4 holds the starts of IPv4 ranges in order; each ends at the next.
type ranges4 struct {
	starts []uint32
	owners []uint8
	// index holds for each value of the leading bits the first range that
	// starts there or later.
	index []uint32
}

// ranges6 holds the starts of IPv6 ranges in order; each ends at the next.
type ranges6 struct {
	starts []address6
	owners []uint8
}

// address6 is an IPv6 address as two numbers.
type address6 struct{ high, low uint64 }

func (a address6) less(b address6) bool {
	return a.high < b.high || a.high == b.high && a.low < b.low
}

// Region returns the region of an address.
func (t *Table) Region(addr netip.Addr) (string, bool) {
	if t == nil || !addr.IsValid() {
		return "", false
	}
	addr = addr.Unmap()
	var owner uint8
	if addr.Is4() {
		bytes := addr.As4()
		owner = t.v4.owner(binary.BigEndian.Uint32(bytes[:]))
	} else {
		bytes := addr.As16()
		owner = t.v6.owner(toAddress6(bytes))
	}
	if owner == none {
		return "", false
	}
	return t.regions[owner], true
}

// Blocks returns the number of blocks that the table was built from.
func (t *Table) Blocks() int { return t.blocks }

// Bytes returns the memory that the table's arrays take.
func (t *Table) Bytes() int {
	const v4Bytes, v6Bytes, indexBytes = 5, 17, 4
	return len(t.v4.starts)*v4Bytes + len(t.v6.starts)*v6Bytes + len(t.v4.index)*indexBytes
}

func (r *ranges4) owner(addr uint32) uint8 {
	if len(r.starts) == 0 {
		return none
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
		return none
	}
	return r.owners[low-1]
}

// buildIndex fills the index of leading bits.
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

func (r *ranges6) owner(addr address6) uint8 {
	after := sort.Search(len(r.starts), func(i int) bool { return addr.less(r.starts[i]) })
	if after == 0 {
		return none
	}
	return r.owners[after-1]
}

func toAddress6(bytes [16]byte) address6 {
	return address6{high: binary.BigEndian.Uint64(bytes[:8]), low: binary.BigEndian.Uint64(bytes[8:])}
}
