package placer

import (
	"time"
)

// Outcome describes how an attempt ended.
type Outcome struct {
	// SentAt is when the attempt was sent, as passed to RecordAttempt.
	SentAt time.Time
	Object uint32
	// Choice holds the estimates that were made for the attempt.
	Choice Choice
	// Answered means that a complete answer came, whatever its status.
	Answered bool
	// SuccessStatus means that the answer's status was 2xx.
	SuccessStatus bool
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun bool
	// Unreachable means that no connection could be opened, and ConnectionRefused that
	// the endpoint refused it.
	Unreachable       bool
	ConnectionRefused bool
	// CallerDisconnected means that the caller disconnected. The outcome then changes no
	// estimate except the round-trip time.
	CallerDisconnected bool
	// DialTime is how long it took to open a new connection, or 0 if none was opened.
	DialTime time.Duration
	// TargetLatency and Timeout are those of the request.
	TargetLatency time.Duration
	Timeout       time.Duration
}

// RecordAttempt records that an attempt is sent to an endpoint. From now on the object
// counts as warm there.
func (b *Balancer) RecordAttempt(now time.Time, id string, object uint32) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.recordAttempt(now)
	if e.cold(now) {
		e.coldBudget.Take(now)
	}
	if object == 0 {
		return
	}
	if !e.isWarm(now, object, 0) && len(b.newWarmObjects) < maxNewWarmObjects {
		b.newWarmObjects = append(b.newWarmObjects, WarmObject{Endpoint: e.hash, Object: object})
	}
	e.markWarm(now, object)
}

// RecordOutcome records how an attempt ended and updates the estimates from it.
func (b *Balancer) RecordOutcome(now time.Time, id string, o Outcome) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.removeAttempt(o.SentAt)
	if o.DialTime > 0 {
		b.learnRoundTrip(e.region, o.DialTime)
	}
	s := b.service(e.spec.Service)
	switch {
	case o.CallerDisconnected:
	case o.NotRun:
		e.failureRate = e.currentFailureRate(now) + fastWeight*(1-e.currentFailureRate(now))/2
		e.failureRateAt = now
		delete(e.warm, o.Object)
	case o.Unreachable:
		e.recordDialFailure(now, o.ConnectionRefused)
	case !o.Answered:
		e.recordFailure(now)
	default:
		b.learnRunTime(now, s, e, o)
		e.recordAnswer(now, s.spec.Warmup)
		if !o.SuccessStatus {
			e.failureRate = e.currentFailureRate(now) + fastWeight*(1-e.currentFailureRate(now))/2
		}
	}
}

// learnRoundTrip updates the round-trip time to a region from a dial time. It follows
// a shorter time at once and a longer one slowly.
func (b *Balancer) learnRoundTrip(region string, took time.Duration) {
	old, ok := b.roundTrip[region]
	if !ok || took < old {
		b.roundTrip[region] = took
		return
	}
	b.roundTrip[region] = old + time.Duration(slowWeight*float64(took-old))
}

// learnRunTime updates the estimates from an answer's time, which it compares with
// the expected one. Only runs that did not queue show how long a run takes.
func (b *Balancer) learnRunTime(now time.Time, s *service, e *endpoint, o Outcome) {
	took := now.Sub(o.SentAt) - o.DialTime
	warm, cold := s.runTimes(o.TargetLatency, o.Timeout)
	expected := o.Choice.ExpectedLatency - o.Choice.DialTime
	run := took - b.roundTripTo(e.region)
	missed := o.Choice.ObjectWarm && float64(run-o.Choice.QueueTime) > o.Choice.Slowdown*float64(warm+cold)/2
	if missed {
		// The object was no longer warm; that doesn't make the endpoint slow.
		expected += time.Duration(o.Choice.Slowdown * float64(cold-warm))
	}
	if expected <= 0 {
		return
	}
	// The peers' loads are too old to estimate a queue well, so that a small
	// difference shows nothing if the request queued.
	if ratio := float64(took) / float64(expected); o.Choice.QueueTime == 0 || ratio > slowDespiteQueue {
		e.recordSlowdown(now, o.Choice.Slowdown*ratio)
	}
	queued := o.Choice.QueueTime > 0 || e.attemptsInFlight() >= e.spec.Slots
	if e.cold(now) || !o.SuccessStatus {
		return
	}
	// The first runs of an object at an endpoint are cold at any capacity, so they
	// show nothing about it.
	settled := o.SentAt.Sub(e.warm[o.Object].first) > 2*cold
	if o.Choice.ObjectWarm && settled && o.Choice.QueueTime <= (cold-warm)/2 {
		s.learnWarmCapacity(len(e.warm), missed)
	}
	if queued || e.currentSlowdown(now) > 2 {
		return
	}
	if o.Choice.ObjectWarm && !missed {
		s.warm = warm + time.Duration(slowWeight*float64(run-warm))
		return
	}
	s.cold = cold + time.Duration(slowWeight*float64(run-cold))
}

// slowDespiteQueue is the ratio of actual to expected time above which an answer
// counts as evidence of a slow endpoint although the request had to queue.
const slowDespiteQueue = 2.5

const (
	// missesToLimit is how many runs expected to be warm must turn out cold before
	// the number of objects that endpoints keep warm is assumed to be limited.
	missesToLimit = 3
	// missStep and hitStep lower and raise the estimated capacity after a cold or a
	// warm run: it settles where one run in four is cold.
	missStep = 0.15
	hitStep  = 0.05
	// minWarmCapacity is the smallest capacity that is assumed.
	minWarmCapacity = 4
)

// learnWarmCapacity updates the estimated warm capacity from a run whose object
// should have been warm; missed means that it wasn't. The endpoint has recently
// handled the given number of objects.
func (s *service) learnWarmCapacity(objects int, missed bool) {
	n := float64(objects)
	switch {
	case missed && s.warmCapacity == 0:
		s.misses++
		if s.misses >= missesToLimit {
			s.warmCapacity = max(n, minWarmCapacity)
		}
	case missed && n < s.warmCapacity+minWarmCapacity:
		s.warmCapacity = max(s.warmCapacity-missStep, minWarmCapacity)
	case !missed && s.warmCapacity > 0 && n >= s.warmCapacity:
		s.warmCapacity += hitStep
	}
}

// SetPeerLoads sets the attempts that another instance has in flight. They replace
// those of its previous report.
func (b *Balancer) SetPeerLoads(peer string, loads []Load) {
	b.ForgetPeer(peer)
	counts := make(map[uint32]int, len(loads))
	for _, l := range loads {
		counts[l.Endpoint] = l.Count
		if e, ok := b.byHash[l.Endpoint]; ok {
			e.peerInFlight += l.Count
		}
	}
	b.peers[peer] = counts
}

// ForgetPeer discards the attempts that another instance has in flight.
func (b *Balancer) ForgetPeer(peer string) {
	for hash, count := range b.peers[peer] {
		if e, ok := b.byHash[hash]; ok {
			e.peerInFlight = max(e.peerInFlight-count, 0)
		}
	}
	delete(b.peers, peer)
}

// AddPeerWarmObjects records objects that are warm because of other instances'
// requests.
func (b *Balancer) AddPeerWarmObjects(now time.Time, objects []WarmObject) {
	for _, o := range objects {
		if e, ok := b.byHash[o.Endpoint]; ok {
			e.markWarm(now, o.Object)
			e.untried = false
		}
	}
}

// Loads returns the attempts that this instance has in flight.
func (b *Balancer) Loads() []Load {
	var loads []Load
	for _, e := range b.byID {
		if e.ownInFlight > 0 {
			loads = append(loads, Load{Endpoint: e.hash, Count: e.ownInFlight})
		}
	}
	return loads
}

// TakeWarmObjects returns the objects that this instance's requests have made warm
// since the last call.
func (b *Balancer) TakeWarmObjects() []WarmObject {
	newWarmObjects := b.newWarmObjects
	b.newWarmObjects = nil
	return newWarmObjects
}

// ReachabilityReport informs other instances that an endpoint can't be reached, or can
// be reached again and is cold.
type ReachabilityReport struct {
	Endpoint uint32
	// Recovered means that it can be reached again and is cold.
	Recovered bool
	// RemainingMs is how much longer the report is valid, in milliseconds.
	RemainingMs uint32
}

// ReachabilityReports returns reports on the endpoints that this instance itself could
// not reach, or can reach again after that.
func (b *Balancer) ReachabilityReports(now time.Time) []ReachabilityReport {
	var reports []ReachabilityReport
	for _, e := range b.byID {
		switch {
		case e.unreachable():
			reports = append(reports, ReachabilityReport{Endpoint: e.hash, RemainingMs: uint32(peerUnreachableDuration.Milliseconds())})
		case now.Before(e.announceColdUntil):
			reports = append(reports, ReachabilityReport{Endpoint: e.hash, Recovered: true, RemainingMs: uint32(e.announceColdUntil.Sub(now).Milliseconds())})
		}
	}
	return reports
}

// peerUnreachableDuration is how long an instance's report that it can't reach an
// endpoint is valid at the others; it covers several heartbeats.
const peerUnreachableDuration = 1500 * time.Millisecond

// ApplyPeerReachability applies another instance's reports, so that an endpoint that
// comes back cold doesn't get requests from all instances at once.
func (b *Balancer) ApplyPeerReachability(now time.Time, reports []ReachabilityReport) {
	for _, r := range reports {
		e, ok := b.byHash[r.Endpoint]
		if !ok {
			continue
		}
		duration := time.Duration(r.RemainingMs) * time.Millisecond
		if r.Recovered {
			e.markRecovered(now, duration)
			continue
		}
		// Own observations count more, because the other instance may itself be cut
		// off: the report is ignored if the endpoint has answered here recently.
		if !now.Before(e.coldUntil) && now.Sub(e.answeredAt) > peerUnreachableDuration {
			e.peerUnreachableUntil = now.Add(duration)
		}
	}
}

// Owner returns the instance that owns an endpoint, by rendezvous hashing: all
// instances that know the same set get the same result, whatever its order.
func Owner(instances []string, endpoint uint32) string {
	best := ""
	var highest uint32
	for _, id := range instances {
		if score := mix(Hash32(id), endpoint); best == "" || score > highest {
			best, highest = id, score
		}
	}
	return best
}

// WarmCapacity is the estimated number of objects that each endpoint of a service
// keeps warm, in tenths. The service is identified by the hash of its name.
type WarmCapacity struct {
	Service uint32
	Tenths  uint32
}

// peerCapacityWeight is the weight of another instance's estimate in the local one.
const peerCapacityWeight = 0.03

// WarmCapacities returns this instance's estimates of how many objects endpoints keep
// warm, for the services where a limit is known.
func (b *Balancer) WarmCapacities() []WarmCapacity {
	var warmCapacity []WarmCapacity
	for name, s := range b.services {
		if s.warmCapacity > 0 {
			warmCapacity = append(warmCapacity, WarmCapacity{Service: Hash32(name), Tenths: uint32(s.warmCapacity * 10)})
		}
	}
	return warmCapacity
}

// MergePeerWarmCapacities moves the local estimates toward those of another instance.
func (b *Balancer) MergePeerWarmCapacities(warmCapacity []WarmCapacity) {
	for _, peer := range warmCapacity {
		for name, s := range b.services {
			if Hash32(name) != peer.Service {
				continue
			}
			reported := float64(peer.Tenths) / 10
			if s.warmCapacity == 0 {
				s.warmCapacity = reported
			}
			s.warmCapacity += peerCapacityWeight * (reported - s.warmCapacity)
		}
	}
}

// PruneWarmObjects deletes the records of objects that no longer count as warm.
func (b *Balancer) PruneWarmObjects(now time.Time) {
	for _, e := range b.byID {
		for object, h := range e.warm {
			if now.Sub(h.last) >= warmTTL {
				delete(e.warm, object)
			}
		}
	}
}
