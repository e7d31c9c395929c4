package picker

import (
	"math"
	"slices"
	"time"
)

const (
	// maxEvidenceAge is the age from which a load report by an endpoint or a peer is
	// ignored.
	maxEvidenceAge = 2 * time.Second
	// agreeingReports is the number of consecutive load reports of an endpoint that must
	// show requests from other instances before this instance counts these requests as
	// occupying slots. A single report may still include a request that has just ended.
	agreeingReports = 4
	// rampDuration is the time in which a cold endpoint's usable slots grow from one to
	// all of its slots.
	rampDuration = 5 * time.Second
	// failuresToEject is the number of consecutive failures after which an endpoint
	// is ejected.
	failuresToEject = 3
	// minEjection is the duration of an endpoint's first ejection. Each further ejection
	// without a success in between lasts twice as long, but at most maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// drainNoticeTTL is how long an endpoint's notice that it is draining is valid. The
	// notice comes with answers, and each further notice is valid for drainNoticeTTL again.
	drainNoticeTTL = 30 * time.Second
	// shedBackoff is how long an endpoint gets no requests after it rejected a request
	// because it had no free slot or was draining.
	shedBackoff = 5 * time.Millisecond
)

// Endpoint is one upstream process and the state that this instance keeps about it.
type Endpoint struct {
	address string
	region  string
	slots   int
	// draining means that the configuration drains the endpoint.
	draining bool
	// inFlight is the number of this instance's requests in flight at the endpoint.
	inFlight int
	reports  reports
	// peers holds the number of requests that each peer has in flight at the endpoint,
	// by the ID of the peer.
	peers map[string]peerCount

	// failures is the number of failures since the last success or ejection.
	failures int
	// ejections is the number of ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// drainingUntil is when the last notice that the endpoint is draining expires. The
	// notice came from the endpoint itself or from a peer.
	drainingUntil time.Time
	// ownNoticeUntil is when the last notice that came from the endpoint itself expires.
	ownNoticeUntil time.Time
	// shedUntil is when the endpoint may get requests again after it rejected one.
	shedUntil time.Time
	// warming means that the endpoint is cold. Its warm-up starts at warmingSince, which
	// may lie in the future, for example at the end of an ejection.
	warming      bool
	warmingSince time.Time
}

// reports holds an endpoint's latest load reports. Such a report is the endpoint's own
// count of the requests that it has in flight, from all instances.
type reports struct {
	// lastLoad is the load in the last report, which arrived at lastAt.
	lastLoad int
	lastAt   time.Time
	// excess is a ring buffer of the latest reports. It holds the part of each load that
	// exceeds this instance's own requests, and reportedAt the time of each report.
	excess     [agreeingReports]int
	reportedAt [agreeingReports]time.Time
	// ringIndex is the index at which the next report is written.
	ringIndex int
}

// peerCount is the number of requests that a peer has in flight at an endpoint, and the
// time at which the peer reported this number.
type peerCount struct {
	load int
	at   time.Time
}

// NewEndpoint returns an endpoint without requests in flight. draining means that the
// configuration drains the endpoint.
func NewEndpoint(address, region string, slots int, draining bool) Endpoint {
	return Endpoint{address: address, region: region, slots: slots, draining: draining}
}

// Address returns the endpoint's IP address and port.
func (e *Endpoint) Address() string { return e.address }

// Region returns the endpoint's region.
func (e *Endpoint) Region() string { return e.region }

// InFlight returns the number of this instance's requests in flight at the endpoint.
func (e *Endpoint) InFlight() int { return e.inFlight }

// inheritState copies the state of before, which is the same endpoint under the previous
// configuration. The region, the number of slots and draining aren't copied. If the
// configuration no longer drains the endpoint, the endpoint becomes cold.
func (e *Endpoint) inheritState(before *Endpoint, now time.Time) {
	configured := *e
	*e = *before
	e.region, e.slots, e.draining = configured.region, configured.slots, configured.draining
	if before.draining && !e.draining {
		e.startWarmUp(now)
	}
}

// startWarmUp makes the endpoint cold. Its warm-up starts at the given time, which may lie
// in the future.
func (e *Endpoint) startWarmUp(now time.Time) {
	e.warming = true
	e.warmingSince = now
}

// Slots returns the number of slots that may be used now, including slots that are in use.
// For a cold endpoint, the number grows from one to all slots within rampDuration.
func (e *Endpoint) Slots(now time.Time) int {
	if !e.warming {
		return e.slots
	}
	progress := float64(now.Sub(e.warmingSince)) / float64(rampDuration)
	if progress >= 1 {
		e.warming = false
		return e.slots
	}
	return max(1, int(math.Floor(progress*float64(e.slots))))
}

// isDraining reports whether the endpoint gets no new requests because the configuration
// drains it or because it gave notice that it is draining.
func (e *Endpoint) isDraining(now time.Time) bool {
	return e.draining || now.Before(e.drainingUntil)
}

// ejected reports whether the endpoint gets no requests now because it failed too often.
func (e *Endpoint) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// otherInFlight returns an estimate of the other instances' requests in flight at the
// endpoint. The estimate comes from the endpoint's own load reports. It is always less
// than the number of configured slots, so that an endpoint whose reports are too high
// still gets requests.
func (e *Endpoint) otherInFlight(now time.Time) int {
	return min(e.reports.agreedExcess(now), e.slots-1)
}

// peerInFlight returns the number of requests in flight at the endpoint that peers
// reported, weighted by the age of the reports. The number affects which endpoint is
// preferred, but uses up no slots. Otherwise, after a peer has stopped, the slots that
// its requests occupied would stay idle until its report expires.
func (e *Endpoint) peerInFlight(now time.Time) float64 {
	load := 0.0
	for _, p := range e.peers {
		load += float64(p.load) * freshness(now.Sub(p.at))
	}
	return load
}

// discountedLoad returns an estimate of the number of requests in flight at the endpoint,
// from all instances. The older a report of other instances' requests is, the less it
// adds to the estimate.
func (e *Endpoint) discountedLoad(now time.Time) float64 {
	load := float64(e.inFlight)
	extra := float64(e.reports.lastLoad-e.inFlight) * freshness(now.Sub(e.reports.lastAt))
	return load + max(0, extra, e.peerInFlight(now))
}

// freshness returns the weight of a report of the given age. The weight falls from 1 at
// age 0 to 0 at maxEvidenceAge.
func freshness(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(maxEvidenceAge))
}

// add records a reported load. own is the number of this instance's requests that the
// load includes.
func (r *reports) add(load, own int, now time.Time) {
	r.lastLoad, r.lastAt = load, now
	r.excess[r.ringIndex] = max(0, load-own)
	r.reportedAt[r.ringIndex] = now
	r.ringIndex = (r.ringIndex + 1) % agreeingReports
}

// agreedExcess returns the smallest number of other instances' requests in any of the
// latest agreeingReports reports. It returns 0 if the age of one of these reports has
// reached maxEvidenceAge, or if there are fewer reports.
func (r *reports) agreedExcess(now time.Time) int {
	for _, at := range r.reportedAt {
		if now.Sub(at) >= maxEvidenceAge {
			return 0
		}
	}
	return slices.Min(r.excess[:])
}

// recordSuccess resets the counts of failures and ejections.
func (e *Endpoint) recordSuccess() {
	e.failures = 0
	e.ejections = 0
}

// recordFailure counts a failure and reports whether the endpoint should be ejected. An
// ejection takes failuresToEject consecutive failures, or one failure if there was no
// success since the last ejection. recordFailure returns false while the endpoint is
// already ejected.
func (e *Endpoint) recordFailure(now time.Time) bool {
	e.failures++
	probing := e.ejections > 0
	return !e.ejected(now) && (e.failures >= failuresToEject || probing)
}

// eject stops requests to the endpoint for the duration of an ejection. After that the
// endpoint is cold.
func (e *Endpoint) eject(now time.Time) {
	duration := min(maxEjection, minEjection<<min(e.ejections, 10))
	e.ejections++
	e.failures = 0
	e.ejectedUntil = now.Add(duration)
	e.startWarmUp(e.ejectedUntil)
}
