package configurer

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"primroseseam.org/seam/coder"
)

// Bounds of a document's values.
const (
	maxFleetSize        = 1000
	maxSlotsPerEndpoint = 10_000
	maxWeight           = 1000
	minKeyFreshness     = 5 * time.Second
	maxKeyFreshness     = 24 * time.Hour
)

// checker walks a document and keeps the first fault.
type checker struct {
	err           error
	regions       map[string]bool
	domains       map[string]string
	services      map[string]bool
	teams         map[string]bool
	endpoints     map[string]bool
	routePrefixes map[string]bool
}

func check(doc Document) error {
	c := &checker{
		regions:       map[string]bool{},
		domains:       map[string]string{},
		services:      map[string]bool{},
		teams:         map[string]bool{},
		endpoints:     map[string]bool{},
		routePrefixes: map[string]bool{},
	}
	d := doc.Defaults
	c.require(d.FleetSize > 0 && d.FleetSize <= maxFleetSize, "defaults.fleetSize",
		"must be 1 to %d", maxFleetSize)
	freshness := time.Duration(d.KeyFreshness)
	c.require(freshness == 0 || freshness >= minKeyFreshness && freshness <= maxKeyFreshness,
		"defaults.keyFreshness", "must be %v to %v", minKeyFreshness, maxKeyFreshness)
	c.checkRegions(d.Regions)
	c.checkLinks(d.Links)
	c.checkTeams(d.Teams)
	c.checkServices(d.Services)
	c.checkRoutes(d.Routes)
	c.checkExceptions(doc.Exceptions)
	return c.err
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = coder.Errorf(coder.ConfigInvalid, path, format, args...)
}

func (c *checker) unique(seen map[string]bool, name, path string) {
	c.require(name != "", path, "must not be empty")
	c.require(!seen[name], path, "%q stands twice", name)
	seen[name] = true
}

func (c *checker) checkRegions(regions []Region) {
	c.require(len(regions) > 0, "defaults.regions", "needs at least one region")
	for i, r := range regions {
		path := fmt.Sprintf("defaults.regions[%d]", i)
		c.unique(c.regions, r.Name, path+".name")
		c.require(len(r.FailureDomains) > 0, path+".failureDomains", "needs at least one")
		c.require(r.SlotsForOthers >= 0, path+".slotsForOthers", "must not be negative")
		for j, domain := range r.FailureDomains {
			_, taken := c.domains[domain]
			c.require(!taken, fmt.Sprintf("%s.failureDomains[%d]", path, j), "%q stands twice", domain)
			c.domains[domain] = r.Name
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
		c.require(c.regions[l.From], path+".from", "no region %q", l.From)
		c.require(c.regions[l.To], path+".to", "no region %q", l.To)
		c.require(l.From != l.To, path+".to", "must differ from the link's start")
		c.require(l.CapBytesPerSecond > 0, path+".capBytesPerSecond", "must be positive")
		c.require(l.BurstBytes > 0, path+".burstBytes", "must be positive")
		c.unique(seen, l.From+" to "+l.To, path)
	}
}

func (c *checker) checkTeams(teams []Team) {
	for i, t := range teams {
		path := fmt.Sprintf("defaults.teams[%d]", i)
		c.unique(c.teams, t.Name, path+".name")
		c.require(t.RatePerSecond > 0, path+".ratePerSecond", "must be positive")
		c.require(t.Burst >= 1, path+".burst", "must be at least 1")
		c.require(t.Weight > 0 && t.Weight <= maxWeight, path+".weight", "must be 1 to %d", maxWeight)
	}
}

func (c *checker) checkServices(services []Service) {
	c.require(len(services) > 0, "defaults.services", "needs at least one service")
	for i, s := range services {
		path := fmt.Sprintf("defaults.services[%d]", i)
		c.unique(c.services, s.Name, path+".name")
		c.require(s.Timeout > 0, path+".timeout", "must be positive")
		c.require(len(s.Endpoints) > 0, path+".endpoints", "needs at least one endpoint")
		for j, p := range s.Endpoints {
			c.checkEndpoint(p, fmt.Sprintf("%s.endpoints[%d]", path, j))
		}
	}
}

func (c *checker) checkEndpoint(p Endpoint, path string) {
	c.unique(c.endpoints, p.Address, path+".address")
	_, err := netip.ParseAddrPort(p.Address)
	c.require(err == nil, path+".address", "%q is not an IP address with a port", p.Address)
	c.require(c.regions[p.Region], path+".region", "no region %q", p.Region)
	c.require(c.domains[p.FailureDomain] == p.Region, path+".failureDomain",
		"%q is not in region %q", p.FailureDomain, p.Region)
	c.require(p.Slots > 0 && p.Slots <= maxSlotsPerEndpoint, path+".slots", "must be 1 to %d", maxSlotsPerEndpoint)
	c.require(p.MaxConnections >= p.Slots, path+".maxConnections", "must be at least the number of slots")
}

func (c *checker) checkRoutes(routes []Route) {
	c.require(len(routes) > 0, "defaults.routes", "needs at least one route")
	for i, r := range routes {
		path := fmt.Sprintf("defaults.routes[%d]", i)
		c.unique(c.routePrefixes, r.PathPrefix, path+".pathPrefix")
		c.require(strings.HasPrefix(r.PathPrefix, "/"), path+".pathPrefix", "must start with /")
		c.require(c.services[r.Service], path+".service", "no service %q", r.Service)
		c.require(r.OpenToAll != (len(r.Teams) > 0), path+".teams", "set either openToAll or teams")
		for j, team := range r.Teams {
			c.require(c.teams[team], fmt.Sprintf("%s.teams[%d]", path, j), "no team %q", team)
		}
	}
}

func (c *checker) checkExceptions(exceptions []Exception) {
	for i, e := range exceptions {
		path := fmt.Sprintf("exceptions[%d]", i)
		c.require(strings.TrimSpace(e.Reason) != "", path+".reason", "every exception needs a reason")
		c.require((e.Scope.Team == "") != (e.Scope.Endpoint == ""), path+".scope", "set either team or endpoint")
		if e.Scope.Team != "" {
			c.checkTeamException(e, path)
		} else {
			c.checkEndpointException(e, path)
		}
	}
}

func (c *checker) checkTeamException(e Exception, path string) {
	c.require(c.teams[e.Scope.Team], path+".scope.team", "no team %q", e.Scope.Team)
	c.require(e.Set.Slots == nil && e.Set.Draining == nil, path+".set", "slots and draining belong to endpoints")
	c.require(e.Set.RatePerSecond == nil || *e.Set.RatePerSecond > 0, path+".set.ratePerSecond", "must be positive")
	c.require(e.Set.Burst == nil || *e.Set.Burst >= 1, path+".set.burst", "must be at least 1")
	c.require(e.Set.Weight == nil || *e.Set.Weight > 0, path+".set.weight", "must be positive")
}

func (c *checker) checkEndpointException(e Exception, path string) {
	c.require(c.endpoints[e.Scope.Endpoint], path+".scope.endpoint", "no endpoint %q", e.Scope.Endpoint)
	c.require(e.Set.RatePerSecond == nil && e.Set.Burst == nil && e.Set.Weight == nil, path+".set",
		"rate, burst and weight belong to teams")
	c.require(e.Set.Slots == nil || *e.Set.Slots > 0, path+".set.slots", "must be positive")
}
