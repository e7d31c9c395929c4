package exerciser

import "math/rand/v2"

const (
	// candidates is the number of scenarios of which the one with the most new pairs is taken.
	candidates = 30
	// One of targetEvery scenarios may have no route: few of the other dimensions matter without one.
	targetEvery = 5
)

// pair is two dimensions, the lower one first, and their values.
type pair struct {
	first, second           Dimension
	firstValue, secondValue uint8
}

// cover holds the pairs that scenarios have.
type cover map[pair]bool

func newCover() cover { return cover{} }

// pairsOf calls visit with each pair of a scenario.
func pairsOf(s Scenario, visit func(pair)) {
	for first := range dimensionCount {
		for second := first + 1; second < dimensionCount; second++ {
			visit(pair{first, second, s[first], s[second]})
		}
	}
}

// add adds the pairs of a scenario.
func (c cover) add(s Scenario) { pairsOf(s, func(p pair) { c[p] = true }) }

// missing returns how many pairs of a scenario aren't covered.
func (c cover) missing(s Scenario) int {
	n := 0
	pairsOf(s, func(p pair) {
		if !c[p] {
			n++
		}
	})
	return n
}

// count returns the number of pairs that are covered.
func (c cover) count() int { return len(c) }

// pairCount returns the number of all pairs.
func pairCount() int {
	n := 0
	for first := range dimensionCount {
		for second := first + 1; second < dimensionCount; second++ {
			n += len(values[first]) * len(values[second])
		}
	}
	return n
}

// allPairs returns all pairs in random order.
func allPairs(rng *rand.Rand) []pair {
	var all []pair
	for first := range dimensionCount {
		for second := first + 1; second < dimensionCount; second++ {
			for x := range values[first] {
				for y := range values[second] {
					all = append(all, pair{first, second, uint8(x), uint8(y)})
				}
			}
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// randomScenario returns a scenario with random values.
func randomScenario(rng *rand.Rand) Scenario {
	var s Scenario
	for d := range dimensionCount {
		s[d] = uint8(rng.IntN(len(values[d])))
	}
	return s
}

// compose returns count scenarios. In half of them nobody ends a connection: most rules apply only to those.
// As long as pairs aren't covered, each scenario has one of them, and is the one of some random ones that
// covers the most. The rest is random.
func compose(rng *rand.Rand, count int) []Scenario {
	covered := newCover()
	var open [2][]pair
	for _, p := range allPairs(rng) {
		family := familyOf(p)
		open[family] = append(open[family], p)
	}
	list := make([]Scenario, 0, count)
	for len(list) < count {
		family := len(list) % len(open)
		for len(open[family]) > 0 && covered[open[family][0]] {
			open[family] = open[family][1:]
		}
		best, most := Scenario{}, -1
		for range candidates {
			s := randomScenario(rng)
			if len(list)%targetEvery != 0 {
				s[Target] = 0
			}
			if family == nobodyEnds {
				s[End] = 0
			}
			if next := open[family]; len(next) > 0 {
				s[next[0].first], s[next[0].second] = next[0].firstValue, next[0].secondValue
			}
			if n := covered.missing(s); n > most {
				best, most = s, n
			}
		}
		covered.add(best)
		list = append(list, best)
	}
	return list
}

// Families of scenarios: those in which nobody ends a connection, and those in which somebody does.
const (
	nobodyEnds = iota
	somebodyEnds
)

// familyOf returns the family of scenarios that have a pair first.
func familyOf(p pair) int {
	if p.first == End && p.firstValue > 0 || p.second == End && p.secondValue > 0 {
		return somebodyEnds
	}
	return nobodyEnds
}
