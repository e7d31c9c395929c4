package picker

import (
	"math"
	"slices"
	"time"
)

const (
	// evidenceAge is the age at which reports and peers' counts stop to count.
	evidenceAge = 2 * time.Second
	// excessReports is the number of reports that must agree on work from
	// elsewhere. One alone may be late by a request that has just ended.
	excessReports = 4
	// rampDuration is the time in which a cold endpoint gets all its slots.
	rampDuration = 5 * time.Second
	// failuresToEject is the number of failures in a row that ejects.
	failuresToEject = 3
	// minEjection and maxEjection bound the time out of use; it doubles each
	// time.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// drainHold is how long an endpoint's own notice of a drain counts. Each
	// answer with the notice renews it.
	drainHold = 30 * time.Second
	// shedHold is how long an endpoint that shed a request is left alone.
	shedHold = 5 * time.Millisecond
)

// Endpoint is one upstream process as the picker sees it.
type Endpoint struct {
	address  string
	region   string
	slots    int
	draining bool
	inFlight int
	reports  reports
	peers    map[string]peerCount

	failures     int
	ejections    int
	ejectedUntil time.Time
	drainedUntil time.Time
	// toldUntil is like drainedUntil, for notices that came here directly.
	toldUntil    time.Time
	shedUntil    time.Time
	warming      bool
	warmingSince time.Time
}

// reports holds what an endpoint said of its load.
type reports struct {
	last   int
	at     time.Time
	excess [excessReports]int
	times  [excessReports]time.Time
	next   int
}

// peerCount is a peer's number of requests in flight at an endpoint.
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

// InFlight returns the requests in flight from this instance.
func (e *Endpoint) InFlight() int { return e.inFlight }

// inherit keeps the state of the same endpoint in an older configuration.
func (e *Endpoint) inherit(before *Endpoint, now time.Time) {
	configured := *e
	*e = *before
	e.region, e.slots, e.draining = configured.region, configured.slots, configured.draining
	if before.draining && !e.draining {
		e.warmUp(now)
	}
}

func (e *Endpoint) warmUp(now time.Time) {
	e.warming = true
	e.warmingSince = now
}

// Slots returns the slots that may be used now: a cold endpoint's grow from
// one to all of them.
func (e *Endpoint) Slots(now time.Time) int {
	if !e.warming {
		return e.slots
	}
	part := float64(now.Sub(e.warmingSince)) / float64(rampDuration)
	if part >= 1 {
		e.warming = false
		return e.slots
	}
	return max(1, int(math.Floor(part*float64(e.slots))))
}

// leaving reports whether the endpoint takes no new work, by configuration or
// by its own word.
func (e *Endpoint) leaving(now time.Time) bool {
	return e.draining || now.Before(e.drainedUntil)
}

func (e *Endpoint) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// elsewhere estimates the requests in flight from other instances by what the
// endpoint's own reports agree on. It never takes an endpoint's last slot: a
// liar can't take itself out of use for good.
func (e *Endpoint) elsewhere(now time.Time) int {
	return min(e.reports.agreed(now), e.slots-1)
}

// fromPeers is what peers say that they have in flight, less as it grows old.
// It orders endpoints but takes no slots: a peer that has just stopped would
// otherwise leave its slots idle until its word is forgotten.
func (e *Endpoint) fromPeers(now time.Time) float64 {
	load := 0.0
	for _, p := range e.peers {
		load += float64(p.load) * freshness(now.Sub(p.at))
	}
	return load
}

// discounted estimates the whole load; older evidence counts for less.
func (e *Endpoint) discounted(now time.Time) float64 {
	load := float64(e.inFlight)
	extra := float64(e.reports.last-e.inFlight) * freshness(now.Sub(e.reports.at))
	return load + max(0, extra, e.fromPeers(now))
}

// freshness is 1 for new evidence and falls to 0 at evidenceAge.
func freshness(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(evidenceAge))
}

func (r *reports) add(load, own int, now time.Time) {
	r.last, r.at = load, now
	r.excess[r.next] = max(0, load-own)
	r.times[r.next] = now
	r.next = (r.next + 1) % excessReports
}

// agreed is the least work from elsewhere in the newest reports.
func (r *reports) agreed(now time.Time) int {
	for _, at := range r.times {
		if now.Sub(at) >= evidenceAge {
			return 0
		}
	}
	return slices.Min(r.excess[:])
}

// succeeded forgets earlier failures.
func (e *Endpoint) succeeded() {
	e.failures = 0
	e.ejections = 0
}

// failed counts a failure and reports whether the endpoint should be ejected.
func (e *Endpoint) failed(now time.Time) bool {
	e.failures++
	probing := e.ejections > 0
	return !e.ejected(now) && (e.failures >= failuresToEject || probing)
}

func (e *Endpoint) eject(now time.Time) {
	hold := min(maxEjection, minEjection<<min(e.ejections, 10))
	e.ejections++
	e.failures = 0
	e.ejectedUntil = now.Add(hold)
	e.warmUp(e.ejectedUntil)
}
