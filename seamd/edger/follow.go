package edger

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// askEvery is how often another instance is asked while the store is away.
	askEvery = 700 * time.Millisecond
	// aliveWithin is how lately an instance must have been heard to be asked.
	aliveWithin = 2 * time.Second
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
		f := follower.New(e.store, kind, follower.WithNotify(notify), follower.WithReport(e.storeAnswered))
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

// copiesFor answers another instance with what is newer than it knows.
func (e *Edge) copiesFor(r heartbeater.CopyRequest) heartbeater.CopyAnswer {
	var answer heartbeater.CopyAnswer
	for kind, f := range e.followers {
		v, ok := f.View()
		if known, has := r.Positions[kind]; !ok || has && v.Position <= known {
			continue
		}
		c := heartbeater.Copy{Kind: kind, Position: v.Position}
		for _, o := range v.Objects {
			c.Objects = append(c.Objects, o)
		}
		answer.Copies = append(answer.Copies, c)
	}
	return answer
}

// askPeers asks other instances for copies while the store doesn't answer.
func (e *Edge) askPeers(ctx context.Context) {
	for pause(ctx, askEvery) {
		request := heartbeater.CopyRequest{Positions: map[string]uint64{}}
		missing := false
		for kind, f := range e.followers {
			v, ok := f.View()
			if ok {
				request.Positions[kind] = v.Position
			}
			missing = missing || !ok || !v.Reachable
		}
		alive := e.peers.alive(time.Now(), aliveWithin)
		if !missing || len(alive) == 0 {
			continue
		}
		address := alive[rand.N(len(alive))]
		answer, err := heartbeater.Fetch(ctx, e.copies, address, request)
		if err != nil {
			e.log.Info("copies: another instance gave none", zap.String("peer", address), zap.Error(err))
			continue
		}
		for _, c := range answer.Copies {
			if f, ok := e.followers[c.Kind]; ok && f.Offer(c.Objects, c.Position) {
				e.log.Info("copies: taken", zap.String("peer", address), zap.String("kind", c.Kind), zap.Uint64("position", c.Position))
			}
		}
	}
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
