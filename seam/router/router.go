// Package router holds a version of the steering configuration and finds the
// route and the team of a request.
//
// A [Config] doesn't change; a newer version replaces it whole. Durations are
// Go durations, rates are requests per second over the whole fleet.
//
// # Usage
//
//	config := router.NewConfig(7, routes, services, teams, limits)
//	route, ok := config.Route("pages.example", "/lessons/2")
//	team, ok := config.TeamOf(key)
package router

import (
	"slices"
	"strings"
	"time"
)

// Part is one service of a route's split and its share of the requests.
type Part struct {
	Service string
	Weight  int
}

// Route says where the requests of a host below a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once, all others at most once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full benefit.
	Target time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// MaxAttempts is the most endpoints that one request may be sent to.
	MaxAttempts int
	// Open routes need no key.
	Open bool
	// Sticky routes are faster at an endpoint that handled the same object.
	Sticky bool
	// Homes lists the regions that may serve the route; none means all.
	Homes []string
	Parts []Part
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Warmup is how long an endpoint stays cold after its start.
	Warmup time.Duration
	// ColdRate is the requests per second that a cold endpoint bears.
	ColdRate float64
}

// Team is a customer. Rate and Burst hold over the whole fleet; a Rate of 0
// means no limit.
type Team struct {
	Name     string
	Priority int
	Rate     float64
	Burst    float64
	Homes    []string
	Keys     []string
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Endpoint is one lifetime of an upstream process.
type Endpoint struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Slots    int
	Draining bool
	// Cold is how much longer the endpoint stays cold, as it said itself.
	Cold time.Duration
	// Born is the start of this lifetime in Unix milliseconds.
	Born int64
}

// Config is one version of the steering configuration.
type Config struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]Service
	teams    map[string]*Team
	byKey    map[string]*Team
	limits   Limits
}

// NewConfig returns a configuration that holds the given tables.
func NewConfig(version uint64, routes []Route, services []Service, teams []Team, limits Limits) *Config {
	c := &Config{
		version:  version,
		hosts:    map[string][]*Route{},
		services: map[string]Service{},
		teams:    map[string]*Team{},
		byKey:    map[string]*Team{},
		limits:   limits,
	}
	for i := range routes {
		r := &routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for i := range teams {
		t := &teams[i]
		c.teams[t.Name] = t
		for _, key := range t.Keys {
			c.byKey[key] = t
		}
	}
	return c
}

// Version returns the number of the configuration. Versions only grow.
func (c *Config) Version() uint64 { return c.version }

// Limits returns what a caller may send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the settings of a service.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Teams returns all teams by name.
func (c *Config) Teams() map[string]*Team { return c.teams }

// HasTeams reports whether requests need a key at all.
func (c *Config) HasTeams() bool { return len(c.teams) > 0 }

// TeamOf returns the team that holds a key.
func (c *Config) TeamOf(key string) (*Team, bool) {
	t, ok := c.byKey[key]
	return t, ok
}

// Route returns the route of the host with the longest prefix of the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Homes returns the regions that two lists of homes both allow. No list means
// all regions; bound is false if neither list binds.
func Homes(a, b []string) (regions []string, bound bool) {
	switch {
	case len(a) == 0:
		return b, len(b) > 0
	case len(b) == 0:
		return a, true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}
