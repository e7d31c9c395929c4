package steerer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// highLoad is the load, as a part of the capacity, above which callers are
	// sent elsewhere; lowLoad is the one below which they are taken back.
	highLoad = 0.85
	lowLoad  = 0.65
	// aimLoad is what a step aims at, and the most that steering makes of
	// another region's load.
	aimLoad = 0.75
	// largestStep is the greatest part of a region's callers moved at once.
	largestStep = 0.15
	// largestReturn is the greatest part taken back at once.
	largestReturn = 0.10
	// smallestStep is the smallest part worth a move.
	smallestStep = 0.01
	// settleTime is how long a step takes to show: callers use cached answers
	// for up to 7.5 s, reports lag by a few, and caches at the target warm up.
	settleTime = 20 * time.Second
)

// RegionLoad is a region's load as last heard, in slots.
type RegionLoad struct {
	Region string
	// Capacity counts the region's slots in service.
	Capacity float64
	// Load counts the requests in progress and in queues.
	Load float64
	// Reachable is false if nothing is heard from the region.
	Reachable bool
}

func (l RegionLoad) part() float64 {
	if l.Capacity <= 0 {
		return math.Inf(1)
	}
	return l.Load / l.Capacity
}

// room is the load that steering may add to the region.
func (l RegionLoad) room() float64 {
	if !l.Reachable {
		return 0
	}
	return max(0, aimLoad*l.Capacity-l.Load)
}

// Controller moves a region's callers to other regions and back, in steps that wait
// until the one before shows. One instance of each region owns it.
type Controller struct {
	region string
	shares []Share
	lastAt time.Time
}

// NewController returns a control rule that leaves all callers in their region.
func NewController(region string) *Controller { return &Controller{region: region} }

// Shares returns the parts of the region's callers that go elsewhere.
func (s *Controller) Shares() []Share { return slices.Clone(s.shares) }

// Adopt takes over what another instance decided. The next step waits, since
// it isn't known when the last one was.
func (s *Controller) Adopt(now time.Time, shares []Share) {
	if !slices.Equal(s.shares, shares) {
		s.shares = slices.Clone(shares)
		s.lastAt = now
	}
}

// Update looks at the newest loads. It reports whether it took a step.
func (s *Controller) Update(now time.Time, loads []RegionLoad) bool {
	if s.dropUnreachable(loads) {
		s.lastAt = now
		return true
	}
	if !s.lastAt.IsZero() && now.Sub(s.lastAt) < settleTime {
		return false
	}
	i := slices.IndexFunc(loads, func(l RegionLoad) bool { return l.Region == s.region })
	if i < 0 {
		return false
	}
	own := loads[i]
	moved := false
	switch {
	case own.part() > highLoad:
		moved = s.moveAway(own, loads)
	case own.part() < lowLoad && len(s.shares) > 0:
		moved = s.takeBack(own, loads)
	default:
		moved = s.relieve(loads)
	}
	if moved {
		s.lastAt = now
	}
	return moved
}

// away is the part of the region's callers that go elsewhere.
func (s *Controller) away() float64 {
	sum := 0.0
	for _, share := range s.shares {
		sum += share.Part
	}
	return sum
}

// callers estimates the load of all of the region's callers.
func (s *Controller) callers(own RegionLoad) float64 {
	return own.Load / max(1-s.away(), largestStep)
}

// moveAway sends a step's worth of callers to where there is room.
func (s *Controller) moveAway(own RegionLoad, loads []RegionLoad) bool {
	callers := s.callers(own)
	if callers <= 0 {
		return false
	}
	want := min(largestStep, (own.Load-aimLoad*own.Capacity)/callers, 1-s.away())
	total := 0.0
	for _, l := range loads {
		total += s.roomFor(l, loads)
	}
	step := min(want, total/callers)
	if step < smallestStep {
		return false
	}
	for _, l := range loads {
		if room := s.roomFor(l, loads); room > 0 {
			s.add(l.Region, step*room/total)
		}
	}
	return true
}

// roomFor is this region's part of the room in another one: all that are
// overloaded see the same loads and share alike.
func (s *Controller) roomFor(l RegionLoad, loads []RegionLoad) float64 {
	if l.Region == s.region {
		return 0
	}
	claimants := 0
	for _, other := range loads {
		if !other.Reachable || other.part() > highLoad {
			claimants++
		}
	}
	return l.room() / float64(max(1, claimants))
}

// takeBack returns callers while the region stays below its aim.
func (s *Controller) takeBack(own RegionLoad, loads []RegionLoad) bool {
	callers := s.callers(own)
	back := min(largestReturn, s.away())
	if callers > 0 {
		back = min(back, max(0, aimLoad*own.Capacity-own.Load)/callers)
	}
	if back < smallestStep && s.away() > smallestStep {
		return false
	}
	s.reduce(back, loads)
	return true
}

// relieve takes callers back from a region that became overloaded itself.
func (s *Controller) relieve(loads []RegionLoad) bool {
	for _, l := range loads {
		i := slices.IndexFunc(s.shares, func(share Share) bool { return share.Region == l.Region })
		if i < 0 || l.part() <= highLoad {
			continue
		}
		s.shares[i].Part -= min(largestReturn, s.shares[i].Part)
		s.prune()
		return true
	}
	return false
}

// reduce takes a part back, from the most loaded regions first.
func (s *Controller) reduce(part float64, loads []RegionLoad) {
	loadOf := func(region string) float64 {
		i := slices.IndexFunc(loads, func(l RegionLoad) bool { return l.Region == region })
		if i < 0 {
			return math.Inf(1)
		}
		return loads[i].part()
	}
	slices.SortStableFunc(s.shares, func(a, b Share) int { return cmp.Compare(loadOf(b.Region), loadOf(a.Region)) })
	for i := range s.shares {
		taken := min(part, s.shares[i].Part)
		s.shares[i].Part -= taken
		part -= taken
	}
	s.prune()
}

func (s *Controller) add(region string, part float64) {
	i := slices.IndexFunc(s.shares, func(share Share) bool { return share.Region == region })
	if i < 0 {
		s.shares = append(s.shares, Share{Region: region, Part: part})
		return
	}
	s.shares[i].Part += part
}

// prune forgets shares too small to matter.
func (s *Controller) prune() {
	s.shares = slices.DeleteFunc(s.shares, func(share Share) bool { return share.Part < smallestStep/2 })
}

// dropUnreachable takes callers back at once from regions that are lost.
func (s *Controller) dropUnreachable(loads []RegionLoad) bool {
	before := len(s.shares)
	s.shares = slices.DeleteFunc(s.shares, func(share Share) bool {
		return slices.ContainsFunc(loads, func(l RegionLoad) bool { return l.Region == share.Region && !l.Reachable })
	})
	return len(s.shares) != before
}

// Failover spreads the callers of a lost region over the others by their room,
// or by their capacity if there is no room anywhere.
func Failover(lost string, loads []RegionLoad) []Share {
	weigh := RegionLoad.room
	total := sumOf(lost, loads, weigh)
	if total <= 0 {
		weigh = func(l RegionLoad) float64 {
			if !l.Reachable {
				return 0
			}
			return l.Capacity
		}
		total = sumOf(lost, loads, weigh)
	}
	var shares []Share
	for _, l := range loads {
		if part := weigh(l); l.Region != lost && part > 0 {
			shares = append(shares, Share{Region: l.Region, Part: part / total})
		}
	}
	return shares
}

func sumOf(lost string, loads []RegionLoad, weigh func(RegionLoad) float64) float64 {
	total := 0.0
	for _, l := range loads {
		if l.Region != lost {
			total += weigh(l)
		}
	}
	return total
}
