package demonstrator

import (
	"fmt"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// Shape describes a deployment's size.
type Shape struct {
	Name      string
	Regions   []string
	Instances int
	Services  []ServiceShape
	Teams     int
	LinkBytes int64
}

// ServiceShape describes the endpoints of a service.
type ServiceShape struct {
	Name       string
	Endpoints  int
	Slots      int
	Conns      int
	Work       time.Duration
	Idempotent bool
}

// ShapeOf returns the shape of a named deployment.
func ShapeOf(name string) (Shape, error) {
	switch name {
	case "nathibandh":
		return Shape{
			Name: name, Regions: []string{"kolkata", "siliguri", "durgapur"}, Instances: 10, Teams: 8,
			LinkBytes: 4_000_000_000 / 8,
			Services: []ServiceShape{
				{Name: "index", Endpoints: 12, Slots: 3, Conns: 360, Work: 20 * time.Millisecond, Idempotent: true},
				{Name: "stamping", Endpoints: 12, Slots: 3, Conns: 360, Work: 30 * time.Millisecond},
				{Name: "archive", Endpoints: 14, Slots: 3, Conns: 360, Work: 40 * time.Millisecond, Idempotent: true},
			},
		}, nil
	case "lonestar":
		return Shape{
			Name: name, Regions: []string{"central", "gulf", "west"}, Instances: 11, Teams: 8,
			LinkBytes: 280_000_000 / 8,
			Services: []ServiceShape{
				{Name: "lessons", Endpoints: 16, Slots: 7, Conns: 390, Work: 20 * time.Millisecond, Idempotent: true},
				{Name: "payments", Endpoints: 12, Slots: 4, Conns: 390, Work: 30 * time.Millisecond},
				{Name: "transcripts", Endpoints: 12, Slots: 7, Conns: 390, Work: 20 * time.Millisecond, Idempotent: true},
			},
		}, nil
	}
	return Shape{}, coder.Errorf(coder.ArgumentInvalid, "--deployment", "no deployment %q; use nathibandh or lonestar", name)
}

// slotsForOthers is the number of a region's slots that other regions may use.
const slotsForOthers = 4

// domainsPerRegion is the number of failure domains in each region.
const domainsPerRegion = 2

func domainName(region string, i int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+rune(i%domainsPerRegion))
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i+1) }

// teamRate makes the first two teams large.
func teamRate(i int) float64 {
	if i < 2 {
		return 120
	}
	return 40
}

// linkBurst returns the bytes that a link takes at once.
func (s Shape) linkBurst() float64 { return float64(s.LinkBytes / 10) }

// teams returns the teams of the deployment and the prober's own.
func (s Shape) teams() []configurer.Team {
	var teams []configurer.Team
	for i := range s.Teams {
		rate := teamRate(i)
		teams = append(teams, configurer.Team{Name: teamName(i), RatePerSecond: rate, Burst: rate, Weight: 1})
	}
	return append(teams, configurer.Team{Name: probeTeam, RatePerSecond: 1000, Burst: 1000, Weight: 1})
}

// document builds the fleet's configuration for running upstreams.
func (s Shape) document(endpoints map[string][]configurer.Endpoint) configurer.Document {
	d := configurer.Defaults{FleetSize: s.Instances}
	for i, region := range s.Regions {
		d.Regions = append(d.Regions, configurer.Region{
			Name:           region,
			FailureDomains: []string{domainName(region, 0), domainName(region, 1)},
			ClientBlocks:   []string{fmt.Sprintf("10.%d.0.0/16", i+1)},
			SlotsForOthers: slotsForOthers,
		})
		for _, to := range s.Regions {
			if to != region {
				d.Links = append(d.Links, configurer.Link{From: region, To: to, CapBytesPerSecond: s.LinkBytes, BurstBytes: int64(s.linkBurst())})
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
