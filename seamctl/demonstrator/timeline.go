package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/waiter"
)

const (
	// surgeFactor is the request rate of a surge as a multiple of the team's rate limit.
	surgeFactor = 5
	// surgeTeam is the index of the team that exceeds its rate limit during
	// FaultSurge. keyTeam is the index of the team that the withdrawn key of
	// FaultKeyWithdrawal belongs to.
	surgeTeam = 1
	keyTeam   = 2
	// answerFaultChance is the probability, 0 to 1, that a response has a fault during
	// FaultAnswers.
	answerFaultChance = 0.1
	// headroomInterval is the time between two samples of the fraction of free slots.
	headroomInterval = 50 * time.Millisecond
)

// step is an action at a fixed time of a run, such as the start of a fault.
type step struct {
	// fraction is when the step starts, as a fraction, 0 to 1, of the run's duration.
	fraction float64
	name     string
	do       func(context.Context)
}

// steps returns the steps of the run: a configuration change, and the steps of each fault
// that the run contains.
func (d *Demo) steps() []step {
	list := []step{{0.05, "change the configuration", d.changeConfig}}
	for _, f := range d.faults {
		list = append(list, d.faultSteps(f)...)
	}
	return list
}

// faultSteps returns the steps that start the given fault and, where a separate step is
// needed for that, end it.
func (d *Demo) faultSteps(f Fault) []step {
	switch f {
	case FaultSurge:
		return []step{{0.10, "one team exceeds its rate", d.surge}}
	case FaultKeyWithdrawal:
		return []step{{0.20, "withdraw a key", d.withdrawKey}}
	case FaultUpstreamDrain:
		return []step{{0.30, "drain an endpoint by configuration", d.drainByConfig}, {0.32, "an endpoint announces its drain", d.drainByUpstream}}
	case FaultGracefulStop:
		return []step{{0.25, "stop an instance gracefully", func(context.Context) { d.stopInstance(d.busiestInstance()) }}}
	case FaultCrash:
		return []step{{0.45, "crash an instance", func(ctx context.Context) { d.crashInstance(ctx, d.busiestInstance()) }}}
	case FaultStoreOutage:
		return []step{{0.50, "store outage, then a write whose response is lost", d.storeOutage}}
	case FaultLinkCut:
		return []step{
			{0.55, "cut the link between two regions", func(context.Context) { d.setLinkCut(d.shape.Regions[0], d.shape.Regions[1], true) }},
			{0.75, "restore the link", func(context.Context) { d.setLinkCut(d.shape.Regions[0], d.shape.Regions[1], false) }},
		}
	case FaultSilentConnections:
		return []step{
			{0.35, "silence open connections to a third of the endpoints", func(context.Context) { d.silenceConnections(0) }},
			{0.80, "silence open connections to another third", func(context.Context) { d.silenceConnections(1) }},
		}
	case FaultAnswers:
		return []step{
			{0.05, "some responses are mixed up, lost, duplicated, truncated, late or errors", func(context.Context) { d.setAnswerFaults(answerFaultChance) }},
			{0.90, "responses are correct again", func(context.Context) { d.setAnswerFaults(0) }},
		}
	}
	return nil
}

// runSteps starts each step at its time and waits until all steps have ended. Steps may
// overlap. When ctx is done, no further step starts, but a step that has started isn't
// cancelled.
func (d *Demo) runSteps(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.steps() {
		wg.Go(func() {
			delay := time.Duration(s.fraction * float64(d.duration))
			waiter.Pause(ctx, delay)
			if ctx.Err() == nil {
				d.progress(fmt.Sprintf("%5.1fs %s", delay.Seconds(), s.name))
				s.do(context.WithoutCancel(ctx))
			}
		})
	}
	wg.Wait()
}

// changeConfig adds a route to the configuration.
func (d *Demo) changeConfig(ctx context.Context) {
	d.reportError("config", d.prober.addRoute(ctx, nil))
}

// surge sends requests of surgeTeam at surgeFactor times the team's rate limit, for a fifth
// of the run.
func (d *Demo) surge(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.duration/5)
	defer cancel()
	c := d.newCaller(surgeTeam, "s", surgeFactor*teamRate(surgeTeam))
	c.run(ctx)
}

func (d *Demo) withdrawKey(ctx context.Context) {
	d.reportError("key", d.operator.withdrawKey(ctx, d.withdrawnRecord))
	d.checker.recordKeyWithdrawal(time.Now())
}

// drainByConfig drains the first endpoint of the first service, by adding an exception for
// the endpoint to the configuration.
func (d *Demo) drainByConfig(ctx context.Context) {
	e := d.endpoints[0]
	on := true
	err := d.prober.addRoute(ctx, func(doc *configurer.Document) {
		doc.Exceptions = append(doc.Exceptions, configurer.Exception{
			Reason: "planned maintenance", Scope: configurer.Scope{Endpoint: e.address},
			Set: configurer.ExceptionSet{Draining: &on},
		})
	})
	d.reportError("drain", err)
	d.checker.recordDrainStart(e)
}

// drainByUpstream makes the last endpoint of the last service announce a drain in its
// responses.
func (d *Demo) drainByUpstream(context.Context) {
	e := d.endpoints[len(d.endpoints)-1]
	e.upstream.SetDraining(true)
	d.checker.recordDrainStart(e)
}

// storeOutage makes the store unavailable for 15 % of the run. It then changes the
// configuration; the store applies this change but drops the response to the first
// write.
func (d *Demo) storeOutage(ctx context.Context) {
	d.storeServer.SetDown(true)
	waiter.Pause(ctx, d.duration*15/100)
	d.storeServer.SetDown(false)
	d.storeServer.LoseAnswers(1)
	d.reportError("config", d.prober.addRoute(ctx, nil))
}

// newCaller returns a caller for the team with the given index, which sends the given
// number of requests per second on average. Its random generators are seeded from the run's
// seed, the team and the label, so that each caller has its own sequence of random numbers.
func (d *Demo) newCaller(team int, label string, rate float64) *caller {
	region := d.shape.Regions[team%len(d.shape.Regions)]
	seed := uint64(team)
	for _, r := range label {
		seed = seed<<8 | uint64(r)
	}
	return &caller{
		demo: d, team: teamName(team), secret: d.secrets[team], region: region, rate: rate, label: label,
		rng: rand.New(rand.NewPCG(d.seed, seed)), lookupRNG: rand.New(rand.NewPCG(seed, d.seed)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// sampleHeadroom records the fraction of free slots in each region every headroomInterval,
// until ctx is done.
func (d *Demo) sampleHeadroom(ctx context.Context) {
	for ctx.Err() == nil {
		free, total := map[string]int{}, map[string]int{}
		for _, e := range d.endpoints {
			free[e.region] += e.slots - e.upstream.InUse()
			total[e.region] += e.slots
		}
		for region := range total {
			d.checker.recordHeadroom(float64(free[region]) / float64(total[region]))
		}
		waiter.Pause(ctx, headroomInterval)
	}
}
