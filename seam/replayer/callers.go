package replayer

import (
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/tracer"
)

const (
	// lookupTTL is how long a caller uses a look-up answer.
	lookupTTL = 5 * time.Second
	// callersPerRegion is the number of callers with look-up answers of their
	// own in each region.
	callersPerRegion = 16
	// callerPatience is how many service timeouts a caller waits for an answer.
	callerPatience = 2
	// maxTries is how many instances a caller tries to connect to.
	maxTries = 3
	// connectTimeout is how long a caller waits for a connection.
	connectTimeout = time.Second
)

// callers are the fakes of those who send requests.
type callers struct {
	replay *replay
	rng    *rand.Rand
	lists  map[callerKey]entryList
	nextID uint64
}

// callerKey names one caller of a region.
type callerKey struct {
	region string
	index  int
}

// entryList is a look-up answer that a caller keeps.
type entryList struct {
	instances []string
	expires   time.Time
}

// call is one request as its caller sees it.
type call struct {
	id          uint64
	request     tracer.Request
	node        string
	sent        time.Time
	withinRate  bool
	idempotent  bool
	answerBytes int64
	ended       bool
	// targets are the instances that are left to try.
	targets []string
	tries   int
	// cut means that an instance broke the connection at a planned stop.
	cut bool
}

func newCallers(r *replay) *callers {
	seed := r.trace.Header().Seed
	return &callers{replay: r, rng: rand.New(rand.NewPCG(seed, 1)), lists: map[callerKey]entryList{}}
}

// startLoad sends requests at a mean rate until its time is over.
func (c *callers) startLoad(l tracer.Load) {
	end := c.replay.world.Now().Add(time.Duration(l.For))
	var next func()
	next = func() {
		if c.replay.world.Now().After(end) {
			return
		}
		c.send(l.Request)
		c.replay.world.After("", c.gap(l.RatePerSecond), next)
	}
	c.replay.world.After("", c.gap(l.RatePerSecond), next)
}

func (c *callers) gap(rate float64) time.Duration {
	return time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
}

// send gives a request to the instance that the caller's look-up names first.
func (c *callers) send(q tracer.Request) {
	c.nextID++
	k := &call{id: c.nextID, request: q, sent: c.replay.world.Now(), node: clientNode(q.Region)}
	c.replay.places[k.node] = place{region: q.Region, client: true}
	k.answerBytes = q.AnswerBytes
	if k.answerBytes == 0 {
		k.answerBytes = c.usualBytes(q.Service)
	}
	if route, ok := c.replay.trace.Config().Route(routePath(q)); ok {
		k.idempotent = route.Idempotent
	}
	c.replay.recorder.sent(k)
	k.targets = c.targets(q)
	c.watch(k)
	c.sendElsewhere(k)
}

// sendElsewhere gives a request that no instance has accepted to the next
// instance of the caller's list.
func (c *callers) sendElsewhere(k *call) {
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
	if _, open := c.replay.path(k.node, target); !open {
		c.replay.world.After("", connectTimeout, func() { c.sendElsewhere(k) })
	}
}

// watch ends a request that got lost on its way.
func (c *callers) watch(k *call) {
	svc, _ := c.replay.trace.Config().Service(k.request.Service)
	c.replay.world.After("", callerPatience*time.Duration(svc.Timeout), func() { c.fail(k) })
}

func (c *callers) usualBytes(service string) int64 {
	for _, u := range c.replay.trace.Header().Upstreams {
		if u.Service == service {
			return u.AnswerBytes
		}
	}
	return 0
}

// targets returns the instances that a random caller of the region uses.
func (c *callers) targets(q tracer.Request) []string {
	if q.Instance != "" {
		return []string{q.Instance}
	}
	key := callerKey{q.Region, c.rng.IntN(callersPerRegion)}
	list, ok := c.lists[key]
	if !ok || c.replay.world.Now().After(list.expires) {
		list = c.lookUp(q.Region)
		c.lists[key] = list
	}
	return list.instances
}

// lookUp asks an instance that answers; the nearest are asked first.
func (c *callers) lookUp(region string) entryList {
	jitter := time.Duration(c.rng.Int64N(int64(lookupTTL / 2)))
	expires := c.replay.world.Now().Add(lookupTTL + jitter)
	order := slices.Clone(c.replay.order)
	c.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b *instance) int {
		return regionDistance(a, region) - regionDistance(b, region)
	})
	for _, i := range order {
		if i.answersLookups() {
			return entryList{instances: i.lookUp(region, c.rng), expires: expires}
		}
	}
	return entryList{expires: c.replay.world.Now()}
}

func regionDistance(i *instance, region string) int {
	if i.info.Region == region {
		return 0
	}
	return 1
}

// answered ends a request with the whole answer.
func (c *callers) answered(k *call) {
	if !k.ended {
		k.ended = true
		c.replay.recorder.answered(k)
	}
}

// refused ends a request with a numbered refusal. An instance that stops sends
// its callers to the next one.
func (c *callers) refused(k *call, code coder.Code, ran coder.Ran) {
	if code == coder.Stopping && ran == coder.NotRun && len(k.targets) > 0 {
		c.sendElsewhere(k)
		return
	}
	if !k.ended {
		k.ended = true
		c.replay.recorder.refused(k, code, ran)
	}
}

// fail ends a request without any answer.
func (c *callers) fail(k *call) {
	if !k.ended {
		k.ended = true
		c.replay.recorder.failed(k)
	}
}

func clientNode(region string) string { return "caller:" + region }

func routePath(q tracer.Request) string { return "/" + q.Service + "/" }

func defaultKey(team string) string { return team + "-key" }
