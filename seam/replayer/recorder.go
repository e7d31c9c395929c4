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
	// maxLatency is the highest latency in a histogram. Longer latencies are counted as
	// maxLatency.
	maxLatency = time.Minute
	// histogramDigits is the number of significant decimal digits of the latencies in a
	// histogram.
	histogramDigits = 3
	// keyWithdrawalLimit is the time after the withdrawal of a key after which no request
	// with the key may reach an endpoint.
	keyWithdrawalLimit = 5 * time.Second
	// drainLimit is the time after the start of a drain after which the endpoint must
	// get no new requests.
	drainLimit = 3 * time.Second
	// rateTolerance is added to the burst of a leaky bucket to allow for rounding errors.
	rateTolerance = 1e-6
)

// recorder checks the promises of the system during a replay and takes measurements. It
// relies mostly on events at callers and endpoints, so that a fault in the decision core
// can't hide itself. From the core it takes only the team of each forwarded request and
// the configuration version.
type recorder struct {
	world   *faker.World
	trace   *tracer.Trace
	start   time.Time
	counts  map[tracer.Promise]*count
	teams   map[string]*teamRecord
	latency map[latencyKey]*hdrhistogram.Histogram
	// sentWithinRate and refusedWithinRate count the requests within their team's rate,
	// all of them and those that were refused. The keys are the second of the trace in
	// which the requests were sent.
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

// count holds how often a promise was checked and how many checks found a violation.
type count struct{ checked, violations int }

// latencyKey selects the requests of a team and a service. An empty field selects all
// teams or all services.
type latencyKey struct{ team, service string }

// teamRecord measures a team's traffic against its rate and burst.
type teamRecord struct {
	// fleetLimiter is a single token bucket for the whole fleet. A request counts as
	// within the rate if this bucket has a token for it when the caller sends it.
	fleetLimiter rationer.Bucket
	// forwardedTraffic measures the requests that instances forward to endpoints, and
	// arrivedTraffic the requests that arrive at endpoints.
	forwardedTraffic leakyBucket
	arrivedTraffic   leakyBucket
}

// leakyBucket measures traffic against a rate and a burst. The traffic conforms if its
// amount in every window of time is at most rate times the length of the window, plus
// burst.
type leakyBucket struct {
	rate, burst float64
	// level is the excess of the traffic in a window over rate times the length of the
	// window. It is the highest excess of all windows that end at the time updated.
	level   float64
	updated time.Time
}

// add counts an amount of traffic and reports whether the traffic conforms in every
// window that ends now.
func (e *leakyBucket) add(now time.Time, amount float64) bool {
	e.level = math.Max(0, e.level-e.rate*now.Sub(e.updated).Seconds())
	e.updated = now
	e.level += amount
	return e.level <= e.burst+rateTolerance
}

// regionSlots holds the number of all slots and of the busy slots of the endpoints in a
// region.
type regionSlots struct {
	slots int
	busy  int
}

func newRecorder(w *faker.World, t *tracer.Trace) *recorder {
	rec := &recorder{
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
		rec.counts[p] = &count{}
	}
	for _, region := range t.Config().Regions() {
		rec.regions[region.Name] = &regionSlots{}
	}
	for _, svc := range t.Config().Services() {
		for _, p := range svc.Endpoints {
			rec.regions[p.Region].slots += p.Slots
		}
	}
	rec.series = newSeries(t)
	return rec
}

// check counts a check of a promise, and also a violation if ok is false.
func (rec *recorder) check(p tracer.Promise, ok bool) {
	n := rec.counts[p]
	n.checked++
	if !ok {
		n.violations++
	}
}

// begin marks the start of the trace: it creates the rate measurements of all teams and
// starts to take samples.
func (rec *recorder) begin(now time.Time) {
	rec.start = now
	for _, t := range rec.trace.Config().Teams() {
		rec.teams[t.Name] = &teamRecord{
			fleetLimiter:     rationer.NewBucket(now, t.RatePerSecond, t.Burst, t.Burst),
			forwardedTraffic: leakyBucket{rate: t.RatePerSecond, burst: t.Burst, updated: now},
			arrivedTraffic:   leakyBucket{rate: t.RatePerSecond, burst: t.Burst, updated: now},
		}
	}
	rec.series.begin(rec, now)
}

// end stops taking samples at the end of the trace.
func (rec *recorder) end(time.Time) { rec.series.stop() }

// configAccepted raises the rates and bursts against which the teams' traffic is
// measured to those of a new configuration. It never lowers them, because instances may
// still use an older configuration.
func (rec *recorder) configAccepted(doc configurer.Document) {
	config, err := configurer.New(doc, 1)
	if err != nil {
		return
	}
	for _, t := range config.Teams() {
		record, ok := rec.teams[t.Name]
		if !ok {
			continue
		}
		for _, e := range []*leakyBucket{&record.forwardedTraffic, &record.arrivedTraffic} {
			e.rate = math.Max(e.rate, t.RatePerSecond)
			e.burst = math.Max(e.burst, t.Burst)
		}
	}
}

// instanceConfigured records the configuration version that an instance has applied. It
// checks that the version isn't older than the last version of the same instance, even
// if the instance was restarted in between.
func (rec *recorder) instanceConfigured(instance string, version int64) {
	rec.check(tracer.PromiseConfig, version >= rec.configVersions[instance])
	rec.configVersions[instance] = version
}

// keyWithdrawn records the current time as the time at which the key with the given
// label was withdrawn.
func (rec *recorder) keyWithdrawn(label string) { rec.keyWithdrawnAt[label] = rec.world.Now() }

// drainChanged records the start or the end of an endpoint's drain.
func (rec *recorder) drainChanged(b tracer.UpstreamDrain) {
	if b.On {
		rec.drainingSince[b.Endpoint] = rec.world.Now()
		return
	}
	delete(rec.drainingSince, b.Endpoint)
}

// requestSent counts a request that a caller sends, and sets whether the request is
// within its team's rate.
func (rec *recorder) requestSent(k *call) {
	rec.requests.Sent++
	if t, ok := rec.teams[k.request.Team]; ok {
		k.withinRate = t.fleetLimiter.Take(rec.world.Now())
	}
	if k.withinRate {
		rec.sentWithinRate[rec.second(k)]++
	}
}

// requestForwarded counts a request that an instance forwards to an endpoint for a team,
// and checks the team's rate.
func (rec *recorder) requestForwarded(team string) {
	if t, ok := rec.teams[team]; ok {
		rec.check(tracer.PromiseRate, t.forwardedTraffic.add(rec.world.Now(), 1))
	}
}

// attemptArrived checks an attempt that arrives at an endpoint, even if the endpoint
// rejects it: the team, the team's rate, the endpoint's drain and the key's withdrawal.
func (rec *recorder) attemptArrived(e *endpoint, a *endpointAttempt) {
	rec.check(tracer.PromiseTeam, a.team == a.call.request.Team)
	if t, ok := rec.teams[a.team]; ok {
		rec.check(tracer.PromiseRate, t.arrivedTraffic.add(rec.world.Now(), 1))
	}
	if since, ok := rec.drainingSince[e.config.Address]; ok {
		late := rec.world.Now().Sub(since)
		rec.longestDrain = max(rec.longestDrain, late)
		rec.check(tracer.PromiseDrain, late <= drainLimit)
	}
	if since, ok := rec.keyWithdrawnAt[keyLabel(a.call)]; ok {
		rec.check(tracer.PromiseKey, rec.world.Now().Sub(since) <= keyWithdrawalLimit)
	}
}

// attemptStarted counts an attempt that starts to run at an endpoint. It checks that a
// request that isn't idempotent starts at most once.
func (rec *recorder) attemptStarted(_ *endpoint, a *endpointAttempt) {
	rec.runCounts[a.call.id]++
	if !a.call.idempotent {
		rec.check(tracer.PromiseAtMostOnce, rec.runCounts[a.call.id] <= 1)
	}
}

// slots adds change to the number of busy slots of a region, and checks that the region
// has no more busy slots than slots.
func (rec *recorder) slots(region string, change int) {
	r := rec.regions[region]
	r.busy += change
	rec.series.slotsChanged(region, rec.world.Now(), r.busy)
	rec.check(tracer.PromiseOverload, r.busy <= r.slots)
}

// requestAnswered counts a request whose complete answer arrived at the caller, and
// records its latency.
func (rec *recorder) requestAnswered(k *call) {
	rec.requests.Answered++
	took := rec.world.Now().Sub(k.sent)
	for _, key := range []latencyKey{{}, {team: k.request.Team}, {service: k.request.Service}, {k.request.Team, k.request.Service}} {
		h, ok := rec.latency[key]
		if !ok {
			h = hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
			rec.latency[key] = h
		}
		_ = h.RecordValue(min(took, maxLatency).Microseconds())
	}
	rec.series.requestAnswered(k.request.Team, took)
}

// requestRefused counts a refused request and checks that a request that was reported as
// not run has not run. If the request was sent after its key was withdrawn, its refusal
// with the code KeyUnknown is expected and isn't counted as a refusal within the rate.
func (rec *recorder) requestRefused(k *call, code coder.Code, ran coder.Ran) {
	rec.requests.Refused++
	if ran == coder.NotRun {
		rec.check(tracer.PromiseNotRun, rec.runCounts[k.id] == 0)
	}
	if since, ok := rec.keyWithdrawnAt[keyLabel(k)]; ok && code == coder.KeyUnknown && k.sent.After(since) {
		rec.check(tracer.PromiseKey, true)
		return
	}
	if k.withinRate {
		rec.refusedWithinRate[rec.second(k)]++
		rec.series.requestRefused(k.request.Team)
	}
}

// second returns the second of the trace in which a request was sent, counted from 0.
func (rec *recorder) second(k *call) int { return int(k.sent.Sub(rec.start) / time.Second) }

// bytesMoved counts bytes that are sent from one region to another, and checks the limit
// of the link. Bytes within a region aren't counted.
func (rec *recorder) bytesMoved(from, to string, bytes int64) {
	if from != to {
		rec.check(tracer.PromiseLinkCap, rec.links.add(regionPair{from, to}, rec.world.Now(), bytes))
	}
}

// mark keeps an event of the trace for the report. It leaves out requests, loads and
// configurations.
func (rec *recorder) mark(body tracer.Body) {
	switch body.(type) {
	case tracer.Request, tracer.Load, tracer.ConfigApplied:
	default:
		rec.marks = append(rec.marks, Mark{At: rec.world.Now().Sub(rec.start), Text: tracer.Describe(body)})
	}
}

// requestFailed counts a request that got neither an answer nor a refusal. If a planned
// stop broke its connection, this is a violation of PromiseNothingCut.
func (rec *recorder) requestFailed(k *call) {
	rec.requests.Failed++
	if k.cutByStop {
		rec.check(tracer.PromiseNothingCut, false)
	}
}

// instanceExited checks that an instance had no open requests at the end of its graceful
// shutdown.
func (rec *recorder) instanceExited(open int) { rec.check(tracer.PromiseNothingCut, open == 0) }

// keyLabel returns the label of the API key that a request carries.
func keyLabel(k *call) string {
	if k.request.Key != "" {
		return k.request.Key
	}
	return defaultKeyLabel(k.request.Team)
}
