package placer

// Ranking determines the place of an instance in the order of instances that each endpoint
// has. The order is that of rendezvous hashing: all instances that know of the same
// instances have the same orders, and one instance more or less moves few others. An
// answer is computed once for each endpoint and then kept, since it is needed for each
// request and takes time in proportion to the number of instances.
type Ranking struct {
	self   uint32
	others []uint32
	ranks  map[uint32]int
}

// NewRanking returns the ranking of the instance self. instances lists the IDs of the
// instances in the order; whether it contains self makes no difference.
func NewRanking(self string, instances []string) *Ranking {
	r := &Ranking{self: Hash32(self), others: make([]uint32, 0, len(instances)), ranks: map[uint32]int{}}
	for _, id := range instances {
		if id != self {
			r.others = append(r.others, Hash32(id))
		}
	}
	return r
}

// Rank returns how many instances come before this one in the order of the endpoint with
// the given hash.
func (r *Ranking) Rank(endpoint uint32) int {
	rank, ok := r.ranks[endpoint]
	if !ok {
		rank = r.countBefore(endpoint)
		r.ranks[endpoint] = rank
	}
	return rank
}

// Candidates returns the number of instances in the order, this one included.
func (r *Ranking) Candidates() int { return len(r.others) + 1 }

// countBefore counts the instances with a higher score than this one. If two instances have
// the same score, the one with the smaller hash comes first.
func (r *Ranking) countBefore(endpoint uint32) int {
	own := mix(r.self, endpoint)
	count := 0
	for _, other := range r.others {
		score := mix(other, endpoint)
		if score > own || score == own && other < r.self {
			count++
		}
	}
	return count
}
