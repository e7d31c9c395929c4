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
	// surgeFactor is how many times its rate the surging team sends.
	surgeFactor = 5
	// surgeTeam and keyTeam are the indexes of the teams that faults concern.
	surgeTeam = 1
	keyTeam   = 2
	// answerFaultChance is the part of an endpoint's answers that fail.
	answerFaultChance = 0.1
	// headroomEvery is the time between two samples of free slots.
	headroomEvery = 50 * time.Millisecond
)

// step is something that happens during a run, at a part of its duration.
type step struct {
	at   float64
	name string
	do   func(context.Context)
}

// steps returns what the faults of the run do.
func (d *Demo) steps() []step {
	list := []step{{0.05, "change the configuration", d.changeConfig}}
	for _, f := range d.faults {
		list = append(list, d.stepsOf(f)...)
	}
	return list
}

func (d *Demo) stepsOf(f Fault) []step {
	switch f {
	case FaultSurge:
		return []step{{0.10, "surge of one team", d.surge}}
	case FaultKeyWithdrawal:
		return []step{{0.20, "withdraw a key", d.withdrawKey}}
	case FaultUpstreamDrain:
		return []step{{0.30, "drain an endpoint by configuration", d.drainByConfig}, {0.32, "an endpoint announces its drain", d.drainByUpstream}}
	case FaultGracefulStop:
		return []step{{0.25, "stop an instance as planned", func(context.Context) { d.stopInstance(d.busiest()) }}}
	case FaultCrash:
		return []step{{0.45, "crash an instance", func(ctx context.Context) { d.crashInstance(ctx, d.busiest()) }}}
	case FaultStoreOutage:
		return []step{{0.50, "store outage, then a lost answer", d.storeOutage}}
	case FaultLinkCut:
		return []step{
			{0.55, "cut the link between two regions", func(context.Context) { d.setLinkCut(d.shape.Regions[0], d.shape.Regions[1], true) }},
			{0.75, "mend the link", func(context.Context) { d.setLinkCut(d.shape.Regions[0], d.shape.Regions[1], false) }},
		}
	case FaultSilentConnections:
		return []step{
			{0.35, "silence open connections to a third of the endpoints", func(context.Context) { d.silenceConnections(0) }},
			{0.80, "silence open connections to another third", func(context.Context) { d.silenceConnections(1) }},
		}
	case FaultAnswers:
		return []step{
			{0.05, "some answers come late, crossed, twice, cut short or never", func(context.Context) { d.setAnswerFaults(answerFaultChance) }},
			{0.90, "answers are proper again", func(context.Context) { d.setAnswerFaults(0) }},
		}
	}
	return nil
}

// runSteps starts each step at its time and waits for all of them.
func (d *Demo) runSteps(ctx context.Context) {
	var open sync.WaitGroup
	for _, s := range d.steps() {
		open.Go(func() {
			after := time.Duration(s.at * float64(d.duration))
			waiter.Pause(ctx, after)
			if ctx.Err() == nil {
				d.progress(fmt.Sprintf("%5.1fs %s", after.Seconds(), s.name))
				s.do(context.WithoutCancel(ctx))
			}
		})
	}
	open.Wait()
}

func (d *Demo) changeConfig(ctx context.Context) { d.note("config", d.prober.addRoute(ctx, nil)) }

func (d *Demo) surge(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.duration/5)
	defer cancel()
	c := d.newCaller(surgeTeam, "s", surgeFactor*teamRate(surgeTeam))
	c.run(ctx)
}

func (d *Demo) withdrawKey(ctx context.Context) {
	d.note("key", d.operator.withdrawKey(ctx, d.withdrawnRecord))
	d.checker.keyWithdrawn(time.Now())
}

// drainByConfig drains an endpoint of the first service by an exception.
func (d *Demo) drainByConfig(ctx context.Context) {
	e := d.endpoints[0]
	on := true
	err := d.prober.addRoute(ctx, func(doc *configurer.Document) {
		doc.Exceptions = append(doc.Exceptions, configurer.Exception{
			Reason: "planned maintenance", Scope: configurer.Scope{Endpoint: e.address},
			Set: configurer.ExceptionSet{Draining: &on},
		})
	})
	d.note("drain", err)
	d.checker.drainBegan(e)
}

// drainByUpstream lets the last endpoint of the last service announce a drain.
func (d *Demo) drainByUpstream(context.Context) {
	e := d.endpoints[len(d.endpoints)-1]
	e.upstream.SetDraining(true)
	d.checker.drainBegan(e)
}

// storeOutage ends with a write that takes effect and whose answer is lost.
func (d *Demo) storeOutage(ctx context.Context) {
	d.keeper.SetDown(true)
	waiter.Pause(ctx, d.duration*15/100)
	d.keeper.SetDown(false)
	d.keeper.LoseAnswers(1)
	d.note("config", d.prober.addRoute(ctx, nil))
}

func (d *Demo) newCaller(team int, label string, rate float64) *caller {
	region := d.shape.Regions[team%len(d.shape.Regions)]
	seed := uint64(team)
	for _, r := range label {
		seed = seed<<8 | uint64(r)
	}
	return &caller{
		demo: d, team: teamName(team), secret: d.secrets[team], region: region, rate: rate, label: label,
		rng: rand.New(rand.NewPCG(d.seed, seed)), lookUps: rand.New(rand.NewPCG(seed, d.seed)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// sampleHeadroom samples the free part of each region's slots until ctx ends.
func (d *Demo) sampleHeadroom(ctx context.Context) {
	for ctx.Err() == nil {
		free, all := map[string]int{}, map[string]int{}
		for _, e := range d.endpoints {
			free[e.region] += e.slots - e.upstream.InUse()
			all[e.region] += e.slots
		}
		for region := range all {
			d.checker.sampledHeadroom(float64(free[region]) / float64(all[region]))
		}
		waiter.Pause(ctx, headroomEvery)
	}
}
