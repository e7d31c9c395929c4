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
	// coldFactor is the cost of a caller at a region whose caches lack it.
	coldFactor  = 1.5
	coldSeconds = 10
)

var regionNames = []string{"a", "b", "c"}

// caller uses a cached answer until it expires.
type caller struct {
	home, at    int
	expires     int
	movedSecond int
}

// control decides the shares of one region.
type control interface {
	decide(now time.Time, loads []steerer.RegionLoad) []steerer.Share
}

type stepwise struct{ *steerer.Controller }

func (s stepwise) decide(now time.Time, loads []steerer.RegionLoad) []steerer.Share {
	s.Update(now, loads)
	return s.Shares()
}

// proportional sets the shares from each second's reports without waiting.
type proportional struct {
	region string
	away   float64
}

func (p *proportional) decide(_ time.Time, loads []steerer.RegionLoad) []steerer.Share {
	room := 0.0
	var own steerer.RegionLoad
	for _, l := range loads {
		if l.Region == p.region {
			own = l
			continue
		}
		room += max(0, 0.75*l.Capacity-l.Load)
	}
	callers := own.Load / max(1-p.away, 0.15)
	p.away = min(1, max(0, (callers-0.75*own.Capacity)/max(callers, 1)))
	var shares []steerer.Share
	for _, l := range loads {
		if free := max(0, 0.75*l.Capacity-l.Load); l.Region != p.region && free > 0 {
			shares = append(shares, steerer.Share{Region: l.Region, Part: p.away * free / room})
		}
	}
	return shares
}

// outcome is what a run shows.
type outcome struct {
	worstElsewhere float64
	overSeconds    int
	settled        int
	flaps          int
	elsewhereAtEnd float64
}

// run plays a surge at region a, from the 60th to the 660th second.
func run(seed uint64, rules []control) outcome {
	rng := rand.New(rand.NewPCG(seed, seed))
	callers := make([]caller, 0, len(regionNames)*callersPerRegion)
	for home := range regionNames {
		for range callersPerRegion {
			callers = append(callers, caller{home: home, at: home, expires: rng.IntN(8), movedSecond: -coldSeconds})
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
		out.note(second, loads)
		reported := reports(history[max(0, second-reportLag)])
		for i, rule := range rules {
			shares = shares.With(regionNames[i], rule.decide(start.Add(time.Duration(second)*time.Second), reported))
		}
		next := awayOf(shares.Of("a"))
		if math.Abs(next-away) > 0.02 {
			change := math.Copysign(1, next-away)
			if change != direction && direction != 0 {
				out.flaps++
			}
			direction = change
			away = next
		}
	}
	out.elsewhereAtEnd = away
	return out
}

// play moves callers whose answers expired and returns the loads.
func play(callers []caller, shares steerer.Shares, second int, demand []float64, rng *rand.Rand) []float64 {
	loads := make([]float64, len(regionNames))
	for i := range callers {
		c := &callers[i]
		if second >= c.expires {
			at := int(shares.Pick(regionNames[c.home], strconv.Itoa(i))[0] - 'a')
			if at != c.at {
				c.at, c.movedSecond = at, second
			}
			c.expires = second + 5 + rng.IntN(3)
		}
		load := demand[c.home] / callersPerRegion
		if second-c.movedSecond < coldSeconds {
			load *= coldFactor
		}
		loads[c.at] += load
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

func awayOf(shares []steerer.Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Part
	}
	return sum
}

func (o *outcome) note(second int, loads []float64) {
	worst := max(loads[1], loads[2]) / 100
	o.worstElsewhere = max(o.worstElsewhere, worst)
	if worst > 0.85 {
		o.overSeconds++
	}
	if second >= 60 && second < 660 && loads[0] > 95 {
		o.settled = second - 60
	}
}

func TestStepsMoveLoadWithoutOvershootOrFlapping(t *testing.T) {
	for seed := range uint64(5) {
		var naive, steps []control
		for _, region := range regionNames {
			naive = append(naive, &proportional{region: region})
			steps = append(steps, stepwise{steerer.NewController(region)})
		}
		plain, got := run(seed, naive), run(seed, steps)
		t.Logf("seed %d: proportional %+v, steps %+v", seed, plain, got)
		if got.worstElsewhere > 1 || got.overSeconds > 0 {
			t.Errorf("seed %d: another region was overloaded", seed)
		}
		if got.flaps > 1 {
			t.Errorf("seed %d: %d reversals for one surge and its end", seed, got.flaps)
		}
		if got.settled > 90 || got.elsewhereAtEnd > 0.05 {
			t.Errorf("seed %d: settled after %d s, %.2f still away at the end", seed, got.settled, got.elsewhereAtEnd)
		}
		if plain.flaps <= got.flaps {
			t.Errorf("seed %d: the comparison shows nothing: it reverses %d times", seed, plain.flaps)
		}
	}
}

func TestCallersOfALostRegionGoWhereThereIsRoom(t *testing.T) {
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
			t.Fatalf("the lost region isn't last: %v", list)
		}
		first[list[0].ID]++
	}
	if first["b1"] < 700 || first["b1"] > 800 {
		t.Fatalf("got %v", first)
	}
}
