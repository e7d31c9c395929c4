package demonstrator

import (
	"strings"
	"sync"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/standin/responder"
)

// kind says how an attempt of a caller ended.
type kind int

const (
	// answered means that an upstream's response arrived whole.
	answered kind = iota
	// refused means that the system itself refused the request, with a code.
	refused
	// failed means that no complete response arrived.
	failed
)

// outcome is the result of one attempt as the caller saw it.
type outcome struct {
	team     string
	path     string
	instance string
	sentAt   time.Time
	latency  time.Duration
	kind     kind
	// correct means that the response repeats the request's path and body, or is an
	// error response of the upstream.
	correct bool
	// upstreamError means that the upstream itself answered with an error status.
	upstreamError bool
	// code is the reason of a refusal, and notRun says whether the refusal declares
	// that the request did not run.
	code   coder.Code
	notRun bool
	// dialFailed means that no connection to the instance could be opened.
	dialFailed bool
	idempotent bool
	// direct attempts go to a given instance instead of one from a lookup.
	direct bool
	// final is the last attempt of its request.
	final bool
}

// canRetryElsewhere reports whether the request certainly did not run and another
// instance may accept it.
func (o outcome) canRetryElsewhere() bool {
	return o.dialFailed || (o.kind == refused && o.code == coder.Stopping && o.notRun)
}

// mayHaveRun reports whether the request may have run although it was not answered.
func (o outcome) mayHaveRun() bool {
	return o.kind == failed || (o.kind == refused && !o.notRun)
}

// arrival is a request that an upstream received. In transfers, it is the end of the
// request.
type arrival struct {
	at   time.Time
	team string
	// crossRegion means that an instance of another region sent the request.
	crossRegion bool
	// from and to are the regions of the instance and of the endpoint; from is
	// empty if the instance is unknown.
	from string
	to   string
	// bytes is the size of both bodies together, known when the request ends.
	bytes int64
}

// checker records what callers and upstreams saw, and evaluates it at the end of the
// run. It is safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	regions  map[string]string // region by instance id
	outcomes []outcome
	runs     map[string]int // number of runs by path
	arrivals []arrival
	// transfers holds the requests between regions that have ended, in that order.
	transfers       []arrival
	crossRegionOpen map[string]int // requests in progress from other regions, by region
	sharedSlots     map[string]int // slots that other regions may use, by region

	// The following count requests at the upstreams: those that contained an API
	// key, those whose path belongs to another team than their team header, those
	// from other regions beyond the region's shared slots, those cancelled before
	// the response, those with a deadline, and those that the upstream rejected.
	requestsWithKey   int
	wrongTeamRequests int
	overloads         int
	cancelled         int
	withDeadline      int
	shed              int

	drains   map[string]*drain
	key      withdrawal
	stop     plannedStop
	configs  []*acceptedConfig
	headroom []float64
}

// drain describes an endpoint that is being drained.
type drain struct {
	service string
	// at is when the drain began.
	at time.Time
	// lastNew is when the endpoint received its last request, and lastEnd when the
	// last of its requests ended.
	lastNew time.Time
	lastEnd time.Time
	// checked counts the service's requests later than drainLimit after the start of
	// the drain, and late those of them that the draining endpoint received.
	checked int
	late    int
}

// withdrawal describes the withdrawal of a key and the use of the key afterwards.
type withdrawal struct {
	// at is when the key was withdrawn, or zero before that.
	at time.Time
	// lastGood is when the request was sent that was answered last.
	lastGood time.Time
	// checked counts the attempts later than withdrawalLimit after the withdrawal,
	// and late those of them that violate the promise.
	checked int
	late    int
}

// plannedStop describes the instance that stops gracefully.
type plannedStop struct {
	// address is the instance's address for callers.
	address string
	// at is when the stop began, and took how long it lasted.
	at   time.Time
	took time.Duration
}

// acceptedConfig describes a configuration change that the store accepted. The change
// adds a route, by which probes find out where it is in force.
type acceptedConfig struct {
	route string
	// at is when the store had accepted the change.
	at time.Time
	// inForce holds, by instance id, when the earliest probe was sent that found
	// the route in force.
	inForce map[string]time.Time
	// checked counts the probes that had to find the route in force, late those that
	// did not although configLimit had passed, and reverts those that did not
	// although an earlier probe of the same instance did.
	checked int
	late    int
	reverts int
}

func newChecker() *checker {
	return &checker{
		regions: map[string]string{}, runs: map[string]int{}, crossRegionOpen: map[string]int{},
		sharedSlots: map[string]int{}, drains: map[string]*drain{},
	}
}

// recordOutcome records the outcome of one attempt of a caller or the prober.
func (c *checker) recordOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// attemptsSince counts the callers' attempts after a time by the instance's address.
// The prober's attempts are left out.
func (c *checker) attemptsSince(at time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, o := range c.outcomes {
		if !o.direct && o.sentAt.After(at) {
			counts[o.instance]++
		}
	}
	return counts
}

// recordUpstreamRequest records a request at an endpoint. The endpoint's observer calls
// it twice for each request: when it arrives and when it has ended.
func (c *checker) recordUpstreamRequest(e *endpoint, s responder.ObservedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.newArrival(e, s)
	if s.Ended {
		c.recordRequestEnd(e, s, a)
		return
	}
	c.arrivals = append(c.arrivals, a)
	if s.Ran {
		c.runs[s.Path]++
	} else {
		c.shed++
	}
	if s.Deadline > 0 {
		c.withDeadline++
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
			c.overloads++
		}
	}
	c.checkDrains(e, s)
}

// newArrival returns the arrival of a request. The part of the request id before the
// last hyphen is taken as the id of the instance that sent the request.
func (c *checker) newArrival(e *endpoint, s responder.ObservedRequest) arrival {
	a := arrival{at: s.At, team: s.Team, to: e.region, bytes: s.Bytes}
	if separator := strings.LastIndexByte(s.RequestID, '-'); separator > 0 {
		a.from = c.regions[s.RequestID[:separator]]
	}
	a.crossRegion = a.from != "" && a.from != e.region
	return a
}

func (c *checker) recordRequestEnd(e *endpoint, s responder.ObservedRequest, a arrival) {
	if s.Cancelled {
		c.cancelled++
	}
	if a.crossRegion {
		c.crossRegionOpen[e.region]--
		c.transfers = append(c.transfers, a)
	}
	if d, ok := c.drains[e.address]; ok {
		d.lastEnd = s.At
	}
}

// checkDrains checks a new request against all drains. A draining endpoint must not
// receive new requests later than drainLimit after the start of its drain; the requests
// that its service receives then count as checks.
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
		d.lastNew = s.At
		if late {
			d.late++
		}
	}
}

// containsKey reports whether the path, query, headers or body of a request contain
// an API key.
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
	c.drains[e.address] = &drain{service: e.service, at: now, lastNew: now, lastEnd: now}
}

func (c *checker) recordKeyWithdrawal(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.key.at = at
}

// recordWithdrawnKeyUse records the outcome of an attempt with the key that is withdrawn
// during the run. Attempts that were sent before the withdrawal or that failed are
// ignored. Later than withdrawalLimit after it, an attempt must be refused, with
// KeyUnknown or with another code that says that the request did not run.
func (c *checker) recordWithdrawnKeyUse(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.key.at.IsZero() || o.sentAt.Before(c.key.at) || o.kind == failed {
		return
	}
	if o.kind == answered {
		c.key.lastGood = o.sentAt
	}
	if o.sentAt.Sub(c.key.at) <= withdrawalLimit {
		return
	}
	c.key.checked++
	if o.kind == answered || o.code != coder.KeyUnknown && !o.notRun {
		c.key.late++
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

// recordProbe records whether a probe found a route in force at an instance. The route
// must be in force at the latest configLimit after the change was accepted, and stay in
// force from the first probe that finds it so.
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
