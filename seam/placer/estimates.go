package placer

import (
	"time"

	"primroseseam.org/seam/router"
)

// Outcome describes how an attempt ended.
type Outcome struct {
	// SentAt is when the attempt was sent, as passed to RecordAttempt.
	SentAt time.Time
	Object uint32
	// Choice is the choice that [Balancer.Pick] returned for the attempt.
	Choice Choice
	// Answered means that a complete answer arrived, whatever its status.
	Answered bool
	// SuccessStatus means that the answer's status was 2xx.
	SuccessStatus bool
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun bool
	// Unreachable means that no connection could be opened. ConnectionRefused means that
	// the endpoint's host refused the connection.
	Unreachable       bool
	ConnectionRefused bool
	// CallerDisconnected means that the caller disconnected. The outcome then changes no
	// estimate except the round-trip time.
	CallerDisconnected bool
	// DialTime is how long opening a new connection took, or 0 if none was opened.
	DialTime time.Duration
	// Load is what the answer states of the endpoint's load.
	Load router.ReportedLoad
	// TargetLatency and Timeout are copied from the [Request].
	TargetLatency time.Duration
	Timeout       time.Duration
}

// RecordAttempt records that this instance sends an attempt to an endpoint. The
// object counts as warm there from now on, and is collected for TakeWarmObjects if it
// was not warm before.
func (b *Balancer) RecordAttempt(now time.Time, id string, object uint32) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.recordAttempt(now)
	if e.isCold(now) || e.limit.named {
		e.sendBudget.Take(now)
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
		b.updateRoundTrip(e.region, o.DialTime)
	}
	e.recordReport(now, o.Load)
	s := b.service(e.spec.Service)
	switch {
	case o.CallerDisconnected:
	case o.NotRun:
		e.failureRate = e.currentFailureRate(now) + fastWeight*(1-e.currentFailureRate(now))/2
		e.failureRateAt = now
		delete(e.recentObjects, o.Object)
	case o.Unreachable:
		e.recordDialFailure(now, o.ConnectionRefused)
	case !o.Answered:
		e.recordFailure(now)
	default:
		b.updateRunTimes(now, s, e, o)
		e.recordAnswer(now, s.spec.Warmup)
		if !o.SuccessStatus {
			e.failureRate = e.currentFailureRate(now) + fastWeight*(1-e.currentFailureRate(now))/2
		}
	}
}

// updateRoundTrip updates the estimated round-trip time to a region from the dial
// time of a connection. A shorter time replaces the estimate, a longer one raises it
// slowly.
func (b *Balancer) updateRoundTrip(region string, took time.Duration) {
	old, ok := b.roundTrip[region]
	if !ok || took < old {
		b.roundTrip[region] = took
		return
	}
	b.roundTrip[region] = old + time.Duration(slowWeight*float64(took-old))
}

// updateRunTimes updates the estimates of the endpoint's slowdown and of the service's
// run times and warm capacity from an answer. It compares the time that the answer took
// with the time that was expected. The run times are updated only from requests that
// are unlikely to have queued.
func (b *Balancer) updateRunTimes(now time.Time, s *service, e *endpoint, o Outcome) {
	took := now.Sub(o.SentAt) - o.DialTime
	warmRunTime, coldRunTime := s.runTimes(o.TargetLatency, o.Timeout)
	expected := o.Choice.ExpectedLatency - o.Choice.DialTime
	workTime := workTimeOf(o.Load)
	// As if the endpoint had been as fast as usual.
	runTime := time.Duration(float64(took-b.roundTripTo(e.region)) / workTime)
	unexpectedlyCold := o.Choice.ObjectWarm && float64(runTime-o.Choice.QueueTime) > o.Choice.Slowdown*float64(warmRunTime+coldRunTime)/2
	if unexpectedlyCold {
		// The object was no longer warm. That doesn't make the endpoint slow.
		expected += time.Duration(o.Choice.Slowdown * float64(coldRunTime-warmRunTime))
	}
	if expected <= 0 {
		return
	}
	// The other instances' loads are reported too late to estimate queues well. If the
	// request was expected to queue, only a much longer time than expected shows that
	// the endpoint is slow.
	if ratio := float64(took) / float64(expected); o.Choice.QueueTime == 0 || ratio > slowDespiteQueue {
		// The reported work time explains a part of it, which will soon have passed.
		e.recordSlowdown(now, o.Choice.Slowdown*ratio/workTime)
	}
	mayHaveQueued := o.Choice.QueueTime > 0 || e.attemptsInFlight() >= e.spec.Slots
	if e.isCold(now) || !o.SuccessStatus {
		return
	}
	// The first runs of an object at an endpoint are cold even if the endpoint has
	// capacity left, so they show nothing about the capacity.
	afterFirstRuns := o.SentAt.Sub(e.recentObjects[o.Object].first) > 2*coldRunTime
	if o.Choice.ObjectWarm && afterFirstRuns && o.Choice.QueueTime <= (coldRunTime-warmRunTime)/2 {
		s.updateWarmCapacity(len(e.recentObjects), unexpectedlyCold)
	}
	if mayHaveQueued || e.currentSlowdown(now) > 2 {
		return
	}
	if o.Choice.ObjectWarm && !unexpectedlyCold {
		s.warmRunTime = warmRunTime + time.Duration(slowWeight*float64(runTime-warmRunTime))
		return
	}
	s.coldRunTime = coldRunTime + time.Duration(slowWeight*float64(runTime-coldRunTime))
}

// slowDespiteQueue applies to requests that were expected to queue. Their answers
// update the endpoint's slowdown only if they took longer than slowDespiteQueue times
// the expected time.
const slowDespiteQueue = 2.5

const (
	// missesToLimit is how many runs must turn out cold although their object was
	// expected to be warm, before the number of objects that an endpoint keeps warm is
	// assumed to be limited.
	missesToLimit = 3
	// missStep is subtracted from the estimated warm capacity after an unexpectedly
	// cold run. hitStep is added after a run that was warm as expected. With these
	// steps the estimate settles where one run in four is cold.
	missStep = 0.15
	hitStep  = 0.05
	// minWarmCapacity is the smallest warm capacity that is estimated, in objects.
	minWarmCapacity = 4
)

// updateWarmCapacity updates the estimated warm capacity of a service's endpoints
// from a run whose object was expected to be warm. unexpectedlyCold means that the
// run was cold. objects is the number of objects that the endpoint has handled
// recently.
func (s *service) updateWarmCapacity(objects int, unexpectedlyCold bool) {
	n := float64(objects)
	switch {
	case unexpectedlyCold && s.warmCapacity == 0:
		s.misses++
		if s.misses >= missesToLimit {
			s.warmCapacity = max(n, minWarmCapacity)
		}
	case unexpectedlyCold && n < s.warmCapacity+minWarmCapacity:
		s.warmCapacity = max(s.warmCapacity-missStep, minWarmCapacity)
	case !unexpectedlyCold && s.warmCapacity > 0 && n >= s.warmCapacity:
		s.warmCapacity += hitStep
	}
}

// SetPeerLoads sets the number of attempts that another instance has in flight at each
// endpoint. These numbers replace the ones that the other instance reported before.
func (b *Balancer) SetPeerLoads(peer string, loads []Load) {
	b.ForgetPeer(peer)
	counts := make(map[uint32]int, len(loads))
	for _, l := range loads {
		counts[l.Endpoint] = l.Count
		if e, ok := b.byHash[l.Endpoint]; ok {
			e.peerInFlight += l.Count
		}
	}
	b.peerAttempts[peer] = counts
}

// ForgetPeer discards the attempts in flight that another instance last reported.
func (b *Balancer) ForgetPeer(peer string) {
	for hash, count := range b.peerAttempts[peer] {
		if e, ok := b.byHash[hash]; ok {
			e.peerInFlight = max(e.peerInFlight-count, 0)
		}
	}
	delete(b.peerAttempts, peer)
}

// AddPeerWarmObjects records objects that another instance's requests have made warm.
func (b *Balancer) AddPeerWarmObjects(now time.Time, objects []WarmObject) {
	for _, o := range objects {
		if e, ok := b.byHash[o.Endpoint]; ok {
			e.markWarm(now, o.Object)
			e.untried = false
		}
	}
}

// Loads returns the number of attempts that this instance has in flight at each
// endpoint. Endpoints without any are left out.
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
// since the last call, at most maxNewWarmObjects.
func (b *Balancer) TakeWarmObjects() []WarmObject {
	newWarmObjects := b.newWarmObjects
	b.newWarmObjects = nil
	return newWarmObjects
}

// ReachabilityReport reports to other instances that an endpoint can't be reached, or
// that it can be reached again and is cold. Endpoint is the hash of the endpoint's
// ID.
type ReachabilityReport struct {
	Endpoint uint32
	// Recovered means that the endpoint can be reached again and is cold.
	Recovered bool
	// RemainingMs is how much longer the report is valid, in milliseconds.
	RemainingMs uint32
}

// ReachabilityReports returns a report on each endpoint that this instance can't reach.
// It also reports an endpoint as recovered if the endpoint answered this instance after
// it had counted as unreachable. It does so until the endpoint's warm-up after this
// answer ends.
func (b *Balancer) ReachabilityReports(now time.Time) []ReachabilityReport {
	var reports []ReachabilityReport
	for _, e := range b.byID {
		switch {
		case e.isUnreachable():
			reports = append(reports, ReachabilityReport{Endpoint: e.hash, RemainingMs: uint32(peerUnreachableDuration.Milliseconds())})
		case now.Before(e.announceColdUntil):
			reports = append(reports, ReachabilityReport{Endpoint: e.hash, Recovered: true, RemainingMs: uint32(e.announceColdUntil.Sub(now).Milliseconds())})
		}
	}
	return reports
}

// StartedAtMs returns the start time of a listed endpoint in Unix milliseconds.
func (b *Balancer) StartedAtMs(id string) (int64, bool) {
	e, ok := b.byID[id]
	if !ok {
		return 0, false
	}
	return e.spec.StartedAtMs, true
}

// RecordUnreachable records that no connection to an endpoint could be opened, other than for
// an attempt.
func (b *Balancer) RecordUnreachable(now time.Time, id string, refused bool) {
	if e, ok := b.byID[id]; ok {
		e.recordDialFailure(now, refused)
	}
}

// HasEnded reports whether the lifetime of an endpoint that started at the given time has
// ended, as far as is known: the endpoint can't be reached, has started anew, or is no
// longer listed.
func (b *Balancer) HasEnded(now time.Time, id string, startedAtMs int64) bool {
	e, ok := b.byID[id]
	return !ok || e.spec.StartedAtMs != startedAtMs || e.isUnreachable() || now.Before(e.peerUnreachableUntil)
}

// peerUnreachableDuration is how long other instances apply an instance's report that
// it can't reach an endpoint. It covers several heartbeats.
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
		// The other instance may itself be cut off from the network, so this instance's own
		// observations take precedence: the report is ignored if the endpoint has answered
		// here recently. It is also ignored while the endpoint counts as cold here after a
		// start or a recovery.
		if !now.Before(e.coldUntil) && now.Sub(e.answeredAt) > peerUnreachableDuration {
			e.peerUnreachableUntil = now.Add(duration)
		}
	}
}

// WarmCapacity is the estimated number of objects that each endpoint of a service keeps
// warm. Service is the hash of the service's name. Tenths is ten times the estimated
// number.
type WarmCapacity struct {
	Service uint32
	Tenths  uint32
}

// peerCapacityWeight is the weight of another instance's estimate when it is averaged
// into the local estimate.
const peerCapacityWeight = 0.03

// WarmCapacities returns this instance's estimates of how many objects an endpoint
// keeps warm, for each service for which a limit has been detected.
func (b *Balancer) WarmCapacities() []WarmCapacity {
	var warmCapacity []WarmCapacity
	for name, s := range b.services {
		if s.warmCapacity > 0 {
			warmCapacity = append(warmCapacity, WarmCapacity{Service: Hash32(name), Tenths: uint32(s.warmCapacity * 10)})
		}
	}
	return warmCapacity
}

// MergePeerWarmCapacities moves the local estimates toward the estimates of another
// instance. A service without a local estimate takes over the other instance's.
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

// Prune deletes the records of objects that no longer count as warm, and outdated records of
// endpoints that are no longer listed.
func (b *Balancer) Prune(now time.Time) {
	b.pruneUnlisted(now)
	for _, e := range b.byID {
		for object, h := range e.recentObjects {
			if now.Sub(h.last) >= warmTTL {
				delete(e.recentObjects, object)
			}
		}
	}
}
