package placer

// Ownership determines which endpoints an instance owns. The owner of an endpoint is chosen
// among the instances by rendezvous hashing: all instances that know of the same instances
// choose the same owner. An answer is computed once for each endpoint and then kept, since
// it is needed for each request and takes time in proportion to the number of instances.
type Ownership struct {
	self   uint32
	others []uint32
	owned  map[uint32]bool
}

// NewOwnership returns the ownership of the instance self. instances lists the IDs of the
// instances that may own endpoints; whether it contains self makes no difference.
func NewOwnership(self string, instances []string) *Ownership {
	o := &Ownership{self: Hash32(self), others: make([]uint32, 0, len(instances)), owned: map[uint32]bool{}}
	for _, id := range instances {
		if id != self {
			o.others = append(o.others, Hash32(id))
		}
	}
	return o
}

// Owns reports whether the instance owns the endpoint with the given hash.
func (o *Ownership) Owns(endpoint uint32) bool {
	owned, ok := o.owned[endpoint]
	if !ok {
		owned = o.ranksFirst(endpoint)
		o.owned[endpoint] = owned
	}
	return owned
}

// ranksFirst reports whether the instance comes first in the endpoint's order of
// instances. If two instances have the same score, the one with the smaller hash comes
// first.
func (o *Ownership) ranksFirst(endpoint uint32) bool {
	own := mix(o.self, endpoint)
	for _, other := range o.others {
		score := mix(other, endpoint)
		if score > own || score == own && other < o.self {
			return false
		}
	}
	return true
}
