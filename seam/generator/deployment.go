// Package generator makes traces for package replayer, which simulates a fleet. The
// operators' client seamctl uses it, and so do tests.
//
// A trace combines a deployment with a scenario and states the outcomes, which are
// bounds on the measurements of a replay. A deployment is a fleet with its regions,
// services and network; there are two of them. A scenario is a load with faults.
//
// # Usage
//
//	trace, err := generator.Make("nathibandh", "regionLost", 1)
//	err = trace.Write(file)
package generator

import (
	"fmt"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/tracer"
)

// deployment describes a fleet: its regions, services and network, and the number of its
// instances in all regions.
type deployment struct {
	name      string
	regions   []string
	instances int
	services  []service
	network   tracer.Network
	// linkBytes is the capacity of each link between two regions, in bytes per second and
	// direction.
	linkBytes int64
}

// service describes a service and its endpoints, which are the upstream processes that
// run its requests.
type service struct {
	name string
	// endpoints is the number of endpoints in all regions.
	endpoints int
	// slots is the number of requests that one endpoint runs at the same time, and
	// connections is the number of connections that it accepts.
	slots       int
	connections int
	// work is the mean time that an endpoint takes for a request, and answerBytes the
	// size of its answer.
	work        time.Duration
	answerBytes int64
	idempotent  bool
	// fraction is the fraction, 0 to 1, of each team's requests that go to this service.
	fraction float64
}

const (
	domainsPerRegion = 2
	teamCount        = 8
	largeTeamCount   = 2
	largeTeamRate    = 120
	smallTeamRate    = 40
	serviceTimeout   = 4 * time.Second
	// For the time coldDuration after its start, an endpoint is cold: it takes coldFactor
	// times as long for a request.
	coldDuration = 10 * time.Second
	coldFactor   = 2
	reportLag    = time.Second
	bitsPerByte  = 8
	// The burst of a link in bytes is its capacity in bytes per second divided by
	// burstDivisor: the traffic of a tenth of a second.
	burstDivisor = 10
)

// duration converts a duration to the type that traces and configurations use.
func duration(d time.Duration) configurer.Duration { return configurer.Duration(d) }

// deploymentByName returns the deployment with the given name, or an error if there is
// none.
func deploymentByName(name string) (deployment, error) {
	switch name {
	case "nathibandh":
		return nathibandh(), nil
	case "lonestar":
		return loneStar(), nil
	}
	return deployment{}, coder.Errorf(coder.TraceInvalid, "deployment", "unknown deployment %q; use nathibandh or lonestar", name)
}

// Deployments lists the names of the deployments.
func Deployments() []string { return []string{"nathibandh", "lonestar"} }

func nathibandh() deployment {
	return deployment{
		name: "nathibandh", regions: []string{"kolkata", "siliguri", "durgapur"}, instances: 10,
		network: tracer.Network{
			BetweenDomains: duration(time.Millisecond), BetweenRegions: duration(55 * time.Millisecond),
			ToClients: duration(8 * time.Millisecond), StoreRegion: "kolkata",
		},
		linkBytes: 4_000_000_000 / bitsPerByte,
		services: []service{
			{"index", 12, 3, 360, 40 * time.Millisecond, 20_000, true, 0.6},
			{"stamping", 12, 3, 360, 80 * time.Millisecond, 5_000, false, 0.2},
			{"archive", 14, 3, 360, 120 * time.Millisecond, 200_000, true, 0.2},
		},
	}
}

func loneStar() deployment {
	return deployment{
		name: "lonestar", regions: []string{"central", "gulf", "west"}, instances: 11,
		network: tracer.Network{
			BetweenDomains: duration(500 * time.Microsecond), BetweenRegions: duration(12 * time.Millisecond),
			ToClients: duration(8 * time.Millisecond), StoreRegion: "central",
		},
		linkBytes: 280_000_000 / bitsPerByte,
		services: []service{
			{"lessons", 16, 7, 390, 120 * time.Millisecond, 100_000, true, 0.7},
			{"payments", 12, 4, 390, 150 * time.Millisecond, 2_000, false, 0.2},
			{"transcripts", 12, 7, 390, 100 * time.Millisecond, 30_000, true, 0.1},
		},
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i+1) }

// teamRate returns the rate of the team with index i, in requests per second. The first
// largeTeamCount teams have the large rate.
func teamRate(i int) float64 {
	if i < largeTeamCount {
		return largeTeamRate
	}
	return smallTeamRate
}

// domainName returns the name of the failure domain with index i in a region. Any index
// is valid, because it is taken modulo domainsPerRegion.
func domainName(region string, i int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+rune(i%domainsPerRegion))
}

// endpointAddress returns the address of the endpoint with index i of a service. Each
// endpoint of a trace has an address of its own.
func endpointAddress(serviceIndex, i int) string {
	return fmt.Sprintf("10.9.%d.%d:9000", serviceIndex+1, i+1)
}

// instanceList returns the instances of the fleet, spread evenly over the regions and
// failure domains.
func (d deployment) instanceList() []tracer.Instance {
	var list []tracer.Instance
	for i := range d.instances {
		region := d.regions[i%len(d.regions)]
		list = append(list, tracer.Instance{
			ID: fmt.Sprintf("seamd-%d", i+1), Region: region, FailureDomain: domainName(region, i/len(d.regions)),
		})
	}
	return list
}

// upstreams returns the behavior of the endpoints of each service.
func (d deployment) upstreams() []tracer.Upstream {
	var list []tracer.Upstream
	for _, s := range d.services {
		list = append(list, tracer.Upstream{
			Service: s.name, Work: duration(s.work), Cold: duration(coldDuration), ColdFactor: coldFactor,
			ReportLag: duration(reportLag), AnswerBytes: s.answerBytes,
		})
	}
	return list
}

// document returns the configuration of the deployment at the start of a trace.
func (d deployment) document() configurer.Document {
	defaults := configurer.Defaults{FleetSize: d.instances}
	for _, region := range d.regions {
		defaults.Regions = append(defaults.Regions, configurer.Region{
			Name: region, FailureDomains: []string{domainName(region, 0), domainName(region, 1)},
			SlotsForOthers: d.slotsForOthers(),
		})
		for _, to := range d.regions {
			if to != region {
				defaults.Links = append(defaults.Links, configurer.Link{
					From: region, To: to, CapBytesPerSecond: d.linkBytes, BurstBytes: d.linkBytes / burstDivisor,
				})
			}
		}
	}
	for i, s := range d.services {
		defaults.Services = append(defaults.Services, d.service(i, s))
		defaults.Routes = append(defaults.Routes, configurer.Route{
			PathPrefix: "/" + s.name + "/", Service: s.name, Idempotent: s.idempotent, OpenToAll: true,
		})
	}
	for i := range teamCount {
		defaults.Teams = append(defaults.Teams, configurer.Team{
			Name: teamName(i), RatePerSecond: teamRate(i), Burst: teamRate(i), Weight: 1,
		})
	}
	return configurer.Document{Defaults: defaults}
}

// slotsForOthers returns the number of slots in each region that requests from other
// regions may use: a quarter of the mean number of slots in a region.
func (d deployment) slotsForOthers() int {
	slots := 0
	for _, s := range d.services {
		slots += s.endpoints * s.slots
	}
	return slots / len(d.regions) / 4
}

// service returns the configuration of the service s. The endpoints of the service are
// spread evenly over the regions and failure domains.
func (d deployment) service(index int, s service) configurer.Service {
	svc := configurer.Service{Name: s.name, Timeout: duration(serviceTimeout)}
	for i := range s.endpoints {
		region := d.regions[i%len(d.regions)]
		svc.Endpoints = append(svc.Endpoints, configurer.Endpoint{
			Address: endpointAddress(index, i), Region: region,
			FailureDomain: domainName(region, i/len(d.regions)),
			Slots:         s.slots, MaxConnections: s.connections,
		})
	}
	return svc
}
