package placer

import (
	"math"
	"time"
)

const (
	// maxCopyUse is the part of the slots of all endpoints up to which an object is made warm
	// at one more endpoint. A cold run takes several times the slot time of a warm one, so
	// beyond that the further runs would make others late.
	maxCopyUse = 0.6
	// maxCopyFill is the part of the endpoints' warm capacity up to which an object is made
	// warm at one more endpoint. Beyond it, the copy would mostly evict other objects.
	maxCopyFill = 0.8
	// maxCopyWait is the largest expected latency of the run that makes a copy, as a fraction of
	// the timeout, since the estimate may be too low.
	maxCopyWait = 0.75
)

// cheapest is the choice with the lowest cost so far.
type cheapest struct {
	choice Choice
	cost   float64
}

func newCheapest() cheapest { return cheapest{cost: math.Inf(1)} }

// offer replaces the choice if a candidate costs less.
func (c *cheapest) offer(o *Candidate) {
	if cost := o.Cost.Total(); cost < c.cost {
		c.choice, c.cost = o.Choice, cost
	}
}

func (c *cheapest) found() bool { return !math.IsInf(c.cost, 1) }

// occupancy sums up how far the endpoints that may receive a request are in use: their occupied
// slots, all their slots, and the objects that they handled recently.
type occupancy struct {
	occupied, slots    int
	objects, endpoints int
}

func (o *occupancy) add(e *endpoint) {
	o.occupied += min(e.attemptsInFlight(), e.spec.Slots)
	o.slots += e.spec.Slots
	o.objects += len(e.recentObjects)
	o.endpoints++
}

// hasRoom reports whether there is room for further copies of objects.
func (o *occupancy) hasRoom(warmCapacity float64) bool {
	if float64(o.occupied) >= maxCopyUse*float64(o.slots) {
		return false
	}
	return warmCapacity == 0 || float64(o.objects) < maxCopyFill*warmCapacity*float64(o.endpoints)
}

// wantsCopy reports whether a request should make its object warm at one more endpoint, rather
// than queue at the endpoint where the object is warm. That is so if it will be late there: its
// caller then loses little, and later requests for the object find two endpoints. An object thus
// gets its next copy when its requests begin to queue, and no copies that they don't need.
func (r *Request) wantsCopy(warm *Choice) bool {
	return warm.ObjectWarm && warm.QueueTime > 0 && warm.ExpectedLatency > r.TargetLatency
}

// pickForCopy returns the best endpoint at which a request may make its object warm although it
// is warm in the given region. It must be in that region or in this instance's, so that copies
// move no requests to other regions. pickForCopy returns false if there is none, or if the
// endpoints have no room for copies.
func (b *Balancer) pickForCopy(now time.Time, r *Request, s *service, warmRegion string) (Choice, bool) {
	best := newCheapest()
	var use occupancy
	var c Candidate
	for _, e := range s.endpoints {
		if e.region != warmRegion && e.region != b.region || e.limit.named || !b.mayReceive(now, r, e) {
			continue
		}
		use.add(e)
		b.estimate(now, r, s, e, &c)
		if s.mayTakeCopy(now, e, &c.Choice) {
			best.offer(&c)
		}
	}
	inTime := float64(best.choice.ExpectedLatency) < maxCopyWait*float64(r.Timeout)
	return best.choice, best.found() && inTime && use.hasRoom(s.warmCapacity)
}

// mayTakeCopy reports whether an object may be made warm at an endpoint although it is warm at
// others. The endpoint must not be busy, so that the run doesn't delay others.
func (s *service) mayTakeCopy(now time.Time, e *endpoint, c *Choice) bool {
	return !c.ObjectWarm && c.AttemptsInFlight+1 < c.Slots && !s.atWarmCapacity(e) && !e.isEjected(now) && !e.isCold(now)
}
