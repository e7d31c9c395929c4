package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

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
			for pause(ctx, below(rng, gapMost)) {
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
	return func() { pause(ctx, applyWithin+length(rng)) }
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
	pause(ctx, restartAfter)
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
	i, d := anyOf(rng, s.instances), length(rng)
	s.note("%s is paused for %v", i.id, d)
	s.ledger.fault(i, d)
	i.signal(syscall.SIGSTOP)
	pause(ctx, d)
	i.signal(syscall.SIGCONT)
}

// crash ends a process at once and starts it again.
func crash(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.note("%s is killed", i.id)
	s.ledger.fault(i, restartAfter+time.Second)
	i.kill()
	pause(ctx, restartAfter)
	s.restart(i)
}

// usedEndpoint returns an endpoint of the service that the routes go to.
func (s *Soak) usedEndpoint(rng *rand.Rand) *endpoint {
	return s.endpoints[s.operator.serviceNow()*endpointsEach+rng.IntN(endpointsEach)]
}

// loseAnswers lets an endpoint run requests and not answer them.
func loseAnswers(ctx context.Context, s *Soak, rng *rand.Rand) {
	e, d := s.usedEndpoint(rng), length(rng)
	s.note("answers of %s are lost for %v", e.id, d)
	s.ledger.fault(e, d)
	e.setLoses(true)
	pause(ctx, d)
	e.setLoses(false)
}

func resetEndpoint(_ context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.note("connections to %s are reset", e.id)
	s.ledger.fault(e, 0)
	e.proxy.Reset()
}

// cutEndpoint drops the bytes to an endpoint, from it, or both.
func cutEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e, d, way := s.usedEndpoint(rng), length(rng), 1+rng.IntN(3)
	s.note("%s is cut off (%d) for %v", e.id, way, d)
	s.ledger.fault(e, d)
	e.proxy.SetCut(way&1 != 0, way&2 != 0)
	pause(ctx, d)
	e.proxy.SetCut(false, false)
}

func delayEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e, d := s.usedEndpoint(rng), length(rng)
	s.note("the link to %s is slow for %v", e.id, d)
	s.ledger.fault(e, d)
	e.proxy.SetDelay(proxyDelay)
	pause(ctx, d)
	e.proxy.SetDelay(0)
}

func slowEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e, d := s.usedEndpoint(rng), length(rng)
	s.note("%s is slow for %v", e.id, d)
	s.ledger.fault(e, d)
	e.setSlow(slowRun)
	pause(ctx, d)
	e.setSlow(0)
}

func resetStore(_ context.Context, s *Soak, rng *rand.Rand) {
	i := anyOf(rng, s.instances)
	s.note("connections of %s to the store are reset", i.id)
	s.ledger.fault(i, 0)
	i.store.Reset()
}

func cutStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	i, d, way := anyOf(rng, s.instances), length(rng), 1+rng.IntN(3)
	s.note("%s is cut off (%d) from the store for %v", i.id, way, d)
	s.ledger.fault(i, d)
	i.store.SetCut(way&1 != 0, way&2 != 0)
	pause(ctx, d)
	i.store.SetCut(false, false)
}

func delayStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	i, d := anyOf(rng, s.instances), length(rng)
	s.note("the link of %s to the store is slow for %v", i.id, d)
	s.ledger.fault(i, d)
	i.store.SetDelay(proxyDelay)
	pause(ctx, d)
	i.store.SetDelay(0)
}

// breakStore lets the store misbehave towards all.
func breakStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	kinds := []objectkeeper.Fault{
		objectkeeper.FaultBusy, objectkeeper.FaultMany, objectkeeper.FaultSilent, objectkeeper.FaultReset, objectkeeper.FaultLost,
		objectkeeper.FaultDeaf,
	}
	kind, d := anyOf(rng, kinds), length(rng)
	s.note("the store misbehaves (%d) for %v", kind, d)
	s.ledger.fault(nil, d)
	s.keeper.SetFault(kind)
	pause(ctx, d)
	s.keeper.SetFault(objectkeeper.FaultNone)
}

func forgetHistory(_ context.Context, s *Soak, _ *rand.Rand) {
	s.note("the store forgets its history")
	s.keeper.Forget()
}
