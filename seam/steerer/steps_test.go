package steerer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"primroseseam.org/seam/steerer"
)

const (
	callersPerRegion = 300
	reportLag        = 3
	// coldFactor multiplies the load of a caller for the first coldSeconds after the
	// caller changed regions, because its data isn't cached in the new region yet.
	coldFactor  = 1.5
	coldSeconds = 10
)

var regionNames = []string{"a", "b", "c"}

// caller is a simulated caller. The field home is the index of its own region, and
// region is the index of the region that it uses. It looks up its region again at the
// time expires. All times are in seconds since the start.
type caller struct {
	home, region int
	expires      int
	movedAt      int
}

// policy decides the shares of one region's callers once a second.
type policy interface {
	decide(now time.Time, loads []steerer.RegionLoad) []steerer.Share
}

type stepPolicy struct{ *steerer.Controller }

func (s stepPolicy) decide(now time.Time, loads []steerer.RegionLoad) []steerer.Share {
	s.Update(now, loads)
	return s.Shares()
}

// proportional is the policy with which the test compares Controller. It computes the
// shares anew from each second's reports, without limiting the steps and without
// waiting for their effect.
type proportional struct {
	region   string
	partAway float64
}

func (p *proportional) decide(_ time.Time, loads []steerer.RegionLoad) []steerer.Share {
	headroom := 0.0
	var own steerer.RegionLoad
	for _, l := range loads {
		if l.Region == p.region {
			own = l
			continue
		}
		headroom += max(0, 0.75*l.Capacity-l.Load)
	}
	callers := own.Load / max(1-p.partAway, 0.15)
	p.partAway = min(1, max(0, (callers-0.75*own.Capacity)/max(callers, 1)))
	var shares []steerer.Share
	for _, l := range loads {
		if free := max(0, 0.75*l.Capacity-l.Load); l.Region != p.region && free > 0 {
			shares = append(shares, steerer.Share{Region: l.Region, Part: p.partAway * free / headroom})
		}
	}
	return shares
}

// outcome is the result of a simulation. worstElsewhere is the highest utilization that
// regions b and c reached. overSeconds is the number of seconds in which one of them
// was above 85 percent. settledAfter is the number of seconds from the start of the
// surge until the load of region a was last above 95 percent. elsewhereAtEnd is the
// fraction of region a's callers that are sent to other regions at the end. reversals
// counts how often that fraction changed from rising to falling or back.
type outcome struct {
	worstElsewhere float64
	overSeconds    int
	settledAfter   int
	reversals      int
	elsewhereAtEnd float64
}

// run simulates 1200 seconds with a surge of the demand in region a from second 60 to
// second 660. The policies decide the shares of the regions.
func run(seed uint64, policies []policy) outcome {
	rng := rand.New(rand.NewPCG(seed, seed))
	callers := make([]caller, 0, len(regionNames)*callersPerRegion)
	for home := range regionNames {
		for range callersPerRegion {
			callers = append(callers, caller{home: home, region: home, expires: rng.IntN(8), movedAt: -coldSeconds})
		}
	}
	var out outcome
	var history [][]float64
	shares := steerer.Shares{}
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	away, direction := 0.0, 0.0
	for second := range 1200 {
		demand := []float64{60, 45, 40}
		if second >= 60 && second < 660 {
			demand[0] = 120
		}
		loads := play(callers, shares, second, demand, rng)
		history = append(history, loads)
		out.record(second, loads)
		reported := reports(history[max(0, second-reportLag)])
		for i, p := range policies {
			shares = shares.With(regionNames[i], p.decide(start.Add(time.Duration(second)*time.Second), reported))
		}
		next := fractionAway(shares.Of("a"))
		if math.Abs(next-away) > 0.02 {
			change := math.Copysign(1, next-away)
			if change != direction && direction != 0 {
				out.reversals++
			}
			direction = change
			away = next
		}
	}
	out.elsewhereAtEnd = away
	return out
}

// play simulates one second, in which callers whose answers have expired look up a
// region. It returns the load of each region in slots.
func play(callers []caller, shares steerer.Shares, second int, demand []float64, rng *rand.Rand) []float64 {
	loads := make([]float64, len(regionNames))
	for i := range callers {
		c := &callers[i]
		if second >= c.expires {
			region := int(shares.Pick(regionNames[c.home], strconv.Itoa(i))[0] - 'a')
			if region != c.region {
				c.region, c.movedAt = region, second
			}
			c.expires = second + 5 + rng.IntN(3)
		}
		load := demand[c.home] / callersPerRegion
		if second-c.movedAt < coldSeconds {
			load *= coldFactor
		}
		loads[c.region] += load
	}
	return loads
}

func reports(loads []float64) []steerer.RegionLoad {
	var list []steerer.RegionLoad
	for i, load := range loads {
		list = append(list, steerer.RegionLoad{Region: regionNames[i], Capacity: 100, Load: load, Reachable: true})
	}
	return list
}

func fractionAway(shares []steerer.Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Part
	}
	return sum
}

func (o *outcome) record(second int, loads []float64) {
	worst := max(loads[1], loads[2]) / 100
	o.worstElsewhere = max(o.worstElsewhere, worst)
	if worst > 0.85 {
		o.overSeconds++
	}
	if second >= 60 && second < 660 && loads[0] > 95 {
		o.settledAfter = second - 60
	}
}

func TestControllerMovesLoadWithoutOvershootOrOscillation(t *testing.T) {
	for seed := range uint64(5) {
		var baselinePolicies, policies []policy
		for _, region := range regionNames {
			baselinePolicies = append(baselinePolicies, &proportional{region: region})
			policies = append(policies, stepPolicy{steerer.NewController(region)})
		}
		baseline, got := run(seed, baselinePolicies), run(seed, policies)
		t.Logf("seed %d: proportional %+v, steps %+v", seed, baseline, got)
		if got.worstElsewhere > 1 || got.overSeconds > 0 {
			t.Errorf("seed %d: another region exceeded 85 percent of its capacity", seed)
		}
		if got.reversals > 1 {
			t.Errorf("seed %d: %d reversals, more than the one at the end of the surge", seed, got.reversals)
		}
		if got.settledAfter > 90 || got.elsewhereAtEnd > 0.05 {
			t.Errorf("seed %d: settled after %d s, %.2f of callers in other regions at the end", seed, got.settledAfter, got.elsewhereAtEnd)
		}
		if baseline.reversals <= got.reversals {
			t.Errorf("seed %d: the proportional policy reverses only %d times, so the comparison proves nothing", seed, baseline.reversals)
		}
	}
}

func TestFailoverSpreadsCallersByHeadroom(t *testing.T) {
	loads := []steerer.RegionLoad{
		{Region: "a", Capacity: 100, Load: 50},
		{Region: "b", Capacity: 100, Load: 15, Reachable: true},
		{Region: "c", Capacity: 100, Load: 55, Reachable: true},
	}
	shares := steerer.Failover("a", loads)
	if fmt.Sprint(shares) != "[{b 0.75} {c 0.25}]" {
		t.Fatalf("got %v", shares)
	}
	instances := []steerer.Instance{{ID: "a1", Region: "a"}, {ID: "b1", Region: "b"}, {ID: "c1", Region: "c"}}
	table := steerer.NewTable(instances, nil).WithShares(steerer.Shares{}.With("a", shares), []string{"a"})
	rng := rand.New(rand.NewPCG(1, 1))
	first := map[string]int{}
	for i := range 1000 {
		list := table.Entries("a", strconv.Itoa(i), rng).Instances
		if list[2].ID != "a1" {
			t.Fatalf("the instance of the lost region isn't last: %v", list)
		}
		first[list[0].ID]++
	}
	if first["b1"] < 700 || first["b1"] > 800 {
		t.Fatalf("instances listed first, by count: %v", first)
	}
}
