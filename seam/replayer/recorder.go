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
	// maxLatency is the longest latency that a histogram tells apart.
	maxLatency = time.Minute
	// histogramDigits is the number of exact digits of a latency.
	histogramDigits = 3
	// withdrawnWithin is how soon a withdrawn key must stop working.
	withdrawnWithin = 5 * time.Second
	// drainedWithin is how soon a draining endpoint must get no new requests.
	drainedWithin = 3 * time.Second
	// rateSlack absorbs rounding of tokens.
	rateSlack = 1e-6
)

// recorder compares what callers and endpoints see. It never asks an instance.
type recorder struct {
	world   *faker.World
	trace   *tracer.Trace
	start   time.Time
	counts  map[tracer.Promise]*count
	teams   map[string]*teamRecord
	latency map[latencyKey]*hdrhistogram.Histogram
	// within and refusedWithin count requests by the second of their start.
	within        map[int]int
	refusedWithin map[int]int
	requests      Requests
	ranFor        map[uint64]int
	keysOff       map[string]time.Time
	drained       map[string]time.Time
	drainMax      time.Duration
	regions       map[string]*regionRecord
	versions      map[string]int64
	series        *series
	links         *links
	marks         []Mark
}

// count is how often a promise was checked and violated.
type count struct{ checked, violations int }

// latencyKey selects requests; empty fields select all.
type latencyKey struct{ team, service string }

// teamRecord measures a team's traffic against its rate and burst.
type teamRecord struct {
	ideal   rationer.Bucket
	granted excess
	reached excess
}

// excess is the greatest sum of amounts over a window beyond rate times the
// window. It never passes the burst if every window conforms.
type excess struct {
	rate, burst float64
	level       float64
	at          time.Time
}

// add takes an amount and reports whether all windows conform so far.
func (e *excess) add(now time.Time, amount float64) bool {
	e.level = math.Max(0, e.level-e.rate*now.Sub(e.at).Seconds())
	e.at = now
	e.level += amount
	return e.level <= e.burst+rateSlack
}

// regionRecord integrates a region's busy slots.
type regionRecord struct {
	slots int
	busy  int
}

func newRecorder(w *faker.World, t *tracer.Trace) *recorder {
	c := &recorder{
		world: w, trace: t,
		counts:  map[tracer.Promise]*count{},
		teams:   map[string]*teamRecord{},
		latency: map[latencyKey]*hdrhistogram.Histogram{},
		ranFor:  map[uint64]int{},
		within:  map[int]int{},
		links:   newLinks(t),

		refusedWithin: map[int]int{},
		keysOff:       map[string]time.Time{},
		drained:       map[string]time.Time{},
		regions:       map[string]*regionRecord{},
		versions:      map[string]int64{},
	}
	for _, p := range tracer.Promises() {
		c.counts[p] = &count{}
	}
	for _, region := range t.Config().Regions() {
		c.regions[region.Name] = &regionRecord{}
	}
	for _, svc := range t.Config().Services() {
		for _, p := range svc.Endpoints {
			c.regions[p.Region].slots += p.Slots
		}
	}
	c.series = newSeries(t)
	return c
}

// check counts one check of a promise.
func (c *recorder) check(p tracer.Promise, ok bool) {
	n := c.counts[p]
	n.checked++
	if !ok {
		n.violations++
	}
}

func (c *recorder) begin(now time.Time) {
	c.start = now
	for _, t := range c.trace.Config().Teams() {
		c.teams[t.Name] = &teamRecord{
			ideal:   rationer.NewBucket(now, t.RatePerSecond, t.Burst, t.Burst),
			granted: excess{rate: t.RatePerSecond, burst: t.Burst, at: now},
			reached: excess{rate: t.RatePerSecond, burst: t.Burst, at: now},
		}
	}
	c.series.begin(c, now)
}

func (c *recorder) end(time.Time) { c.series.stop() }

// accepted takes the rates of a new configuration. While rates change, the
// greater of both counts.
func (c *recorder) accepted(doc configurer.Document) {
	config, err := configurer.New(doc, 1)
	if err != nil {
		return
	}
	for _, t := range config.Teams() {
		record, ok := c.teams[t.Name]
		if !ok {
			continue
		}
		for _, e := range []*excess{&record.granted, &record.reached} {
			e.rate = math.Max(e.rate, t.RatePerSecond)
			e.burst = math.Max(e.burst, t.Burst)
		}
	}
}

// configured takes a version that an instance runs now. A restarted instance
// may not go back either.
func (c *recorder) configured(instance string, version int64) {
	c.check(tracer.PromiseConfig, version >= c.versions[instance])
	c.versions[instance] = version
}

func (c *recorder) withdrawn(label string) { c.keysOff[label] = c.world.Now() }

func (c *recorder) drains(b tracer.UpstreamDrain) {
	if b.On {
		c.drained[b.Endpoint] = c.world.Now()
		return
	}
	delete(c.drained, b.Endpoint)
}

func (c *recorder) sent(k *call) {
	c.requests.Sent++
	if t, ok := c.teams[k.request.Team]; ok {
		k.withinRate = t.ideal.Take(c.world.Now())
	}
	if k.withinRate {
		c.within[c.second(k)]++
	}
}

func (c *recorder) granted(team string) {
	if t, ok := c.teams[team]; ok {
		c.check(tracer.PromiseRate, t.granted.add(c.world.Now(), 1))
	}
}

// reached takes a request that an endpoint sees, whether it runs or not.
func (c *recorder) reached(e *endpoint, j *job) {
	c.check(tracer.PromiseTeam, j.team == j.call.request.Team)
	if t, ok := c.teams[j.team]; ok {
		c.check(tracer.PromiseRate, t.reached.add(c.world.Now(), 1))
	}
	if since, ok := c.drained[e.config.Address]; ok {
		late := c.world.Now().Sub(since)
		c.drainMax = max(c.drainMax, late)
		c.check(tracer.PromiseDrain, late <= drainedWithin)
	}
	if since, ok := c.keysOff[keyOf(j.call)]; ok {
		c.check(tracer.PromiseKey, c.world.Now().Sub(since) <= withdrawnWithin)
	}
}

func (c *recorder) ran(_ *endpoint, j *job) {
	c.ranFor[j.call.id]++
	if !j.call.idempotent {
		c.check(tracer.PromiseAtMostOnce, c.ranFor[j.call.id] <= 1)
	}
}

func (c *recorder) slots(region string, change int) {
	r := c.regions[region]
	r.busy += change
	c.series.slotsChanged(region, c.world.Now(), r.busy)
	c.check(tracer.PromiseOverload, r.busy <= r.slots)
}

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

func (c *recorder) refused(k *call, code coder.Code, ran coder.Ran) {
	c.requests.Refused++
	if ran == coder.NotRun {
		c.check(tracer.PromiseNotRun, c.ranFor[k.id] == 0)
	}
	if since, ok := c.keysOff[keyOf(k)]; ok && code == coder.KeyUnknown && k.sent.After(since) {
		c.check(tracer.PromiseKey, true)
		return
	}
	if k.withinRate {
		c.refusedWithin[c.second(k)]++
		c.series.refused(k.request.Team)
	}
}

// second returns the second of the trace in which a request was sent.
func (c *recorder) second(k *call) int { return int(k.sent.Sub(c.start) / time.Second) }

// moved takes bytes that went from one region to another.
func (c *recorder) moved(from, to string, bytes int64) {
	if from != to {
		c.check(tracer.PromiseLinkCap, c.links.add(regionPair{from, to}, c.world.Now(), bytes))
	}
}

// mark keeps an event for the report.
func (c *recorder) mark(body tracer.Body) {
	switch body.(type) {
	case tracer.Request, tracer.Load, tracer.ConfigApplied:
	default:
		c.marks = append(c.marks, Mark{At: c.world.Now().Sub(c.start), Text: tracer.Describe(body)})
	}
}

func (c *recorder) failed(k *call) {
	c.requests.Failed++
	if k.cut {
		c.check(tracer.PromiseNothingCut, false)
	}
}

// stopped takes a graceful shutdown that ended with open requests or none.
func (c *recorder) stopped(open int) { c.check(tracer.PromiseNothingCut, open == 0) }

func keyOf(k *call) string {
	if k.request.Key != "" {
		return k.request.Key
	}
	return defaultKey(k.request.Team)
}
