// Package configurer defines the load balancer's configuration and validates it. The
// fleet daemon seamd and the operators' client seamctl use it.
//
// A configuration is one JSON document that all instances share. It holds the defaults
// of the whole fleet and a list of exceptions. An exception overrides defaults for one
// team or endpoint and must state a reason. [Parse] and [New] validate the whole
// document, so that every [Config] is valid.
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

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`duration must be a string such as "1.5s"`)
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

// Defaults is the configuration of the whole fleet.
type Defaults struct {
	// FleetSize is the maximum number of instances. The connections that an
	// endpoint allows are divided by it; see [Endpoint.MaxConnections].
	FleetSize int       `json:"fleetSize"`
	Regions   []Region  `json:"regions"`
	Links     []Link    `json:"links,omitempty"`
	Services  []Service `json:"services"`
	Routes    []Route   `json:"routes"`
	Teams     []Team    `json:"teams"`
	// KeyFreshness is how long an instance accepts keys after its last confirmation
	// that its list of keys is up to date; 0 means [DefaultKeyFreshness].
	KeyFreshness Duration `json:"keyFreshness,omitempty"`
}

// DefaultKeyFreshness is the value of keyFreshness if a configuration doesn't set it.
const DefaultKeyFreshness = 15 * time.Second

// Region is a group of failure domains with low latency between them.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failureDomains"`
	// SlotsForOthers is the maximum number of slots, over all endpoints of this
	// region, that requests from other regions may occupy at the same time. If it is
	// 0, such requests may not occupy any slots.
	SlotsForOthers int `json:"slotsForOthers,omitempty"`
	// ClientBlocks lists CIDR blocks of client addresses that are near this region.
	ClientBlocks []string `json:"clientBlocks,omitempty"`
}

// Link limits the bandwidth of traffic from one region to another. It doesn't limit the
// traffic in the opposite direction.
type Link struct {
	From              string `json:"from"`
	To                string `json:"to"`
	CapBytesPerSecond int64  `json:"capBytesPerSecond"`
	BurstBytes        int64  `json:"burstBytes"`
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// Timeout limits the duration of a request, including the time in the queue.
	Timeout   Duration   `json:"timeout"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one upstream process.
type Endpoint struct {
	// Address is an IP address with a port.
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the maximum number of requests that the endpoint runs at the same time.
	Slots int `json:"slots"`
	// MaxConnections limits the connections to the endpoint. Each instance may open
	// MaxConnections divided by FleetSize, or Slots if that is more.
	MaxConnections int `json:"maxConnections"`
	// Draining means that the endpoint gets no new requests.
	Draining bool `json:"draining,omitempty"`
}

// Route maps a path prefix to a service.
type Route struct {
	PathPrefix string `json:"pathPrefix"`
	Service    string `json:"service"`
	// Idempotent means that requests on this route may be executed more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Affinity sends requests with the same path to the same endpoint as long as that
	// endpoint has a free slot, so that the endpoint finds them in its cache.
	Affinity bool `json:"affinity,omitempty"`
	// OpenToAll means that every team may use the route. If it is false, only the
	// teams in Teams may use the route.
	OpenToAll bool     `json:"openToAll,omitempty"`
	Teams     []string `json:"teams,omitempty"`
}

// Team is a customer with its rate limit and its weight in queues.
type Team struct {
	Name string `json:"name"`
	// RatePerSecond and Burst limit the total of the team's requests at all instances.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	// Weight is the share of free slots that the team gets, relative to the weights of
	// the other teams that have requests in the same queue.
	Weight int `json:"weight"`
}

// Exception overrides defaults for one team or endpoint.
type Exception struct {
	Reason string       `json:"reason"`
	Scope  Scope        `json:"scope"`
	Set    ExceptionSet `json:"set"`
	// Expires is when the defaults apply again; nil means never.
	Expires *time.Time `json:"expires,omitempty"`
}

// Scope is the team or endpoint to which an exception applies; exactly one is set.
type Scope struct {
	Team     string `json:"team,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// ExceptionSet holds the values that an exception overrides. Nil fields keep the
// default.
type ExceptionSet struct {
	RatePerSecond *float64 `json:"ratePerSecond,omitempty"`
	Burst         *float64 `json:"burst,omitempty"`
	Weight        *int     `json:"weight,omitempty"`
	Slots         *int     `json:"slots,omitempty"`
	Draining      *bool    `json:"draining,omitempty"`
}

// Config is a valid configuration with its exceptions applied. It is immutable: for a
// newer version, [New] or [Parse] makes another Config, and [Config.At] makes a copy.
type Config struct {
	version  int64
	document Document
	change   Change
	teams    map[string]Team
	services map[string]Service
	// serviceByAddress maps each endpoint's address to the name of its service.
	serviceByAddress map[string]string
}

// Parse decodes and validates a JSON document and returns it as a configuration with
// this version. The JSON may include the change that made the document, as [Stored]
// does. Errors have the code [coder.ConfigInvalid]. If a value is invalid, the error
// carries the path of the value in the document.
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

// New validates doc and returns it as a configuration with this version. It applies all
// exceptions, including expired ones. [Config.At] leaves out the expired exceptions.
func New(doc Document, version int64) (*Config, error) {
	if err := check(doc); err != nil {
		return nil, err
	}
	c := &Config{version: version, document: doc}
	c.buildIndexes(func(Exception) bool { return true })
	return c, nil
}

// buildIndexes fills the maps of teams, services and addresses from the document and
// applies the exceptions for which inForce returns true.
func (c *Config) buildIndexes(inForce func(Exception) bool) {
	c.teams = make(map[string]Team, len(c.document.Defaults.Teams))
	c.services = make(map[string]Service, len(c.document.Defaults.Services))
	c.serviceByAddress = map[string]string{}
	for _, t := range c.document.Defaults.Teams {
		c.teams[t.Name] = t
	}
	for _, s := range c.document.Defaults.Services {
		s.Endpoints = append([]Endpoint(nil), s.Endpoints...)
		c.services[s.Name] = s
		for _, endpoint := range s.Endpoints {
			c.serviceByAddress[endpoint.Address] = s.Name
		}
	}
	for _, e := range c.document.Exceptions {
		if inForce(e) {
			c.apply(e)
		}
	}
}

// Version returns the version of the configuration object in the store.
func (c *Config) Version() int64 { return c.version }

// Change returns the record of the change that made this version. If the document was
// parsed without such a record, Change returns the zero Change.
func (c *Config) Change() Change { return c.change }

// KeyFreshness returns how long an instance accepts keys after its last confirmation
// that its list of keys is up to date.
func (c *Config) KeyFreshness() time.Duration {
	if d := c.document.Defaults.KeyFreshness; d > 0 {
		return time.Duration(d)
	}
	return DefaultKeyFreshness
}

// Document returns the original document, without its exceptions applied.
func (c *Config) Document() Document { return c.document }

// FleetSize returns the maximum number of instances.
func (c *Config) FleetSize() int { return c.document.Defaults.FleetSize }

// Regions returns the regions in the order of the document.
func (c *Config) Regions() []Region { return c.document.Defaults.Regions }

// Links returns the links in the order of the document.
func (c *Config) Links() []Link { return c.document.Defaults.Links }

// Team returns the team with its exceptions applied, and false if the configuration has
// no such team.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns all teams with their exceptions applied, in the order of the document.
func (c *Config) Teams() []Team {
	teams := make([]Team, 0, len(c.teams))
	for _, t := range c.document.Defaults.Teams {
		teams = append(teams, c.teams[t.Name])
	}
	return teams
}

// Service returns the service with the exceptions of its endpoints applied, and false if
// the configuration has no such service.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceOf returns the name of the service to which an endpoint's address belongs, and
// false if the configuration has no such endpoint.
func (c *Config) ServiceOf(address string) (string, bool) {
	name, ok := c.serviceByAddress[address]
	return name, ok
}

// Services returns all services with the exceptions of their endpoints applied, in the
// order of the document.
func (c *Config) Services() []Service {
	services := make([]Service, 0, len(c.services))
	for _, s := range c.document.Defaults.Services {
		services = append(services, c.services[s.Name])
	}
	return services
}

// Route returns the route with the longest prefix that matches path, and false if no
// route matches.
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

// apply overrides the values of the exception's team or endpoint. It changes endpoints
// in place. These are copies that buildIndexes made, so the document stays the same.
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

func applyToEndpoint(e Endpoint, set ExceptionSet) Endpoint {
	if set.Slots != nil {
		e.Slots = *set.Slots
	}
	if set.Draining != nil {
		e.Draining = *set.Draining
	}
	return e
}
