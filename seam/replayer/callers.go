package replayer

import (
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/tracer"
)

const (
	// lookupTTL is how long a caller reuses the result of a lookup, before jitter.
	lookupTTL = 5 * time.Second
	// callersPerRegion is the number of callers in each region that cache lookup
	// results separately.
	callersPerRegion = 16
	// callerTimeoutFactor times the timeout of the service is how long a caller
	// waits for an answer.
	callerTimeoutFactor = 2
	// maxTries is the maximum number of instances to which a caller sends a
	// request.
	maxTries = 3
	// connectTimeout is how long a caller waits for a connection to an instance
	// that it can't reach.
	connectTimeout = time.Second
)

// callers simulates the clients that send requests.
type callers struct {
	replay  *replay
	rng     *rand.Rand
	lookups map[callerKey]lookupResult
	nextID  uint64
}

// callerKey identifies one caller of a region.
type callerKey struct {
	region string
	index  int
}

// lookupResult is the cached result of a lookup: the instances to use, the best
// one first.
type lookupResult struct {
	instances []string
	expires   time.Time
}

// call is the caller's state of one request.
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
	ended       bool
	// targets lists the instances that haven't been tried.
	targets []string
	tries   int
	// cutByStop means that an instance broke the connection during a planned stop.
	cutByStop bool
}

func newCallers(r *replay) *callers {
	seed := r.trace.Header().Seed
	return &callers{replay: r, rng: rand.New(rand.NewPCG(seed, 1)), lookups: map[callerKey]lookupResult{}}
}

// startLoad sends requests at random intervals until the load's duration is over.
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

// arrivalInterval returns an exponentially distributed time between two requests,
// so that arrivals form a Poisson process.
func (c *callers) arrivalInterval(rate float64) time.Duration {
	return time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
}

// send sends a new request to the first instance of the caller's lookup result.
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
	c.replay.recorder.sent(k)
	k.targets = c.targets(q)
	c.startTimeout(k)
	c.sendToNext(k)
}

// sendToNext sends a request that no instance has accepted to the next instance
// of the lookup result.
func (c *callers) sendToNext(k *call) {
	if k.ended {
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

// startTimeout ends a request that has no answer in time, for example because a
// message was lost.
func (c *callers) startTimeout(k *call) {
	svc, _ := c.replay.trace.Config().Service(k.request.Service)
	c.replay.world.After("", callerTimeoutFactor*time.Duration(svc.Timeout), func() { c.fail(k) })
}

// defaultAnswerBytes returns the usual size of a service's answers.
func (c *callers) defaultAnswerBytes(service string) int64 {
	for _, u := range c.replay.trace.Header().Upstreams {
		if u.Service == service {
			return u.AnswerBytes
		}
	}
	return 0
}

// targets returns the instances to which a random caller of the region sends its
// requests, unless the trace names the instance.
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

// lookUp gets the list of instances from a random instance that answers lookups,
// if possible in the same region. Random expiry times spread the lookups.
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

// answered ends a request that got its complete answer.
func (c *callers) answered(k *call) {
	if !k.ended {
		k.ended = true
		c.replay.recorder.answered(k)
	}
}

// refused ends a request that was refused with an error code. If the instance is
// stopping and has not run the request, the caller tries the next instance.
func (c *callers) refused(k *call, code coder.Code, ran coder.Ran) {
	if code == coder.Stopping && ran == coder.NotRun && len(k.targets) > 0 {
		c.sendToNext(k)
		return
	}
	if !k.ended {
		k.ended = true
		c.replay.recorder.refused(k, code, ran)
	}
}

// fail ends a request that got no answer.
func (c *callers) fail(k *call) {
	if !k.ended {
		k.ended = true
		c.replay.recorder.failed(k)
	}
}

func callerNode(region string) string { return "caller:" + region }

func routePath(q tracer.Request) string { return "/" + q.Service + "/" }

// defaultKeyLabel returns the label of the key that a team uses unless the trace
// names another.
func defaultKeyLabel(team string) string { return team + "-key" }
