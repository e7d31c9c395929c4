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

// ManifestName is the name of the object in the store that holds the manifest of the
// client map.
const ManifestName = "manifest"

// shardBytes is the size of a shard's encoded blocks, in bytes, at which the shard is
// full. Most shards end earlier, after about 8,000 blocks. Encoded in base64, a shard
// of this size stays below the store's size limit for a value.
const shardBytes = 512 << 10

// maxShards is the maximum number of shards in a manifest.
const maxShards = 4096

// Manifest lists the shards of one version of the client map, in the order of their
// addresses. The blocks in the shards refer to a region by its position in Regions.
type Manifest struct {
	Regions []string `json:"regions"`
	Shards  []Shard  `json:"shards"`
}

// Shard is the manifest's entry for a shard: the name of the shard's object in the
// store and a digest of its content.
type Shard struct {
	Name string `json:"name"`
	// Digest is the SHA-256 of the shard's encoded blocks, in hexadecimal.
	Digest string `json:"digest"`
}

// shardValue is the value of a shard's object in the store.
type shardValue struct {
	// Blocks is the concatenation of the shard's blocks as encoded by appendBlock.
	Blocks []byte `json:"blocks"`
}

// Object is the name and the value of a shard's object that must be written to the
// store.
type Object struct {
	Name  string
	Value []byte
}

// Split divides the encoded blocks into shards. It returns the new manifest and the
// objects of new shards, which must be written to the store before the manifest. A
// shard whose content the current manifest lists keeps its object and isn't returned.
// Shard boundaries depend on the addresses alone, so a change to some blocks leaves
// most other shards as they are. New shards get names that the current manifest doesn't
// use, so that the current client map can be read until the new manifest replaces the
// current one.
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

// payloads encodes the sorted blocks and returns the content of each shard. A new shard
// starts at a block whose address has a hash that ends in 13 zero bits, which is the
// case for one block in 8,192 on average. A new shard also starts when the previous one
// has reached shardBytes.
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

// appendBlock appends the encoding of a block to payload: the length of its address in
// bytes (4 or 16), the prefix length in bits, the region ID, and the address without
// the bytes after the prefix.
func appendBlock(payload []byte, blk block) []byte {
	addr := blk.prefix.Addr().AsSlice()
	significant := (blk.prefix.Bits() + 7) / 8
	payload = append(payload, byte(len(addr)), byte(blk.prefix.Bits()), blk.regionID)
	return append(payload, addr[:significant]...)
}

// errInvalidShard is returned if the digest of a shard differs from the digest in the
// manifest, or if the shard's blocks can't be decoded.
var errInvalidShard = errors.New("shard is malformed or doesn't match its manifest")

// Join returns a table of the blocks in the manifest's shards and of the blocks in
// extra, which may be nil. The function value returns the value of a shard's object by
// name. A block of extra replaces a block of a shard with the same prefix. Join returns
// an error if a shard is missing, is malformed or has another digest than the manifest
// lists.
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

// addPayload decodes the content of a shard and adds its blocks to the builder. The
// regions are those of the manifest. If addPayload returns an error, the blocks before
// the malformed one stay in the builder.
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
