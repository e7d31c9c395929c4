package edger

import (
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
)

// followedKinds lists the kinds of objects in the store. Each instance keeps a copy of all
// objects of these kinds.
var followedKinds = []string{platform.KindConfig, platform.KindEndpoints, platform.KindEvacuations}

// newFollowers creates a follower for each kind in followedKinds. It returns them and
// stores them in e.followers.
func (e *Edge) newFollowers() []*follower.Follower {
	handlers := map[string]func(follower.View){
		platform.KindConfig:      e.handleConfig,
		platform.KindEndpoints:   e.handleEndpoints,
		platform.KindEvacuations: e.handleEvacuations,
	}
	var list []*follower.Follower
	for kind, notify := range handlers {
		f := follower.New(e.store, kind, follower.WithNotify(notify), follower.WithReport(e.handleStoreReport), follower.WithPollRank(e.storePollRank))
		e.followers[kind] = f
		list = append(list, f)
	}
	return list
}

// handleStoreReport logs that a follower's call to the store failed with err. If err is
// nil, it logs that the store answers again.
func (e *Edge) handleStoreReport(kind string, err error) {
	if err != nil {
		e.metrics.storeErrors.Inc()
		e.log.Warn("store: call failed", zap.String("kind", kind), zap.Error(err))
		return
	}
	e.log.Info("store: reachable again", zap.String("kind", kind))
}

func (e *Edge) handleConfig(v follower.View) {
	o, ok := v.Objects[platform.ConfigName]
	if !ok {
		return
	}
	config, err := platform.DecodeConfig(o.Spec)
	if err != nil {
		e.log.Error("configuration: decoding failed; the version in force stays", zap.Error(err))
		return
	}
	e.mu.Lock()
	before := e.model.ConfigVersion()
	e.model.Update(time.Now(), conductor.ConfigReceived{Config: config})
	after := e.model.ConfigVersion()
	e.mu.Unlock()
	e.log.Info("configuration: seen", zap.Uint64("version", config.Version()), zap.Uint64("before", before),
		zap.Uint64("inForce", after), zap.Uint64("position", v.Position))
	e.checkReady()
	e.announceView(v)
}

func (e *Edge) handleEndpoints(v follower.View) {
	e.mu.Lock()
	invalid := e.endpointTable.update(v, time.Now())
	e.updateModelEndpoints()
	count := len(e.endpointTable.endpoints)
	e.mu.Unlock()
	for _, err := range invalid {
		e.log.Warn("endpoint: invalid store entry ignored", zap.Error(err))
	}
	e.log.Info("endpoints: seen", zap.Int("count", count), zap.Strings("removed", v.Removed), zap.Uint64("position", v.Position))
	e.checkReady()
	e.announceView(v)
}

// updateModelEndpoints passes the current endpoints to the model. The caller holds
// e.mu.
func (e *Edge) updateModelEndpoints() {
	e.model.Update(time.Now(), conductor.EndpointsReceived{Endpoints: e.endpointTable.list()})
}

// removeMissingEndpoints removes the endpoints whose entries were removed after an outage
// of the store and have not reappeared before the end of reappearGrace.
func (e *Edge) removeMissingEndpoints(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endpointTable.removeMissing(now) {
		e.updateModelEndpoints()
		e.log.Info("endpoints: removed those still missing after a store outage", zap.Int("count", len(e.endpointTable.endpoints)))
	}
}

func (e *Edge) handleEvacuations(v follower.View) {
	zones := make([]string, 0, len(v.Objects))
	for zone := range v.Objects {
		zones = append(zones, zone)
	}
	e.update(conductor.EvacuationsReceived{Zones: zones})
	e.log.Info("evacuations: seen", zap.Strings("zones", zones), zap.Uint64("position", v.Position))
	e.announceView(v)
}

// checkReady marks the instance as ready once it has a configuration and endpoints.
func (e *Edge) checkReady() {
	e.mu.Lock()
	ready := e.model.ConfigVersion() > 0 && len(e.endpointTable.endpoints) > 0
	e.mu.Unlock()
	if ready && e.ready.CompareAndSwap(false, true) {
		e.log.Info("ready")
	}
}

// storePollRank returns this instance's rank, from 0 up, among the live instances that can
// reach the store. The instance of rank 0 polls the store all the time; the others poll
// later, the greater their rank is. See [follower.WithPollRank].
func (e *Edge) storePollRank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.StorePollRank()
}
