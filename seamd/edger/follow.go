package edger

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/router"
	"primroseseam.org/seamd/heartbeater"
)

const (
	// returnGrace is how long endpoints have to come back to the list after the
	// store answered again. Until then a missing entry may be one that expired
	// while the store was away.
	returnGrace = 2 * time.Second
	// registerRetry is the pause between two tries to tell the store of this
	// instance.
	registerRetry = 2 * time.Second
	// instancesEvery is how often the instances in the store are listed.
	instancesEvery = 15 * time.Second
)

// roster decides which endpoints of the store's list count.
type roster struct {
	endpoints map[string]router.Endpoint
	// gone holds endpoints that went missing around an outage of the store, and
	// until when they still count.
	gone   map[string]time.Time
	failed map[string]bool
}

func newRoster() *roster {
	return &roster{endpoints: map[string]router.Endpoint{}, gone: map[string]time.Time{}, failed: map[string]bool{}}
}

// take takes a view of the store's list. It returns entries that can't be used
// and were not reported before.
func (r *roster) take(v follower.View, now time.Time) (unreadable []error) {
	next := make(map[string]router.Endpoint, len(v.Objects))
	for name, o := range v.Objects {
		endpoint, err := platform.DecodeEndpoint(name, o.Spec)
		if err != nil {
			if !r.failed[name] {
				r.failed[name] = true
				unreadable = append(unreadable, err)
			}
			continue
		}
		next[name] = endpoint
		delete(r.gone, name)
	}
	for _, name := range v.Removed {
		old, ok := r.endpoints[name]
		if !ok || old.Draining || next[name].ID != "" {
			continue
		}
		if !v.Regained.IsZero() && now.Sub(v.Regained) < returnGrace {
			r.gone[name] = v.Regained.Add(returnGrace)
		}
	}
	for name := range r.gone {
		if old, ok := r.endpoints[name]; ok {
			next[name] = old
		}
	}
	r.endpoints = next
	return unreadable
}

// release drops endpoints that did not come back. It reports whether any did.
func (r *roster) release(now time.Time) bool {
	changed := false
	for name, until := range r.gone {
		if now.After(until) {
			delete(r.gone, name)
			delete(r.endpoints, name)
			changed = true
		}
	}
	return changed
}

func (r *roster) list() []router.Endpoint {
	list := make([]router.Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		list = append(list, e)
	}
	return list
}

// follow returns the followers of what the store says.
func (e *Edge) follow() []*follower.Follower {
	take := map[string]func(follower.View){
		platform.KindConfig:      e.configSeen,
		platform.KindEndpoints:   e.endpointsSeen,
		platform.KindEvacuations: e.evacuationsSeen,
	}
	var list []*follower.Follower
	for kind, notify := range take {
		f := follower.New(e.store, kind, follower.WithNotify(notify), follower.WithReport(e.storeAnswered), follower.WithTurn(e.turn))
		e.followers[kind] = f
		list = append(list, f)
	}
	return list
}

// storeAnswered logs when the store is lost or answers again.
func (e *Edge) storeAnswered(kind string, err error) {
	if err != nil {
		e.metrics.storeErrors.Inc()
		e.log.Warn("store: lost", zap.String("kind", kind), zap.Error(err))
		return
	}
	e.log.Info("store: answers again", zap.String("kind", kind))
}

func (e *Edge) configSeen(v follower.View) {
	o, ok := v.Objects[platform.ConfigName]
	if !ok {
		return
	}
	config, err := platform.DecodeConfig(o.Spec)
	if err != nil {
		e.log.Error("configuration: not read, the one in force stays", zap.Error(err))
		return
	}
	e.mu.Lock()
	before := e.model.Version()
	e.model.Update(time.Now(), conductor.ConfigSeen{Config: config})
	after := e.model.Version()
	e.mu.Unlock()
	e.log.Info("configuration: seen", zap.Uint64("version", config.Version()), zap.Uint64("before", before),
		zap.Uint64("inForce", after), zap.Uint64("position", v.Position))
	e.checkReady()
	e.tellNews()
}

func (e *Edge) endpointsSeen(v follower.View) {
	e.mu.Lock()
	unreadable := e.roster.take(v, time.Now())
	e.tellEndpoints()
	count := len(e.roster.endpoints)
	e.mu.Unlock()
	for _, err := range unreadable {
		e.log.Warn("endpoint: entry not used", zap.Error(err))
	}
	e.log.Info("endpoints: seen", zap.Int("count", count), zap.Strings("removed", v.Removed), zap.Uint64("position", v.Position))
	e.checkReady()
	e.tellNews()
}

// tellEndpoints gives the loop the endpoints that count; e.mu is held.
func (e *Edge) tellEndpoints() {
	e.model.Update(time.Now(), conductor.EndpointsSeen{Endpoints: e.roster.list()})
}

// releaseGone drops endpoints that did not come back after an outage.
func (e *Edge) releaseGone(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.roster.release(now) {
		e.tellEndpoints()
		e.log.Info("endpoints: some did not come back", zap.Int("count", len(e.roster.endpoints)))
	}
}

func (e *Edge) evacuationsSeen(v follower.View) {
	zones := make([]string, 0, len(v.Objects))
	for zone := range v.Objects {
		zones = append(zones, zone)
	}
	e.update(conductor.EvacuationsSeen{Zones: zones})
	e.log.Info("evacuations: seen", zap.Strings("zones", zones), zap.Uint64("position", v.Position))
	e.tellNews()
}

// checkReady makes the instance ready once it can serve.
func (e *Edge) checkReady() {
	e.mu.Lock()
	able := e.model.Version() > 0 && len(e.roster.endpoints) > 0
	e.mu.Unlock()
	if able && e.ready.CompareAndSwap(false, true) {
		e.log.Info("ready")
	}
}

// turn returns this instance's place among those that ask the store.
func (e *Edge) turn() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Turn()
}

// copiesFor answers another instance with what is newer than it knows.
func (e *Edge) copiesFor(r heartbeater.CopyRequest) heartbeater.CopyAnswer {
	var answer heartbeater.CopyAnswer
	for kind, position := range r.Positions {
		f, ok := e.followers[kind]
		if !ok {
			continue
		}
		if d, ok := f.Delta(position); ok {
			answer.Deltas = append(answer.Deltas, d)
		}
	}
	return answer
}

// states returns how far the followers have come, for a heartbeat.
func (e *Edge) states(now time.Time) []conductor.KindState {
	var list []conductor.KindState
	for kind, f := range e.followers {
		s := f.State(now)
		if s.Position == 0 {
			continue
		}
		age := min(s.Age, tooOld).Milliseconds()
		list = append(list, conductor.KindState{Kind: kind, Position: s.Position, Changed: s.Changed, AgeMs: uint32(age)})
	}
	return list
}

// blind reports whether the store doesn't answer this instance.
func (e *Edge) blind() bool {
	for _, f := range e.followers {
		if !f.Reachable() {
			return true
		}
	}
	return false
}

// tooOld bounds the age of a check that is told to others.
const tooOld = time.Hour

// hearStates takes how far another instance's followers have come, and asks it
// for what is missing here.
func (e *Edge) hearStates(b conductor.Beat, now time.Time) {
	for _, s := range b.States {
		f, ok := e.followers[s.Kind]
		if !ok {
			continue
		}
		state := follower.State{Position: s.Position, Changed: s.Changed, Age: time.Duration(s.AgeMs) * time.Millisecond}
		if f.Hear(state, now) {
			select {
			case e.wanted <- want{kind: s.Kind, peer: b.Peers}:
			default:
				// Another heartbeat will say so again.
			}
		}
	}
}

// want is a kind of which another instance knows more.
type want struct {
	kind string
	peer string
}

// wantedMost bounds the news that wait to be fetched.
const wantedMost = 16

// fetchWanted asks other instances for what is missing here. What they don't
// give, the store is asked for.
func (e *Edge) fetchWanted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-e.wanted:
			f := e.followers[w.kind]
			if v, _ := f.View(); !e.fetch(ctx, w.peer, w.kind, v.Position) && ctx.Err() == nil {
				f.Ask()
			}
		}
	}
}

// fetch asks another instance for what changed after a position.
func (e *Edge) fetch(ctx context.Context, peer, kind string, position uint64) bool {
	answer, err := heartbeater.Fetch(ctx, e.copies, peer, heartbeater.CopyRequest{Positions: map[string]uint64{kind: position}})
	if err != nil {
		e.log.Info("copy: another instance gave none", zap.String("peer", peer), zap.String("kind", kind), zap.Error(err))
		return false
	}
	for _, d := range answer.Deltas {
		if f, ok := e.followers[d.Kind]; ok && f.Offer(d) {
			e.log.Info("copy: taken", zap.String("peer", peer), zap.String("kind", d.Kind), zap.Uint64("position", d.Position),
				zap.Bool("whole", d.Whole))
		}
	}
	return true
}

// register tells the store of this instance and learns of the others.
func (e *Edge) register(ctx context.Context) {
	self := platform.EncodeInstance(follower.Instance{
		Region: e.settings.Zones[e.settings.Instance.Zone], Zone: e.settings.Instance.Zone,
		Callers: e.settings.Listen.Callers, Peers: e.settings.Listen.Peers, Started: e.started,
	})
	for ctx.Err() == nil {
		err := e.store.Create(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		if errors.Is(err, follower.ErrConflict) {
			err = e.store.Replace(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		}
		if err == nil {
			break
		}
		e.log.Warn("instance: not registered", zap.Error(err))
		pause(ctx, registerRetry)
	}
	for ctx.Err() == nil {
		e.listInstances(ctx)
		pause(ctx, instancesEvery)
	}
}

// listInstances learns of the instances in the store.
func (e *Edge) listInstances(ctx context.Context) {
	objects, _, err := e.store.List(ctx, platform.KindInstances)
	if err != nil {
		e.log.Warn("instances: not listed", zap.Error(err))
		return
	}
	var ids []string
	for _, o := range objects {
		i, err := platform.DecodeInstance(o.Name, o.Spec)
		if err != nil {
			e.log.Warn("instance: entry not used", zap.Error(err))
			continue
		}
		ids = append(ids, i.ID)
		e.peers.add(i.Peers, i.Region, time.Time{}, false)
	}
	e.update(conductor.InstancesSeen{IDs: ids})
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
