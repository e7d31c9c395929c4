package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// sameRegionInterval is the time between two heartbeats to instances of the same
	// region. Load reports that are older than the duration of a request are of little
	// use: instances that balance by them all pick the same endpoints.
	sameRegionInterval = 200 * time.Millisecond
	// otherRegionsInterval is the time between two heartbeats to instances of other
	// regions. It is longer than sameRegionInterval, since few requests go to other
	// regions.
	otherRegionsInterval = 400 * time.Millisecond
	// If a region has more than sameRegionThreshold instances, the interval within the
	// region grows in proportion to their number. If the fleet has more than
	// fleetThreshold instances, a heartbeat to other regions is sent in slices: in each
	// interval to another part of the instances. Both bound the bytes per second that an
	// instance sends.
	sameRegionThreshold = 32
	fleetThreshold      = 16
	// Reports of work times are passed on in regions of up to maxReportingRegion instances. In
	// larger ones heartbeats are too rare for them, and too many to carry them.
	maxReportingRegion = 48
	// propagationMargin covers a heartbeat's network delay and jitter.
	propagationMargin = 150 * time.Millisecond
	// maxIntervalRatio is the longest time between two heartbeats to an audience, as a
	// multiple of the mean time. The times are random, so that instances don't send in
	// step.
	maxIntervalRatio = 1.5
)

// HeartbeatInterval returns the mean time between two heartbeats within the region, or
// between two slices of a heartbeat to other regions, given the number of instances in the
// region.
func HeartbeatInterval(to Audience, inRegion int) time.Duration {
	if to == OtherRegions {
		return otherRegionsInterval
	}
	return sameRegionInterval * time.Duration(max(inRegion, sameRegionThreshold)) / sameRegionThreshold
}

// Slices returns the number of slices in which a heartbeat is sent to other regions.
func Slices(inFleet int) int { return max((inFleet+fleetThreshold-1)/fleetThreshold, 1) }

// InSlice reports whether the receiver belongs to the given slice of the sender's
// heartbeats. The slices of different senders differ, so that some instance of each region
// receives a heartbeat of each sender in each interval. Slices are numbered on from one
// heartbeat to the next.
func InSlice(sender, receiver string, slice uint64, slices int) bool {
	return uint64(placer.Hash32(sender+" "+receiver))%uint64(slices) == slice%uint64(slices)
}

// propagationTime returns the time assumed until a change at one instance has reached
// all others by heartbeats, in a fleet of the given number of instances.
func propagationTime(instances int) time.Duration {
	return otherRegionsInterval*time.Duration(max(instances, fleetThreshold))/fleetThreshold + propagationMargin
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
	// A heartbeat is full (see [Heartbeat.FullDemand]) if it is one of the first
	// initialFull to its audience, if it is the first of every fullInterval heartbeats,
	// or if the instance is stopping. Full heartbeats are repeated for instances that
	// missed one.
	fullInterval = 8
	initialFull  = 3
	// A demand of minReportedDemand or less, in requests per second, is reported as 0.
	minReportedDemand = 0.05
	// A team whose demand falls below this fraction of the demand last reported is
	// reported again, even if no request was admitted since that report.
	demandDropRatio = 0.5
)

// reportedDemand is what was last reported of a team to an audience: the number of
// admitted requests, and the demand in tenths of a request per second.
type reportedDemand struct {
	admittedCount   uint64
	tenthsPerSecond uint32
}

// Heartbeat returns the next regular heartbeat to an audience and records what it
// reports. A heartbeat that is not full lists only the teams of which requests were
// admitted since the last report, or whose demand dropped: there are many teams,
// heartbeats are frequent, and few requests arrive between two heartbeats.
func (m *Model) Heartbeat(now time.Time, to Audience) Heartbeat {
	leaving := !m.stopRequestedAt.IsZero()
	hb := m.baseHeartbeat(now)
	hb.FullDemand = m.heartbeatCounts[to]%fullInterval == 0 || m.heartbeatCounts[to] < initialFull || leaving
	hb.WarmObjects = m.takeWarmObjects(to)
	if to == SameRegion {
		hb.Sightings = m.takeSightings(now)
		hb.Regions = m.regulator.TakeCounts()
		if m.regionSize <= maxReportingRegion {
			hb.WorkTimes = m.balancer.TakeWorkTimeReports(now)
		}
	}
	if to == OtherRegions || hb.FullDemand {
		// An address whose region isn't known yet counts as one of this region.
		hb.LiveByRegion = m.liveByRegion()
	}
	m.heartbeatCounts[to]++
	for _, t := range m.teams {
		if d, ok := t.reportTo(now, to, hb.FullDemand); ok {
			hb.Demand = append(hb.Demand, d)
		}
	}
	return hb
}

// FullHeartbeat returns the full heartbeat that is sent to a peer that was unknown or
// has restarted, so that the peer needn't wait for the next regular heartbeat. It
// leaves the counts of the regular heartbeats unchanged.
func (m *Model) FullHeartbeat(now time.Time) Heartbeat {
	hb := m.baseHeartbeat(now)
	hb.FullDemand = true
	for _, t := range m.teams {
		hb.Demand = append(hb.Demand, t.currentDemand(now))
	}
	return hb
}

// RefreshHeartbeat updates a heartbeat to other regions before another slice of it is sent:
// the fields that hold the current state, the demand of the teams that it lists, and the
// teams of which requests were admitted since it was made. The warm objects stay.
func (m *Model) RefreshHeartbeat(now time.Time, hb Heartbeat) Heartbeat {
	next := m.baseHeartbeat(now)
	next.FullDemand, next.WarmObjects = hb.FullDemand, hb.WarmObjects
	next.LiveByRegion = m.liveByRegion()
	listed := make(map[uint32]bool, len(hb.Demand))
	for _, d := range hb.Demand {
		listed[d.Team] = true
	}
	for _, t := range m.teams {
		if listed[t.hash] || t.admittedCount != t.lastReported[OtherRegions].admittedCount {
			next.Demand = append(next.Demand, t.currentDemand(now))
		}
	}
	return next
}

// baseHeartbeat returns the fields that all heartbeats have in common.
func (m *Model) baseHeartbeat(now time.Time) Heartbeat {
	return Heartbeat{
		ID: m.id, Region: m.region, Zone: m.zone, Leaving: !m.stopRequestedAt.IsZero(), FleetSize: uint32(m.reportedFleetSize), Apart: !m.fleet().HasMajority(),
		Loads: m.balancer.Loads(), ReachabilityReports: m.balancer.ReachabilityReports(now), WarmCapacities: m.balancer.WarmCapacities(),
		Departures: m.balancer.Departures(), Limits: m.balancer.LimitReports(now), Evidence: m.quarantiner.Report(now),
	}
}

// takeWarmObjects returns the warm objects not yet reported to an audience and marks
// them as reported to it.
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

// maxPendingWarmObjects is the most warm objects kept for the next heartbeat to an
// audience, so that the heartbeat fits into a datagram. If there are more, the oldest
// are dropped.
const maxPendingWarmObjects = 128

// reportTo returns the team's demand, and whether the heartbeat being made for an
// audience has to list it. full means that the heartbeat is full. The demand is
// recorded as reported if it is listed.
func (t *teamState) reportTo(now time.Time, to Audience, full bool) (Demand, bool) {
	d := t.currentDemand(now)
	last := t.lastReported[to]
	demandDropped := float64(d.TenthsPerSecond) < demandDropRatio*float64(last.tenthsPerSecond)
	if d.Admitted == last.admittedCount && !demandDropped && (!full || d.TenthsPerSecond == 0) {
		return Demand{}, false
	}
	t.lastReported[to] = reportedDemand{admittedCount: d.Admitted, tenthsPerSecond: d.TenthsPerSecond}
	return d, true
}

// currentDemand returns the team's demand at this instance and the number of its
// requests admitted here.
func (t *teamState) currentDemand(now time.Time) Demand {
	d := Demand{Team: t.hash, Admitted: t.admittedCount}
	if rate := t.demand.Rate(now); rate > minReportedDemand {
		d.TenthsPerSecond = uint32(rate * 10)
	}
	return d
}
