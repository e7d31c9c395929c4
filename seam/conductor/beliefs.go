package conductor

import "time"

// Stats are figures of what an instance believes, for its metrics.
type Stats struct {
	// Version is that of the configuration in force.
	Version uint64
	// Live is the number of instances that are heard, this one included, and
	// Known how many there are taken to be.
	Live, Known int
	// Endpoints is the number of endpoints known, Requests that of requests under
	// way.
	Endpoints, Requests int
	// TeamTokens holds, for each team with a rate, how many requests the fleet has
	// left of it now; a debt is negative.
	TeamTokens map[string]float64
	// RetryTokens holds what is left here of each service's retry budget.
	RetryTokens map[string]float64
}

// Stats returns what this instance believes.
func (m *Model) Stats(now time.Time) Stats {
	fleet := m.fleet()
	b := Stats{
		Version: m.Version(), Live: fleet.Heard, Known: fleet.Known, Endpoints: m.board.Count(), Requests: len(m.requests),
		TeamTokens: map[string]float64{}, RetryTokens: map[string]float64{},
	}
	for name, t := range m.teams {
		b.TeamTokens[name] = t.fleet.Tokens(now)
	}
	for service, r := range m.retries {
		b.RetryTokens[service] = r.bucket.Tokens(now)
	}
	return b
}
