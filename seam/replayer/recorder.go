package replayer

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/tracer"
)

const (
	// maxLatency is the highest latency in a histogram. Higher ones count as this.
	maxLatency = time.Minute
	// histogramDigits is the number of significant digits of a latency.
	histogramDigits = 3
	// keyWithdrawalLimit is the time in which a withdrawn key must stop working.
	keyWithdrawalLimit = 5 * time.Second
	// drainLimit is the time after which a draining endpoint must get no new
	// requests.
	drainLimit = 3 * time.Second
	// rateTolerance allows for rounding errors of token counts.
	rateTolerance = 1e-6
)

// recorder checks promises and takes measurements. It mostly relies on what callers
// and endpoints observe, so that a fault in the decision core can't hide itself. From
// the core it takes only the team of each forward and the configuration version.
type recorder struct {
	world   *faker.World
	trace   *tracer.Trace
	start   time.Time
	counts  map[tracer.Promise]*count
	teams   map[string]*teamRecord
	latency map[latencyKey]*hdrhistogram.Histogram
	// sentWithinRate and refusedWithinRate count requests by the second of the trace
	// in which they were sent.
	sentWithinRate    map[int]int
	refusedWithinRate map[int]int
	requests          Requests
	runCounts         map[uint64]int
	keyWithdrawnAt    map[string]time.Time
	drainingSince     map[string]time.Time
	longestDrain      time.Duration
	regions           map[string]*regionSlots
	configVersions    map[string]int64
	series            *series
	links             *links
	marks             []Mark
}

// count is how often a promise was checked and violated.
type count struct{ checked, violations int }

// latencyKey selects the requests of a team and a service. An empty field selects
// all.
type latencyKey struct{ team, service string }

// teamRecord measures a team's traffic against its rate and burst.
type teamRecord struct {
	// ideal decides whether a request is within the rate, as a single limiter for
	// the whole fleet would.
	ideal rationer.Bucket
	// forwarded measures what instances forward, and reached what arrives at
	// endpoints.
	forwarded leakyBucket
	reached   leakyBucket
}

// leakyBucket measures traffic against a rate and a burst. Traffic conforms if, in
// every window of time, it is at most rate times the window plus burst.
type leakyBucket struct {
	rate, burst float64
	// level is the greatest excess over rate times the window, of all windows that
	// end at updated.
	level   float64
	updated time.Time
}

// add counts an amount and reports whether all windows that end now conform.
func (e *leakyBucket) add(now time.Time, amount float64) bool {
	e.level = math.Max(0, e.level-e.rate*now.Sub(e.updated).Seconds())
	e.updated = now
	e.level += amount
	return e.level <= e.burst+rateTolerance
}

// regionSlots holds the total and the busy slots of a region's endpoints.
type regionSlots struct {
	slots int
	busy  int
}

func newRecorder(w *faker.World, t *tracer.Trace) *recorder {
	c := &recorder{
		world: w, trace: t,
		counts:         map[tracer.Promise]*count{},
		teams:          map[string]*teamRecord{},
		latency:        map[latencyKey]*hdrhistogram.Histogram{},
		runCounts:      map[uint64]int{},
		sentWithinRate: map[int]int{},
		links:          newLinks(t),

		refusedWithinRate: map[int]int{},
		keyWithdrawnAt:    map[string]time.Time{},
		drainingSince:     map[string]time.Time{},
		regions:           map[string]*regionSlots{},
		configVersions:    map[string]int64{},
	}
	for _, p := range tracer.Promises() {
		c.counts[p] = &count{}
	}
	for _, region := range t.Config().Regions() {
		c.regions[region.Name] = &regionSlots{}
	}
	for _, svc := range t.Config().Services() {
		for _, p := range svc.Endpoints {
			c.regions[p.Region].slots += p.Slots
		}
	}
	c.series = newSeries(t)
	return c
}

// check counts a check of a promise, and a violation if it isn't ok.
func (c *recorder) check(p tracer.Promise, ok bool) {
	n := c.counts[p]
	n.checked++
	if !ok {
		n.violations++
	}
}

// begin starts the measurements that depend on the start of the trace.
func (c *recorder) begin(now time.Time) {
	c.start = now
	for _, t := range c.trace.Config().Teams() {
		c.teams[t.Name] = &teamRecord{
			ideal:     rationer.NewBucket(now, t.RatePerSecond, t.Burst, t.Burst),
			forwarded: leakyBucket{rate: t.RatePerSecond, burst: t.Burst, updated: now},
			reached:   leakyBucket{rate: t.RatePerSecond, burst: t.Burst, updated: now},
		}
	}
	c.series.begin(c, now)
}

// end stops taking samples at the end of the trace.
func (c *recorder) end(time.Time) { c.series.stop() }

// configAccepted raises the limits of teams to those of a new configuration. It
// never lowers them, because instances may still use an older configuration.
func (c *recorder) configAccepted(doc configurer.Document) {
	config, err := configurer.New(doc, 1)
	if err != nil {
		return
	}
	for _, t := range config.Teams() {
		record, ok := c.teams[t.Name]
		if !ok {
			continue
		}
		for _, e := range []*leakyBucket{&record.forwarded, &record.reached} {
			e.rate = math.Max(e.rate, t.RatePerSecond)
			e.burst = math.Max(e.burst, t.Burst)
		}
	}
}

// instanceConfigured records the configuration version of an instance and checks
// that it isn't older than the last one, not even after a restart.
func (c *recorder) instanceConfigured(instance string, version int64) {
	c.check(tracer.PromiseConfig, version >= c.configVersions[instance])
	c.configVersions[instance] = version
}

// withdrawn records that the key with a label is withdrawn now.
func (c *recorder) withdrawn(label string) { c.keyWithdrawnAt[label] = c.world.Now() }

// drainChanged records the start or the end of an endpoint's drain.
func (c *recorder) drainChanged(b tracer.UpstreamDrain) {
	if b.On {
		c.drainingSince[b.Endpoint] = c.world.Now()
		return
	}
	delete(c.drainingSince, b.Endpoint)
}

// sent counts a new request and decides whether it is within its team's rate.
func (c *recorder) sent(k *call) {
	c.requests.Sent++
	if t, ok := c.teams[k.request.Team]; ok {
		k.withinRate = t.ideal.Take(c.world.Now())
	}
	if k.withinRate {
		c.sentWithinRate[c.second(k)]++
	}
}

// forwarded checks a team's rate when an instance forwards a request.
func (c *recorder) forwarded(team string) {
	if t, ok := c.teams[team]; ok {
		c.check(tracer.PromiseRate, t.forwarded.add(c.world.Now(), 1))
	}
}

// reached checks an attempt that arrives at an endpoint, whether it runs or not.
func (c *recorder) reached(e *endpoint, a *endpointAttempt) {
	c.check(tracer.PromiseTeam, a.team == a.call.request.Team)
	if t, ok := c.teams[a.team]; ok {
		c.check(tracer.PromiseRate, t.reached.add(c.world.Now(), 1))
	}
	if since, ok := c.drainingSince[e.config.Address]; ok {
		late := c.world.Now().Sub(since)
		c.longestDrain = max(c.longestDrain, late)
		c.check(tracer.PromiseDrain, late <= drainLimit)
	}
	if since, ok := c.keyWithdrawnAt[keyLabel(a.call)]; ok {
		c.check(tracer.PromiseKey, c.world.Now().Sub(since) <= keyWithdrawalLimit)
	}
}

// ran checks that a request that isn't idempotent starts to run at most once.
func (c *recorder) ran(_ *endpoint, a *endpointAttempt) {
	c.runCounts[a.call.id]++
	if !a.call.idempotent {
		c.check(tracer.PromiseAtMostOnce, c.runCounts[a.call.id] <= 1)
	}
}

// slots changes the number of busy slots of a region.
func (c *recorder) slots(region string, change int) {
	r := c.regions[region]
	r.busy += change
	c.series.slotsChanged(region, c.world.Now(), r.busy)
	c.check(tracer.PromiseOverload, r.busy <= r.slots)
}

// answered records the latency of a request that got its complete answer.
func (c *recorder) answered(k *call) {
	c.requests.Answered++
	took := c.world.Now().Sub(k.sent)
	for _, key := range []latencyKey{{}, {team: k.request.Team}, {service: k.request.Service}, {k.request.Team, k.request.Service}} {
		h, ok := c.latency[key]
		if !ok {
			h = hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
			c.latency[key] = h
		}
		_ = h.RecordValue(min(took, maxLatency).Microseconds())
	}
	c.series.answered(k.request.Team, took)
}

// refused records a refusal. The refusal of a withdrawn key as unknown is expected,
// so it doesn't count as a refusal within the rate.
func (c *recorder) refused(k *call, code coder.Code, ran coder.Ran) {
	c.requests.Refused++
	if ran == coder.NotRun {
		c.check(tracer.PromiseNotRun, c.runCounts[k.id] == 0)
	}
	if since, ok := c.keyWithdrawnAt[keyLabel(k)]; ok && code == coder.KeyUnknown && k.sent.After(since) {
		c.check(tracer.PromiseKey, true)
		return
	}
	if k.withinRate {
		c.refusedWithinRate[c.second(k)]++
		c.series.refused(k.request.Team)
	}
}

// second returns the second of the trace in which a request was sent, from 0.
func (c *recorder) second(k *call) int { return int(k.sent.Sub(c.start) / time.Second) }

// bytesMoved counts bytes that are sent from one region to another.
func (c *recorder) bytesMoved(from, to string, bytes int64) {
	if from != to {
		c.check(tracer.PromiseLinkCap, c.links.add(regionPair{from, to}, c.world.Now(), bytes))
	}
}

// mark keeps an event for the report, except for requests, loads and configurations.
func (c *recorder) mark(body tracer.Body) {
	switch body.(type) {
	case tracer.Request, tracer.Load, tracer.ConfigApplied:
	default:
		c.marks = append(c.marks, Mark{At: c.world.Now().Sub(c.start), Text: tracer.Describe(body)})
	}
}

// failed records a request that got no answer. It violates the promise of planned
// stops if such a stop broke the connection.
func (c *recorder) failed(k *call) {
	c.requests.Failed++
	if k.cutByStop {
		c.check(tracer.PromiseNothingCut, false)
	}
}

// stopped checks that a graceful shutdown ended without open requests.
func (c *recorder) stopped(open int) { c.check(tracer.PromiseNothingCut, open == 0) }

// keyLabel returns the label of the key that a request carries.
func keyLabel(k *call) string {
	if k.request.Key != "" {
		return k.request.Key
	}
	return defaultKeyLabel(k.request.Team)
}
