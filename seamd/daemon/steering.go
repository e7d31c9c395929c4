package daemon

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/steerer"
)

// steerInterval is how often the steering compares the loads of the regions.
const steerInterval = time.Second

// steering holds the state of the decision which share of each region's callers uses
// other regions. In every region, one instance makes this decision, and the region's
// other instances adopt the shares from its heartbeats. shares holds the shares of all
// regions. silentRegions are the regions from which no heartbeat has arrived for some
// time.
type steering struct {
	controller    *steerer.Controller
	shares        steerer.Shares
	silentRegions []string
	nextStep      time.Time
}

// steer compares the loads of the regions and updates the shares in the lookup table, at
// most once per steerInterval. For its own region and for regions that send heartbeats,
// it uses the shares that were decided there. For a silent region, it computes the shares
// itself. The caller holds s.mu.
func (s *membership) steer(now time.Time) {
	config := s.daemon.config.Load()
	if config == nil || now.Before(s.steering.nextStep) {
		return
	}
	s.steering.nextStep = now.Add(steerInterval)
	sums := s.model.RegionSums(now)
	loads := regionLoads(config, sums, s.view.Load().SilentRegions)
	s.steerOwnRegion(now, loads)
	s.steering.silentRegions = s.view.Load().SilentRegions
	shares := steerer.Shares{}.With(s.daemon.settings.Instance.Region, s.steering.controller.Shares())
	for _, sum := range sums {
		if sum.Region != s.daemon.settings.Instance.Region {
			shares = shares.With(sum.Region, decodeShares(sum.Shares))
		}
	}
	for _, region := range s.steering.silentRegions {
		shares = shares.With(region, steerer.Failover(region, loads))
	}
	s.steering.shares = shares
	if lookupTable := s.daemon.lookupTable.Load(); lookupTable != nil {
		s.daemon.lookupTable.Store(lookupTable.WithShares(shares, s.steering.silentRegions))
	}
}

// steerOwnRegion updates the shares of this instance's region. It decides them if this
// instance is the one that decides for the region. Otherwise it adopts the shares in the
// heartbeats of that instance.
func (s *membership) steerOwnRegion(now time.Time, loads []steerer.RegionLoad) {
	controller := s.steering.controller
	steeringInstance := s.model.SteeringInstance()
	if steeringInstance == s.daemon.settings.Instance.ID {
		if controller.Update(now, loads) {
			s.log.Info("steer: moved callers", zap.Any("shares", controller.Shares()), zap.Any("loads", loads))
		}
		return
	}
	for _, l := range s.model.Loads(now) {
		if l.ID == steeringInstance {
			controller.Adopt(now, decodeShares(l.Load.Shares))
		}
	}
}

// ownShares returns the shares of this instance's region for its heartbeats, or nil if
// another instance decides for the region.
func (s *membership) ownShares() []gossiper.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.SteeringInstance() != s.daemon.settings.Instance.ID {
		return nil
	}
	var shares []gossiper.Share
	for _, share := range s.steering.controller.Shares() {
		shares = append(shares, gossiper.Share{Region: share.Region, PerMille: int(math.Round(share.Part * 1000))})
	}
	return shares
}

// decodeShares converts shares from a heartbeat, in thousandths, to fractions.
func decodeShares(reported []gossiper.Share) []steerer.Share {
	var shares []steerer.Share
	for _, share := range reported {
		shares = append(shares, steerer.Share{Region: share.Region, Part: float64(share.PerMille) / 1000})
	}
	return shares
}

// regionLoads returns the loads of the configured regions. A region without a load is
// returned as unreachable with a load of zero if it is silent, and is left out otherwise.
func regionLoads(config *configurer.Config, sums []gossiper.RegionSum, silentRegions []string) []steerer.RegionLoad {
	var loads []steerer.RegionLoad
	for _, r := range config.Regions() {
		i := slices.IndexFunc(sums, func(sum gossiper.RegionSum) bool { return sum.Region == r.Name })
		switch {
		case i >= 0:
			loads = append(loads, regionLoad(config, sums[i]))
		case slices.Contains(silentRegions, r.Name):
			loads = append(loads, steerer.RegionLoad{Region: r.Name})
		}
	}
	return loads
}

// regionLoad returns the load and the capacity of a region, in slots. Callers are steered
// for all services at once, so the load is the capacity times the utilization of the most
// utilized service.
func regionLoad(config *configurer.Config, sum gossiper.RegionSum) steerer.RegionLoad {
	load := steerer.RegionLoad{Region: sum.Region, Reachable: true}
	utilization := 0.0
	for _, service := range config.Services() {
		i := slices.IndexFunc(sum.Services, func(l gossiper.ServiceLoad) bool { return l.Service == service.Name })
		if i < 0 {
			continue
		}
		reported := sum.Services[i]
		slots := float64(min(slotsIn(service, sum.Region), reported.InFlight+reported.FreeSlots))
		load.Capacity += slots
		utilization = max(utilization, float64(reported.InFlight+reported.Queued)/max(slots, 1))
	}
	load.Load = utilization * load.Capacity
	return load
}

// slotsIn returns the number of slots of a service's endpoints in a region, without
// draining endpoints.
func slotsIn(service configurer.Service, region string) int {
	slots := 0
	for _, e := range service.Endpoints {
		if e.Region == region && !e.Draining {
			slots += e.Slots
		}
	}
	return slots
}
