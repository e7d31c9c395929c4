package conductor

import "time"

// Beliefs are figures of what an instance believes, for its metrics.
type Beliefs struct {
	// Version is that of the configuration in force.
	Version uint64
	// Heard is the number of instances that are heard, this one included, and
	// Known how many there are taken to be.
	Heard, Known int
	// Endpoints is the number of endpoints known, Requests that of requests under
	// way.
	Endpoints, Requests int
	// TeamsLeft holds, for each team with a rate, how many requests the fleet has
	// left of it now; a debt is negative.
	TeamsLeft map[string]float64
	// RetriesLeft holds what is left here of each service's retry budget.
	RetriesLeft map[string]float64
}

// Beliefs returns what this instance believes.
func (m *Model) Beliefs(now time.Time) Beliefs {
	fleet := m.fleet()
	b := Beliefs{
		Version: m.Version(), Heard: fleet.Heard, Known: fleet.Known, Endpoints: m.board.Count(), Requests: len(m.requests),
		TeamsLeft: map[string]float64{}, RetriesLeft: map[string]float64{},
	}
	for name, t := range m.teams {
		b.TeamsLeft[name] = t.fleet.Tokens(now)
	}
	for service, r := range m.retries {
		b.RetriesLeft[service] = r.bucket.Tokens(now)
	}
	return b
}
