package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primroseseam.org/seam/router"
)

const (
	// maxRateLimit is the highest rate limit that is recorded, in requests per second. No
	// endpoint takes more.
	maxRateLimit = 1e5
	// limitChangeRatio is the smallest change of a named limit that is collected for
	// TakeLimitChanges, as a fraction of the limit collected last.
	limitChangeRatio = 0.25
	// limitReportPeriod is how long this instance reports a limit, or the end of one, after an
	// answer to itself stated it. It covers the time in which heartbeats reach all instances.
	limitReportPeriod = 10 * time.Second
	// maxLimitReports is the most reports made at once. They are a part of a datagram.
	maxLimitReports = 128
	// maxLimitChanges is the most changes collected between two calls of TakeLimitChanges.
	maxLimitChanges = 128
)

// rateLimit is the rate of requests that an endpoint takes from all instances together, by
// its latest answer that stated one. It holds for one lifetime of the endpoint.
type rateLimit struct {
	// named means that the endpoint named a limit, perSecond. Otherwise there is none.
	named     bool
	perSecond float64
	// statedAt is when the answer arrived, or zero if no answer has named a limit.
	statedAt time.Time
	// ownAt is when an answer to this instance last named a limit or ended one.
	ownAt time.Time
	// collected is the limit last collected for TakeLimitChanges.
	collected float64
}

// LimitChange is a change of what this instance assumes about an endpoint's rate limit.
type LimitChange struct {
	Endpoint string
	// Named means that the endpoint named the limit PerSecond. Otherwise there is none any
	// longer.
	Named     bool
	PerSecond float64
	// ByPeer means that another instance reported it, Age ago. Otherwise an answer to this
	// instance stated it.
	ByPeer bool
	Age    time.Duration
}

// RecordLimit records what an answer stated of the endpoint's rate limit. success means
// that the endpoint ran the request to a good end. Only such an answer ends a limit:
// others may come without the header.
func (b *Balancer) RecordLimit(now time.Time, id string, limit router.RateLimit, success bool) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	switch limit.Statement {
	case router.LimitNamed:
		e.limit.ownAt = now
		b.setLimit(e, LimitChange{Endpoint: id, Named: true, PerSecond: limit.PerSecond}, now)
	case router.NoLimit:
		if !success || e.limit.statedAt.IsZero() {
			return
		}
		if e.limit.named {
			e.limit.ownAt = now
		}
		b.setLimit(e, LimitChange{Endpoint: id}, now)
	case router.InvalidLimit:
	}
}

// setLimit replaces an endpoint's limit by the one stated at the given time. It collects c
// if the limit begins, ends or changes by limitChangeRatio.
func (b *Balancer) setLimit(e *endpoint, c LimitChange, statedAt time.Time) {
	c.PerSecond = min(max(c.PerSecond, 0), maxRateLimit)
	flipped := e.limit.named != c.Named
	changed := c.Named && math.Abs(c.PerSecond-e.limit.collected) > limitChangeRatio*e.limit.collected
	e.limit.named, e.limit.perSecond, e.limit.statedAt = c.Named, c.PerSecond, statedAt
	if !changed && !flipped || len(b.limitChanges) >= maxLimitChanges {
		return
	}
	e.limit.collected = c.PerSecond
	b.limitChanges = append(b.limitChanges, c)
}

// LimitReport reports to other instances what an endpoint's answers stated of its rate
// limit. Endpoint is the hash of the endpoint's ID. StartedAtMs holds the lower bits of its
// start time, in Unix milliseconds, and distinguishes its lifetimes.
type LimitReport struct {
	Endpoint    uint32
	StartedAtMs uint32
	// Named means that the endpoint named the limit PerSecond. Otherwise its limit has ended.
	Named     bool
	PerSecond float64
	// Age is the time since the answer.
	Age time.Duration
}

// LimitReports returns a report on each endpoint of which an answer to this instance
// recently named a limit or ended one. If there are more than maxLimitReports, those of the
// latest answers are returned.
func (b *Balancer) LimitReports(now time.Time) []LimitReport {
	var reports []LimitReport
	for _, e := range b.byID {
		if e.limit.ownAt.IsZero() || now.Sub(e.limit.ownAt) > limitReportPeriod {
			continue
		}
		reports = append(reports, LimitReport{
			Endpoint: e.hash, StartedAtMs: uint32(e.spec.StartedAtMs),
			Named: e.limit.named, PerSecond: e.limit.perSecond, Age: max(now.Sub(e.limit.statedAt), 0),
		})
	}
	if len(reports) > maxLimitReports {
		slices.SortFunc(reports, func(a, b LimitReport) int { return cmp.Compare(a.Age, b.Age) })
		reports = reports[:maxLimitReports]
	}
	return reports
}

// ApplyLimits applies another instance's reports, unless this instance knows of a later
// answer of the endpoint.
func (b *Balancer) ApplyLimits(now time.Time, reports []LimitReport) {
	for _, r := range reports {
		e, ok := b.byHash[r.Endpoint]
		statedAt := now.Add(-r.Age)
		if !ok || uint32(e.spec.StartedAtMs) != r.StartedAtMs || !statedAt.After(e.limit.statedAt) {
			continue
		}
		if r.Named || !e.limit.statedAt.IsZero() {
			b.setLimit(e, LimitChange{Endpoint: e.spec.ID, Named: r.Named, PerSecond: r.PerSecond, ByPeer: true, Age: r.Age}, statedAt)
		}
	}
}

// TakeLimitChanges returns the changes of rate limits since the last call, at most
// maxLimitChanges.
func (b *Balancer) TakeLimitChanges() []LimitChange {
	changes := b.limitChanges
	b.limitChanges = nil
	return changes
}

// LimitedCount returns the number of listed endpoints that name a rate limit.
func (b *Balancer) LimitedCount() int {
	count := 0
	for _, e := range b.byID {
		if e.limit.named {
			count++
		}
	}
	return count
}
