package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"primroseseam.org/seam/waiter"
	"primroseseam.org/standin/disruptor"
	"primroseseam.org/standin/objectkeeper"
)

const (
	// faultLeast and faultMost bound how long a fault lasts, gapMost the time
	// between two of a series.
	faultLeast = 300 * time.Millisecond
	faultMost  = 3 * time.Second
	gapMost    = 1500 * time.Millisecond
	// restartAfter is the pause before a process that ended is started again.
	restartAfter = 300 * time.Millisecond
	// proxyDelay is how long a slow link holds bytes.
	proxyDelay = 150 * time.Millisecond
	// slowRun is how much longer a slow endpoint takes.
	slowRun = 400 * time.Millisecond
)

// fault is something that is done to the system. It returns when it is over.
type fault func(ctx context.Context, s *Soak, rng *rand.Rand)

// disturb lets series of faults happen side by side. What a seed leaves out
// gives bounds the calm that they need.
func (s *Soak) disturb(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.duration)
	defer cancel()
	series := [][]fault{{moveRoutes, withdrawKey, reload}, {drain, evacuate, plannedStop}}
	optional := [][]fault{
		{resetEndpoint, cutEndpoint, delayEndpoint, slowEndpoint, loseAnswers},
		{freeze, crash},
		{resetStore, cutStore, delayStore, breakStore, forgetHistory},
	}
	for n, list := range optional {
		if s.seed>>n&1 == 1 {
			series = append(series, list)
		}
	}
	var working sync.WaitGroup
	for n, list := range series {
		rng := rand.New(rand.NewPCG(s.seed, uint64(1000+n)))
		working.Add(1)
		go func() {
			defer working.Done()
			for waiter.Pause(ctx, below(rng, gapMost)) {
				list[rng.IntN(len(list))](ctx, s, rng)
			}
		}()
	}
	working.Wait()
}

// below returns a time below d.
func below(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

// length returns how long a fault lasts.
func length(rng *rand.Rand) time.Duration { return faultLeast + below(rng, faultMost-faultLeast) }

func anyOf[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func moveRoutes(_ context.Context, s *Soak, _ *rand.Rand)  { s.operator.moveRoutes() }
func withdrawKey(_ context.Context, s *Soak, _ *rand.Rand) { s.operator.withdrawKey() }

// held waits for as long as bounds take to bind, and a while longer.
func held(ctx context.Context, rng *rand.Rand) func() {
	return func() { waiter.Pause(ctx, applyWithin+length(rng)) }
}

func drain(ctx context.Context, s *Soak, rng *rand.Rand) {
	s.operator.drain(s.usedEndpoint(rng), held(ctx, rng))
}

func evacuate(ctx context.Context, s *Soak, rng *rand.Rand) {
	s.operator.evacuate(zoneOf(rng.IntN(2)), held(ctx, rng))
}

// plannedStop stops an instance as planned and starts it again.
func plannedStop(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.note("%s stops as planned", i.id)
	end := s.ledger.stops(i)
	i.signal(syscall.SIGTERM)
	if !i.ended((graceSeconds + 1) * time.Second) {
		s.ledger.violate(rulePlannedStop, "%s still runs after its grace", i.id)
		i.kill()
	}
	end()
	waiter.Pause(ctx, restartAfter)
	s.restart(i)
}

func (s *Soak) restart(i *instance) {
	if err := i.start(); err != nil {
		s.ledger.violate(ruleRunsOn, "%v", err)
	}
}

func reload(_ context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.note("%s reloads", i.id)
	i.signal(syscall.SIGHUP)
}

// freeze pauses a process.
func freeze(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.lasting(ctx, rng, i, i.id+" is paused", func() { i.signal(syscall.SIGSTOP) }, func() { i.signal(syscall.SIGCONT) })
}

// crash ends a process at once and starts it again.
func crash(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.note("%s is killed", i.id)
	s.ledger.fault(i, restartAfter+time.Second)
	i.kill()
	waiter.Pause(ctx, restartAfter)
	s.restart(i)
}

// usedEndpoint returns an endpoint of the service that the routes go to.
func (s *Soak) usedEndpoint(rng *rand.Rand) *endpoint {
	return s.endpoints[s.operator.serviceNow()*endpointsEach+rng.IntN(endpointsEach)]
}

// lasting does something to a subject, nil for all, and takes it back after a
// while.
func (s *Soak) lasting(ctx context.Context, rng *rand.Rand, subject any, what string, do, undo func()) {
	d := length(rng)
	s.note("%s for %v", what, d)
	s.ledger.fault(subject, d)
	do()
	waiter.Pause(ctx, d)
	undo()
}

// once does something to a subject that is over at once.
func (s *Soak) once(subject any, what string, do func()) {
	s.note("%s", what)
	s.ledger.fault(subject, 0)
	do()
}

// loseAnswers lets an endpoint run requests and not answer them.
func loseAnswers(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.lasting(ctx, rng, e, "answers are lost of "+e.id, func() { e.setLoses(true) }, func() { e.setLoses(false) })
}

func resetEndpoint(_ context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.once(e, "connections are reset to "+e.id, e.proxy.Reset)
}

// cutEndpoint drops the bytes to an endpoint, from it, or both.
func cutEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.cut(ctx, rng, e, e.id, e.proxy)
}

// cut drops the bytes of a proxy one way or both.
func (s *Soak) cut(ctx context.Context, rng *rand.Rand, subject any, id string, p *disruptor.Proxy) {
	way := 1 + rng.IntN(3)
	what := fmt.Sprintf("bytes are dropped (%d) of %s", way, id)
	s.lasting(ctx, rng, subject, what, func() { p.SetCut(way&1 != 0, way&2 != 0) }, func() { p.SetCut(false, false) })
}

// slowLink holds the bytes of a proxy.
func (s *Soak) slowLink(ctx context.Context, rng *rand.Rand, subject any, id string, p *disruptor.Proxy) {
	s.lasting(ctx, rng, subject, "the link is slow of "+id, func() { p.SetDelay(proxyDelay) }, func() { p.SetDelay(0) })
}

func delayEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.slowLink(ctx, rng, e, e.id, e.proxy)
}

func slowEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.lasting(ctx, rng, e, "runs are slow of "+e.id, func() { e.setSlow(slowRun) }, func() { e.setSlow(0) })
}

func resetStore(_ context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.once(i, "connections to the store are reset of "+i.id, i.store.Reset)
}

func cutStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.cut(ctx, rng, i, i.id+" and the store", i.store)
}

func delayStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.slowLink(ctx, rng, i, i.id+" and the store", i.store)
}

// breakStore lets the store misbehave towards all.
func breakStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	kinds := []objectkeeper.Fault{
		objectkeeper.FaultUnavailable, objectkeeper.FaultTooManyRequests, objectkeeper.FaultSilent, objectkeeper.FaultReset, objectkeeper.FaultResponseLost,
		objectkeeper.FaultDeaf,
	}
	kind := anyOf(rng, kinds)
	s.lasting(ctx, rng, nil, fmt.Sprintf("the store misbehaves (%d)", kind),
		func() { s.keeper.SetFault(kind) }, func() { s.keeper.SetFault(objectkeeper.FaultNone) })
}

func forgetHistory(_ context.Context, s *Soak, _ *rand.Rand) {
	s.note("the store forgets its history")
	s.keeper.CompactHistory()
}
