package conductor

import (
	"slices"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
)

// FleetState is what an instance knows of the fleet.
type FleetState struct {
	// LiveInstances is the number of live instances, this one included. KnownInstances is
	// the number of instances that may be running, live or not.
	LiveInstances, KnownInstances int
	// LiveIDs are the IDs of the live instances, and MissingInstances those of the known ones that
	// aren't live. AbsentInstances are those of the missing ones that have shown no sign of life in
	// the store either.
	LiveIDs, MissingInstances, AbsentInstances []string
	// RateBasis is why this instance may use which part of each team's rate. RatePart is the part that
	// the live instances use together or, if the basis isn't shared, this one alone, for a team
	// whose burst is one second of its rate.
	RateBasis rationer.Basis
	RatePart  float64
	// StoreAge is the time since the store last answered a live instance.
	StoreAge time.Duration
}

// FleetState returns what is known of the fleet.
func (m *Model) FleetState(now time.Time) FleetState {
	fleet := m.fleet()
	s := FleetState{
		LiveInstances: fleet.LiveInstances, KnownInstances: fleet.KnownInstances, MissingInstances: m.missing(),
		RateBasis: fleet.Basis(), StoreAge: now.Sub(later(m.storeContactAt, m.firstUpdate)),
	}
	for _, ids := range m.live {
		s.LiveIDs = append(s.LiveIDs, ids...)
	}
	slices.Sort(s.LiveIDs)
	for _, id := range s.MissingInstances {
		if m.absent(id) {
			s.AbsentInstances = append(s.AbsentInstances, id)
		}
	}
	s.RatePart = rationer.Share(fleet, 0, 0)
	if s.RateBasis.IsShared() {
		s.RatePart, _ = s.RateBasis.Together(1, 1)
	}
	return s
}

// FleetReport is a [FleetState] for operators.
type FleetReport struct {
	Instance string   `json:"instance"`
	Live     []string `json:"live"`
	Missing  []string `json:"missing"`
	Absent   []string `json:"absent"`
	Known    int      `json:"known"`
	// RateBasis is the name of a [rationer.Basis].
	RateBasis  string  `json:"rateBasis"`
	RatePart   float64 `json:"ratePart"`
	StoreAgeMs int64   `json:"storeAgeMs"`
}

// FleetReport returns what is known of the fleet.
func (m *Model) FleetReport(now time.Time) FleetReport {
	s := m.FleetState(now)
	return FleetReport{
		Instance: m.id, Live: s.LiveIDs, Missing: s.MissingInstances, Absent: s.AbsentInstances, Known: s.KnownInstances,
		RateBasis: s.RateBasis.String(), RatePart: s.RatePart, StoreAgeMs: s.StoreAge.Milliseconds(),
	}
}

// Stats is a snapshot of the model for metrics.
type Stats struct {
	FleetState
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// KnownEndpoints is the number of listed endpoints. RequestsInFlight is the number of
	// requests that were sent to an endpoint at least once and have not ended.
	KnownEndpoints, RequestsInFlight int
	// LimitedEndpoints is the number of listed endpoints that name a rate limit.
	LimitedEndpoints int
	// QuarantinedRequests is the number of digests in quarantine.
	QuarantinedRequests int
	// TeamTokens holds, for each team with a rate limit that sent requests here, the
	// tokens left in its fleet-wide bucket; negative after admissions beyond the
	// rate.
	TeamTokens map[string]float64
	// RetryTokens holds the tokens left in this instance's part of each service's
	// retry budget.
	RetryTokens map[string]float64
	// RegionParts is the plan of the parts of this region's requests that go to each region.
	RegionParts map[string]float64
}

// TakeLimitChanges returns the changes of endpoints' rate limits since the last call.
func (m *Model) TakeLimitChanges() []placer.LimitChange { return m.balancer.TakeLimitChanges() }

// Stats returns a snapshot of the model.
func (m *Model) Stats(now time.Time) Stats {
	s := Stats{
		FleetState: m.FleetState(now), ConfigVersion: m.ConfigVersion(),
		KnownEndpoints: m.balancer.EndpointCount(), RequestsInFlight: len(m.requests), LimitedEndpoints: m.balancer.LimitedCount(),
		QuarantinedRequests: m.quarantiner.Quarantined(),
		TeamTokens:          map[string]float64{}, RetryTokens: map[string]float64{},
		RegionParts: m.regulator.Parts(),
	}
	for name, t := range m.teams {
		s.TeamTokens[name] = t.fleetBucket.Tokens(now)
	}
	for service, r := range m.retryBudgets {
		s.RetryTokens[service] = r.bucket.Tokens(now)
	}
	return s
}
