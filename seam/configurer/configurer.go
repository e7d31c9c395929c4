// Package configurer defines the fleet's configuration and checks it.
//
// A configuration is one JSON document: a set of defaults for the whole fleet
// and a short list of exceptions, each with a written reason. [Parse] checks a
// document as a whole, so that a configuration that exists is a valid one.
//
// # Usage
//
//	c, err := configurer.Parse(document)
//	team, ok := c.Team("stamping-clerks")
package configurer

import (
	"encoding/json"
	"errors"
	"time"
)

// Duration is a time.Duration that is written as a Go duration string, "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is a string such as "1.5s"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Document is the configuration as operators write it.
type Document struct {
	Defaults   Defaults    `json:"defaults"`
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// Defaults holds what applies to the whole fleet.
type Defaults struct {
	FleetSize int       `json:"fleetSize"`
	Regions   []Region  `json:"regions"`
	Links     []Link    `json:"links,omitempty"`
	Services  []Service `json:"services"`
	Routes    []Route   `json:"routes"`
	Teams     []Team    `json:"teams"`
	// KeyFreshness is how long an instance trusts its keys without evidence
	// that they are the newest; 0 means [DefaultKeyFreshness].
	KeyFreshness Duration `json:"keyFreshness,omitempty"`
}

// DefaultKeyFreshness applies if a configuration doesn't set keyFreshness.
const DefaultKeyFreshness = 15 * time.Second

// Region is a set of failure domains that are close to each other.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failureDomains"`
	// SlotsForOthers is the number of upstream slots that traffic from other
	// regions may use at once.
	SlotsForOthers int `json:"slotsForOthers,omitempty"`
	// ClientBlocks lists the CIDR blocks of callers near this region.
	ClientBlocks []string `json:"clientBlocks,omitempty"`
}

// Link is one direction between two regions.
type Link struct {
	From              string `json:"from"`
	To                string `json:"to"`
	CapBytesPerSecond int64  `json:"capBytesPerSecond"`
	BurstBytes        int64  `json:"burstBytes"`
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Timeout bounds one request, queueing included.
	Timeout   Duration   `json:"timeout"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one upstream process.
type Endpoint struct {
	Address        string `json:"address"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"maxConnections"`
	Draining       bool   `json:"draining,omitempty"`
}

// Route maps a path prefix to a service.
type Route struct {
	PathPrefix string `json:"pathPrefix"`
	Service    string `json:"service"`
	// Idempotent means that a request on this route may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Affinity sends the same path to the same endpoint while it has a free
	// slot, so that its cache stays warm.
	Affinity bool `json:"affinity,omitempty"`
	// OpenToAll means that every team may use the route; otherwise Teams lists
	// those that may.
	OpenToAll bool     `json:"openToAll,omitempty"`
	Teams     []string `json:"teams,omitempty"`
}

// Team is a customer and its share of the fleet.
type Team struct {
	Name string `json:"name"`
	// RatePerSecond and Burst hold over all instances together.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	// Weight is the team's part of a contended queue.
	Weight int `json:"weight"`
}

// Exception changes a default for one team or endpoint.
type Exception struct {
	Reason  string       `json:"reason"`
	Scope   Scope        `json:"scope"`
	Set     ExceptionSet `json:"set"`
	Expires *time.Time   `json:"expires,omitempty"`
}

// Scope names what an exception applies to; exactly one field is set.
type Scope struct {
	Team     string `json:"team,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// ExceptionSet lists the values that an exception sets.
type ExceptionSet struct {
	RatePerSecond *float64 `json:"ratePerSecond,omitempty"`
	Burst         *float64 `json:"burst,omitempty"`
	Weight        *int     `json:"weight,omitempty"`
	Slots         *int     `json:"slots,omitempty"`
	Draining      *bool    `json:"draining,omitempty"`
}

// Config is a checked configuration with its exceptions applied. It doesn't
// change; a newer version replaces it whole.
type Config struct {
	version  int64
	document Document
	change   Change
	teams    map[string]Team
	services map[string]Service
	// byEndpoint holds the service of each endpoint's address.
	byEndpoint map[string]string
}

// Parse decodes and checks a document. Errors carry [coder.ConfigInvalid] and
// the path of the field at fault.
func Parse(data []byte, version int64) (*Config, error) {
	stored, err := ParseStored(data)
	if err != nil {
		return nil, err
	}
	c, err := New(stored.Document, version)
	if err == nil && stored.Change != nil {
		c.change = *stored.Change
	}
	return c, err
}

// New checks doc and returns it as a configuration.
func New(doc Document, version int64) (*Config, error) {
	if err := check(doc); err != nil {
		return nil, err
	}
	c := &Config{version: version, document: doc}
	c.build(func(Exception) bool { return true })
	return c, nil
}

// build fills the indexes, with the exceptions that inForce accepts applied.
func (c *Config) build(inForce func(Exception) bool) {
	c.teams = make(map[string]Team, len(c.document.Defaults.Teams))
	c.services = make(map[string]Service, len(c.document.Defaults.Services))
	c.byEndpoint = map[string]string{}
	for _, t := range c.document.Defaults.Teams {
		c.teams[t.Name] = t
	}
	for _, s := range c.document.Defaults.Services {
		s.Endpoints = append([]Endpoint(nil), s.Endpoints...)
		c.services[s.Name] = s
		for _, p := range s.Endpoints {
			c.byEndpoint[p.Address] = s.Name
		}
	}
	for _, e := range c.document.Exceptions {
		if inForce(e) {
			c.apply(e)
		}
	}
}

// Version returns the store's version of the configuration.
func (c *Config) Version() int64 { return c.version }

// Change returns who put the version in the store; its ID may be empty.
func (c *Config) Change() Change { return c.change }

// KeyFreshness returns how long keys are trusted without fresh evidence.
func (c *Config) KeyFreshness() time.Duration {
	if d := c.document.Defaults.KeyFreshness; d > 0 {
		return time.Duration(d)
	}
	return DefaultKeyFreshness
}

// Document returns the document as it was written.
func (c *Config) Document() Document { return c.document }

// FleetSize returns the greatest number of entry instances.
func (c *Config) FleetSize() int { return c.document.Defaults.FleetSize }

// Regions returns the regions in the order in which they were written.
func (c *Config) Regions() []Region { return c.document.Defaults.Regions }

// Links returns the links in the order in which they were written.
func (c *Config) Links() []Link { return c.document.Defaults.Links }

// Team returns the team with its exceptions applied.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns all teams, exceptions applied, in the order of the document.
func (c *Config) Teams() []Team {
	teams := make([]Team, 0, len(c.teams))
	for _, t := range c.document.Defaults.Teams {
		teams = append(teams, c.teams[t.Name])
	}
	return teams
}

// Service returns the service with its exceptions applied.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceOf returns the service of the endpoint at an address.
func (c *Config) ServiceOf(address string) (string, bool) {
	name, ok := c.byEndpoint[address]
	return name, ok
}

// Services returns all services, exceptions applied, in document order.
func (c *Config) Services() []Service {
	services := make([]Service, 0, len(c.services))
	for _, s := range c.document.Defaults.Services {
		services = append(services, c.services[s.Name])
	}
	return services
}

// Route returns the route with the longest prefix of path.
func (c *Config) Route(path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.document.Defaults.Routes {
		if !prefixMatches(path, r.PathPrefix) {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

func prefixMatches(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}

func (c *Config) apply(e Exception) {
	if t, ok := c.teams[e.Scope.Team]; ok {
		c.teams[t.Name] = applyToTeam(t, e.Set)
		return
	}
	for _, s := range c.services {
		for i := range s.Endpoints {
			if s.Endpoints[i].Address == e.Scope.Endpoint {
				s.Endpoints[i] = applyToEndpoint(s.Endpoints[i], e.Set)
			}
		}
	}
}

func applyToTeam(t Team, set ExceptionSet) Team {
	if set.RatePerSecond != nil {
		t.RatePerSecond = *set.RatePerSecond
	}
	if set.Burst != nil {
		t.Burst = *set.Burst
	}
	if set.Weight != nil {
		t.Weight = *set.Weight
	}
	return t
}

func applyToEndpoint(p Endpoint, set ExceptionSet) Endpoint {
	if set.Slots != nil {
		p.Slots = *set.Slots
	}
	if set.Draining != nil {
		p.Draining = *set.Draining
	}
	return p
}
