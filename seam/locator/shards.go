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

// ManifestName is the name of the store's object that holds the manifest.
const ManifestName = "manifest"

// shardBytes is the size from which on a shard gets no more blocks. Most shards end
// earlier, after about 8,000 blocks. Encoded in base64, a shard of this size stays
// below the store's size limit for a value.
const shardBytes = 512 << 10

// maxShards is the maximum number of shards in a manifest.
const maxShards = 4096

// Manifest lists the shards of one version of the client map, in order. Shards
// refer to a region by its position in Regions.
type Manifest struct {
	Regions []string `json:"regions"`
	Shards  []Shard  `json:"shards"`
}

// Shard refers to a shard's object in the store.
type Shard struct {
	Name string `json:"name"`
	// Digest is the SHA-256 of the shard's encoded blocks, in hexadecimal.
	Digest string `json:"digest"`
}

// shardValue is the value of a shard's object in the store.
type shardValue struct {
	// Blocks is a sequence of blocks as written by appendBlock.
	Blocks []byte `json:"blocks"`
}

// Object is a shard to be written to the store.
type Object struct {
	Name  string
	Value []byte
}

// Split encodes the blocks as a manifest and the shards that must be written before
// it. Shard boundaries depend on the addresses alone, so a change to some blocks
// leaves other shards as they are, and these keep their objects. New shards get
// names that the current manifest doesn't use, so that the current map can be read
// until the new manifest replaces it.
func (b *Builder) Split(current Manifest) (Manifest, []Object, error) {
	nameByDigest := map[string]string{}
	used := map[string]bool{}
	for _, s := range current.Shards {
		nameByDigest[s.Digest] = s.Name
		used[s.Name] = true
	}
	m := Manifest{Regions: slices.Clone(b.regions)}
	var objects []Object
	next := 0
	for _, payload := range b.payloads() {
		sum := sha256.Sum256(payload)
		digest := hex.EncodeToString(sum[:])
		if name, ok := nameByDigest[digest]; ok {
			m.Shards = append(m.Shards, Shard{Name: name, Digest: digest})
			continue
		}
		for used[shardName(next)] {
			next++
		}
		name := shardName(next)
		used[name] = true
		value, err := json.Marshal(shardValue{Blocks: payload})
		if err != nil {
			return Manifest{}, nil, fmt.Errorf("encode shard: %w", err)
		}
		objects = append(objects, Object{Name: name, Value: value})
		m.Shards = append(m.Shards, Shard{Name: name, Digest: digest})
	}
	if len(m.Shards) > maxShards {
		return Manifest{}, nil, fmt.Errorf("client map needs %d shards, more than the maximum of %d", len(m.Shards), maxShards)
	}
	return m, objects, nil
}

func shardName(n int) string { return fmt.Sprintf("shard-%04d", n) }

// payloads encodes the sorted blocks and splits them into the contents of shards. A
// new shard starts at a block whose address has a hash with 13 low zero bits, that
// is at one in 8,192 on average, or when the shard before has reached shardBytes.
func (b *Builder) payloads() [][]byte {
	const cutMask = 1<<13 - 1
	var payloads [][]byte
	var payload []byte
	for blk := range b.sorted() {
		cut := xxhash.Sum64(blk.prefix.Addr().AsSlice())&cutMask == 0
		if len(payload) > 0 && (cut || len(payload) >= shardBytes) {
			payloads = append(payloads, payload)
			payload = nil
		}
		payload = appendBlock(payload, blk)
	}
	if len(payload) > 0 {
		payloads = append(payloads, payload)
	}
	return payloads
}

// appendBlock appends a block's encoding: the length of its address in bytes (4 or
// 16), the prefix length, the region ID, and the address without the bytes after
// the prefix.
func appendBlock(payload []byte, blk block) []byte {
	addr := blk.prefix.Addr().AsSlice()
	significant := (blk.prefix.Bits() + 7) / 8
	payload = append(payload, byte(len(addr)), byte(blk.prefix.Bits()), blk.regionID)
	return append(payload, addr[:significant]...)
}

// errInvalidShard is returned if a shard's digest isn't the manifest's, or if its
// blocks can't be decoded.
var errInvalidShard = errors.New("shard is malformed or doesn't match its manifest")

// Join builds the table of the blocks of a manifest's shards and, unless it is nil,
// of the extra builder, whose blocks replace equal ones. It fails if a shard is
// missing, malformed or not the one that the manifest lists.
func Join(m Manifest, value func(name string) []byte, extra *Builder) (*Table, error) {
	if len(m.Shards) > maxShards {
		return nil, fmt.Errorf("manifest lists %d shards, more than the maximum of %d", len(m.Shards), maxShards)
	}
	b := NewBuilder()
	for _, s := range m.Shards {
		var shard shardValue
		if err := json.Unmarshal(value(s.Name), &shard); err != nil {
			return nil, fmt.Errorf("decode %s: %w", s.Name, err)
		}
		sum := sha256.Sum256(shard.Blocks)
		if hex.EncodeToString(sum[:]) != s.Digest {
			return nil, fmt.Errorf("%s: %w", s.Name, errInvalidShard)
		}
		if err := b.addPayload(shard.Blocks, m.Regions); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	if extra != nil {
		for blk := range extra.sorted() {
			if err := b.Add(blk.prefix, extra.regions[blk.regionID]); err != nil {
				return nil, err
			}
		}
	}
	return b.Build(), nil
}

// addPayload decodes the blocks of a shard and adds them.
func (b *Builder) addPayload(payload []byte, regions []string) error {
	const headerBytes = 3
	for len(payload) > 0 {
		if len(payload) < headerBytes {
			return errInvalidShard
		}
		family, length, regionID := int(payload[0]), int(payload[1]), int(payload[2])
		significant := (length + 7) / 8
		payload = payload[headerBytes:]
		if family != 4 && family != 16 || length > family*8 || regionID >= len(regions) || len(payload) < significant {
			return errInvalidShard
		}
		var full [16]byte
		copy(full[:], payload[:significant])
		addr, _ := netip.AddrFromSlice(full[:family])
		if err := b.Add(netip.PrefixFrom(addr, length), regions[regionID]); err != nil {
			return err
		}
		payload = payload[significant:]
	}
	return nil
}
