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
	// tickInterval is the time between two ticks of a decision core.
	tickInterval = 50 * time.Millisecond
	// storeReadInterval is how often an instance reads the store.
	storeReadInterval = time.Second
	// stopLinger is how long a leaving instance still serves new requests, because
	// cached lookup results may still name it. The daemon has the same default.
	stopLinger = 10 * time.Second
)

// instance runs a decision core on the simulated network and store.
type instance struct {
	replay    *replay
	info      tracer.Instance
	model     *decider.Model
	tasks     map[uint64]*task
	nextID    uint64
	passCount int
	// remote holds the tasks of the requests that this instance passed to peers.
	remote map[attemptKey]remoteTask
	// peers is the last list that the core got.
	peers         []decider.Peer
	configVersion int64
	alive         bool
	leaving       bool
}

// startInstance adds an instance to the fleet and starts it.
func (r *replay) startInstance(info tracer.Instance) {
	i := &instance{replay: r, info: info}
	r.instances[info.ID] = i
	r.fleet = append(r.fleet, i)
	i.start()
}

// restartInstance starts an instance, after a crash if it still runs.
func (r *replay) restartInstance(id string) {
	if r.instances[id].alive {
		r.instances[id].crash()
	}
	r.instances[id].start()
}

// start starts the instance with an empty state and a new incarnation number.
func (i *instance) start() {
	self := decider.NewSelf(i.info.ID, i.info.Region, i.info.FailureDomain)
	seed := i.replay.world.Rand().Uint64()
	i.model = decider.New(decider.WithSelf(self), decider.WithSeed(seed), decider.WithIncarnation(i.replay.world.Incarnation(i.info.ID)+1))
	i.tasks = map[uint64]*task{}
	i.remote = map[attemptKey]remoteTask{}
	i.configVersion = 0
	i.peers = nil
	i.alive, i.leaving = true, false
	if i.replay.disabled == BreakVersions {
		i.configure(i.replay.firstConfig)
	}
	i.pollStore()
	i.tick()
}

// crash ends the instance at once and breaks the connections of its open requests.
func (i *instance) crash() {
	i.alive = false
	i.replay.world.Crash(i.info.ID)
	for _, id := range sortedKeys(i.tasks) {
		i.tasks[id].call.cutByStop = i.leaving
		i.tasks[id].connectionLost()
	}
	i.tasks = map[uint64]*task{}
}

// stop starts a graceful shutdown: the instance announces that it leaves, refuses
// new requests after stopLinger, and exits when no request is open.
func (i *instance) stop() {
	i.leaving = true
	if i.replay.disabled == BreakGracefulStop {
		i.crash()
		return
	}
	i.update(decider.LeaveRequested{})
	i.replay.world.After(i.info.ID, stopLinger, func() {
		i.update(decider.StopRequested{})
		i.exitWhenIdle()
	})
}

// exitWhenIdle ends the instance as soon as no request is open.
func (i *instance) exitWhenIdle() {
	if len(i.tasks) > 0 {
		i.replay.world.After(i.info.ID, tickInterval, i.exitWhenIdle)
		return
	}
	i.alive = false
	i.replay.recorder.stopped(len(i.tasks))
	i.replay.world.Crash(i.info.ID)
}

// tick sends a tick to the core periodically.
func (i *instance) tick() {
	i.update(decider.Ticked{})
	i.replay.world.After(i.info.ID, tickInterval, i.tick)
}

// pollStore reads the configuration and the keys periodically, and gives the core
// the current members of the fleet.
func (i *instance) pollStore() {
	i.replay.store.List(i.info.ID, storer.KindConfig, i.configListed)
	i.replay.store.List(i.info.ID, storer.KindKey, i.keysListed)
	i.updateMembers()
	i.replay.world.After(i.info.ID, storeReadInterval, i.pollStore)
}

// configListed applies the stored configuration if it is newer than the current one.
func (i *instance) configListed(events storer.Events, err error) {
	if err != nil {
		return
	}
	for _, o := range events.Objects {
		if o.Version > i.configVersion {
			i.configure(o)
		}
	}
}

// configure applies a version of the configuration, unless it is invalid.
func (i *instance) configure(o storer.Object) {
	var doc configurer.Document
	if json.Unmarshal(o.Value, &doc) != nil {
		return
	}
	c, err := configurer.New(i.replay.disableInConfig(doc), o.Version)
	if err != nil {
		return
	}
	i.configVersion = o.Version
	i.update(decider.ConfigChanged{Config: c})
	i.replay.recorder.instanceConfigured(i.info.ID, i.model.ConfigVersion())
}

// keysListed gives the core the stored keys.
func (i *instance) keysListed(events storer.Events, err error) {
	if err != nil {
		return
	}
	var records []authenticator.Record
	for _, o := range events.Objects {
		var record authenticator.Record
		if json.Unmarshal(o.Value, &record) == nil {
			record.Withdrawn = record.Withdrawn && i.replay.disabled != BreakWithdrawal
			records = append(records, record)
		}
	}
	i.update(decider.KeysChanged{Keys: authenticator.NewKeyring(records)})
}

// update gives the core a message and runs the commands that it returns.
func (i *instance) update(msg decider.Msg) {
	for _, cmd := range i.model.Update(i.replay.world.Now(), msg) {
		i.runCommand(cmd)
	}
}

func (i *instance) runCommand(cmd decider.Cmd) {
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
		i.runLedgerCommand(c.Command)
	}
}

// answersLookups reports whether a caller could get a lookup result from this
// instance.
func (i *instance) answersLookups() bool {
	return i.alive && !i.replay.world.Paused(i.info.ID) && !i.replay.lostRegions[i.info.Region]
}

// lookUp returns the IDs of the running instances that aren't leaving, in random
// order, those in the caller's region first.
func (i *instance) lookUp(region string, rng *rand.Rand) []string {
	var list []*instance
	for _, other := range i.replay.fleet {
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

// latencyToCaller returns the latency from an instance to the caller of a request,
// or 0 if the path is cut.
func (r *replay) latencyToCaller(i *instance, k *call) time.Duration {
	latency, _ := r.oneWayLatency(i.info.ID, k.node)
	return latency
}
