package edger

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
)

// followedKinds lists the kinds of objects in the store. Each instance keeps a copy of all
// objects of these kinds.
var followedKinds = []string{platform.KindConfig, platform.KindEndpoints, platform.KindEvacuations}

// rewriteTime is how long the instance keeps what it knew better after the store has come
// back from an older copy of its data. By then the operators and the endpoints have written
// again what was lost.
const rewriteTime = 15 * time.Second

// retentions defines, for each kind, what is kept after the store has come back from an
// older copy: the newest configuration, drains and departures of endpoints, and
// evacuations. An endpoint that the store lacks stays only as long as after an outage.
var retentions = map[string]follower.Retention{
	platform.KindConfig: {
		Generation: func(spec json.RawMessage) follower.Generation {
			return follower.Generation{Count: platform.ConfigVersion(spec)}
		},
		Missing: rewriteTime, Outdated: rewriteTime,
	},
	platform.KindEndpoints: {
		Generation: func(spec json.RawMessage) follower.Generation {
			startedAtMs, sequence := platform.EndpointGeneration(spec)
			return follower.Generation{Lifetime: startedAtMs, Count: sequence}
		},
		Missing: reappearGrace, Outdated: rewriteTime,
	},
	platform.KindEvacuations: {Missing: rewriteTime, Outdated: rewriteTime},
}

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
		notifyOfEra := func(v follower.View) {
			e.noteEra(v)
			notify(v)
		}
		opts := []follower.Option{
			follower.WithNotify(notifyOfEra), follower.WithReport(e.handleStoreReport), follower.WithPollRank(e.storePollRank),
			follower.WithRetention(retentions[kind]), follower.WithClock(e.clock),
		}
		if kind == platform.KindConfig {
			opts = append(opts, follower.WithPatches())
		}
		f := follower.New(e.store, kind, opts...)
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

// noteEra records the store's era. If it is a new one, the store has come back from an older
// copy of its data: noteEra then logs that and makes the instance register itself again.
func (e *Edge) noteEra(v follower.View) {
	era := int64(follower.EraOf(v.Position))
	known := e.storeEra.Load()
	if era <= known || !e.storeEra.CompareAndSwap(known, era) || known < 0 {
		return
	}
	e.log.Warn("store: new era", zap.Int64("era", era), zap.Int64("before", known), zap.String("kind", v.Kind))
	select {
	case e.registerAgain <- struct{}{}:
	default:
	}
}

func (e *Edge) handleConfig(v follower.View) {
	o, ok := v.Objects[platform.ConfigName]
	if !ok {
		return
	}
	config, err := e.configDecoder.Decode(o)
	if err != nil {
		e.metrics.refusedConfigs.Inc()
		e.log.Error("configuration: refused as a whole; the version in force stays", zap.Uint64("version", platform.ConfigVersion(o.Spec)), zap.Error(err))
		return
	}
	e.mu.Lock()
	before := e.model.ConfigVersion()
	e.model.Update(time.Now(), conductor.ConfigReceived{Config: config})
	after := e.model.ConfigVersion()
	if after == config.Version() {
		e.metrics.setTeams(config.Teams())
	}
	e.mu.Unlock()
	e.log.Info("configuration: seen", zap.Uint64("version", config.Version()), zap.Uint64("before", before),
		zap.Uint64("inForce", after), zap.Bool("keysRequired", config.RequiresKeys()), zap.Int("teams", len(config.Teams())), zap.String("position", follower.FormatPosition(v.Position)))
	e.checkReady()
	e.announceView(v)
}

func (e *Edge) handleEndpoints(v follower.View) {
	e.mu.Lock()
	invalid := e.endpointTable.update(v, e.clock.Now())
	e.updateModelEndpoints()
	count := len(e.endpointTable.endpoints)
	e.mu.Unlock()
	e.metrics.invalidEntries.Add(len(invalid))
	for _, err := range invalid {
		e.log.Warn("endpoint: invalid store entry ignored", zap.Error(err))
	}
	e.log.Info("endpoints: seen", zap.Int("count", count), zap.Strings("removed", v.Removed), zap.String("position", follower.FormatPosition(v.Position)))
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
	e.log.Info("evacuations: seen", zap.Strings("zones", zones), zap.String("position", follower.FormatPosition(v.Position)))
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
