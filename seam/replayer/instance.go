package replayer

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/tracer"
)

const (
	// tickEvery is the time between two ticks of an instance.
	tickEvery = 50 * time.Millisecond
	// readEvery is the time between two reads of the store.
	readEvery = time.Second
	// stopLinger is how long a leaving instance still serves callers whose
	// look-up answer is older, as the daemon does by default.
	stopLinger = 10 * time.Second
)

// instance is a decision core with fakes around it.
type instance struct {
	replay  *replay
	info    tracer.Instance
	model   *decider.Model
	tasks   map[uint64]*task
	nextID  uint64
	passes  int
	remote  map[attemptKey]remoteTask
	peers   []decider.Peer
	version int64
	alive   bool
	leaving bool
}

func (r *replay) startInstance(info tracer.Instance) {
	i := &instance{replay: r, info: info}
	r.instances[info.ID] = i
	r.order = append(r.order, i)
	i.start()
}

// restartInstance starts an instance; one that still runs ends first.
func (r *replay) restartInstance(id string) {
	if r.instances[id].alive {
		r.instances[id].crash()
	}
	r.instances[id].start()
}

// start begins a new incarnation with an empty state.
func (i *instance) start() {
	self := decider.NewSelf(i.info.ID, i.info.Region, i.info.FailureDomain)
	seed := i.replay.world.Rand().Uint64()
	i.model = decider.New(decider.WithSelf(self), decider.WithSeed(seed), decider.WithIncarnation(i.replay.world.Incarnation(i.info.ID)+1))
	i.tasks = map[uint64]*task{}
	i.remote = map[attemptKey]remoteTask{}
	i.version = 0
	i.peers = nil
	i.alive, i.leaving = true, false
	if i.replay.broken == BreakVersions {
		i.configure(i.replay.firstConfig)
	}
	i.readStore()
	i.tick()
}

// crash ends the instance; its callers see their connections break.
func (i *instance) crash() {
	i.alive = false
	i.replay.world.Crash(i.info.ID)
	for _, id := range sortedKeys(i.tasks) {
		i.tasks[id].call.cut = i.leaving
		i.tasks[id].broken()
	}
	i.tasks = map[uint64]*task{}
}

// stop starts a graceful shutdown.
func (i *instance) stop() {
	i.leaving = true
	if i.replay.broken == BreakGracefulStop {
		i.crash()
		return
	}
	i.update(decider.LeaveRequested{})
	i.replay.world.After(i.info.ID, stopLinger, func() {
		i.update(decider.StopRequested{})
		i.endWhenIdle()
	})
}

func (i *instance) endWhenIdle() {
	if len(i.tasks) > 0 {
		i.replay.world.After(i.info.ID, tickEvery, i.endWhenIdle)
		return
	}
	i.alive = false
	i.replay.recorder.stopped(len(i.tasks))
	i.replay.world.Crash(i.info.ID)
}

func (i *instance) tick() {
	i.update(decider.Ticked{})
	i.replay.world.After(i.info.ID, tickEvery, i.tick)
}

// readStore reads the configuration and the keys again and again.
func (i *instance) readStore() {
	i.replay.store.List(i.info.ID, storer.KindConfig, i.takeConfig)
	i.replay.store.List(i.info.ID, storer.KindKey, i.takeKeys)
	i.tellMembers()
	i.replay.world.After(i.info.ID, readEvery, i.readStore)
}

func (i *instance) takeConfig(events storer.Events, err error) {
	if err != nil {
		return
	}
	for _, o := range events.Objects {
		if o.Version > i.version {
			i.configure(o)
		}
	}
}

// configure brings a version of the configuration into force.
func (i *instance) configure(o storer.Object) {
	var doc configurer.Document
	if json.Unmarshal(o.Value, &doc) != nil {
		return
	}
	c, err := configurer.New(i.replay.damage(doc), o.Version)
	if err != nil {
		return
	}
	i.version = o.Version
	i.update(decider.ConfigChanged{Config: c})
	i.replay.recorder.configured(i.info.ID, i.model.ConfigVersion())
}

func (i *instance) takeKeys(events storer.Events, err error) {
	if err != nil {
		return
	}
	var records []authenticator.Record
	for _, o := range events.Objects {
		var record authenticator.Record
		if json.Unmarshal(o.Value, &record) == nil {
			record.Withdrawn = record.Withdrawn && i.replay.broken != BreakWithdrawal
			records = append(records, record)
		}
	}
	i.update(decider.KeysChanged{Keys: authenticator.NewKeyring(records)})
}

// update gives the core a message and carries out its commands.
func (i *instance) update(msg decider.Msg) {
	for _, cmd := range i.model.Update(i.replay.world.Now(), msg) {
		i.carryOut(cmd)
	}
}

func (i *instance) carryOut(cmd decider.Cmd) {
	switch c := cmd.(type) {
	case decider.Forward:
		i.forward(c)
	case decider.Pass:
		i.pass(c)
	case decider.Refuse:
		i.refuse(c)
	case decider.Cancel:
		i.cancel(c)
	case decider.LedgerCommand:
		i.callLedger(c.Command)
	}
}

// answersLookups reports whether a caller's look-up gets an answer here.
func (i *instance) answersLookups() bool {
	return i.alive && !i.replay.world.Paused(i.info.ID) && !i.replay.lost[i.info.Region]
}

// lookUp orders the instances for a caller's region.
func (i *instance) lookUp(region string, rng *rand.Rand) []string {
	var list []*instance
	for _, other := range i.replay.order {
		if other.alive && !other.leaving {
			list = append(list, other)
		}
	}
	rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b *instance) int {
		return regionDistance(a, region) - regionDistance(b, region)
	})
	ids := make([]string, 0, len(list))
	for _, other := range list {
		ids = append(ids, other.info.ID)
	}
	return ids
}

func (r *replay) toClient(i *instance, k *call) time.Duration {
	latency, _ := r.path(i.info.ID, k.node)
	return latency
}
