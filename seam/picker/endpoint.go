package picker

import (
	"math"
	"slices"
	"time"
)

const (
	// maxEvidenceAge is the age at which endpoints' load reports and peers' counts
	// no longer count.
	maxEvidenceAge = 2 * time.Second
	// agreeingReports is the number of consecutive load reports that must show
	// requests from other instances before these count. A single report may still
	// include a request that has just ended.
	agreeingReports = 4
	// rampDuration is the time in which the usable slots of a cold endpoint grow to
	// all of them.
	rampDuration = 5 * time.Second
	// failuresToEject is the number of consecutive failures after which an endpoint
	// is ejected.
	failuresToEject = 3
	// minEjection and maxEjection bound the duration of an ejection, which doubles
	// each time.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// drainNoticeTTL is how long an endpoint's own notice that it is draining is
	// valid. Each answer with the notice renews it.
	drainNoticeTTL = 30 * time.Second
	// shedBackoff is how long an endpoint that shed a request gets no further ones.
	shedBackoff = 5 * time.Millisecond
)

// Endpoint is the state of one upstream process.
type Endpoint struct {
	address  string
	region   string
	slots    int
	draining bool
	inFlight int
	reports  reports
	peers    map[string]peerCount

	// failures counts the failures since the last success or ejection, and ejections
	// the ejections since the last success.
	failures      int
	ejections     int
	ejectedUntil  time.Time
	drainingUntil time.Time
	// ownNoticeUntil is like drainingUntil, but only for notices that this instance
	// got from the endpoint itself, not through a peer.
	ownNoticeUntil time.Time
	shedUntil      time.Time
	warming        bool
	warmingSince   time.Time
}

// reports holds an endpoint's latest load reports: the last one, and a ring buffer of
// the excess over this instance's own requests.
type reports struct {
	lastLoad   int
	at         time.Time
	excess     [agreeingReports]int
	reportedAt [agreeingReports]time.Time
	next       int
}

// peerCount is the number of requests that a peer has in flight at an endpoint, and
// when the peer reported it.
type peerCount struct {
	load int
	at   time.Time
}

// NewEndpoint returns an idle endpoint.
func NewEndpoint(address, region string, slots int, draining bool) Endpoint {
	return Endpoint{address: address, region: region, slots: slots, draining: draining}
}

// Address returns the endpoint's IP address and port.
func (e *Endpoint) Address() string { return e.address }

// Region returns the endpoint's region.
func (e *Endpoint) Region() string { return e.region }

// InFlight returns the number of this instance's requests in flight.
func (e *Endpoint) InFlight() int { return e.inFlight }

// inheritState copies the state of the same endpoint from the previous
// configuration, but not its settings. If its drain has ended, it is cold.
func (e *Endpoint) inheritState(before *Endpoint, now time.Time) {
	configured := *e
	*e = *before
	e.region, e.slots, e.draining = configured.region, configured.slots, configured.draining
	if before.draining && !e.draining {
		e.warmUp(now)
	}
}

// warmUp makes the endpoint cold from the given time on.
func (e *Endpoint) warmUp(now time.Time) {
	e.warming = true
	e.warmingSince = now
}

// Slots returns the number of slots that may be used now. Those of a cold endpoint
// grow from one to all of them.
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

// isDraining reports whether the endpoint gets no new requests, by configuration or
// by its own notice.
func (e *Endpoint) isDraining(now time.Time) bool {
	return e.draining || now.Before(e.drainingUntil)
}

// ejected reports whether the endpoint is out of use after failures.
func (e *Endpoint) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// otherInFlight estimates the requests in flight from other instances from the
// endpoint's own load reports. It is always less than the configured slots, so that an
// endpoint that reports too much can't take itself out of use for good.
func (e *Endpoint) otherInFlight(now time.Time) int {
	return min(e.reports.agreedExcess(now), e.slots-1)
}

// peerInFlight returns the requests that peers reported as in flight, weighted by the
// age of the reports. It affects the order of endpoints but uses up no slots: otherwise
// the slots of a peer that has just stopped would stay idle until its reports expire.
func (e *Endpoint) peerInFlight(now time.Time) float64 {
	load := 0.0
	for _, p := range e.peers {
		load += float64(p.load) * freshness(now.Sub(p.at))
	}
	return load
}

// discountedLoad estimates the endpoint's total load; the older a report, the less it
// counts.
func (e *Endpoint) discountedLoad(now time.Time) float64 {
	load := float64(e.inFlight)
	extra := float64(e.reports.lastLoad-e.inFlight) * freshness(now.Sub(e.reports.at))
	return load + max(0, extra, e.peerInFlight(now))
}

// freshness returns the weight of a report of some age: 1 for a new one, falling to 0
// at maxEvidenceAge.
func freshness(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(maxEvidenceAge))
}

// add records a reported load; own is the part of it that this instance accounts for.
func (r *reports) add(load, own int, now time.Time) {
	r.lastLoad, r.at = load, now
	r.excess[r.next] = max(0, load-own)
	r.reportedAt[r.next] = now
	r.next = (r.next + 1) % agreeingReports
}

// agreedExcess returns the number of other instances' requests that all of the latest
// reports agree on, which is the least of them, or 0 if any report is too old.
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

// recordFailure counts a failure and reports whether the endpoint should be ejected. After an
// ejection a single failure is enough until the endpoint has succeeded again.
func (e *Endpoint) recordFailure(now time.Time) bool {
	e.failures++
	probing := e.ejections > 0
	return !e.ejected(now) && (e.failures >= failuresToEject || probing)
}

// eject takes the endpoint out of use for a while; after that it is cold.
func (e *Endpoint) eject(now time.Time) {
	duration := min(maxEjection, minEjection<<min(e.ejections, 10))
	e.ejections++
	e.failures = 0
	e.ejectedUntil = now.Add(duration)
	e.warmUp(e.ejectedUntil)
}
