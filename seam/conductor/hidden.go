package conductor

import (
	"math"
	"slices"
	"time"
)

// Two regions may lose each other while both still receive heartbeats of a third one. Each of the
// two then takes the other for gone. To notice that, instances report to other regions how many
// live instances they count in each region.

const (
	// hiddenDelay is how long a region must be hidden before the fleet counts as divided.
	// Instances notice at different times that a region is gone.
	hiddenDelay = time.Second
	// liveReportLifetime is how long a report of another region's instance holds.
	liveReportLifetime = 2 * time.Second
)

// liveReport is the latest report of an instance of another region on the live instances of each
// region.
type liveReport struct {
	live []byte
	at   time.Time
}

// liveByRegion counts the live instances of each region in the order of their names.
func (m *Model) liveByRegion() []byte {
	counts := make([]byte, len(m.regionNames))
	for i, region := range m.regionNames {
		counts[i] = byte(min(len(m.live[region]), math.MaxUint8))
	}
	return counts
}

// recordLiveByRegion keeps the report in a heartbeat. A report on another number of regions comes
// from an instance with other settings.
func (m *Model) recordLiveByRegion(now time.Time, hb Heartbeat) {
	if hb.Region != m.region && len(hb.LiveByRegion) == len(m.regionNames) {
		m.liveReports[hb.Region] = liveReport{live: hb.LiveByRegion, at: now}
	}
}

// refreshHidden finds out whether a region is hidden from this instance.
func (m *Model) refreshHidden(now time.Time) {
	hidden := slices.ContainsFunc(m.regionNames, func(region string) bool { return m.isHidden(now, region) })
	switch {
	case !hidden:
		m.hiddenSince = time.Time{}
	case m.hiddenSince.IsZero():
		m.hiddenSince = now
	}
}

// isHidden reports whether this instance counts none of a region's instances as live while an
// instance of a third region counts some.
func (m *Model) isHidden(now time.Time, region string) bool {
	if region == m.region || len(m.live[region]) > 0 {
		return false
	}
	i := slices.Index(m.regionNames, region)
	for from, r := range m.liveReports {
		if from != region && len(m.live[from]) > 0 && now.Sub(r.at) < liveReportLifetime && r.live[i] > 0 {
			return true
		}
	}
	return false
}
