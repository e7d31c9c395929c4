package placer

import (
	"math"
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
		b.setLimit(e, true, limit.PerSecond, now)
	case router.NoLimit:
		if success && !e.limit.statedAt.IsZero() {
			b.setLimit(e, false, 0, now)
		}
	case router.InvalidLimit:
	}
}

// setLimit replaces an endpoint's limit by the one stated at the given time.
func (b *Balancer) setLimit(e *endpoint, named bool, perSecond float64, statedAt time.Time) {
	ended := e.limit.named && !named
	e.limit.named, e.limit.perSecond, e.limit.statedAt = named, min(max(perSecond, 0), maxRateLimit), statedAt
	changed := named && math.Abs(perSecond-e.limit.collected) > limitChangeRatio*e.limit.collected
	if !changed && !ended || len(b.limitChanges) >= maxLimitChanges {
		return
	}
	e.limit.collected = e.limit.perSecond
	b.limitChanges = append(b.limitChanges, LimitChange{Endpoint: e.spec.ID, Named: named, PerSecond: e.limit.perSecond})
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
