package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

// Stats is a snapshot of the model for metrics.
type Stats struct {
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// LiveInstances is the number of live instances, this one included. KnownInstances is
	// the number of instances that may be running, live or not.
	LiveInstances, KnownInstances int
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
	fleet := m.fleet()
	s := Stats{
		ConfigVersion: m.ConfigVersion(), LiveInstances: fleet.LiveInstances, KnownInstances: fleet.KnownInstances,
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
