package edger

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/conductor"
)

// fleetPath is the path at the metrics socket that states which instances this one knows, and on what
// basis it divides the teams' rates.
const fleetPath = "/v1/fleet"

// fleetLogInterval is the shortest time between two log lines about the fleet.
const fleetLogInterval = time.Second

// fleetLog holds what was last logged of the fleet, and when.
type fleetLog struct {
	state conductor.FleetState
	at    time.Time
}

// logFleetChanges logs which instances are missing and the basis of the teams' rates, if either has
// changed.
func (e *Edge) logFleetChanges(now time.Time) {
	if now.Sub(e.fleetLog.at) < fleetLogInterval {
		return
	}
	e.mu.Lock()
	state := e.model.FleetState(now)
	e.mu.Unlock()
	before := e.fleetLog.state
	e.fleetLog = fleetLog{state, now}
	if state.RateBasis == before.RateBasis && slices.Equal(state.MissingInstances, before.MissingInstances) &&
		slices.Equal(state.AbsentInstances, before.AbsentInstances) {
		return
	}
	e.log.Info("fleet: changed", zap.Stringer("rateBasis", state.RateBasis), zap.Stringer("before", before.RateBasis),
		zap.Int("live", state.LiveInstances), zap.Int("known", state.KnownInstances),
		zap.Strings("missing", state.MissingInstances), zap.Strings("absent", state.AbsentInstances),
		zap.Duration("storeAge", state.StoreAge))
}

// serveFleet states as JSON what this instance knows of the fleet.
func (e *Edge) serveFleet(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "want GET", http.StatusMethodNotAllowed)
		return
	}
	e.mu.Lock()
	report := e.model.FleetReport(time.Now())
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
