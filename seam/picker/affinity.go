package picker

import (
	"hash/fnv"
	"time"
)

// Score returns the rendezvous hash of a node and a key. Among several nodes, a key
// belongs to the node with the highest score. When a node is added or removed, the only
// keys that move are those that belong to this node.
func Score(node, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mix(h.Sum64())
}

// mix distributes the bits of an FNV hash evenly. The FNV hashes of short, similar
// strings differ in too few bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// pickByAffinity returns the usable endpoint to which the request's affinity key hashes.
// It returns false if the request has no affinity key, or if that endpoint has no free
// slot. The caller then picks another endpoint, so that the request need not wait.
func (p *Pool) pickByAffinity(now time.Time, all []*Endpoint, r Request) (*Endpoint, bool) {
	if r.Affinity == "" {
		return nil, false
	}
	var best *Endpoint
	var highest uint64
	for _, e := range all {
		if !p.usable(now, e) {
			continue
		}
		if s := Score(e.address, r.Affinity); best == nil || s > highest {
			best, highest = e, s
		}
	}
	if best == nil || !p.free(now, best, r) {
		return nil, false
	}
	return best, true
}
