package allocator

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=Kind -output=kind_string.go

// Kind is the kind of a resource.
type Kind int

const (
	// TeamRate limits the requests of a team.
	TeamRate Kind = iota
	// LinkBytes limits the bytes that the link between two regions carries in one
	// direction.
	LinkBytes
	// RegionSlots limits the concurrent requests that a region accepts from other
	// regions. It has no rate: a request occupies a slot until it ends.
	RegionSlots
)

// Resource identifies one fleet-wide limit, for instance the request rate of one team.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Capacity is the limit of a resource for all instances together: a token bucket that
// refills at Rate tokens a second and holds at most Burst tokens. For slots, Rate is 0
// and Burst is the number of slots.
type Capacity struct {
	Resource Resource
	Rate     float64
	Burst    float64
}

// minSeatBurst is the least burst, in tokens, of a seat's share of a rate limit. A
// resource with a small burst is divided among fewer seats, so that each share has
// enough tokens for whole requests.
const minSeatBurst = 4

// Plan is the division of all capacities among the seats. It depends only on the
// configuration, so all instances with the same configuration version have the same
// plan.
type Plan struct {
	version    int64
	seats      []string
	regions    map[string]string
	capacities []Capacity
	shares     map[Resource][]share
}

// Domain is a failure domain. Each failure domain has one seat, which has the same
// name.
type Domain struct {
	Name   string
	Region string
}

// share is the part of a capacity that belongs to one seat.
type share struct {
	seat  string
	rate  float64
	burst float64
}

// NewPlan returns the plan that divides the capacities among the seats of the failure
// domains. The version of the plan is the version of the configuration, which must grow
// with each change.
func NewPlan(version int64, domains []Domain, capacities []Capacity) *Plan {
	p := &Plan{version: version, regions: map[string]string{}, capacities: capacities}
	for _, d := range domains {
		p.seats = append(p.seats, d.Name)
		p.regions[d.Name] = d.Region
	}
	slices.Sort(p.seats)
	p.shares = make(map[Resource][]share, len(capacities))
	for _, c := range capacities {
		p.shares[c.Resource] = divide(c, p.seats)
	}
	return p
}

// divide returns equal shares of a capacity for the seats with the highest rendezvous
// hashes. A capacity with a rate is divided among as many seats as minSeatBurst allows,
// at least one; slots are divided among all seats. If the slots don't divide evenly,
// the seats with the highest hashes get one more.
func divide(c Capacity, seats []string) []share {
	ranked := rank(c.Resource.Name, seats)
	count := len(ranked)
	if c.Rate > 0 {
		count = max(1, min(count, int(c.Burst/minSeatBurst)))
	}
	shares := make([]share, 0, count)
	for i, seat := range ranked[:min(count, len(ranked))] {
		part := share{seat: seat, rate: c.Rate / float64(count), burst: c.Burst / float64(count)}
		if c.Rate == 0 {
			part.burst = math.Floor((c.Burst + float64(count-1-i)) / float64(count))
		}
		shares = append(shares, part)
	}
	return shares
}

// rank returns names in descending order of their rendezvous hash with key.
func rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortStableFunc(ranked, func(a, b string) int {
		x, y := xxhash.Sum64String(key+"/"+a), xxhash.Sum64String(key+"/"+b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return ranked
}

// Version returns the version of the configuration.
func (p *Plan) Version() int64 { return p.version }

// Seats returns the sorted names of all seats.
func (p *Plan) Seats() []string { return p.seats }

// share returns a seat's share of a resource, which is zero if the seat has none.
func (p *Plan) share(r Resource, seat string) share {
	for _, s := range p.shares[r] {
		if s.seat == seat {
			return s
		}
	}
	return share{seat: seat}
}
