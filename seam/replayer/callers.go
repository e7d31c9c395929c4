package replayer

import (
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/tracer"
)

const (
	// lookupTTL is the shortest time for which a caller reuses a lookup result. A random
	// time of up to half of lookupTTL is added.
	lookupTTL = 5 * time.Second
	// callersPerRegion is the number of callers in each region. Each caller caches
	// lookup results of its own.
	callersPerRegion = 16
	// A caller waits for an answer for callerTimeoutFactor times the timeout of the
	// service.
	callerTimeoutFactor = 2
	// maxTries is the maximum number of instances to which a caller sends the same
	// request, one after the other.
	maxTries = 3
	// connectTimeout is how long a caller waits for a connection to an instance that
	// it can't reach, before it tries the next instance.
	connectTimeout = time.Second
)

// callers simulates the client programs that send requests to the instances.
type callers struct {
	replay  *replay
	rng     *rand.Rand
	lookups map[callerKey]lookupResult
	nextID  uint64
}

// callerKey identifies a caller by its region and its index, which is below
// callersPerRegion.
type callerKey struct {
	region string
	index  int
}

// lookupResult is the cached result of a lookup: the IDs of the instances to which a
// caller sends requests, in the order in which it tries them.
type lookupResult struct {
	instances []string
	expires   time.Time
}

// call is the state of one request at its caller.
type call struct {
	id      uint64
	request tracer.Request
	node    string
	sent    time.Time
	// withinRate means that a single token bucket with the team's rate and burst
	// would have admitted the request.
	withinRate  bool
	idempotent  bool
	answerBytes int64
	hasEnded    bool
	// targets lists the IDs of the instances to which the request hasn't been sent yet.
	targets []string
	tries   int
	// cutByStop means that an instance broke the connection while it was leaving, that
	// is, after the start of its graceful shutdown.
	cutByStop bool
}

func newCallers(r *replay) *callers {
	seed := r.trace.Header().Seed
	return &callers{replay: r, rng: rand.New(rand.NewPCG(seed, 1)), lookups: map[callerKey]lookupResult{}}
}

// startLoad sends the load's requests at random intervals, with the load's mean rate,
// until its duration is over.
func (c *callers) startLoad(l tracer.Load) {
	end := c.replay.world.Now().Add(time.Duration(l.For))
	var next func()
	next = func() {
		if c.replay.world.Now().After(end) {
			return
		}
		c.send(l.Request)
		c.replay.world.After("", c.arrivalInterval(l.RatePerSecond), next)
	}
	c.replay.world.After("", c.arrivalInterval(l.RatePerSecond), next)
}

// arrivalInterval returns a random time between two requests. The times are
// exponentially distributed with a mean of 1/rate seconds, so that the requests form a
// Poisson process.
func (c *callers) arrivalInterval(rate float64) time.Duration {
	return time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
}

// send creates a request and sends it to the first instance of the caller's lookup
// result.
func (c *callers) send(q tracer.Request) {
	c.nextID++
	k := &call{id: c.nextID, request: q, sent: c.replay.world.Now(), node: callerNode(q.Region)}
	c.replay.locations[k.node] = location{region: q.Region, isCaller: true}
	k.answerBytes = q.AnswerBytes
	if k.answerBytes == 0 {
		k.answerBytes = c.defaultAnswerBytes(q.Service)
	}
	if route, ok := c.replay.trace.Config().Route(routePath(q)); ok {
		k.idempotent = route.Idempotent
	}
	c.replay.recorder.requestSent(k)
	k.targets = c.targets(q)
	c.startTimeout(k)
	c.sendToNext(k)
}

// sendToNext sends a request to the next instance of the lookup result. The request
// fails if no instance is left or maxTries instances were tried. If the caller can't
// reach the instance, sendToNext runs again after connectTimeout.
func (c *callers) sendToNext(k *call) {
	if k.hasEnded {
		return
	}
	if len(k.targets) == 0 || k.tries >= maxTries {
		c.fail(k)
		return
	}
	target := k.targets[0]
	k.targets = k.targets[1:]
	k.tries++
	c.replay.network.Send(k.node, target, func() { c.replay.instances[target].receive(k) })
	if _, open := c.replay.oneWayLatency(k.node, target); !open {
		c.replay.world.After("", connectTimeout, func() { c.sendToNext(k) })
	}
}

// startTimeout schedules the failure of a request at the caller's timeout, in case no
// answer arrives before. Without it, a request with a lost message would never end.
func (c *callers) startTimeout(k *call) {
	svc, _ := c.replay.trace.Config().Service(k.request.Service)
	c.replay.world.After("", callerTimeoutFactor*time.Duration(svc.Timeout), func() { c.fail(k) })
}

// defaultAnswerBytes returns the answer size that the trace's header states for a
// service, or 0 if the header states none.
func (c *callers) defaultAnswerBytes(service string) int64 {
	for _, u := range c.replay.trace.Header().Upstreams {
		if u.Service == service {
			return u.AnswerBytes
		}
	}
	return 0
}

// targets returns the IDs of the instances to send a request to, in the order in which
// they are tried. If the request names an instance, the list has only this instance.
// Otherwise it is the lookup result of a random caller of the request's region.
func (c *callers) targets(q tracer.Request) []string {
	if q.Instance != "" {
		return []string{q.Instance}
	}
	key := callerKey{q.Region, c.rng.IntN(callersPerRegion)}
	result, ok := c.lookups[key]
	if !ok || c.replay.world.Now().After(result.expires) {
		result = c.lookUp(q.Region)
		c.lookups[key] = result
	}
	return result.instances
}

// lookUp asks a random instance for the list of instances. Instances in the caller's
// region are preferred, and those that can't answer lookups are skipped. If no instance
// answers, the result is empty and expires at once. Random expiry times keep the callers
// from looking up at the same time.
func (c *callers) lookUp(region string) lookupResult {
	jitter := time.Duration(c.rng.Int64N(int64(lookupTTL / 2)))
	expires := c.replay.world.Now().Add(lookupTTL + jitter)
	fleet := slices.Clone(c.replay.fleet)
	c.rng.Shuffle(len(fleet), func(i, j int) { fleet[i], fleet[j] = fleet[j], fleet[i] })
	slices.SortStableFunc(fleet, func(a, b *instance) int {
		return regionDistance(a, region) - regionDistance(b, region)
	})
	for _, i := range fleet {
		if i.answersLookups() {
			return lookupResult{instances: i.lookUp(region, c.rng), expires: expires}
		}
	}
	return lookupResult{expires: c.replay.world.Now()}
}

// regionDistance returns 0 for an instance in the region, and 1 for any other.
func regionDistance(i *instance, region string) int {
	if i.info.Region == region {
		return 0
	}
	return 1
}

// requestAnswered ends a request whose complete answer has arrived at the caller.
func (c *callers) requestAnswered(k *call) {
	if !k.hasEnded {
		k.hasEnded = true
		c.replay.recorder.requestAnswered(k)
	}
}

// requestRefused ends a request that an instance refused with an error code. But if
// the instance is stopping, the request hasn't run and another instance is left, the
// caller sends the request to the next instance.
func (c *callers) requestRefused(k *call, code coder.Code, ran coder.Ran) {
	if code == coder.Stopping && ran == coder.NotRun && len(k.targets) > 0 {
		c.sendToNext(k)
		return
	}
	if !k.hasEnded {
		k.hasEnded = true
		c.replay.recorder.requestRefused(k, code, ran)
	}
}

// fail ends a request that got neither an answer nor a refusal.
func (c *callers) fail(k *call) {
	if !k.hasEnded {
		k.hasEnded = true
		c.replay.recorder.requestFailed(k)
	}
}

func callerNode(region string) string { return "caller:" + region }

func routePath(q tracer.Request) string { return "/" + q.Service + "/" }

// defaultKeyLabel returns the label of the API key that a team's requests carry if the
// trace names no key for them.
func defaultKeyLabel(team string) string { return team + "-key" }
