// Package router holds one version of the steering configuration and finds the route
// and the team of a request. It is used by the edge daemon, seamedge.
//
// A [Config] is immutable; a newer version replaces it as a whole. Rates are in
// requests per second over the whole fleet.
//
// # Usage
//
//	config := router.NewConfig(7, routes, services, limits, router.WithTeams(teams))
//	route, ok := config.Route("pages.example", "/lessons/2")
//	team, ok := config.TeamOf(key)
package router

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// WeightedService is one service of a route's traffic split and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is the policy for requests with a host and a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent means that requests may be executed more than once. Otherwise they are
	// executed at most once.
	Idempotent bool
	// Timeout is the longest time that a request may take. If it is 0, only the caller's
	// own timeout applies.
	Timeout time.Duration
	// TargetLatency is the latency within which requests should be answered. A later
	// response still counts, but for less.
	TargetLatency time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the most attempts made for a request. Each attempt goes to an
	// endpoint that was not tried before.
	MaxAttempts int
	// AllowAnonymous means that requests without a known key are served too.
	AllowAnonymous bool
	// Sticky means that an endpoint answers a request faster if it recently handled
	// another one for the same object, so the choice of the endpoint depends on the
	// object.
	Sticky bool
	// HomeRegions lists the regions that may serve the route; empty means all.
	HomeRegions []string
	// TrafficSplit lists the services of the route and their shares of its requests.
	TrafficSplit []WeightedService
}

// ReportedLoad is what an endpoint states of its load in a response.
type ReportedLoad struct {
	// WorkTimePercent is how long work takes on the endpoint's machine at the moment, in percent
	// of the usual time, or 0 if that isn't stated.
	WorkTimePercent int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Warmup is how long an endpoint is cold, that is, slower than normal, after its
	// start.
	Warmup time.Duration
	// ColdRate is the number of requests per second that a cold endpoint can handle.
	ColdRate float64
}

// Team is a customer. Rate and Burst apply to the whole fleet; a Rate of 0 means
// no limit.
type Team struct {
	Name        string
	Priority    int
	Rate        float64
	Burst       float64
	HomeRegions []string
	Keys        []string
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Endpoint describes one run of an upstream process.
type Endpoint struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the endpoint will be cold, as reported by the
	// endpoint.
	ColdRemaining time.Duration
	// StartedAtMs is the start of this run in Unix milliseconds.
	StartedAtMs int64
}

// Config is one version of the steering configuration.
type Config struct {
	version uint64
	// routesByHost and homesByHost have canonical hosts as keys. homesByHost holds only the
	// hosts that have a route with home regions.
	routesByHost map[string][]*Route
	homesByHost  map[string][]string
	services     map[string]Service
	requiresKeys bool
	teams        map[string]*Team
	teamsByKey   map[string]*Team
	limits       Limits
}

// Option configures a Config in NewConfig.
type Option func(*Config)

// WithTeams gives a configuration a table of teams. It may be empty: no request then has a
// known key, and only routes that allow that serve any. Without this option, no request needs
// a key, and no key is known.
//
// An empty key is nobody's, since a request without a key has it. If several teams hold a
// key, it counts for the first of them by name, so that all instances agree.
func WithTeams(teams []Team) Option {
	return func(c *Config) {
		c.requiresKeys = true
		teams = slices.SortedFunc(slices.Values(teams), func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
		for i := range teams {
			t := &teams[i]
			c.teams[t.Name] = t
			for _, key := range t.Keys {
				if _, held := c.teamsByKey[key]; key != "" && !held {
					c.teamsByKey[key] = t
				}
			}
		}
	}
}

// NewConfig returns a configuration with the given tables.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits, opts ...Option) *Config {
	c := &Config{
		version:      version,
		routesByHost: map[string][]*Route{},
		homesByHost:  map[string][]string{},
		services:     map[string]Service{},
		teams:        map[string]*Team{},
		teamsByKey:   map[string]*Team{},
		limits:       limits,
	}
	for i := range routes {
		r := &routes[i]
		host := CanonicalHost(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for host, list := range c.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Name, b.Name))
		})
		if homes, restricted := commonHomes(list); restricted {
			c.homesByHost[host] = homes
		}
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Version returns the number of the configuration. Later versions have higher
// numbers.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the settings of a service.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Teams returns all teams by name.
func (c *Config) Teams() map[string]*Team { return c.teams }

// BoundParts returns, for each region, the part of all requests that only this region may serve,
// if teams send in proportion to their rates. Teams without a rate are left out.
func (c *Config) BoundParts() map[string]float64 {
	total := 0.0
	parts := map[string]float64{}
	for _, t := range c.teams {
		total += max(t.Rate, 0)
		if len(t.HomeRegions) == 1 {
			parts[t.HomeRegions[0]] += max(t.Rate, 0)
		}
	}
	for region, rate := range parts {
		if rate > 0 {
			parts[region] = rate / total
		}
	}
	return parts
}

// RequiresKeys reports whether the configuration has a table of teams, be it empty. If so,
// requests need the key of a team, except on routes with AllowAnonymous.
func (c *Config) RequiresKeys() bool { return c.requiresKeys }

// TeamOf returns the team that holds a key, or false if no team does.
func (c *Config) TeamOf(key string) (*Team, bool) {
	t, ok := c.teamsByKey[key]
	return t, ok
}

// HomesOf returns the regions that are home to all routes of a host, and whether the host has
// routes with homes at all. There may be none: routes may have different homes.
func (c *Config) HomesOf(host string) (regions []string, restricted bool) {
	regions, restricted = c.homesByHost[CanonicalHost(host)]
	return regions, restricted
}

// commonHomes returns the regions that are home to all of the routes, and whether any of them
// has homes.
func commonHomes(routes []*Route) (regions []string, restricted bool) {
	for _, r := range routes {
		switch {
		case len(r.HomeRegions) == 0:
		case !restricted:
			regions, restricted = slices.Clone(r.HomeRegions), true
		default:
			regions = slices.DeleteFunc(regions, func(region string) bool { return !slices.Contains(r.HomeRegions, region) })
		}
	}
	return regions, restricted
}

// Route returns the route of a host whose prefix is the longest that matches the
// path, or false if none matches.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AllowedRegions returns the regions that are in both lists of home regions, a and b.
// An empty list allows all regions. If both lists are empty, restricted is false and
// any region may be used.
func AllowedRegions(a, b []string) (regions []string, restricted bool) {
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
