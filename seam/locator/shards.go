package locator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ManifestName is the name of the object that says which shards belong
// together.
const ManifestName = "manifest"

// shardBytes is the size at which a shard ends at the latest; most end earlier,
// after some 8,000 blocks. In base64 it stays below the limit of a value.
const shardBytes = 512 << 10

// maxShards bounds what a manifest may name.
const maxShards = 4096

// Manifest lists the shards of one version of the map, in order.
type Manifest struct {
	Regions []string `json:"regions"`
	Shards  []Shard  `json:"shards"`
}

// Shard names an object and what it must contain.
type Shard struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// shardValue is the value of a shard's object.
type shardValue struct {
	// Blocks is a row of blocks: address, prefix length and region.
	Blocks []byte `json:"blocks"`
}

// Object is a value for the store under a name.
type Object struct {
	Name  string
	Value []byte
}

// Split encodes a builder's blocks as shards and their manifest. Boundaries
// follow from the addresses alone, so that a change in one place leaves the
// other shards as they were. Names alternate with those of the manifest in
// force, so that its shards stay readable until the new one stands.
func (b *Builder) Split(inForce Manifest) (Manifest, []Object, error) {
	kept := map[string]string{}
	taken := map[string]bool{}
	for _, s := range inForce.Shards {
		kept[s.Digest] = s.Name
		taken[s.Name] = true
	}
	m := Manifest{Regions: slices.Clone(b.regions)}
	var objects []Object
	next := 0
	for _, row := range b.rows() {
		sum := sha256.Sum256(row)
		digest := hex.EncodeToString(sum[:])
		if name, ok := kept[digest]; ok {
			m.Shards = append(m.Shards, Shard{Name: name, Digest: digest})
			continue
		}
		for taken[shardName(next)] {
			next++
		}
		name := shardName(next)
		taken[name] = true
		value, err := json.Marshal(shardValue{Blocks: row})
		if err != nil {
			return Manifest{}, nil, fmt.Errorf("encode shard: %w", err)
		}
		objects = append(objects, Object{Name: name, Value: value})
		m.Shards = append(m.Shards, Shard{Name: name, Digest: digest})
	}
	if len(m.Shards) > maxShards {
		return Manifest{}, nil, fmt.Errorf("%d shards; at most %d", len(m.Shards), maxShards)
	}
	return m, objects, nil
}

func shardName(n int) string { return fmt.Sprintf("shard-%04d", n) }

// rows encodes the sorted blocks, cut where the address says so. A cut comes
// where the hash of a block's address has its low bits clear, at the latest
// when the row is full.
func (b *Builder) rows() [][]byte {
	const cutMask = 1<<13 - 1
	var rows [][]byte
	var row []byte
	for k := range b.sorted() {
		cut := xxhash.Sum64(k.prefix.Addr().AsSlice())&cutMask == 0
		if len(row) > 0 && (cut || len(row) >= shardBytes) {
			rows = append(rows, row)
			row = nil
		}
		row = appendBlock(row, k)
	}
	if len(row) > 0 {
		rows = append(rows, row)
	}
	return rows
}

// appendBlock writes the family, the prefix length, the region and the address.
func appendBlock(row []byte, k block) []byte {
	addr := k.prefix.Addr().AsSlice()
	significant := (k.prefix.Bits() + 7) / 8
	row = append(row, byte(len(addr)), byte(k.prefix.Bits()), k.owner)
	return append(row, addr[:significant]...)
}

// errShard says that a shard's bytes are not what its manifest asks for.
var errShard = errors.New("shard doesn't match its manifest")

// Join builds the table that a manifest describes. It fails if a shard is
// missing or another than the manifest's; the table in force stays then.
func Join(m Manifest, value func(name string) []byte, extra *Builder) (*Table, error) {
	if len(m.Shards) > maxShards {
		return nil, fmt.Errorf("%d shards; at most %d", len(m.Shards), maxShards)
	}
	b := NewBuilder()
	for _, s := range m.Shards {
		var shard shardValue
		if err := json.Unmarshal(value(s.Name), &shard); err != nil {
			return nil, fmt.Errorf("decode %s: %w", s.Name, err)
		}
		sum := sha256.Sum256(shard.Blocks)
		if hex.EncodeToString(sum[:]) != s.Digest {
			return nil, fmt.Errorf("%s: %w", s.Name, errShard)
		}
		if err := b.addRow(shard.Blocks, m.Regions); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	if extra != nil {
		for k := range extra.sorted() {
			if err := b.Add(k.prefix, extra.regions[k.owner]); err != nil {
				return nil, err
			}
		}
	}
	return b.Build(), nil
}

// addRow decodes the blocks of a shard.
func (b *Builder) addRow(row []byte, regions []string) error {
	const head = 3
	for len(row) > 0 {
		if len(row) < head {
			return errShard
		}
		family, length, owner := int(row[0]), int(row[1]), int(row[2])
		significant := (length + 7) / 8
		row = row[head:]
		if family != 4 && family != 16 || length > family*8 || owner >= len(regions) || len(row) < significant {
			return errShard
		}
		var full [16]byte
		copy(full[:], row[:significant])
		addr, _ := netip.AddrFromSlice(full[:family])
		if err := b.Add(netip.PrefixFrom(addr, length), regions[owner]); err != nil {
			return err
		}
		row = row[significant:]
	}
	return nil
}
