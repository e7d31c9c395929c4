package demonstrator

import (
	"strings"
	"sync"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/standin/responder"
)

// kind is how an attempt of a caller or of the prober ended.
type kind int

const (
	// attemptAnswered means that a complete response of an upstream arrived.
	attemptAnswered kind = iota
	// attemptRefused means that an instance refused the request and gave the reason
	// as a code.
	attemptRefused
	// attemptFailed means that no complete response arrived.
	attemptFailed
)

// outcome is the result of one attempt to send a request, as the caller or the prober
// observed it.
type outcome struct {
	team     string
	path     string
	instance string
	sentAt   time.Time
	latency  time.Duration
	kind     kind
	// correct means that the response repeats the path and the body of the request.
	// It is also set for error responses of an upstream, which repeat neither.
	correct bool
	// upstreamError means that the upstream responded with another status than 200.
	upstreamError bool
	// code is the reason for which the instance refused the request. notRun means
	// that the refusal states that the request did not run at an upstream.
	code   coder.Code
	notRun bool
	// dialFailed means that no connection to the instance could be opened.
	dialFailed bool
	idempotent bool
	// withoutLookup means that the prober sent the attempt to an instance of its
	// choice. Callers send attempts only to instances that a lookup returned.
	withoutLookup bool
	// lastAttempt means that the request is not retried after this attempt.
	lastAttempt bool
}

// canRetryElsewhere reports whether the request did not run and another instance may
// accept it: either no connection could be opened, or the instance refused the request
// because it is stopping.
func (o outcome) canRetryElsewhere() bool {
	return o.dialFailed || (o.kind == attemptRefused && o.code == coder.Stopping && o.notRun)
}

// mayHaveRun reports whether no response of an upstream arrived and no refusal states that
// the request did not run. It is also true if no connection to the instance could be
// opened; canRetryElsewhere recognizes that case.
func (o outcome) mayHaveRun() bool {
	return o.kind == attemptFailed || (o.kind == attemptRefused && !o.notRun)
}

// arrival describes a request that an upstream received. The entries of
// checker.arrivals are made when a request arrives, those of checker.transfers when a
// request ends.
type arrival struct {
	// at is the time of the request's arrival or, in checker.transfers, of its end.
	at   time.Time
	team string
	// crossRegion means that an instance of another region than the endpoint's sent
	// the request.
	crossRegion bool
	// from is the region of the instance that sent the request, or empty if that
	// instance is unknown. to is the region of the endpoint that received it.
	from string
	to   string
	// bytes is the size of the request's and the response's body together. It is
	// complete only when the request has ended.
	bytes int64
}

// checker records what the callers, the prober and the upstreams observe. At the end of
// the run it computes the promises and measures of the report from these records. Its
// record methods are safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	regions  map[string]string // region by instance id
	outcomes []outcome
	runs     map[string]int // how often upstreams ran a request, by its path
	arrivals []arrival
	// transfers holds the requests from instances to endpoints of another region, in
	// the order in which they ended.
	transfers       []arrival
	crossRegionOpen map[string]int // requests in progress from other regions, by region
	sharedSlots     map[string]int // slots that other regions may use, by region

	// The following fields count requests that upstreams received.

	// requestsOfKnownOrigin counts the requests of which the sending instance is known.
	requestsOfKnownOrigin int
	// requestsWithKey counts the requests that contain an API key.
	requestsWithKey int
	// wrongTeamRequests counts the requests whose path doesn't contain the team that
	// the instance sent with the request.
	wrongTeamRequests int
	// regionOverloads counts the requests from another region that arrive while
	// requests from other regions use all shared slots of the endpoint's region.
	regionOverloads int
	// cancelledRequests counts the requests that were cancelled before the response.
	cancelledRequests int
	// requestsWithDeadline counts the requests that carry a deadline.
	requestsWithDeadline int
	// rejectedRequests counts the requests that the upstream did not run.
	rejectedRequests int

	// drains holds the drained endpoints by address.
	drains       map[string]*endpointDrain
	withdrawnKey keyWithdrawal
	stop         gracefulStop
	configs      []*acceptedConfig
	headroom     []float64
}

// endpointDrain describes an endpoint that is being drained, so that it must soon get
// no new requests.
type endpointDrain struct {
	service string
	// at is when the drain began.
	at time.Time
	// lastArrivalAt is when the endpoint received its last request. lastEndAt is
	// when the last of the endpoint's requests ended. Both are the start of the
	// drain if there was no such request after it.
	lastArrivalAt time.Time
	lastEndAt     time.Time
	// checked counts the requests that any endpoint of the service received later
	// than drainLimit after the start of the drain. late counts how many of these the
	// draining endpoint received.
	checked int
	late    int
}

// keyWithdrawal describes when an API key was withdrawn and the attempts that still
// used it afterwards.
type keyWithdrawal struct {
	// at is when the key was withdrawn, or zero before that.
	at time.Time
	// lastAnsweredSentAt is the sending time of the attempt with the key that was
	// recorded last as answered. It considers only attempts that were sent after the
	// withdrawal, and is zero if none of them was answered.
	lastAnsweredSentAt time.Time
	// checked counts the attempts with the key that were sent later than
	// withdrawalLimit after the withdrawal. late counts how many of these were not
	// refused as the promise demands; see recordWithdrawnKeyUse.
	checked int
	late    int
}

// gracefulStop describes the graceful stop of an instance.
type gracefulStop struct {
	// address is the instance's address for callers.
	address string
	// at is when the stop began. took is how long the stop lasted.
	at   time.Time
	took time.Duration
}

// acceptedConfig describes a configuration change that the store accepted. The change
// adds a route. A probe is a request for that route to one instance: the instance
// accepts it if the change is in force there.
type acceptedConfig struct {
	route string
	// at is when the write of the change to the store had succeeded.
	at time.Time
	// inForce maps the id of an instance to the sending time of the earliest probe
	// that found the route in force at the instance.
	inForce map[string]time.Time
	// checked counts the probes that had to find the route in force. late and reverts
	// count those that did not find it in force. reverts counts a probe if an earlier
	// probe of the same instance had found the route in force; otherwise, late counts
	// it. Probes that are sent before configLimit has passed, to an instance where no
	// probe has found the route yet, are in none of these counts.
	checked int
	late    int
	reverts int
}

func newChecker() *checker {
	return &checker{
		regions: map[string]string{}, runs: map[string]int{}, crossRegionOpen: map[string]int{},
		sharedSlots: map[string]int{}, drains: map[string]*endpointDrain{},
	}
}

// recordOutcome records the outcome of one attempt of a caller or of the prober.
func (c *checker) recordOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// attemptsSince returns how many attempts the callers sent after the given time, by the
// address of the instance. The prober's attempts are left out.
func (c *checker) attemptsSince(at time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, o := range c.outcomes {
		if !o.withoutLookup && o.sentAt.After(at) {
			counts[o.instance]++
		}
	}
	return counts
}

// recordUpstreamRequest records that a request arrived at an endpoint or, if s.Ended is
// set, that it ended. The upstream stand-in calls it in both cases.
func (c *checker) recordUpstreamRequest(e *endpoint, s responder.ObservedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.newArrival(e, s)
	if s.Ended {
		c.recordRequestEnd(e, s, a)
		return
	}
	c.arrivals = append(c.arrivals, a)
	if a.from != "" {
		c.requestsOfKnownOrigin++
	}
	if s.Ran {
		c.runs[s.Path]++
	} else {
		c.rejectedRequests++
	}
	if s.Deadline > 0 {
		c.requestsWithDeadline++
	}
	if !strings.Contains(s.Path, "/"+s.Team+"/") {
		c.wrongTeamRequests++
	}
	if containsKey(s) {
		c.requestsWithKey++
	}
	if a.crossRegion {
		c.crossRegionOpen[e.region]++
		if c.crossRegionOpen[e.region] > c.sharedSlots[e.region] {
			c.regionOverloads++
		}
	}
	c.checkDrains(e, s)
}

// newArrival returns the arrival that describes a request at an endpoint.
func (c *checker) newArrival(e *endpoint, s responder.ObservedRequest) arrival {
	a := arrival{at: s.At, team: s.Team, to: e.region, bytes: s.Bytes}
	a.from = c.regions[sendingInstance(s.RequestID)]
	a.crossRegion = a.from != "" && a.from != e.region
	return a
}

// sendingInstance returns the id of the instance that sent a request to an upstream. The
// request's id consists of the instance's id, the number of the caller's request and the
// number of the attempt, joined by hyphens. The instance's id may contain hyphens too.
func sendingInstance(requestID string) string {
	for range 2 {
		separator := max(strings.LastIndexByte(requestID, '-'), 0)
		requestID = requestID[:separator]
	}
	return requestID
}

func (c *checker) recordRequestEnd(e *endpoint, s responder.ObservedRequest, a arrival) {
	if s.Cancelled {
		c.cancelledRequests++
	}
	if a.crossRegion {
		c.crossRegionOpen[e.region]--
		c.transfers = append(c.transfers, a)
	}
	if d, ok := c.drains[e.address]; ok {
		d.lastEndAt = s.At
	}
}

// checkDrains updates the counts of all drains of the service whose endpoint received a
// new request. A draining endpoint must not receive new requests later than drainLimit
// after the start of its drain. Every request that arrives later than that at any
// endpoint of the service counts as a check, and as a violation if it arrives at the
// draining endpoint.
func (c *checker) checkDrains(e *endpoint, s responder.ObservedRequest) {
	for address, d := range c.drains {
		if d.service != e.service || s.At.Sub(d.at) < 0 {
			continue
		}
		late := s.At.Sub(d.at) > drainLimit
		if late {
			d.checked++
		}
		if address != e.address {
			continue
		}
		d.lastArrivalAt = s.At
		if late {
			d.late++
		}
	}
}

// containsKey reports whether keyPrefix, with which every API key begins, occurs in the
// path, query, header values or body of a request.
func containsKey(s responder.ObservedRequest) bool {
	if strings.Contains(s.Query, keyPrefix) || strings.Contains(s.Path, keyPrefix) || strings.Contains(s.Body, keyPrefix) {
		return true
	}
	for _, values := range s.Headers {
		for _, v := range values {
			if strings.Contains(v, keyPrefix) {
				return true
			}
		}
	}
	return false
}

func (c *checker) recordDrainStart(e *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.drains[e.address] = &endpointDrain{service: e.service, at: now, lastArrivalAt: now, lastEndAt: now}
}

func (c *checker) recordKeyWithdrawal(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnKey.at = at
}

// recordWithdrawnKeyUse records the outcome of an attempt with the key that is withdrawn
// during the run. Attempts that failed or were sent before the withdrawal are ignored.
// An attempt that was sent later than withdrawalLimit after the withdrawal must be
// refused, either with the code KeyUnknown or with a statement that it did not run.
func (c *checker) recordWithdrawnKeyUse(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawnKey.at.IsZero() || o.sentAt.Before(c.withdrawnKey.at) || o.kind == attemptFailed {
		return
	}
	if o.kind == attemptAnswered {
		c.withdrawnKey.lastAnsweredSentAt = o.sentAt
	}
	if o.sentAt.Sub(c.withdrawnKey.at) <= withdrawalLimit {
		return
	}
	c.withdrawnKey.checked++
	if o.kind == attemptAnswered || o.code != coder.KeyUnknown && !o.notRun {
		c.withdrawnKey.late++
	}
}

func (c *checker) recordStopStart(address string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop.address, c.stop.at = address, at
}

func (c *checker) recordStopEnd(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop.took = took
}

func (c *checker) recordConfigAccepted(route string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs = append(c.configs, &acceptedConfig{route: route, at: at, inForce: map[string]time.Time{}})
}

// recordProbe records whether a probe of an instance found a route in force. A probe that
// is sent later than configLimit after the store accepted the route must find it in
// force. So must a probe that is sent after another one found the route in force at the
// same instance.
func (c *checker) recordProbe(instance, route string, sentAt time.Time, inForce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.configs {
		if a.route != route {
			continue
		}
		since, seen := a.inForce[instance]
		late := sentAt.Sub(a.at) > configLimit
		if late || seen {
			a.checked++
		}
		switch {
		case inForce && (!seen || sentAt.Before(since)):
			a.inForce[instance] = sentAt
		case !inForce && seen && sentAt.After(since):
			a.reverts++
		case !inForce && late:
			a.late++
		}
	}
}

func (c *checker) recordHeadroom(freePart float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headroom = append(c.headroom, freePart)
}
