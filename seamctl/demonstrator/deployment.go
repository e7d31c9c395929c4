package demonstrator

import (
	"fmt"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// Shape describes a deployment: its regions, its services, and how many instances and
// teams it has.
type Shape struct {
	Name      string
	Regions   []string
	Instances int
	Services  []ServiceShape
	Teams     int
	// LinkBytesPerSecond is the bandwidth limit of the link from each region to each
	// other region.
	LinkBytesPerSecond int64
}

// ServiceShape describes a service and its endpoints.
type ServiceShape struct {
	Name      string
	Endpoints int
	// Slots is the number of requests that an endpoint can run at once.
	Slots           int
	ConnectionLimit int
	// Work is the time that an endpoint takes for a request when it has been running
	// for longer than warmUpTime.
	Work       time.Duration
	Idempotent bool
}

// ShapeOf returns the shape of the deployment with the given name, "nathibandh" or
// "lonestar". It returns an ArgumentInvalid error for any other name.
func ShapeOf(name string) (Shape, error) {
	switch name {
	case "nathibandh":
		return Shape{
			Name: name, Regions: []string{"kolkata", "siliguri", "durgapur"}, Instances: 10, Teams: 8,
			LinkBytesPerSecond: 4_000_000_000 / 8,
			Services: []ServiceShape{
				{Name: "index", Endpoints: 12, Slots: 3, ConnectionLimit: 360, Work: 20 * time.Millisecond, Idempotent: true},
				{Name: "stamping", Endpoints: 12, Slots: 3, ConnectionLimit: 360, Work: 30 * time.Millisecond},
				{Name: "archive", Endpoints: 14, Slots: 3, ConnectionLimit: 360, Work: 40 * time.Millisecond, Idempotent: true},
			},
		}, nil
	case "lonestar":
		return Shape{
			Name: name, Regions: []string{"central", "gulf", "west"}, Instances: 11, Teams: 8,
			LinkBytesPerSecond: 280_000_000 / 8,
			Services: []ServiceShape{
				{Name: "lessons", Endpoints: 16, Slots: 7, ConnectionLimit: 390, Work: 20 * time.Millisecond, Idempotent: true},
				{Name: "payments", Endpoints: 12, Slots: 4, ConnectionLimit: 390, Work: 30 * time.Millisecond},
				{Name: "transcripts", Endpoints: 12, Slots: 7, ConnectionLimit: 390, Work: 20 * time.Millisecond, Idempotent: true},
			},
		}, nil
	}
	return Shape{}, coder.Errorf(coder.ArgumentInvalid, "--deployment", "unknown deployment %q; use nathibandh or lonestar", name)
}

// slotsForOthers is the number of a region's slots that requests from other regions
// may use at once.
const slotsForOthers = 4

// domainsPerRegion is the number of failure domains in each region.
const domainsPerRegion = 2

// failureDomainName returns the name of a failure domain of a region. The index i may
// be any number from 0; it is taken modulo domainsPerRegion.
func failureDomainName(region string, i int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+rune(i%domainsPerRegion))
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i+1) }

// teamRate returns the rate limit of the team with index i in requests per second. The
// first two teams have three times the rate limit of the other teams.
func teamRate(i int) float64 {
	if i < 2 {
		return 120
	}
	return 40
}

// linkBurst returns the burst size of a link in bytes: the bytes that the bandwidth
// limit allows in a tenth of a second.
func (s Shape) linkBurst() float64 { return float64(s.LinkBytesPerSecond / 10) }

// teams returns the configuration of the deployment's teams and of the prober's team.
func (s Shape) teams() []configurer.Team {
	var teams []configurer.Team
	for i := range s.Teams {
		rate := teamRate(i)
		teams = append(teams, configurer.Team{Name: teamName(i), RatePerSecond: rate, Burst: rate, Weight: 1})
	}
	return append(teams, configurer.Team{Name: probeTeam, RatePerSecond: 1000, Burst: 1000, Weight: 1})
}

// document returns the configuration of the deployment. endpoints holds the endpoints of
// each service by the service's name.
func (s Shape) document(endpoints map[string][]configurer.Endpoint) configurer.Document {
	d := configurer.Defaults{FleetSize: s.Instances}
	for i, region := range s.Regions {
		d.Regions = append(d.Regions, configurer.Region{
			Name:           region,
			FailureDomains: []string{failureDomainName(region, 0), failureDomainName(region, 1)},
			ClientBlocks:   []string{fmt.Sprintf("10.%d.0.0/16", i+1)},
			SlotsForOthers: slotsForOthers,
		})
		for _, to := range s.Regions {
			if to != region {
				d.Links = append(d.Links, configurer.Link{From: region, To: to, CapBytesPerSecond: s.LinkBytesPerSecond, BurstBytes: int64(s.linkBurst())})
			}
		}
	}
	for _, svc := range s.Services {
		d.Services = append(d.Services, configurer.Service{
			Name: svc.Name, Timeout: configurer.Duration(2 * time.Second), Endpoints: endpoints[svc.Name],
		})
		d.Routes = append(d.Routes, configurer.Route{
			PathPrefix: "/" + svc.Name + "/", Service: svc.Name, Idempotent: svc.Idempotent, OpenToAll: true,
		})
	}
	d.Teams = s.teams()
	return configurer.Document{Defaults: d}
}
