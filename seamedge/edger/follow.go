package edger

import (
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
)

// followedKinds are the kinds of which each instance has a copy.
var followedKinds = []string{platform.KindConfig, platform.KindEndpoints, platform.KindEvacuations}

// follow returns the followers of what the store says.
func (e *Edge) follow() []*follower.Follower {
	take := map[string]func(follower.View){
		platform.KindConfig:      e.configSeen,
		platform.KindEndpoints:   e.endpointsSeen,
		platform.KindEvacuations: e.evacuationsSeen,
	}
	var list []*follower.Follower
	for kind, notify := range take {
		f := follower.New(e.store, kind, follower.WithNotify(notify), follower.WithReport(e.storeAnswered), follower.WithPollRank(e.turn))
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
	e.checkAble()
	e.tellAll(v)
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
	e.checkAble()
	e.tellAll(v)
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
	e.tellAll(v)
}

// checkAble notes when the instance has what it needs to serve.
func (e *Edge) checkAble() {
	e.mu.Lock()
	able := e.model.Version() > 0 && len(e.roster.endpoints) > 0
	e.mu.Unlock()
	if able && e.able.CompareAndSwap(false, true) {
		e.log.Info("ready")
	}
}

// turn returns this instance's place among those that ask the store.
func (e *Edge) turn() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.StorePollRank()
}
