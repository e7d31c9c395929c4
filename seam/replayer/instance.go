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
	// tickInterval is the time between two Ticked messages to a decision core.
	tickInterval = 50 * time.Millisecond
	// storeReadInterval is the time between two reads of the store by an instance.
	storeReadInterval = time.Second
	// stopLinger is how long an instance still serves new requests after the start of
	// its graceful shutdown, because cached lookup results may still name it. The daemon
	// has the same default.
	stopLinger = 10 * time.Second
)

// instance simulates one instance of the load balancer. It passes messages to a decision
// core and runs the commands that the core returns on the simulated network and store.
type instance struct {
	replay    *replay
	info      tracer.Instance
	model     *decider.Model
	tasks     map[uint64]*task
	nextID    uint64
	passCount int
	// remote holds, for each attempt at a peer, the task that handles it there.
	remote map[attemptKey]remoteTask
	// peers is the last list of peers that was given to the core.
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

// restartInstance starts an instance. If the instance still runs, it crashes first.
func (r *replay) restartInstance(id string) {
	if r.instances[id].alive {
		r.instances[id].crash()
	}
	r.instances[id].start()
}

// start starts the instance with a new decision core, no open requests and a new
// incarnation number, and begins its periodic ticks and store reads.
func (i *instance) start() {
	self := decider.NewSelf(i.info.ID, i.info.Region, i.info.FailureDomain)
	seed := i.replay.world.Rand().Uint64()
	i.model = decider.New(decider.WithSelf(self), decider.WithSeed(seed), decider.WithIncarnation(i.replay.world.Incarnation(i.info.ID)+1))
	i.tasks = map[uint64]*task{}
	i.remote = map[attemptKey]remoteTask{}
	i.configVersion = 0
	i.peers = nil
	i.alive, i.leaving = true, false
	if i.replay.disabledMechanism == BreakVersions {
		i.configure(i.replay.firstConfig)
	}
	i.pollStore()
	i.tick()
}

// crash ends the instance at once and breaks the connections of its open requests.
// Requests of an instance that was leaving are marked as cut by a planned stop.
func (i *instance) crash() {
	i.alive = false
	i.replay.world.Crash(i.info.ID)
	for _, id := range sortedKeys(i.tasks) {
		i.tasks[id].call.cutByStop = i.leaving
		i.tasks[id].connectionLost()
	}
	i.tasks = map[uint64]*task{}
}

// stop starts a graceful shutdown. The instance announces that it is leaving, refuses new
// requests after stopLinger, and then exits as soon as no request is open.
func (i *instance) stop() {
	i.leaving = true
	if i.replay.disabledMechanism == BreakGracefulStop {
		i.crash()
		return
	}
	i.update(decider.LeaveRequested{})
	i.replay.world.After(i.info.ID, stopLinger, func() {
		i.update(decider.StopRequested{})
		i.exitWhenIdle()
	})
}

// exitWhenIdle ends the instance if no request is open. Otherwise it checks again after
// a tickInterval.
func (i *instance) exitWhenIdle() {
	if len(i.tasks) > 0 {
		i.replay.world.After(i.info.ID, tickInterval, i.exitWhenIdle)
		return
	}
	i.alive = false
	i.replay.recorder.instanceExited(len(i.tasks))
	i.replay.world.Crash(i.info.ID)
}

// tick gives the core a Ticked message, and again after each tickInterval.
func (i *instance) tick() {
	i.update(decider.Ticked{})
	i.replay.world.After(i.info.ID, tickInterval, i.tick)
}

// pollStore reads the configuration and the keys from the store, gives the core the
// current members of the fleet, and does so again after each storeReadInterval.
func (i *instance) pollStore() {
	i.replay.store.List(i.info.ID, storer.KindConfig, i.configListed)
	i.replay.store.List(i.info.ID, storer.KindKey, i.keysListed)
	i.updateMembers()
	i.replay.world.After(i.info.ID, storeReadInterval, i.pollStore)
}

// configListed applies a configuration that was read from the store, if its version is
// newer than the version in use.
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

// keysListed gives the core the API keys that were read from the store.
func (i *instance) keysListed(events storer.Events, err error) {
	if err != nil {
		return
	}
	var records []authenticator.Record
	for _, o := range events.Objects {
		var record authenticator.Record
		if json.Unmarshal(o.Value, &record) == nil {
			record.Withdrawn = record.Withdrawn && i.replay.disabledMechanism != BreakWithdrawal
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

// answersLookups reports whether this instance can answer a caller's lookup: it runs,
// isn't paused and its region isn't lost.
func (i *instance) answersLookups() bool {
	return i.alive && !i.replay.world.Paused(i.info.ID) && !i.replay.lostRegions[i.info.Region]
}

// lookUp returns the IDs of all running instances that aren't leaving. Instances in the
// caller's region come before other instances; within both groups the order is random.
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

// latencyToCaller returns the one-way latency from an instance to the caller of a
// request, or 0 if the caller can't be reached.
func (r *replay) latencyToCaller(i *instance, k *call) time.Duration {
	latency, _ := r.oneWayLatency(i.info.ID, k.node)
	return latency
}
