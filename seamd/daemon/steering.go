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

// steerInterval is how often the steering evaluates the loads of the regions.
const steerInterval = time.Second

// steering decides which share of each region's callers uses other regions. One instance
// of a region decides for it; the others adopt the shares from its heartbeats.
type steering struct {
	controller    *steerer.Controller
	shares        steerer.Shares
	silentRegions []string
	nextStep      time.Time
}

// steer evaluates the loads of the regions and updates the shares in the lookup table, at
// most once per steerInterval. The callers of silent regions, from which there is no sign
// of life, are distributed by this instance itself. The caller holds the lock of the
// membership.
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

// steerOwnRegion takes a steering step if this instance decides for its region, else it
// adopts the shares of the instance that does.
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

// ownShares returns the shares of its region that this instance reports to its peers, or
// nil if another instance decides for the region.
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

// decodeShares converts shares from a heartbeat.
func decodeShares(reported []gossiper.Share) []steerer.Share {
	var shares []steerer.Share
	for _, share := range reported {
		shares = append(shares, steerer.Share{Region: share.Region, Part: float64(share.PerMille) / 1000})
	}
	return shares
}

// regionLoads returns the loads of the configured regions. Silent regions get a load of
// zero and count as unreachable; regions without a known load are left out.
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

// regionLoad returns the load of a region. The utilization of the region is that of its
// most utilized service, since callers are steered for all services at once.
func regionLoad(config *configurer.Config, sum gossiper.RegionSum) steerer.RegionLoad {
	load := steerer.RegionLoad{Region: sum.Region, Reachable: true}
	worst := 0.0
	for _, service := range config.Services() {
		i := slices.IndexFunc(sum.Services, func(l gossiper.ServiceLoad) bool { return l.Service == service.Name })
		if i < 0 {
			continue
		}
		reported := sum.Services[i]
		slots := float64(min(slotsIn(service, sum.Region), reported.InFlight+reported.FreeSlots))
		load.Capacity += slots
		worst = max(worst, float64(reported.InFlight+reported.Queued)/max(slots, 1))
	}
	load.Load = worst * load.Capacity
	return load
}

// slotsIn returns the number of a service's slots in a region, without those of draining
// endpoints.
func slotsIn(service configurer.Service, region string) int {
	slots := 0
	for _, e := range service.Endpoints {
		if e.Region == region && !e.Draining {
			slots += e.Slots
		}
	}
	return slots
}
