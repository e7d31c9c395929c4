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

// An IPv4 block is kept as one number: its address, its prefix length and its
// place in the order of adding, which finds its owner.
const (
	sequenceBits = 26
	lengthBits   = 6
	maxBlocks    = 1 << sequenceBits
)

// Builder collects blocks for a table.
type Builder struct {
	regions []string
	byName  map[string]uint8
	v4      []uint64
	owners4 []uint8
	v6      []block
}

// block is a prefix and who owns it.
type block struct {
	prefix netip.Prefix
	owner  uint8
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder { return &Builder{byName: map[string]uint8{}} }

// Add takes a block. A later block replaces an equal one.
func (b *Builder) Add(prefix netip.Prefix, region string) error {
	if !prefix.IsValid() {
		return fmt.Errorf("client block %v is not valid", prefix)
	}
	owner, ok := b.byName[region]
	if !ok {
		if len(b.regions) == maxRegions {
			return fmt.Errorf("more than %d regions", maxRegions)
		}
		owner = uint8(len(b.regions))
		b.regions = append(b.regions, region)
		b.byName[region] = owner
	}
	prefix = unmapped(prefix)
	if prefix.Addr().Is6() {
		b.v6 = append(b.v6, block{prefix: prefix, owner: owner})
		return nil
	}
	if len(b.v4) == maxBlocks {
		return fmt.Errorf("more than %d blocks", maxBlocks)
	}
	bytes := prefix.Addr().As4()
	key := uint64(binary.BigEndian.Uint32(bytes[:]))<<(lengthBits+sequenceBits) |
		uint64(prefix.Bits())<<sequenceBits | uint64(len(b.v4))
	b.v4 = append(b.v4, key)
	b.owners4 = append(b.owners4, owner)
	return nil
}

// Len returns the number of blocks.
func (b *Builder) Len() int { return len(b.v4) + len(b.v6) }

// sorted yields the blocks by address, shorter prefixes first, later added
// ones last.
func (b *Builder) sorted() iter.Seq[block] {
	// Sorting moves keys only, so the places in owners4 stay right if blocks
	// are added afterwards.
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
		for _, k := range b.v6 {
			if !yield(k) {
				return
			}
		}
	}
}

func (b *Builder) unpack(key uint64) block {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], uint32(key>>(lengthBits+sequenceBits)))
	length := int(key >> sequenceBits & (1<<lengthBits - 1))
	return block{prefix: netip.PrefixFrom(netip.AddrFrom4(bytes), length), owner: b.owners4[key&(maxBlocks-1)]}
}

// unmapped returns the prefix with host bits cleared, as IPv4 if it is that.
func unmapped(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p.Masked()
}

// Build returns the table of all blocks.
func (b *Builder) Build() *Table {
	t := &Table{regions: slices.Clone(b.regions), blocks: b.Len()}
	s := sweep{table: t}
	for k := range b.sorted() {
		s.add(k)
	}
	s.closeUntil(address6{}, true)
	t.v4.starts, t.v4.owners = slices.Clip(t.v4.starts), slices.Clip(t.v4.owners)
	t.v4.buildIndex()
	return t
}

// sweep walks sorted blocks and writes disjoint ranges. The stack holds the
// blocks that are open at the present address, outermost first.
type sweep struct {
	table *Table
	stack []open
	is4   bool
}

// open is a block that has started; last is its last address.
type open struct {
	last  address6
	owner uint8
}

func (s *sweep) add(k block) {
	first, last := bounds(k.prefix)
	is4 := k.prefix.Addr().Is4()
	if is4 != s.is4 {
		s.closeUntil(address6{}, true)
		s.is4 = is4
	}
	s.closeUntil(first, false)
	s.emit(first, k.owner)
	s.stack = append(s.stack, open{last: last, owner: k.owner})
}

// closeUntil ends the open blocks that lie before an address, or all.
func (s *sweep) closeUntil(addr address6, all bool) {
	for len(s.stack) > 0 {
		top := s.stack[len(s.stack)-1]
		if !all && !top.last.less(addr) {
			return
		}
		s.stack = s.stack[:len(s.stack)-1]
		owner := uint8(none)
		if len(s.stack) > 0 {
			owner = s.stack[len(s.stack)-1].owner
		}
		if next, ok := s.after(top.last); ok {
			s.emit(next, owner)
		}
	}
}

// after returns the next address, or false after the last of the family.
func (s *sweep) after(addr address6) (address6, bool) {
	low, carry := bits.Add64(addr.low, 1, 0)
	high, overflow := bits.Add64(addr.high, 0, carry)
	if s.is4 && low > 1<<32-1 {
		return address6{}, false
	}
	return address6{high: high, low: low}, overflow == 0
}

// emit starts a range; it replaces one that starts at the same address and
// goes on with one of the same owner.
func (s *sweep) emit(start address6, owner uint8) {
	if s.is4 {
		r := &s.table.v4
		r.starts, r.owners = appendRange(r.starts, r.owners, uint32(start.low), owner)
		return
	}
	r := &s.table.v6
	r.starts, r.owners = appendRange(r.starts, r.owners, start, owner)
}

func appendRange[T comparable](starts []T, owners []uint8, start T, owner uint8) ([]T, []uint8) {
	last := len(starts) - 1
	if last >= 0 && starts[last] == start {
		starts, owners = starts[:last], owners[:last]
		last--
	}
	if last >= 0 && owners[last] == owner || last < 0 && owner == none {
		return starts, owners
	}
	return append(starts, start), append(owners, owner)
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

// lowMask returns a number whose lowest n bits are set.
func lowMask(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<n - 1
}
