package steerer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// highLoad is the utilization of a region above which some of its callers are sent
	// to other regions. lowLoad is the utilization of a region below which its callers
	// are taken back.
	highLoad = 0.85
	lowLoad  = 0.65
	// targetLoad is the utilization that a step aims at in the controller's own region.
	// It is also the utilization up to which callers are sent to another region.
	targetLoad = 0.75
	// maxStep is the largest fraction of a region's callers that is moved to other
	// regions in one step.
	maxStep = 0.15
	// maxReturnStep is the largest fraction of a region's callers that is taken back in
	// one step.
	maxReturnStep = 0.10
	// minStep is the smallest fraction of a region's callers that is moved in one step.
	minStep = 0.01
	// settleTime is the least time between two steps. A step takes that long to show in
	// the reported loads: callers use cached answers for up to 7.5 s, load reports lag
	// by some seconds, and caches in the other region have to warm up.
	settleTime = 20 * time.Second
)

// RegionLoad is the last reported load of a region, in slots. A slot is the capacity
// for one request at a time at an upstream.
type RegionLoad struct {
	Region string
	// Capacity is the number of the region's slots in service.
	Capacity float64
	// Load is the number of slots that the requests in flight and in queues need
	// together.
	Load float64
	// Reachable is false if no reports arrive from the region.
	Reachable bool
}

// utilization returns the load as a fraction of the capacity.
func (l RegionLoad) utilization() float64 {
	if l.Capacity <= 0 {
		return math.Inf(1)
	}
	return l.Load / l.Capacity
}

// headroom returns the load, in slots, that callers of other regions may add to the
// region. It is 0 for an unreachable region.
func (l RegionLoad) headroom() float64 {
	if !l.Reachable {
		return 0
	}
	return max(0, targetLoad*l.Capacity-l.Load)
}

// Controller decides which fractions of one region's callers are sent to other regions.
// It changes these shares in steps and waits after each step until the effect shows in
// the reported loads. Only one instance of the region calls Update; the other instances
// take over its shares with Adopt.
type Controller struct {
	region string
	shares []Share
	// lastChange is when this instance last changed or adopted the shares, or zero if
	// it never did.
	lastChange time.Time
}

// NewController returns a controller for a region that sends no callers to other
// regions yet.
func NewController(region string) *Controller { return &Controller{region: region} }

// Shares returns the fractions of the region's callers that are sent to other regions.
func (c *Controller) Shares() []Share { return slices.Clone(c.shares) }

// Adopt replaces the shares by the shares that another instance decided. If they
// differ, the next step waits for settleTime, because it is unknown when the other
// instance made its last step.
func (c *Controller) Adopt(now time.Time, shares []Share) {
	if !slices.Equal(c.shares, shares) {
		c.shares = slices.Clone(shares)
		c.lastChange = now
	}
}

// Update makes a step if the loads require one and settleTime has passed since the last
// change of the shares. Callers sent to unreachable regions are taken back at once.
// Update reports whether the shares changed.
func (c *Controller) Update(now time.Time, loads []RegionLoad) bool {
	if c.dropUnreachable(loads) {
		c.lastChange = now
		return true
	}
	if !c.lastChange.IsZero() && now.Sub(c.lastChange) < settleTime {
		return false
	}
	i := slices.IndexFunc(loads, func(l RegionLoad) bool { return l.Region == c.region })
	if i < 0 {
		return false
	}
	own := loads[i]
	moved := false
	switch {
	case own.utilization() > highLoad:
		moved = c.moveAway(own, loads)
	case own.utilization() < lowLoad && len(c.shares) > 0:
		moved = c.takeBack(own, loads)
	default:
		moved = c.takeBackFromOverloaded(loads)
	}
	if moved {
		c.lastChange = now
	}
	return moved
}

// fractionAway returns the fraction of the region's callers that are sent to other
// regions, from 0 to 1.
func (c *Controller) fractionAway() float64 {
	sum := 0.0
	for _, share := range c.shares {
		sum += share.Part
	}
	return sum
}

// ownDemand estimates the load of all of the region's callers in slots, whichever
// region serves them. It divides the region's load by the fraction of callers that use
// the region itself. That fraction counts as at least maxStep, because the estimate
// would otherwise grow without limit when nearly all callers use other regions.
func (c *Controller) ownDemand(own RegionLoad) float64 {
	return own.Load / max(1-c.fractionAway(), maxStep)
}

// moveAway sends some more callers to the regions that have headroom, in proportion to
// their headroom. It reports whether the shares changed.
func (c *Controller) moveAway(own RegionLoad, loads []RegionLoad) bool {
	ownDemand := c.ownDemand(own)
	if ownDemand <= 0 {
		return false
	}
	goal := min(maxStep, (own.Load-targetLoad*own.Capacity)/ownDemand, 1-c.fractionAway())
	total := 0.0
	for _, l := range loads {
		total += c.headroomShare(l, loads)
	}
	step := min(goal, total/ownDemand)
	if step < minStep {
		return false
	}
	for _, l := range loads {
		if headroom := c.headroomShare(l, loads); headroom > 0 {
			c.addShare(l.Region, step*headroom/total)
		}
	}
	return true
}

// headroomShare returns the part of another region's headroom, in slots, that this
// region may use. The headroom is divided evenly among all overloaded and unreachable
// regions. The shares of each of these regions are decided independently, from the same
// loads, and together they must not use more than the headroom.
func (c *Controller) headroomShare(l RegionLoad, loads []RegionLoad) float64 {
	if l.Region == c.region {
		return 0
	}
	claimants := 0
	for _, other := range loads {
		if !other.Reachable || other.utilization() > highLoad {
			claimants++
		}
	}
	return l.headroom() / float64(max(1, claimants))
}

// takeBack takes back some callers from other regions, as many as the region can serve
// up to targetLoad and at most maxReturnStep. It reports whether the shares changed.
func (c *Controller) takeBack(own RegionLoad, loads []RegionLoad) bool {
	ownDemand := c.ownDemand(own)
	back := min(maxReturnStep, c.fractionAway())
	if ownDemand > 0 {
		back = min(back, max(0, targetLoad*own.Capacity-own.Load)/ownDemand)
	}
	if back < minStep && c.fractionAway() > minStep {
		return false
	}
	c.reduceShares(back, loads)
	return true
}

// takeBackFromOverloaded takes back some callers, at most maxReturnStep, from the first
// overloaded region that callers are sent to. It reports whether the shares changed.
func (c *Controller) takeBackFromOverloaded(loads []RegionLoad) bool {
	for _, l := range loads {
		i := slices.IndexFunc(c.shares, func(share Share) bool { return share.Region == l.Region })
		if i < 0 || l.utilization() <= highLoad {
			continue
		}
		c.shares[i].Part -= min(maxReturnStep, c.shares[i].Part)
		c.dropTinyShares()
		return true
	}
	return false
}

// reduceShares takes back a fraction of the region's callers from other regions. It
// starts with regions whose load is unknown and continues with the region of the
// highest utilization.
func (c *Controller) reduceShares(fraction float64, loads []RegionLoad) {
	loadOf := func(region string) float64 {
		i := slices.IndexFunc(loads, func(l RegionLoad) bool { return l.Region == region })
		if i < 0 {
			return math.Inf(1)
		}
		return loads[i].utilization()
	}
	slices.SortStableFunc(c.shares, func(a, b Share) int { return cmp.Compare(loadOf(b.Region), loadOf(a.Region)) })
	for i := range c.shares {
		taken := min(fraction, c.shares[i].Part)
		c.shares[i].Part -= taken
		fraction -= taken
	}
	c.dropTinyShares()
}

// addShare increases the fraction of callers that are sent to another region.
func (c *Controller) addShare(region string, fraction float64) {
	i := slices.IndexFunc(c.shares, func(share Share) bool { return share.Region == region })
	if i < 0 {
		c.shares = append(c.shares, Share{Region: region, Part: fraction})
		return
	}
	c.shares[i].Part += fraction
}

// dropTinyShares removes shares below half of minStep.
func (c *Controller) dropTinyShares() {
	c.shares = slices.DeleteFunc(c.shares, func(share Share) bool { return share.Part < minStep/2 })
}

// dropUnreachable removes the shares of callers that are sent to unreachable regions.
// It reports whether it removed any.
func (c *Controller) dropUnreachable(loads []RegionLoad) bool {
	before := len(c.shares)
	c.shares = slices.DeleteFunc(c.shares, func(share Share) bool {
		return slices.ContainsFunc(loads, func(l RegionLoad) bool { return l.Region == share.Region && !l.Reachable })
	})
	return len(c.shares) != before
}

// Failover returns the shares that send all callers of a lost region to the other
// reachable regions. The shares are in proportion to the headroom of these regions, or
// to their capacity if none has headroom. There are none if no other region is
// reachable.
func Failover(lost string, loads []RegionLoad) []Share {
	weightOf := RegionLoad.headroom
	total := sumExcept(lost, loads, weightOf)
	if total <= 0 {
		weightOf = func(l RegionLoad) float64 {
			if !l.Reachable {
				return 0
			}
			return l.Capacity
		}
		total = sumExcept(lost, loads, weightOf)
	}
	var shares []Share
	for _, l := range loads {
		if weight := weightOf(l); l.Region != lost && weight > 0 {
			shares = append(shares, Share{Region: l.Region, Part: weight / total})
		}
	}
	return shares
}

// sumExcept returns the sum of the weights of all regions except the lost one.
func sumExcept(lost string, loads []RegionLoad, weightOf func(RegionLoad) float64) float64 {
	total := 0.0
	for _, l := range loads {
		if l.Region != lost {
			total += weightOf(l)
		}
	}
	return total
}
