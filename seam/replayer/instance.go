package replayer

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
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
	// stopLinger is how long a stopping instance still answers callers.
	stopLinger = 2 * time.Second
)

// instance is a decision core with fakes around it.
type instance struct {
	replay  *replay
	info    tracer.Instance
	model   *decider.Model
	calls   map[uint64]*attempts
	version int64
	alive   bool
	leaving bool
}

// attempts is a request in an instance.
type attempts struct {
	call     *call
	current  attemptKey
	endpoint string
	service  string
}

func (r *replay) startInstance(info tracer.Instance) {
	i := &instance{replay: r, info: info}
	r.instances[info.ID] = i
	r.order = append(r.order, i)
	i.start()
}

func (r *replay) restartInstance(id string) {
	r.instances[id].start()
}

// start begins a new incarnation with an empty state.
func (i *instance) start() {
	self := decider.NewSelf(i.info.ID, i.info.Region, i.info.FailureDomain)
	seed := i.replay.world.Rand().Uint64()
	i.model = decider.New(decider.WithSelf(self), decider.WithSeed(seed), decider.WithIncarnation(i.replay.world.Incarnation(i.info.ID)+1))
	i.calls = map[uint64]*attempts{}
	i.version = 0
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
	for _, id := range sortedKeys(i.calls) {
		k := i.calls[id].call
		k.cut = i.leaving
		i.replay.world.After("", i.replay.toClient(i, k), func() { i.replay.callers.fail(k) })
	}
	i.calls = map[uint64]*attempts{}
}

// stop starts a graceful shutdown.
func (i *instance) stop() {
	i.leaving = true
	if i.replay.broken == BreakGracefulStop {
		i.crash()
		return
	}
	i.update(decider.StopRequested{})
	i.replay.world.After(i.info.ID, stopLinger, i.endWhenIdle)
}

func (i *instance) endWhenIdle() {
	if len(i.calls) > 0 {
		i.replay.world.After(i.info.ID, tickEvery, i.endWhenIdle)
		return
	}
	i.alive = false
	i.replay.recorder.stopped(len(i.calls))
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

// receive takes a request from a caller.
func (i *instance) receive(k *call) {
	if !i.alive {
		i.replay.world.After("", i.replay.toClient(i, k), func() { i.replay.callers.sendElsewhere(k) })
		return
	}
	i.calls[k.id] = &attempts{call: k}
	label := k.request.Key
	if label == "" {
		label = defaultKey(k.request.Team)
	}
	msg := decider.RequestArrived{
		ID: k.id, HasKey: true, Key: authenticator.DigestOf(label), Path: routePath(k.request), Repeatable: true,
	}
	if k.request.Deadline > 0 {
		msg.Deadline = k.sent.Add(time.Duration(k.request.Deadline))
	}
	i.update(msg)
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
	case decider.Refuse:
		i.refuse(c)
	case decider.Cancel:
		i.cancel(c.ID)
	case decider.LedgerCall:
		i.callLedger(c.Call)
	}
}

func (i *instance) forward(c decider.Forward) {
	a, ok := i.calls[c.ID]
	if !ok {
		return
	}
	key := attemptKey{instance: i.info.ID, request: c.ID, attempt: c.Attempt}
	a.current, a.endpoint, a.service = key, c.Endpoint, c.Decision.Service
	i.replay.recorder.granted(c.Decision.Team)
	j := &job{key: key, call: a.call, team: c.Decision.Team}
	e := i.replay.endpoints[c.Endpoint]
	i.replay.recorder.moved(i.info.Region, e.config.Region, a.call.request.Bytes)
	i.replay.network.Send(i.info.ID, c.Endpoint, func() {
		e.receive(j, func(answer reply) {
			i.replay.recorder.moved(e.config.Region, i.info.Region, answer.bytes)
			i.replay.network.Send(c.Endpoint, i.info.ID, func() { i.ended(key, answer) })
		})
	})
	i.replay.world.After(i.info.ID, c.Deadline.Sub(i.replay.world.Now()), func() { i.timedOut(key) })
}

// ended takes the answer of an attempt, unless it was given up before.
func (i *instance) ended(key attemptKey, answer reply) {
	a, ok := i.calls[key.request]
	if !ok || a.current != key {
		return
	}
	endpoint, service := a.endpoint, a.service
	whole := answer.result == coder.OK
	if whole {
		delete(i.calls, key.request)
		i.replay.network.Send(i.info.ID, a.call.node, func() { i.replay.callers.answered(a.call) })
	}
	i.update(decider.AnswerEnded{
		ID: key.request, Endpoint: endpoint, Result: answer.result, Ran: answer.ran, Committed: whole,
	})
	if answer.load < 0 {
		return
	}
	report := decider.LoadReported{Service: service, Endpoint: endpoint, Load: answer.load, Draining: answer.draining}
	i.replay.world.After(i.info.ID, i.reportLag(service), func() { i.update(report) })
}

func (i *instance) reportLag(service string) time.Duration {
	for _, u := range i.replay.trace.Header().Upstreams {
		if u.Service == service && u.ReportLag > 0 {
			return time.Duration(u.ReportLag)
		}
	}
	return defaultReportLag
}

// timedOut gives an attempt up at its deadline.
func (i *instance) timedOut(key attemptKey) {
	a, ok := i.calls[key.request]
	if !ok || a.current != key {
		return
	}
	i.cancelAttempt(a)
	i.update(decider.AnswerEnded{
		ID: key.request, Endpoint: a.endpoint, Result: coder.UpstreamTimeout, Ran: coder.MayHaveRun,
	})
}

func (i *instance) cancel(id uint64) {
	if a, ok := i.calls[id]; ok {
		i.cancelAttempt(a)
	}
}

func (i *instance) cancelAttempt(a *attempts) {
	key, e := a.current, i.replay.endpoints[a.endpoint]
	i.replay.network.Send(i.info.ID, a.endpoint, func() { e.cancel(key) })
}

func (i *instance) refuse(c decider.Refuse) {
	a, ok := i.calls[c.ID]
	if !ok {
		return
	}
	delete(i.calls, c.ID)
	ran := c.Ran
	if i.replay.broken == BreakNotRun {
		ran = coder.NotRun
	}
	i.replay.network.Send(i.info.ID, a.call.node, func() { i.replay.callers.refused(a.call, c.Code, ran) })
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

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
