package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/standin/disruptor"
	"primroseseam.org/standin/objectkeeper"
)

const (
	// A fault lasts for a random time between minFaultTime and maxFaultTime.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 3 * time.Second
	// minSuspend and maxSuspend bound how long an instance is suspended.
	minSuspend = time.Second
	maxSuspend = 30 * time.Second
	// maxFaultGap is the longest pause between two faults of a series.
	maxFaultGap = 1500 * time.Millisecond
	// restartAfter is the pause before an instance that was stopped or killed is started
	// again.
	restartAfter = 300 * time.Millisecond
	// proxyDelay is how long a proxy delays bytes to simulate a slow link.
	proxyDelay = 150 * time.Millisecond
	// slowEndpointDelay is the extra time that requests run on an endpoint which the fault
	// slowEndpoint has made slow.
	slowEndpointDelay = 400 * time.Millisecond
)

// fault injects a fault or performs an operator action, and returns when the fault or the
// action has ended.
type fault func(ctx context.Context, s *Soak, rng *rand.Rand)

// injectFaults runs several series of faults in parallel for the duration of the test. A
// series runs one fault at a time, chosen at random. The two series of operator actions,
// reloads and planned stops always run. Each of the other eight series runs if its bit of
// the seed is set. With a seed that leaves out some of these series, instances are without
// faults for long enough that the time limits of the rules apply to them.
func (s *Soak) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.duration)
	defer cancel()
	series := [][]fault{{moveRoutes, withdrawKey, reload}, {drain, evacuate, plannedStop}}
	bySeedBit := [][]fault{
		{resetEndpoint, cutEndpoint, delayEndpoint, slowEndpoint, dropResponses, repeatRefusals, requestPause, startAgain},
		{pauseInstance, crash},
		{resetStore, cutStore, delayStore, breakStore, compactHistory, goBack, writeOddEntry},
		{nameLimits},
		{crowd},
		{suspend},
		{changeSettings},
		{upload},
	}
	for n, faults := range bySeedBit {
		if s.seed>>n&1 == 1 {
			series = append(series, faults)
		}
	}
	var wg sync.WaitGroup
	for n, faults := range series {
		rng := rand.New(rand.NewPCG(s.seed, uint64(1000+n)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for waiter.Pause(ctx, randomBelow(rng, maxFaultGap)) {
				faults[rng.IntN(len(faults))](ctx, s, rng)
			}
		}()
	}
	wg.Wait()
}

// randomBelow returns a random duration of at least 0 and below d.
func randomBelow(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// faultDuration returns a random duration between minFaultTime and maxFaultTime.
func faultDuration(rng *rand.Rand) time.Duration {
	return minFaultTime + randomBelow(rng, maxFaultTime-minFaultTime)
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func moveRoutes(_ context.Context, s *Soak, _ *rand.Rand)  { s.operator.moveRoutes() }
func withdrawKey(_ context.Context, s *Soak, _ *rand.Rand) { s.operator.withdrawKey() }

// waitUntilApplied returns a function that waits until an operator's action must have been
// applied, and for a random time after that, during which requests are checked against the
// action.
func waitUntilApplied(ctx context.Context, rng *rand.Rand) func() {
	return func() { waiter.Pause(ctx, applyWithin+faultDuration(rng)) }
}

func drain(ctx context.Context, s *Soak, rng *rand.Rand) {
	s.operator.drain(s.usedEndpoint(rng), waitUntilApplied(ctx, rng))
}

func evacuate(ctx context.Context, s *Soak, rng *rand.Rand) {
	s.operator.evacuate(zoneOf(rng.IntN(2)), waitUntilApplied(ctx, rng))
}

// plannedStop stops an instance with SIGTERM and starts it again. It is a violation if the
// instance hasn't exited one second after the end of its grace period. Time for which the
// instance was paused doesn't count, since it can't run then.
func plannedStop(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.logf("%s is stopped with SIGTERM", i.id)
	endStop := s.history.recordPlannedStop(i)
	stoppedAt := time.Now()
	i.signal(syscall.SIGTERM)
	if !i.exitsWithin((graceSeconds+1)*time.Second) && !i.exitsWithin(s.history.faultTimeAfter(i, stoppedAt, time.Now())) {
		s.history.recordViolation(rulePlannedStop, "%s still runs after its grace period", i.id)
		i.kill()
	}
	endStop()
	waiter.Pause(ctx, restartAfter)
	s.restart(i)
}

// restart starts an instance. A failure to start is a violation.
func (s *Soak) restart(i *instance) {
	if err := i.start(); err != nil {
		s.history.recordViolation(ruleRunsOn, "%v", err)
	}
}

// reload sends an instance SIGHUP.
func reload(_ context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.logf("%s is sent SIGHUP", i.id)
	i.signal(syscall.SIGHUP)
}

// pauseInstance pauses an instance with SIGSTOP and resumes it with SIGCONT.
func pauseInstance(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.timedFault(ctx, rng, i, i.id+" is paused", func() { i.signal(syscall.SIGSTOP) }, func() { i.signal(syscall.SIGCONT) })
}

// suspend pauses an instance like pauseInstance, for a time between minSuspend and maxSuspend or until the
// last fault.
func suspend(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	d := minSuspend + randomBelow(rng, maxSuspend-minSuspend)
	if end, ok := ctx.Deadline(); ok {
		d = min(d, time.Until(end))
	}
	s.logf("%s is suspended for %v", i.id, d)
	s.history.recordFault(i, d)
	i.signal(syscall.SIGSTOP)
	waiter.Pause(ctx, d)
	i.signal(syscall.SIGCONT)
}

// crash kills an instance and starts it again. The recorded fault ends a second after the
// pause before the restart, since the instance needs time to start.
func crash(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.logf("%s is killed", i.id)
	s.history.recordFault(i, restartAfter+time.Second)
	i.kill()
	waiter.Pause(ctx, restartAfter)
	s.restart(i)
}

// usedEndpoint returns a random endpoint of the service that the routes go to.
func (s *Soak) usedEndpoint(rng *rand.Rand) *endpoint {
	return s.endpoints[s.operator.currentService()*endpointsPerService+rng.IntN(endpointsPerService)]
}

// timedFault records and logs a fault, applies it with do, and ends it with undo after a
// random time. The subject is the *instance or the *endpoint that has the fault, or nil for
// a fault that concerns every instance and endpoint.
func (s *Soak) timedFault(ctx context.Context, rng *rand.Rand, subject any, what string, do, undo func()) {
	d := faultDuration(rng)
	s.logf("%s for %v", what, d)
	s.history.recordFault(subject, d)
	do()
	waiter.Pause(ctx, d)
	undo()
}

// instantFault records and logs a fault that has no duration, and applies it with do. The
// subject is the *instance or the *endpoint that has the fault.
func (s *Soak) instantFault(subject any, what string, do func()) {
	s.logf("%s", what)
	s.history.recordFault(subject, 0)
	do()
}

// dropResponses makes an endpoint run requests without responding to them.
func dropResponses(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.timedFault(ctx, rng, e, "responses are dropped at "+e.id, func() { e.setDropResponses(true) }, func() { e.setDropResponses(false) })
}

// repeatRefusals makes an endpoint write a refusal, without a request ID, before each of its
// responses on a connection that was used before.
func repeatRefusals(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.timedFault(ctx, rng, e, "refusals are repeated at "+e.id, func() { e.setRepeatRefusals(true) }, func() { e.setRepeatRefusals(false) })
}

// startAgain lets all endpoints of a service start again at their addresses under other IDs,
// while their old entries stay for a while. They refuse requests for the old IDs, and write a
// copy of each refusal late. It is recorded as a fault of an endpoint that doesn't exist, since
// it concerns all.
func startAgain(ctx context.Context, s *Soak, rng *rand.Rand) {
	first := s.operator.currentService() * endpointsPerService
	endpoints := s.endpoints[first : first+endpointsPerService]
	each := func(do func(*endpoint)) func() {
		return func() {
			for _, e := range endpoints {
				do(e)
			}
		}
	}
	what := serviceName(endpoints[0].service) + " starts again under other IDs"
	s.timedFault(ctx, rng, &endpoint{}, what, each((*endpoint).startAgain), each((*endpoint).removeOldEntry))
}

// requestPause makes an endpoint refuse all requests and ask each instance for a pause.
func requestPause(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.timedFault(ctx, rng, e, e.id+" asks for pauses", func() { e.setPausing(true) }, func() { e.setPausing(false) })
}

// nameLimits makes all endpoints name a rate limit, until some time after all instances must
// know of it. Most requests are refused meanwhile, so it is recorded as a fault, but as one
// of an endpoint that doesn't exist: the rules apply to the others.
func nameLimits(ctx context.Context, s *Soak, rng *rand.Rand) {
	d := applyWithin + faultDuration(rng)
	if end, ok := ctx.Deadline(); ok {
		// The faults end then, and the time to recover begins.
		d = min(d, time.Until(end))
	}
	s.logf("endpoints name limits for %v", d)
	s.history.recordFault(&endpoint{}, d)
	var ends []func()
	for _, e := range s.endpoints {
		e.setLimit(namedLimit)
		ends = append(ends, s.history.recordLimit(e))
	}
	waiter.Pause(ctx, d)
	for n, e := range s.endpoints {
		ends[n]()
		e.setLimit(0)
	}
}

func resetEndpoint(_ context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.instantFault(e, "reset connections to "+e.id, e.proxy.Reset)
}

// cutEndpoint drops the traffic to an endpoint, from the endpoint, or in both directions.
func cutEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.cutProxy(ctx, rng, e, e.id, e.proxy)
}

// cutProxy drops a proxy's traffic in one direction, chosen at random, or in both. In the
// local directions, bit 0 stands for traffic to the proxy's target and bit 1 for traffic
// from the target. The id names the proxy in the log.
func (s *Soak) cutProxy(ctx context.Context, rng *rand.Rand, subject any, id string, p *disruptor.Proxy) {
	directions := 1 + rng.IntN(3)
	what := fmt.Sprintf("drop traffic (directions %d) of %s", directions, id)
	s.timedFault(ctx, rng, subject, what, func() { p.SetCut(directions&1 != 0, directions&2 != 0) }, func() { p.SetCut(false, false) })
}

// delayProxy delays a proxy's traffic in both directions. The id names the proxy in the
// log.
func (s *Soak) delayProxy(ctx context.Context, rng *rand.Rand, subject any, id string, p *disruptor.Proxy) {
	s.timedFault(ctx, rng, subject, "slow link of "+id, func() { p.SetDelay(proxyDelay) }, func() { p.SetDelay(0) })
}

func delayEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.delayProxy(ctx, rng, e, e.id, e.proxy)
}

func slowEndpoint(ctx context.Context, s *Soak, rng *rand.Rand) {
	e := s.usedEndpoint(rng)
	s.timedFault(ctx, rng, e, "slow requests at "+e.id, func() { e.setExtraWork(slowEndpointDelay) }, func() { e.setExtraWork(0) })
}

func resetStore(_ context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.instantFault(i, "reset store connections of "+i.id, i.store.Reset)
}

func cutStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.cutProxy(ctx, rng, i, i.id+" and the store", i.store)
}

func delayStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	s.delayProxy(ctx, rng, i, i.id+" and the store", i.store)
}

// breakStore makes the store fail for every instance, with a fault chosen at random.
func breakStore(ctx context.Context, s *Soak, rng *rand.Rand) {
	kinds := []objectkeeper.Fault{
		objectkeeper.FaultUnavailable, objectkeeper.FaultTooManyRequests, objectkeeper.FaultSilent, objectkeeper.FaultReset, objectkeeper.FaultResponseLost,
		objectkeeper.FaultWatchDelayed,
	}
	kind := pick(rng, kinds)
	s.timedFault(ctx, rng, nil, fmt.Sprintf("store fault %d", kind),
		func() { s.fakeStore.SetFault(kind) }, func() { s.fakeStore.SetFault(objectkeeper.FaultNone) })
}

func compactHistory(_ context.Context, s *Soak, _ *rand.Rand) {
	s.logf("store compacts its history")
	s.fakeStore.CompactHistory()
}

// goBack lets the store go back to a copy that is some time old. A little later the operator
// and the endpoints write again what was lost.
func goBack(ctx context.Context, s *Soak, rng *rand.Rand) {
	older := s.fakeStore.Copy()
	waiter.Pause(ctx, faultDuration(rng))
	var lost objectkeeper.Copy
	s.timedFault(ctx, rng, nil, "store goes back to an older copy", func() { lost = s.fakeStore.GoBack(older) }, func() {
		for _, kind := range []string{platform.KindConfig, platform.KindEndpoints, platform.KindEvacuations} {
			s.fakeStore.WriteAgain(lost, kind)
		}
	})
}

// oddEntries are entries that name no endpoint to use. The stand-in of the store can't send
// deeply nested ones or those that aren't JSON.
var oddEntries = []string{
	`"\u0000"`, `[[[[[[[[[]]]]]]]]]`, `{"address":"10.0.0.1:99999","info":{"service":"service-0","zone":"zone-0","slots":4},"status":{"state":"ready","sequence":1}}`,
	`{"address":"127.0.0.1:9","info":{"service":"service-0","zone":"zone-0","slots":1e300},"status":{"state":"ready","sequence":1}}`,
	`{"address":"127.0.0.1:9","born":-1e300,"info":{"service":"service-0","zone":"zone-0","slots":4},"status":{"state":"ready","sequence":1}}`,
}

// writeOddEntry writes an odd entry among those of the endpoints.
func writeOddEntry(_ context.Context, s *Soak, rng *rand.Rand) {
	entry := pick(rng, oddEntries)
	s.logf("odd entry %s", entry)
	s.fakeStore.Put(platform.KindEndpoints, fmt.Sprintf("odd-%d", rng.IntN(4)), json.RawMessage(entry))
}
