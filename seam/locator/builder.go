package locator

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"iter"
	"math/bits"
	"net/netip"
	"slices"
)

// An IPv4 block is packed into one 64-bit key: from the high to the low bits its
// address, its prefix length and its sequence number. Sorting the keys therefore sorts
// the blocks by address and then by prefix length. The sequence number is the position
// of the block's region ID in Builder.regionIDs4.
const (
	sequenceBits = 26
	lengthBits   = 6
	maxBlocks    = 1 << sequenceBits
)

// Builder collects address blocks for a table.
type Builder struct {
	// regions holds the region names by region ID. byName holds the region IDs by
	// region name.
	regions []string
	byName  map[string]uint8
	// v4 holds the keys of the IPv4 blocks, and regionIDs4 their region IDs. Both are
	// in the order in which the blocks were added.
	v4         []uint64
	regionIDs4 []uint8
	v6         []block
}

// block is an address prefix and the region that its addresses belong to.
type block struct {
	prefix   netip.Prefix
	regionID uint8
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder { return &Builder{byName: map[string]uint8{}} }

// Add adds a block of addresses that belong to a region. In the table, it replaces an
// earlier block with the same prefix.
func (b *Builder) Add(prefix netip.Prefix, region string) error {
	if !prefix.IsValid() {
		return fmt.Errorf("client block %v is not valid", prefix)
	}
	regionID, ok := b.byName[region]
	if !ok {
		if len(b.regions) == maxRegions {
			return fmt.Errorf("client blocks have more than %d regions", maxRegions)
		}
		regionID = uint8(len(b.regions))
		b.regions = append(b.regions, region)
		b.byName[region] = regionID
	}
	prefix = normalize(prefix)
	if prefix.Addr().Is6() {
		b.v6 = append(b.v6, block{prefix: prefix, regionID: regionID})
		return nil
	}
	if len(b.v4) == maxBlocks {
		return fmt.Errorf("more than %d IPv4 client blocks", maxBlocks)
	}
	bytes := prefix.Addr().As4()
	key := uint64(binary.BigEndian.Uint32(bytes[:]))<<(lengthBits+sequenceBits) |
		uint64(prefix.Bits())<<sequenceBits | uint64(len(b.v4))
	b.v4 = append(b.v4, key)
	b.regionIDs4 = append(b.regionIDs4, regionID)
	return nil
}

// Len returns the number of blocks that were added. Blocks with the same prefix count
// separately.
func (b *Builder) Len() int { return len(b.v4) + len(b.v6) }

// sorted yields the IPv4 blocks, then the IPv6 blocks, each sorted by address, then
// by prefix length, then by the order of adding.
func (b *Builder) sorted() iter.Seq[block] {
	// Each key contains the position of its region ID in regionIDs4. So only a copy of
	// the keys is sorted, and blocks can still be added afterwards.
	keys := slices.Clone(b.v4)
	slices.Sort(keys)
	slices.SortStableFunc(b.v6, func(x, y block) int {
		return cmp.Or(x.prefix.Addr().Compare(y.prefix.Addr()), cmp.Compare(x.prefix.Bits(), y.prefix.Bits()))
	})
	return func(yield func(block) bool) {
		for _, key := range keys {
			if !yield(b.unpack(key)) {
				return
			}
		}
		for _, blk := range b.v6 {
			if !yield(blk) {
				return
			}
		}
	}
}

// unpack returns the IPv4 block that is packed into a key.
func (b *Builder) unpack(key uint64) block {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], uint32(key>>(lengthBits+sequenceBits)))
	length := int(key >> sequenceBits & (1<<lengthBits - 1))
	return block{prefix: netip.PrefixFrom(netip.AddrFrom4(bytes), length), regionID: b.regionIDs4[key&(maxBlocks-1)]}
}

// normalize clears the host bits of a prefix and converts an IPv4-mapped IPv6
// prefix to IPv4.
func normalize(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p.Masked()
}

// Build returns a table of the blocks added so far.
func (b *Builder) Build() *Table {
	t := &Table{regions: slices.Clone(b.regions), blocks: b.Len()}
	s := sweep{table: t}
	for blk := range b.sorted() {
		s.add(blk)
	}
	s.closeBefore(address6{}, true)
	t.v4.starts, t.v4.regionIDs = slices.Clip(t.v4.starts), slices.Clip(t.v4.regionIDs)
	t.v4.buildIndex()
	return t
}

// sweep converts sorted, possibly nested blocks into the disjoint ranges of a
// table. The stack holds the blocks that contain the current address, outermost
// first.
type sweep struct {
	table  *Table
	stack  []openBlock
	isIPv4 bool
}

// openBlock is a block that contains the current address of the sweep. The field last
// is the last address of the block.
type openBlock struct {
	last     address6
	regionID uint8
}

// add moves the sweep to the first address of a block and opens the block. Blocks must
// be added in the order of Builder.sorted.
func (s *sweep) add(blk block) {
	first, last := bounds(blk.prefix)
	isIPv4 := blk.prefix.Addr().Is4()
	if isIPv4 != s.isIPv4 {
		s.closeBefore(address6{}, true)
		s.isIPv4 = isIPv4
	}
	s.closeBefore(first, false)
	s.emit(first, blk.regionID)
	s.stack = append(s.stack, openBlock{last: last, regionID: blk.regionID})
}

// closeBefore closes the open blocks whose last address is before addr. If all is true,
// it closes all open blocks. The addresses after a closed block belong to the open
// block that contains it or, if there is none, to no region.
func (s *sweep) closeBefore(addr address6, all bool) {
	for len(s.stack) > 0 {
		top := s.stack[len(s.stack)-1]
		if !all && !top.last.less(addr) {
			return
		}
		s.stack = s.stack[:len(s.stack)-1]
		regionID := uint8(noRegion)
		if len(s.stack) > 0 {
			regionID = s.stack[len(s.stack)-1].regionID
		}
		if next, ok := s.nextAddress(top.last); ok {
			s.emit(next, regionID)
		}
	}
}

// nextAddress returns the address after addr. It reports false if addr is the last IPv4
// or IPv6 address.
func (s *sweep) nextAddress(addr address6) (address6, bool) {
	low, carry := bits.Add64(addr.low, 1, 0)
	high, overflow := bits.Add64(addr.high, 0, carry)
	if s.isIPv4 && low > 1<<32-1 {
		return address6{}, false
	}
	return address6{high: high, low: low}, overflow == 0
}

// emit adds a range that starts at the given address to the table. It first removes a
// range that starts at the same address. No range is added if the range before it has
// the same region, because that range then covers the new one, or if the first range of
// the table would have no region.
func (s *sweep) emit(start address6, regionID uint8) {
	if s.isIPv4 {
		r := &s.table.v4
		r.starts, r.regionIDs = appendRange(r.starts, r.regionIDs, uint32(start.low), regionID)
		return
	}
	r := &s.table.v6
	r.starts, r.regionIDs = appendRange(r.starts, r.regionIDs, start, regionID)
}

func appendRange[T comparable](starts []T, regionIDs []uint8, start T, regionID uint8) ([]T, []uint8) {
	last := len(starts) - 1
	if last >= 0 && starts[last] == start {
		starts, regionIDs = starts[:last], regionIDs[:last]
		last--
	}
	if last >= 0 && regionIDs[last] == regionID || last < 0 && regionID == noRegion {
		return starts, regionIDs
	}
	return append(starts, start), append(regionIDs, regionID)
}

// bounds returns the first and the last address of a prefix.
func bounds(p netip.Prefix) (first, last address6) {
	if p.Addr().Is4() {
		bytes := p.Addr().As4()
		first.low = uint64(binary.BigEndian.Uint32(bytes[:]))
		last.low = first.low + 1<<(32-p.Bits()) - 1
		return first, last
	}
	first = toAddress6(p.Addr().As16())
	host := 128 - p.Bits()
	last = first
	last.low |= lowMask(min(host, 64))
	last.high |= lowMask(max(0, host-64))
	return first, last
}

// lowMask returns a mask of the lowest n bits.
func lowMask(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<n - 1
}
