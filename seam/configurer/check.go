package configurer

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"primroseseam.org/seam/coder"
)

// Limits of the values in a document.
const (
	maxFleetSize        = 1000
	maxSlotsPerEndpoint = 10_000
	maxWeight           = 1000
	minKeyFreshness     = 5 * time.Second
	maxKeyFreshness     = 24 * time.Hour
)

// checker validates a document and keeps the first error. The maps hold the names that
// the document has defined so far, to find duplicates and references to names that
// don't exist.
type checker struct {
	err            error
	regions        map[string]bool
	regionByDomain map[string]string
	services       map[string]bool
	teams          map[string]bool
	endpoints      map[string]bool
	routePrefixes  map[string]bool
}

// check validates a document and returns the first error, with the path of the
// invalid field.
func check(doc Document) error {
	c := &checker{
		regions:        map[string]bool{},
		regionByDomain: map[string]string{},
		services:       map[string]bool{},
		teams:          map[string]bool{},
		endpoints:      map[string]bool{},
		routePrefixes:  map[string]bool{},
	}
	defaults := doc.Defaults
	c.require(defaults.FleetSize > 0 && defaults.FleetSize <= maxFleetSize, "defaults.fleetSize",
		"must be between 1 and %d", maxFleetSize)
	freshness := time.Duration(defaults.KeyFreshness)
	c.require(freshness == 0 || freshness >= minKeyFreshness && freshness <= maxKeyFreshness,
		"defaults.keyFreshness", "must be between %v and %v", minKeyFreshness, maxKeyFreshness)
	c.checkRegions(defaults.Regions)
	c.checkLinks(defaults.Links)
	c.checkTeams(defaults.Teams)
	c.checkServices(defaults.Services)
	c.checkRoutes(defaults.Routes)
	c.checkExceptions(doc.Exceptions)
	return c.err
}

// require records an error for path if ok is false and no error was recorded before.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = coder.Errorf(coder.ConfigInvalid, path, format, args...)
}

// requireUnique requires that name isn't empty and isn't in seen, and adds name to seen.
func (c *checker) requireUnique(seen map[string]bool, name, path string) {
	c.require(name != "", path, "must not be empty")
	c.require(!seen[name], path, "duplicate value %q", name)
	seen[name] = true
}

func (c *checker) checkRegions(regions []Region) {
	c.require(len(regions) > 0, "defaults.regions", "must list at least one region")
	for i, r := range regions {
		path := fmt.Sprintf("defaults.regions[%d]", i)
		c.requireUnique(c.regions, r.Name, path+".name")
		c.require(len(r.FailureDomains) > 0, path+".failureDomains", "must list at least one failure domain")
		c.require(r.SlotsForOthers >= 0, path+".slotsForOthers", "must not be negative")
		for j, domain := range r.FailureDomains {
			_, duplicate := c.regionByDomain[domain]
			c.require(!duplicate, fmt.Sprintf("%s.failureDomains[%d]", path, j), "duplicate value %q", domain)
			c.regionByDomain[domain] = r.Name
		}
		for j, block := range r.ClientBlocks {
			_, err := netip.ParsePrefix(block)
			c.require(err == nil, fmt.Sprintf("%s.clientBlocks[%d]", path, j), "%q is not a CIDR block", block)
		}
	}
}

func (c *checker) checkLinks(links []Link) {
	seen := map[string]bool{}
	for i, l := range links {
		path := fmt.Sprintf("defaults.links[%d]", i)
		c.require(c.regions[l.From], path+".from", "unknown region %q", l.From)
		c.require(c.regions[l.To], path+".to", "unknown region %q", l.To)
		c.require(l.From != l.To, path+".to", "must be another region than from")
		c.require(l.CapBytesPerSecond > 0, path+".capBytesPerSecond", "must be positive")
		c.require(l.BurstBytes > 0, path+".burstBytes", "must be positive")
		c.requireUnique(seen, l.From+" to "+l.To, path)
	}
}

func (c *checker) checkTeams(teams []Team) {
	for i, t := range teams {
		path := fmt.Sprintf("defaults.teams[%d]", i)
		c.requireUnique(c.teams, t.Name, path+".name")
		c.require(t.RatePerSecond > 0, path+".ratePerSecond", "must be positive")
		c.require(t.Burst >= 1, path+".burst", "must be at least 1")
		c.require(t.Weight > 0 && t.Weight <= maxWeight, path+".weight", "must be between 1 and %d", maxWeight)
	}
}

func (c *checker) checkServices(services []Service) {
	c.require(len(services) > 0, "defaults.services", "must list at least one service")
	for i, s := range services {
		path := fmt.Sprintf("defaults.services[%d]", i)
		c.requireUnique(c.services, s.Name, path+".name")
		c.require(s.Timeout > 0, path+".timeout", "must be positive")
		c.require(len(s.Endpoints) > 0, path+".endpoints", "must list at least one endpoint")
		for j, e := range s.Endpoints {
			c.checkEndpoint(e, fmt.Sprintf("%s.endpoints[%d]", path, j))
		}
	}
}

func (c *checker) checkEndpoint(e Endpoint, path string) {
	c.requireUnique(c.endpoints, e.Address, path+".address")
	_, err := netip.ParseAddrPort(e.Address)
	c.require(err == nil, path+".address", "%q is not an IP address with a port", e.Address)
	c.require(c.regions[e.Region], path+".region", "unknown region %q", e.Region)
	c.require(c.regionByDomain[e.FailureDomain] == e.Region, path+".failureDomain",
		"%q is not in region %q", e.FailureDomain, e.Region)
	c.require(e.Slots > 0 && e.Slots <= maxSlotsPerEndpoint, path+".slots",
		"must be between 1 and %d", maxSlotsPerEndpoint)
	c.require(e.MaxConnections >= e.Slots, path+".maxConnections", "must be at least the number of slots")
}

func (c *checker) checkRoutes(routes []Route) {
	c.require(len(routes) > 0, "defaults.routes", "must list at least one route")
	for i, r := range routes {
		path := fmt.Sprintf("defaults.routes[%d]", i)
		c.requireUnique(c.routePrefixes, r.PathPrefix, path+".pathPrefix")
		c.require(strings.HasPrefix(r.PathPrefix, "/"), path+".pathPrefix", "must start with /")
		c.require(c.services[r.Service], path+".service", "unknown service %q", r.Service)
		c.require(r.OpenToAll != (len(r.Teams) > 0), path+".teams", "set exactly one of openToAll and teams")
		for j, team := range r.Teams {
			c.require(c.teams[team], fmt.Sprintf("%s.teams[%d]", path, j), "unknown team %q", team)
		}
	}
}

func (c *checker) checkExceptions(exceptions []Exception) {
	for i, e := range exceptions {
		path := fmt.Sprintf("exceptions[%d]", i)
		c.require(strings.TrimSpace(e.Reason) != "", path+".reason", "every exception needs a reason")
		c.require((e.Scope.Team == "") != (e.Scope.Endpoint == ""), path+".scope", "set exactly one of team and endpoint")
		if e.Scope.Team != "" {
			c.checkTeamException(e, path)
		} else {
			c.checkEndpointException(e, path)
		}
	}
}

func (c *checker) checkTeamException(e Exception, path string) {
	c.require(c.teams[e.Scope.Team], path+".scope.team", "unknown team %q", e.Scope.Team)
	c.require(e.Set.Slots == nil && e.Set.Draining == nil, path+".set", "slots and draining apply only to endpoints")
	c.require(e.Set.RatePerSecond == nil || *e.Set.RatePerSecond > 0, path+".set.ratePerSecond", "must be positive")
	c.require(e.Set.Burst == nil || *e.Set.Burst >= 1, path+".set.burst", "must be at least 1")
	c.require(e.Set.Weight == nil || *e.Set.Weight > 0, path+".set.weight", "must be positive")
}

func (c *checker) checkEndpointException(e Exception, path string) {
	c.require(c.endpoints[e.Scope.Endpoint], path+".scope.endpoint", "unknown endpoint %q", e.Scope.Endpoint)
	c.require(e.Set.RatePerSecond == nil && e.Set.Burst == nil && e.Set.Weight == nil, path+".set",
		"ratePerSecond, burst and weight apply only to teams")
	c.require(e.Set.Slots == nil || *e.Set.Slots > 0, path+".set.slots", "must be positive")
}
