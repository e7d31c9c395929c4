package steerer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries is the maximum number of instances in an answer, so that it stays
	// small in a large fleet.
	maxEntries = 12
	// maxTarget and maxOwn are the maximum numbers of instances of the region that
	// a caller should use and of its own region. They leave entries for other
	// regions, in case both are lost.
	maxTarget = 6
	maxOwn    = 3
)

// Share is the fraction, from 0 to 1, of a region's callers that use another region.
type Share struct {
	Region string
	Part   float64
}

// Shares holds for each region the fractions of its callers that use other regions.
// The remaining callers use their own region.
type Shares struct{ byRegion map[string][]Share }

// With returns a copy with the shares of one region replaced.
func (s Shares) With(region string, list []Share) Shares {
	next := Shares{byRegion: make(map[string][]Share, len(s.byRegion)+1)}
	for name, shares := range s.byRegion {
		next.byRegion[name] = shares
	}
	next.byRegion[region] = slices.Clone(list)
	return next
}

// Of returns the shares of one region's callers.
func (s Shares) Of(region string) []Share { return slices.Clone(s.byRegion[region]) }

// Pick returns the region that a caller should use, by weighted rendezvous hashing.
// It returns the same region each time, and a change of shares moves only as many
// callers as it must. Callers that changed regions at every lookup would find cold
// caches everywhere.
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
// chance to have the highest score is proportional to fraction.
func score(region, caller string, fraction float64) float64 {
	if fraction <= 0 {
		return 0
	}
	// u is the hash, scaled to a number between 0 and 1, exclusive.
	u := (float64(xxhash.Sum64String(region+"\x00"+caller)>>11) + 0.5) / (1 << 53)
	return -fraction / math.Log(u)
}

// WithShares returns a copy of the table that uses the given shares and lists the
// instances of unreachable regions last.
func (t *Table) WithShares(shares Shares, unreachable []string) *Table {
	next := *t
	next.shares = shares
	next.unreachable = slices.Clone(unreachable)
	return &next
}

// order lists the instances for a caller of a region: those of the region that it
// should use, then those of its own region, then those of other regions, and last
// those of unreachable regions. Each group is in random order.
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

// truncate returns the first maxEntries instances, but no more of a rank than its
// limit.
func truncate(list []Instance, rank func(Instance) int) []Instance {
	limits := [...]int{maxTarget, maxOwn, maxEntries, maxEntries}
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
