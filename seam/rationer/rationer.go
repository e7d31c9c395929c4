// Package rationer divides a fleet-wide rate limit among the fleet's instances.
//
// Each instance may always use its static share: a fixed fraction of the rate
// divided by the number of known instances. The rest is divided by demand among
// the instances that receive each other's heartbeats, but only in a group that is more
// than half of those known. Two such groups can't exist at once, so the shares in use never
// add up to more than the rate, however the fleet is partitioned. The package also
// has the token bucket that enforces a share and a meter for demand.
//
// # Usage
//
//	share := rationer.Share(rationer.Fleet{KnownInstances: 10, LiveInstances: 10}, ownDemand, othersDemand)
//	b.SetRate(now, rate*share, burst*share)
//	if b.Take(now) { ... }
package rationer

import "time"

// staticShare is the fraction of a rate that is divided evenly among the known
// instances. The rest follows demand, and a partitioned minority must do without
// it.
const staticShare = 0.3

// Fleet holds numbers of instances; both include this one.
type Fleet struct {
	// KnownInstances is the number of instances that may be running.
	KnownInstances int
	// LiveInstances is the number of instances that aren't leaving and from which a
	// heartbeat arrived recently.
	LiveInstances int
}

// HasMajority reports whether more than half of the known instances are live.
func (f Fleet) HasMajority() bool { return 2*f.LiveInstances > f.KnownInstances }

// Share returns the fraction of a fleet-wide rate that this instance may use,
// given its own demand and that of the other live instances, both per second.
func Share(fleet Fleet, ownDemand, othersDemand float64) float64 {
	knownCount := float64(max(fleet.KnownInstances, 1))
	share := staticShare / knownCount
	if !fleet.HasMajority() {
		return share
	}
	liveCount := float64(max(fleet.LiveInstances, 1))
	// A small even part leaves an instance without demand ready for its first
	// requests.
	const evenShare = 0.1
	demandShare := 1 / liveCount
	if ownDemand+othersDemand > 0 {
		demandShare = evenShare/liveCount + (1-evenShare)*ownDemand/(ownDemand+othersDemand)
	}
	return share + (1-staticShare)*demandShare
}

// Bucket is a token bucket. If tokens are only taken with Take, it gives in every
// window at most its rate times the window plus its burst. It is not safe for
// concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	// maxDebt is how far below zero Spend may go.
	maxDebt float64
	updated time.Time
}

// NewBucket returns a bucket that holds the given tokens, at most burst.
func NewBucket(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: min(tokens, burst), updated: now}
}

// SetRate sets the tokens per second and the most tokens kept. The first call
// fills a bucket that was not made by NewBucket.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	first := b.updated.IsZero()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
	if first {
		b.tokens = burst
	}
}

// refill adds the tokens for the time since the last call. If the clock stepped
// back, it adds nothing until the clock has caught up.
func (b *Bucket) refill(now time.Time) {
	if !b.updated.IsZero() && !now.After(b.updated) {
		return
	}
	if !b.updated.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// Take takes one token; it reports false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetMaxDebt sets how far below zero Spend may go.
func (b *Bucket) SetMaxDebt(tokens float64) { b.maxDebt = tokens }

// Spend removes tokens that were used already, going into debt if there are too
// few.
func (b *Bucket) Spend(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = max(b.tokens-tokens, -b.maxDebt)
}

// Tokens returns the number of tokens left; it is negative in debt.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Put adds tokens, up to the burst.
func (b *Bucket) Put(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// Ready reports whether there is a token to take.
func (b *Bucket) Ready(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Wait returns the time until there is a token, or 0 if there is one or the rate
// is 0.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 || b.rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// Meter measures a rate of events with a decaying average whose half-life is about
// a second.
type Meter struct {
	lastRate float64
	updated  time.Time
}

// meterWindow is the time over which a meter averages.
const meterWindow = 1500 * time.Millisecond

// Add counts events at the time now.
func (m *Meter) Add(now time.Time, events float64) {
	m.lastRate = m.Rate(now) + events/meterWindow.Seconds()
	m.updated = now
}

// Rate returns the events per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.updated.IsZero() {
		return 0
	}
	age := max(now.Sub(m.updated).Seconds(), 0) / meterWindow.Seconds()
	return m.lastRate / (1 + age + age*age/2)
}

// Count returns the number of events in the meter's window.
func (m *Meter) Count(now time.Time) float64 { return m.Rate(now) * meterWindow.Seconds() }
