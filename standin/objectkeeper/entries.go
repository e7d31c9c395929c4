package objectkeeper

import (
	"encoding/json"
	"strconv"
	"time"
)

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Slots    int
	Draining bool
}

// PutEndpoint writes an endpoint's entry.
func (k *FakeStore) PutEndpoint(e Endpoint) {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	k.Put("servers", e.ID, encode(map[string]any{
		"address": e.Address, "born": 1,
		"info":   map[string]any{"service": e.Service, "version": "v1", "zone": e.Zone, "slots": e.Slots},
		"status": map[string]any{"state": state, "sequence": 1, "cold-remaining-s": 0},
	}))
}

// Route is a route of a configuration.
type Route struct {
	Host       string
	Prefix     string
	Service    string
	Idempotent bool
	Timeout    time.Duration
	Target     time.Duration
}

// Team is a team of a configuration.
type Team struct {
	Keys  []string
	Rate  float64
	Burst float64
}

// Config is a configuration.
type Config struct {
	Version int
	Routes  map[string]Route
	Teams   map[string]Team
}

// PutConfig writes the configuration. Its services are those of its routes.
func (k *FakeStore) PutConfig(c Config) {
	routes, services, teams := map[string]any{}, map[string]any{}, map[string]any{}
	for name, r := range c.Routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		routes[name] = map[string]any{
			"host": r.Host, "path-prefix": r.Prefix, "route-type": kind, "service": r.Service, "max-attempts": 3,
			"timeout-s": r.Timeout.Seconds(), "target-latency-s": r.Target.Seconds(), "sticky": true,
		}
		services[r.Service] = map[string]any{"health-path": "/health", "warmup-s": 1, "cold-per-s": 20}
	}
	for name, t := range c.Teams {
		teams[name] = map[string]any{"api-keys": t.Keys, "rate-per-s": t.Rate, "burst-size": t.Burst}
	}
	k.Put("config", "main", encode(map[string]any{
		"version": "r" + strconv.Itoa(c.Version), "routes": routes, "services": services, "tenants": teams,
		"limits": map[string]any{"max-body-bytes": 1 << 20},
	}))
}

// SetEvacuated empties a zone or takes that back.
func (k *FakeStore) SetEvacuated(zone string, on bool) {
	if on {
		k.Put("evacuations", zone, json.RawMessage("{}"))
		return
	}
	k.Remove("evacuations", zone)
}

// encode encodes plain values, which can't fail.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
