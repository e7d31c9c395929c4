package allocator

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=Kind -output=kind_string.go

// Kind says what a resource is a capacity of.
type Kind int

const (
	// TeamRate counts a team's requests.
	TeamRate Kind = iota
	// LinkBytes counts the bytes that a link carries in one direction.
	LinkBytes
	// RegionSlots counts the slots that a region offers to other regions. Such
	// a capacity has no rate: a slot is taken and given back.
	RegionSlots
)

// Resource names one fleet-wide capacity.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Capacity is what all instances together may spend of a resource: at most
// Rate tokens a second and Burst tokens at once.
type Capacity struct {
	Resource Resource
	Rate     float64
	Burst    float64
}

// minSeatBurst is the least burst, in tokens, that a seat gets of a team's: a
// team with a small burst has few seats, so that a seat can grant whole
// requests.
const minSeatBurst = 4

// Plan divides capacities among seats. It is a pure function of one version of
// the configuration, so instances with the same version agree on it.
type Plan struct {
	version    int64
	seats      []string
	regions    map[string]string
	capacities []Capacity
	shares     map[Resource][]share
}

// Domain is a failure domain; each has one seat of the same name.
type Domain struct {
	Name   string
	Region string
}

// share is a seat's part of a capacity.
type share struct {
	seat  string
	rate  float64
	burst float64
}

// NewPlan returns the division of capacities among the seats of the failure
// domains. Versions grow with the configuration.
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

// divide gives the seats with the highest rendezvous hash equal parts.
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

// rank orders names by rendezvous hash for a key.
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

// Seats returns the names of all seats in order.
func (p *Plan) Seats() []string { return p.seats }

// share returns a seat's part of a resource; a seat outside the plan has none.
func (p *Plan) share(r Resource, seat string) share {
	for _, s := range p.shares[r] {
		if s.seat == seat {
			return s
		}
	}
	return share{seat: seat}
}
