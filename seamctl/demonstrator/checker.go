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
	answered kind = iota
	refused
	failed
)

// outcome is what a caller saw of one attempt.
type outcome struct {
	team     string
	path     string
	instance string
	sentAt   time.Time
	latency  time.Duration
	kind     kind
	// right means that the answer was whole and the request's own.
	right         bool
	upstreamError bool
	code          coder.Code
	notRun        bool
	// notSent means that no connection to the instance could be opened.
	notSent    bool
	idempotent bool
	// direct attempts don't follow look-ups.
	direct bool
	// final is the last attempt of its request.
	final bool
}

// askElsewhere reports whether the request is known not to have run and
// another instance may take it.
func (o outcome) askElsewhere() bool {
	return o.notSent || (o.kind == refused && o.code == coder.Stopping && o.notRun)
}

// unknown reports whether the request may have run without an answer.
func (o outcome) unknown() bool {
	return o.kind == failed || (o.kind == refused && !o.notRun)
}

// arrival is a request that an upstream received.
type arrival struct {
	at   time.Time
	team string
	// crossed means that it came from another region's instance.
	crossed bool
	from    string
	to      string
	bytes   int64
}

// checker keeps what callers and upstreams saw. It is safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	regions  map[string]string // region by instance id
	outcomes []outcome
	runs     map[string]int // runs by path
	arrivals []arrival
	// transfers are the ends of requests between regions.
	transfers []arrival
	crossing  map[string]int // requests in progress from other regions, by region
	sharing   map[string]int // slots that a region gives to others

	keysSeen     int
	wrongTeam    int
	overloads    int
	cancelled    int
	withDeadline int
	shed         int

	drains   map[string]*drain
	key      withdrawal
	stop     plannedStop
	configs  []*acceptedConfig
	headroom []float64
}

// drain is an endpoint that leaves.
type drain struct {
	service string
	at      time.Time
	lastNew time.Time
	lastEnd time.Time
	// checked counts the service's requests after the limit, late those that
	// the leaving endpoint got.
	checked int
	late    int
}

// withdrawal is the key that is taken out of use.
type withdrawal struct {
	at       time.Time
	lastGood time.Time
	checked  int
	late     int
}

// plannedStop is the instance that stops gracefully.
type plannedStop struct {
	address string
	at      time.Time
	took    time.Duration
}

// acceptedConfig is a configuration change and where it is known to be in
// force.
type acceptedConfig struct {
	route   string
	at      time.Time
	inForce map[string]time.Time
	checked int
	late    int
	reverts int
}

func newChecker() *checker {
	return &checker{
		regions: map[string]string{}, runs: map[string]int{}, crossing: map[string]int{},
		sharing: map[string]int{}, drains: map[string]*drain{},
	}
}

func (c *checker) callerSaw(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// usedSince counts the callers' attempts by instance.
func (c *checker) usedSince(at time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := map[string]int{}
	for _, o := range c.outcomes {
		if !o.direct && o.sentAt.After(at) {
			used[o.instance]++
		}
	}
	return used
}

// upstreamSaw takes both calls of an upstream's observer.
func (c *checker) upstreamSaw(e *endpoint, s responder.ObservedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.arrivalOf(e, s)
	if s.Ended {
		c.requestEnded(e, s, a)
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
		c.wrongTeam++
	}
	if carriesKey(s) {
		c.keysSeen++
	}
	if a.crossed {
		c.crossing[e.region]++
		if c.crossing[e.region] > c.sharing[e.region] {
			c.overloads++
		}
	}
	c.checkDrains(e, s)
}

// arrivalOf finds the instance that sent a request by the request's id.
func (c *checker) arrivalOf(e *endpoint, s responder.ObservedRequest) arrival {
	a := arrival{at: s.At, team: s.Team, to: e.region, bytes: s.Bytes}
	if cut := strings.LastIndexByte(s.RequestID, '-'); cut > 0 {
		a.from = c.regions[s.RequestID[:cut]]
	}
	a.crossed = a.from != "" && a.from != e.region
	return a
}

func (c *checker) requestEnded(e *endpoint, s responder.ObservedRequest, a arrival) {
	if s.Cancelled {
		c.cancelled++
	}
	if a.crossed {
		c.crossing[e.region]--
		c.transfers = append(c.transfers, a)
	}
	if d, ok := c.drains[e.address]; ok {
		d.lastEnd = s.At
	}
}

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

// carriesKey looks for a key in everything that came with a request.
func carriesKey(s responder.ObservedRequest) bool {
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

func (c *checker) drainBegan(e *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.drains[e.address] = &drain{service: e.service, at: now, lastNew: now, lastEnd: now}
}

func (c *checker) keyWithdrawn(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.key.at = at
}

// keyUsed takes an attempt with the key that is withdrawn during the run.
func (c *checker) keyUsed(o outcome) {
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

func (c *checker) stopBegan(address string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop.address, c.stop.at = address, at
}

func (c *checker) stopEnded(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop.took = took
}

func (c *checker) configAccepted(route string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs = append(c.configs, &acceptedConfig{route: route, at: at, inForce: map[string]time.Time{}})
}

// probed takes whether a route was in force at an instance.
func (c *checker) probed(instance, route string, sentAt time.Time, inForce bool) {
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

func (c *checker) sampledHeadroom(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headroom = append(c.headroom, part)
}
