package steerer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries is the maximum number of instances in the answer to a lookup, so that
	// the answer stays small in a large fleet.
	maxEntries = 12
	// An answer that is cut to maxEntries contains at most maxTargetRegion instances of
	// the target region, which is the region that the caller should use. If that isn't
	// the caller's own region, it contains at most maxOwnRegion instances of the own
	// region. The limits leave entries for other regions, in case both regions are
	// lost.
	maxTargetRegion = 6
	maxOwnRegion    = 3
)

// Share is a part of one region's callers that is sent to another region. Region is the
// other region, and Part is the fraction of the callers, from 0 to 1.
type Share struct {
	Region string
	Part   float64
}

// Shares holds, for each region, the fractions of its callers that are sent to other
// regions. The remaining callers of the region use the region itself. The zero value
// leaves all callers in their own region.
type Shares struct{ byRegion map[string][]Share }

// With returns a copy of s in which list replaces the shares of one region's callers.
func (s Shares) With(region string, list []Share) Shares {
	next := Shares{byRegion: make(map[string][]Share, len(s.byRegion)+1)}
	for name, shares := range s.byRegion {
		next.byRegion[name] = shares
	}
	next.byRegion[region] = slices.Clone(list)
	return next
}

// Of returns the shares of one region's callers that are sent to other regions.
func (s Shares) Of(region string) []Share { return slices.Clone(s.byRegion[region]) }

// Pick returns the region that a caller of the given region should use, by weighted
// rendezvous hashing. As long as the shares stay the same, Pick returns the same region
// for a caller each time. A change of the shares moves only as many callers as
// necessary. If a caller's region changed at every lookup, no region would have the
// caller's data cached.
func (s Shares) Pick(region, caller string) string {
	stay := 1.0
	best, bestScore := region, 0.0
	for _, share := range s.byRegion[region] {
		stay -= share.Part
		if score := score(share.Region, caller, share.Part); score > bestScore {
			best, bestScore = share.Region, score
		}
	}
	if score(region, caller, stay) >= bestScore {
		return region
	}
	return best
}

// score returns a region's score for a caller in weighted rendezvous hashing. The
// probability that a region has the highest score is proportional to its fraction.
func score(region, caller string, fraction float64) float64 {
	if fraction <= 0 {
		return 0
	}
	// u is the hash, scaled to a number between 0 and 1, exclusive.
	u := (float64(xxhash.Sum64String(region+"\x00"+caller)>>11) + 0.5) / (1 << 53)
	return -fraction / math.Log(u)
}

// WithShares returns a copy of the table that assigns callers to regions by the given
// shares. The copy lists the instances of the unreachable regions last.
func (t *Table) WithShares(shares Shares, unreachable []string) *Table {
	next := *t
	next.shares = shares
	next.unreachable = slices.Clone(unreachable)
	return &next
}

// order returns the instances for a caller of a region, in the order in which the
// caller should try them, and at most maxEntries. First come the instances of the
// target region, which is the region that the shares assign to the caller. Then come
// the instances of the caller's own region, then those of other regions, and last those
// of unreachable regions. The position of an instance's group in this sequence is its
// rank, from 0 to 3. The order within a rank is random.
func (t *Table) order(region, caller string, rng *rand.Rand) []Instance {
	list := slices.Clone(t.instances)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	target := t.shares.Pick(region, caller)
	rank := func(i Instance) int {
		switch {
		case slices.Contains(t.unreachable, i.Region):
			return 3
		case i.Region == target:
			return 0
		case i.Region == region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b Instance) int { return cmp.Compare(rank(a), rank(b)) })
	if len(list) <= maxEntries {
		return list
	}
	return truncate(list, rank)
}

// truncate returns the first instances of a sorted list, at most maxEntries in total
// and at most as many of each rank as the limits below allow. The function rank returns
// the rank of an instance as defined in order.
func truncate(list []Instance, rank func(Instance) int) []Instance {
	limits := [...]int{maxTargetRegion, maxOwnRegion, maxEntries, maxEntries}
	var taken [len(limits)]int
	kept := make([]Instance, 0, maxEntries)
	for _, i := range list {
		r := rank(i)
		if len(kept) < maxEntries && taken[r] < limits[r] {
			taken[r]++
			kept = append(kept, i)
		}
	}
	return kept
}
