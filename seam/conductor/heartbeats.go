package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// sameRegionInterval is the time between two heartbeats to instances of the same
	// region. Load reports older than the duration of a request are of little use:
	// instances that balance by them all pick the same endpoints.
	sameRegionInterval = 200 * time.Millisecond
	// otherRegionsInterval is the time between two heartbeats to instances of other
	// regions. It is longer, since few requests go to other regions.
	otherRegionsInterval = 400 * time.Millisecond
	// sameRegionThreshold and fleetThreshold are the numbers of instances, in the
	// region and in the fleet, above which the intervals grow in proportion, so that
	// the bytes that an instance sends stay bounded.
	sameRegionThreshold = 32
	fleetThreshold      = 16
	// propagationMargin covers a heartbeat's network delay and jitter.
	propagationMargin = 150 * time.Millisecond
)

// HeartbeatInterval returns the mean time between two heartbeats to an audience,
// given the number of instances in the region and in the fleet.
func HeartbeatInterval(to Audience, inRegion, inFleet int) time.Duration {
	if to == SameRegion {
		return scaleInterval(sameRegionInterval, inRegion, sameRegionThreshold)
	}
	return scaleInterval(otherRegionsInterval, inFleet, fleetThreshold)
}

// scaleInterval lengthens an interval in proportion to a count above threshold.
func scaleInterval(d time.Duration, count, threshold int) time.Duration {
	return d * time.Duration(max(count, threshold)) / time.Duration(threshold)
}

// propagationTime returns how long it takes until a change at one instance has
// been received by all.
func propagationTime(instances int) time.Duration {
	return HeartbeatInterval(OtherRegions, 0, instances) + propagationMargin
}

// Audience is the group of instances that a heartbeat is sent to.
type Audience int

const (
	// SameRegion are the other instances of this instance's region.
	SameRegion Audience = iota
	// OtherRegions are the instances of all other regions.
	OtherRegions
	audienceCount
)

const (
	// One of every fullInterval heartbeats to an audience is full (see
	// [Heartbeat.FullDemand]), for instances that missed one, and so are the first
	// initialFull and those of a stopping instance.
	fullInterval = 8
	initialFull  = 3
	// minReportedDemand is the demand, in requests per second, that is still reported
	// as 0.
	minReportedDemand = 0.05
	// demandDropRatio is the fraction of the last reported demand below which a team
	// is reported again although no request was admitted since.
	demandDropRatio = 0.5
)

// reportedDemand is the demand of a team as last reported to an audience.
type reportedDemand struct {
	admitted uint64
	tenths   uint32
}

// Heartbeat returns the next heartbeat to an audience. Heartbeats that are not
// full list only the teams whose demand or admissions changed: there are many
// teams, heartbeats are frequent, and few requests arrive between two.
func (m *Model) Heartbeat(now time.Time, to Audience) Heartbeat {
	leaving := !m.stopRequestedAt.IsZero()
	hb := m.baseHeartbeat(now)
	hb.FullDemand = m.heartbeatCounts[to]%fullInterval == 0 || m.heartbeatCounts[to] < initialFull || leaving
	hb.WarmObjects = m.takeWarmObjects(to)
	m.heartbeatCounts[to]++
	for _, t := range m.teams {
		if d, ok := t.reportTo(now, to, hb.FullDemand); ok {
			hb.Demand = append(hb.Demand, d)
		}
	}
	return hb
}

// FullHeartbeat returns the full heartbeat that is sent to an instance that was unknown
// or has restarted, so that it needn't wait for the next regular one.
func (m *Model) FullHeartbeat(now time.Time) Heartbeat {
	hb := m.baseHeartbeat(now)
	hb.FullDemand = true
	for _, t := range m.teams {
		hb.Demand = append(hb.Demand, t.currentDemand(now))
	}
	return hb
}

// baseHeartbeat returns the fields that all heartbeats have in common.
func (m *Model) baseHeartbeat(now time.Time) Heartbeat {
	return Heartbeat{
		ID: m.id, Region: m.region, Zone: m.zone, Leaving: !m.stopRequestedAt.IsZero(), FleetSize: uint32(m.reportedFleetSize),
		Loads: m.balancer.Loads(), ReachabilityReports: m.balancer.ReachabilityReports(now), WarmCapacities: m.balancer.WarmCapacities(),
	}
}

// takeWarmObjects returns the warm objects not yet reported to an audience and
// marks them as reported.
func (m *Model) takeWarmObjects(to Audience) []placer.WarmObject {
	added := m.balancer.TakeWarmObjects()
	for a := range m.pendingWarmObjects {
		pending := append(m.pendingWarmObjects[a], added...)
		m.pendingWarmObjects[a] = pending[max(len(pending)-maxPendingWarmObjects, 0):]
	}
	pendingWarmObjects := m.pendingWarmObjects[to]
	m.pendingWarmObjects[to] = nil
	return pendingWarmObjects
}

// maxPendingWarmObjects bounds the warm objects that wait for a heartbeat, so that
// a heartbeat fits into a datagram.
const maxPendingWarmObjects = 128

// reportTo returns the team's demand if it has to be reported to an audience now.
func (t *teamState) reportTo(now time.Time, to Audience, whole bool) (Demand, bool) {
	d := t.currentDemand(now)
	last := t.lastReported[to]
	dropped := float64(d.TenthsPerSecond) < demandDropRatio*float64(last.tenths)
	if d.Admitted == last.admitted && !dropped && (!whole || d.TenthsPerSecond == 0) {
		return Demand{}, false
	}
	t.lastReported[to] = reportedDemand{admitted: d.Admitted, tenths: d.TenthsPerSecond}
	return d, true
}

// currentDemand returns the team's demand at this instance.
func (t *teamState) currentDemand(now time.Time) Demand {
	d := Demand{Team: t.hash, Admitted: t.admitted}
	if rate := t.demand.Rate(now); rate > minReportedDemand {
		d.TenthsPerSecond = uint32(rate * 10)
	}
	return d
}
