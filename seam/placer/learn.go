package placer

import (
	"time"
)

// Outcome is how an attempt ended.
type Outcome struct {
	// SentAt is when the attempt was sent, as given to Sent.
	SentAt time.Time
	Object uint32
	// Choice is what was expected.
	Choice Choice
	// Answered means that a whole answer came, whatever its status.
	Answered bool
	// Good means that the answer was a success.
	Good bool
	// NotRun means that the endpoint said that it did not run the request.
	NotRun bool
	// Unreachable means that no connection could be opened, Refused that this
	// was the other side's answer.
	Unreachable bool
	Refused     bool
	// Left means that the caller left, which says nothing of the endpoint.
	Left bool
	// Connect is how long a new connection took, or 0.
	Connect time.Duration
	// Target and Timeout are the request's.
	Target  time.Duration
	Timeout time.Duration
}

// Sent notes that an attempt at an endpoint begins.
func (b *Balancer) Sent(now time.Time, id string, object uint32) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.sent(now)
	if e.cold(now) {
		e.coldBudget.Take(now)
	}
	if object == 0 {
		return
	}
	if !e.isWarm(now, object, 0) && len(b.touches) < maxTouches {
		b.touches = append(b.touches, WarmObject{Endpoint: e.hash, Object: object})
	}
	e.touch(now, object)
}

// Ended notes how an attempt ended and learns from it.
func (b *Balancer) Ended(now time.Time, id string, o Outcome) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.ended(o.SentAt)
	if o.Connect > 0 {
		b.learnDistance(e.region, o.Connect)
	}
	s := b.service(e.spec.Service)
	switch {
	case o.Left:
	case o.NotRun:
		e.failed = e.failing(now) + learnFast*(1-e.failing(now))/2
		e.failedAt = now
		delete(e.warm, o.Object)
	case o.Unreachable:
		e.unopenedOnce(now, o.Refused)
	case !o.Answered:
		e.failedOnce(now)
	default:
		b.learnTime(now, s, e, o)
		e.succeeded(now, s.spec.Warmup)
		if !o.Good {
			e.failed = e.failing(now) + learnFast*(1-e.failing(now))/2
		}
	}
}

// learnDistance keeps the time to a region and back.
func (b *Balancer) learnDistance(region string, took time.Duration) {
	old, ok := b.distance[region]
	if !ok || took < old {
		b.distance[region] = took
		return
	}
	b.distance[region] = old + time.Duration(learnSlow*float64(took-old))
}

// learnTime compares an answer's time with what was expected. Only runs that
// did not wait tell how long a run takes and whether its object was warm.
func (b *Balancer) learnTime(now time.Time, s *service, e *endpoint, o Outcome) {
	took := now.Sub(o.SentAt) - o.Connect
	warm, cold := s.times(o.Target, o.Timeout)
	expected := o.Choice.Expect - o.Choice.Opening
	run := took - b.distanceTo(e.region)
	missed := o.Choice.Warm && float64(run-o.Choice.Wait) > o.Choice.Slowdown*float64(warm+cold)/2
	if missed {
		// The object was not warm any more; that doesn't make the endpoint slow.
		expected += time.Duration(o.Choice.Slowdown * float64(cold-warm))
	}
	if expected <= 0 {
		return
	}
	// What is known of a queue is too old to tell small differences.
	if ratio := float64(took) / float64(expected); o.Choice.Wait == 0 || ratio > clearlySlow {
		e.took(now, o.Choice.Slowdown*ratio)
	}
	waited := o.Choice.Wait > 0 || e.load() >= e.spec.Slots
	if e.cold(now) || !o.Good {
		return
	}
	// The first runs of an object are cold wherever they are.
	settled := o.SentAt.Sub(e.warm[o.Object].first) > 2*cold
	if o.Choice.Warm && settled && o.Choice.Wait <= (cold-warm)/2 {
		s.learnKeeps(len(e.warm), missed)
	}
	if waited || e.slowness(now) > 2 {
		return
	}
	if o.Choice.Warm && !missed {
		s.warm = warm + time.Duration(learnSlow*float64(run-warm))
		return
	}
	s.cold = cold + time.Duration(learnSlow*float64(run-cold))
}

// clearlySlow is how many times longer than expected an answer took that makes
// an endpoint slow although the request waited.
const clearlySlow = 2.5

const (
	// missesToKnow is how many runs must have been cold against expectation
	// until it counts that endpoints keep a bounded number of objects.
	missesToKnow = 3
	// missStep and hitStep move the number down and up: it settles where one run
	// in four is cold.
	missStep = 0.15
	hitStep  = 0.05
	// keepsLeast is the least number of objects that an endpoint is taken to
	// keep.
	keepsLeast = 4
)

// learnKeeps learns from a run of an object that should have been warm, at an
// endpoint that handled a number of objects lately.
func (s *service) learnKeeps(objects int, missed bool) {
	n := float64(objects)
	switch {
	case missed && s.keeps == 0:
		s.misses++
		if s.misses >= missesToKnow {
			s.keeps = max(n, keepsLeast)
		}
	case missed && n < s.keeps+keepsLeast:
		s.keeps = max(s.keeps-missStep, keepsLeast)
	case !missed && s.keeps > 0 && n >= s.keeps:
		s.keeps += hitStep
	}
}

// SetPeerLoads takes the attempts under way at an instance. It replaces what the
// instance said before.
func (b *Balancer) SetPeerLoads(peer string, loads []Load) {
	b.ForgetPeer(peer)
	kept := make(map[uint32]int, len(loads))
	for _, l := range loads {
		kept[l.Endpoint] = l.Count
		if e, ok := b.byHash[l.Endpoint]; ok {
			e.others += l.Count
		}
	}
	b.peers[peer] = kept
}

// ForgetPeer forgets the attempts of an instance.
func (b *Balancer) ForgetPeer(peer string) {
	for hash, count := range b.peers[peer] {
		if e, ok := b.byHash[hash]; ok {
			e.others = max(e.others-count, 0)
		}
	}
	delete(b.peers, peer)
}

// AddPeerWarmObjects takes news of which objects are warm where.
func (b *Balancer) AddPeerWarmObjects(now time.Time, touches []WarmObject) {
	for _, t := range touches {
		if e, ok := b.byHash[t.Endpoint]; ok {
			e.touch(now, t.Object)
			e.untried = false
		}
	}
}

// Loads returns the attempts of this instance that are under way.
func (b *Balancer) Loads() []Load {
	var loads []Load
	for _, e := range b.byID {
		if e.own > 0 {
			loads = append(loads, Load{Endpoint: e.hash, Count: e.own})
		}
	}
	return loads
}

// TakeWarmObjects returns the news since the last call.
func (b *Balancer) TakeWarmObjects() []WarmObject {
	touches := b.touches
	b.touches = nil
	return touches
}

// ReachabilityReport says that an endpoint can't be reached, or has come back cold.
type ReachabilityReport struct {
	Endpoint uint32
	// Recovered means that it can be reached again and is cold.
	Recovered bool
	// RemainingMs is how much longer that holds, in milliseconds.
	RemainingMs uint32
}

// Rests returns what this instance itself has seen of endpoints that can't be
// reached or have come back.
func (b *Balancer) Rests(now time.Time) []ReachabilityReport {
	var rests []ReachabilityReport
	for _, e := range b.byID {
		switch {
		case e.unreachable():
			rests = append(rests, ReachabilityReport{Endpoint: e.hash, RemainingMs: uint32(restFor.Milliseconds())})
		case now.Before(e.returnedTill):
			rests = append(rests, ReachabilityReport{Endpoint: e.hash, Recovered: true, RemainingMs: uint32(e.returnedTill.Sub(now).Milliseconds())})
		}
	}
	return rests
}

// restFor is how long an endpoint that another instance can't reach rests here;
// it covers several heartbeats.
const restFor = 1500 * time.Millisecond

// ApplyPeerReachability takes what another instance has seen of endpoints, so that one that
// comes back cold isn't met by all at once.
func (b *Balancer) ApplyPeerReachability(now time.Time, rests []ReachabilityReport) {
	for _, r := range rests {
		e, ok := b.byHash[r.Endpoint]
		if !ok {
			continue
		}
		length := time.Duration(r.RemainingMs) * time.Millisecond
		if r.Recovered {
			e.returned(now, length)
			continue
		}
		// What this instance has seen itself counts more: the other one may be
		// cut off.
		if !now.Before(e.coldTill) && now.Sub(e.answeredAt) > restFor {
			e.restsTill = now.Add(length)
		}
	}
}

// Owner returns the instance that comes first for an endpoint, in an order that
// all instances agree on.
func Owner(instances []string, endpoint uint32) string {
	best := ""
	var most uint32
	for _, id := range instances {
		if weight := mix(Hash32(id), endpoint); best == "" || weight > most {
			best, most = id, weight
		}
	}
	return best
}

// WarmCapacity is how many objects an endpoint of a service keeps warm, in tenths.
type WarmCapacity struct {
	Service uint32
	Tenths  uint32
}

// peerKeepStep moves what is known here toward what another instance knows.
const peerKeepStep = 0.03

// Keeps returns what this instance has learnt of how many objects endpoints
// keep.
func (b *Balancer) Keeps() []WarmCapacity {
	var keeps []WarmCapacity
	for name, s := range b.services {
		if s.keeps > 0 {
			keeps = append(keeps, WarmCapacity{Service: Hash32(name), Tenths: uint32(s.keeps * 10)})
		}
	}
	return keeps
}

// MergePeerWarmCapacities takes what another instance has learnt.
func (b *Balancer) MergePeerWarmCapacities(keeps []WarmCapacity) {
	for _, k := range keeps {
		for name, s := range b.services {
			if Hash32(name) != k.Service {
				continue
			}
			heard := float64(k.Tenths) / 10
			if s.keeps == 0 {
				s.keeps = heard
			}
			s.keeps += peerKeepStep * (heard - s.keeps)
		}
	}
}

// Prune forgets objects that no longer count as warm.
func (b *Balancer) Prune(now time.Time) {
	for _, e := range b.byID {
		for object, h := range e.warm {
			if now.Sub(h.last) >= keptWarm {
				delete(e.warm, object)
			}
		}
	}
}
