package objectkeeper

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"
)

// Endpoint is the entry of an upstream's endpoint in the store. In production the endpoint
// writes it.
type Endpoint struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Slots    int
	Draining bool
}

// PutEndpoint writes an endpoint's entry.
func (s *FakeStore) PutEndpoint(e Endpoint) {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	s.Put("servers", e.ID, encode(map[string]any{
		"address": e.Address, "born": 1,
		"info":   map[string]any{"service": e.Service, "version": "v1", "zone": e.Zone, "slots": e.Slots},
		"status": map[string]any{"state": state, "sequence": s.nextSequence(), "cold-remaining-s": 0},
	}))
}

// nextSequence returns the next number of an endpoint's report.
func (s *FakeStore) nextSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.sequence
}

// Route is a route of a configuration: requests for a host and a path prefix go to a
// service.
type Route struct {
	Host          string
	PathPrefix    string
	Service       string
	Idempotent    bool
	Timeout       time.Duration
	TargetLatency time.Duration
}

// Team is a team of a configuration.
type Team struct {
	// Keys has the API keys of the team.
	Keys []string
	// Rate is the number of requests per second that the team may send, and Burst the
	// number that it may send at once.
	Rate  float64
	Burst float64
}

// Limits are the limits on clients. A BodyBytes of 0 stands for 1 MiB, and an IdleTimeout of 0 for none.
type Limits struct {
	BodyBytes   int
	IdleTimeout time.Duration
}

// fields returns the limits as they stand in the configuration.
func (l Limits) fields() map[string]any {
	const defaultBodyBytes = 1 << 20
	fields := map[string]any{"max-body-bytes": cmp.Or(l.BodyBytes, defaultBodyBytes)}
	if l.IdleTimeout > 0 {
		fields["idle-timeout-s"] = l.IdleTimeout.Seconds()
	}
	return fields
}

// Config is the content of a configuration. Routes and teams are given by their name.
type Config struct {
	Version int
	Routes  map[string]Route
	Teams   map[string]Team
	Limits  Limits
}

// PutConfig writes the configuration. The configuration gets an entry for each service that
// a route goes to.
func (s *FakeStore) PutConfig(c Config) {
	routes, services, teams := map[string]any{}, map[string]any{}, map[string]any{}
	for name, r := range c.Routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		routes[name] = map[string]any{
			"host": r.Host, "path-prefix": r.PathPrefix, "route-type": kind, "service": r.Service, "max-attempts": 3,
			"timeout-s": r.Timeout.Seconds(), "target-latency-s": r.TargetLatency.Seconds(), "sticky": true,
		}
		services[r.Service] = map[string]any{"health-path": "/health", "warmup-s": 1, "cold-per-s": 20}
	}
	for name, t := range c.Teams {
		teams[name] = map[string]any{"api-keys": t.Keys, "rate-per-s": t.Rate, "burst-size": t.Burst}
	}
	s.Put("config", "main", encode(map[string]any{
		"version": "r" + strconv.Itoa(c.Version), "routes": routes, "services": services, "tenants": teams,
		"limits": c.Limits.fields(),
	}))
}

// SetEvacuated marks a zone as evacuated or removes the mark. The endpoints in an evacuated
// zone must get no requests.
func (s *FakeStore) SetEvacuated(zone string, on bool) {
	if on {
		s.Put("evacuations", zone, json.RawMessage("{}"))
		return
	}
	s.Remove("evacuations", zone)
}

// encode encodes maps of plain values, for which JSON encoding can't fail.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
