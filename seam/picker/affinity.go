package picker

import (
	"hash/fnv"
	"time"
)

// Score is the rendezvous hash of a key at a node: the node with the highest
// score has the key. A node that joins or leaves moves only its own keys.
func Score(node, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash of short, similar strings.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// preferred returns the endpoint that has the request's affinity, while it has
// a free slot. Affinity is given up before a request waits for it.
func (p *Pool) preferred(now time.Time, all []*Endpoint, r Request) (*Endpoint, bool) {
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
