// Package generator makes traces in the shape of the two deployments.
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

// deployment is the shape of a deployment.
type deployment struct {
	name      string
	regions   []string
	instances int
	services  []service
	network   tracer.Network
	// linkBytes is the capacity of a link in bytes a second, each way.
	linkBytes int64
}

// service is the shape of a service.
type service struct {
	name        string
	endpoints   int
	slots       int
	connections int
	work        time.Duration
	answerBytes int64
	idempotent  bool
	// part is the part of all requests that go to this service.
	part float64
}

const (
	domainsPerRegion = 2
	teams            = 8
	largeTeams       = 2
	largeTeamRate    = 120
	smallTeamRate    = 40
	serviceTimeout   = 4 * time.Second
	coldTime         = 10 * time.Second
	coldFactor       = 2
	reportLag        = time.Second
	bitsPerByte      = 8
	// burstParts is the part of a second's bytes that a link takes at once.
	burstParts = 10
)

func duration(d time.Duration) configurer.Duration { return configurer.Duration(d) }

func deploymentOf(name string) (deployment, error) {
	switch name {
	case "nathibandh":
		return nathibandh(), nil
	case "lonestar":
		return loneStar(), nil
	}
	return deployment{}, coder.Errorf(coder.TraceInvalid, "deployment", "no deployment %q; use nathibandh or lonestar", name)
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

func teamRate(i int) float64 {
	if i < largeTeams {
		return largeTeamRate
	}
	return smallTeamRate
}

func domainName(region string, i int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+rune(i%domainsPerRegion))
}

// endpointAddress gives each endpoint of the trace an address of its own.
func endpointAddress(serviceIndex, i int) string {
	return fmt.Sprintf("10.9.%d.%d:9000", serviceIndex+1, i+1)
}

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

func (d deployment) upstreams() []tracer.Upstream {
	var list []tracer.Upstream
	for _, s := range d.services {
		list = append(list, tracer.Upstream{
			Service: s.name, Work: duration(s.work), Cold: duration(coldTime), ColdFactor: coldFactor,
			ReportLag: duration(reportLag), AnswerBytes: s.answerBytes,
		})
	}
	return list
}

// document builds the deployment's configuration.
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
					From: region, To: to, CapBytesPerSecond: d.linkBytes, BurstBytes: d.linkBytes / burstParts,
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
	for i := range teams {
		defaults.Teams = append(defaults.Teams, configurer.Team{
			Name: teamName(i), RatePerSecond: teamRate(i), Burst: teamRate(i), Weight: 1,
		})
	}
	return configurer.Document{Defaults: defaults}
}

// slotsForOthers lets other regions use a quarter of a region's slots.
func (d deployment) slotsForOthers() int {
	slots := 0
	for _, s := range d.services {
		slots += s.endpoints * s.slots
	}
	return slots / len(d.regions) / 4
}

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
