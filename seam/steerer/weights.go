package steerer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries bounds an answer, so that it stays small in a large fleet.
	maxEntries = 12
	// maxFirst and maxOwn leave room for other regions if these are lost.
	maxFirst = 6
	maxOwn   = 3
)

// Share is the part, 0 to 1, of a region's callers that use another region.
type Share struct {
	Region string
	Part   float64
}

// Shares says where the callers of each region go. What a region's shares
// leave over stays in the region.
type Shares struct{ of map[string][]Share }

// With returns a copy in which a region's shares are replaced.
func (s Shares) With(region string, list []Share) Shares {
	next := Shares{of: make(map[string][]Share, len(s.of)+1)}
	for name, shares := range s.of {
		next.of[name] = shares
	}
	next.of[region] = slices.Clone(list)
	return next
}

// Of returns the shares of a region's callers that go elsewhere.
func (s Shares) Of(region string) []Share { return slices.Clone(s.of[region]) }

// Pick returns the region that a caller should use, by weighted rendezvous
// hashing: the same one each time, unless a change of shares moves just this
// caller. Callers who moved at every look-up would keep all caches cold.
func (s Shares) Pick(region, caller string) string {
	stay := 1.0
	best, bestScore := region, 0.0
	for _, share := range s.of[region] {
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

func score(region, caller string, part float64) float64 {
	if part <= 0 {
		return 0
	}
	// The hash as a number in (0, 1).
	u := (float64(xxhash.Sum64String(region+"\x00"+caller)>>11) + 0.5) / (1 << 53)
	return -part / math.Log(u)
}

// WithShares returns a copy of the table that steers by shares and offers
// instances of silent regions last.
func (t *Table) WithShares(shares Shares, silent []string) *Table {
	next := *t
	next.shares = shares
	next.silent = slices.Clone(silent)
	return &next
}

// order lists instances for a caller of a region: those of the region that it
// should use, then its own region's, then others, in random order each.
func (t *Table) order(region, caller string, rng *rand.Rand) []Instance {
	list := slices.Clone(t.instances)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	target := t.shares.Pick(region, caller)
	rank := func(i Instance) int {
		switch {
		case slices.Contains(t.silent, i.Region):
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
	return shorten(list, rank)
}

// shorten keeps some instances of every rank, and their order.
func shorten(list []Instance, rank func(Instance) int) []Instance {
	limits := [...]int{maxFirst, maxOwn, maxEntries, maxEntries}
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
