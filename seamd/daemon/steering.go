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

// steerEvery is the time between two looks at the regions' loads.
const steerEvery = time.Second

// steering decides where callers of each region go. One instance of a region
// decides for it; the others take that over from its heartbeats.
type steering struct {
	steps  *steerer.Controller
	shares steerer.Shares
	silent []string
	next   time.Time
}

// steer looks at the loads and publishes the look-up table if shares changed.
// The caller holds the lock of the membership.
func (s *membership) steer(now time.Time) {
	config := s.daemon.config.Load()
	if config == nil || now.Before(s.steering.next) {
		return
	}
	s.steering.next = now.Add(steerEvery)
	sums := s.model.RegionSums(now)
	loads := regionLoads(config, sums, s.view.Load().SilentRegions)
	s.steerOwnRegion(now, loads)
	s.steering.silent = s.view.Load().SilentRegions
	shares := steerer.Shares{}.With(s.daemon.settings.Instance.Region, s.steering.steps.Shares())
	for _, sum := range sums {
		if sum.Region != s.daemon.settings.Instance.Region {
			shares = shares.With(sum.Region, steererShares(sum.Shares))
		}
	}
	for _, region := range s.steering.silent {
		shares = shares.With(region, steerer.Failover(region, loads))
	}
	s.steering.shares = shares
	if table := s.daemon.table.Load(); table != nil {
		s.daemon.table.Store(table.WithShares(shares, s.steering.silent))
	}
}

// steerOwnRegion takes a step if this instance decides, else follows.
func (s *membership) steerOwnRegion(now time.Time, loads []steerer.RegionLoad) {
	steps := s.steering.steps
	decides := s.model.SteeringInstance()
	if decides == s.daemon.settings.Instance.ID {
		if steps.Update(now, loads) {
			s.log.Info("steer: moved callers", zap.Any("shares", steps.Shares()), zap.Any("loads", loads))
		}
		return
	}
	for _, l := range s.model.Loads(now) {
		if l.ID == decides {
			steps.Adopt(now, steererShares(l.Load.Shares))
		}
	}
}

// ownShares is what this instance tells others about its region's callers.
func (s *membership) ownShares() []gossiper.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.SteeringInstance() != s.daemon.settings.Instance.ID {
		return nil
	}
	var shares []gossiper.Share
	for _, share := range s.steering.steps.Shares() {
		shares = append(shares, gossiper.Share{Region: share.Region, PerMille: int(math.Round(share.Part * 1000))})
	}
	return shares
}

func steererShares(heard []gossiper.Share) []steerer.Share {
	var shares []steerer.Share
	for _, share := range heard {
		shares = append(shares, steerer.Share{Region: share.Region, Part: float64(share.PerMille) / 1000})
	}
	return shares
}

// regionLoads turns the sums into loads. A region is as loaded as its most
// loaded service: callers are steered for all services at once.
func regionLoads(config *configurer.Config, sums []gossiper.RegionSum, silent []string) []steerer.RegionLoad {
	var loads []steerer.RegionLoad
	for _, r := range config.Regions() {
		i := slices.IndexFunc(sums, func(sum gossiper.RegionSum) bool { return sum.Region == r.Name })
		switch {
		case i >= 0:
			loads = append(loads, regionLoad(config, sums[i]))
		case slices.Contains(silent, r.Name):
			loads = append(loads, steerer.RegionLoad{Region: r.Name})
		}
	}
	return loads
}

func regionLoad(config *configurer.Config, sum gossiper.RegionSum) steerer.RegionLoad {
	load := steerer.RegionLoad{Region: sum.Region, Reachable: true}
	worst := 0.0
	for _, service := range config.Services() {
		i := slices.IndexFunc(sum.Services, func(l gossiper.ServiceLoad) bool { return l.Service == service.Name })
		if i < 0 {
			continue
		}
		heard := sum.Services[i]
		slots := float64(min(slotsIn(service, sum.Region), heard.InFlight+heard.FreeSlots))
		load.Capacity += slots
		worst = max(worst, float64(heard.InFlight+heard.Queued)/max(slots, 1))
	}
	load.Load = worst * load.Capacity
	return load
}

// slotsIn counts a service's slots in a region that aren't draining.
func slotsIn(service configurer.Service, region string) int {
	slots := 0
	for _, e := range service.Endpoints {
		if e.Region == region && !e.Draining {
			slots += e.Slots
		}
	}
	return slots
}
