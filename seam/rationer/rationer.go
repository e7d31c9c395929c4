// Package rationer divides a fleet-wide rate limit among the fleet's instances. It is
// used by the edge daemon, seamedge, for the rate limits of teams, and has the token
// bucket that enforces a limit and a meter for demand.
//
// Each instance may always use its static share: a fixed fraction of the rate,
// divided by the number of known instances. The rest of the rate is divided by demand
// among the live instances, which are the instances that receive each other's
// heartbeats. That rest is used only by a group of live instances that is more than
// half of the known ones. Two such groups can't exist at once, so the shares in use
// never add up to more than the rate, however the fleet is partitioned.
//
// Instances that are lost for good leave the others without a majority. So a group without one
// uses more than its static shares if it has the store, and the others have shown no sign of life
// there. In turn, a group that has lost the store uses less. See [Basis].
//
// # Usage
//
//	fleet := rationer.Fleet{KnownInstances: 10, LiveInstances: 10}
//	share := rationer.Share(fleet, ownDemand, othersDemand)
//	b.SetRate(now, rate*share, burst*share)
//	groupRate, groupBurst := fleet.Basis().Together(rate, burst)
//	if b.Take(now) { ... }
package rationer

import "time"

// Bucket is a token bucket. If tokens are only removed with Take and none are added
// with Put, then over any period it gives at most its rate times the period plus its
// burst. It is not safe for concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	// maxDebt is how far below zero Spend may go.
	maxDebt   float64
	updatedAt time.Time
}

// NewBucket returns a bucket that holds the given tokens, at most burst.
func NewBucket(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: min(tokens, burst), updatedAt: now}
}

// SetRate sets the tokens per second and the most tokens that the bucket keeps. It
// fills a zero Bucket, unless another method that takes a time was called first.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	firstCall := b.updatedAt.IsZero()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
	if firstCall {
		b.tokens = burst
	}
}

// refill adds the tokens for the time since the last refill. If the clock was set
// back, it adds nothing until the clock has reached the time of the last refill
// again.
func (b *Bucket) refill(now time.Time) {
	if !b.updatedAt.IsZero() && !now.After(b.updatedAt) {
		return
	}
	if !b.updatedAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// Take takes one token. It returns false, and takes nothing, if there is less than
// one.
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

// Spend removes tokens for requests that were already admitted. The number of tokens
// may become negative, down to the debt set by SetMaxDebt.
func (b *Bucket) Spend(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = max(b.tokens-tokens, -b.maxDebt)
}

// Tokens returns the number of tokens left, which is negative while the bucket is in
// debt.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Put adds tokens, up to the burst.
func (b *Bucket) Put(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// Ready reports whether Take would succeed.
func (b *Bucket) Ready(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Wait returns the time until Take succeeds, or 0 if it would succeed now or the rate
// is 0.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 || b.rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// Meter measures the rate of events as a decaying average, whose half-life is about a
// second.
type Meter struct {
	lastRate  float64
	updatedAt time.Time
}

// meterWindow is the time over which a Meter averages.
const meterWindow = 1500 * time.Millisecond

// Add counts events at the time now.
func (m *Meter) Add(now time.Time, events float64) {
	m.lastRate = m.Rate(now) + events/meterWindow.Seconds()
	m.updatedAt = now
}

// Rate returns the average number of events per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(m.updatedAt).Seconds(), 0) / meterWindow.Seconds()
	return m.lastRate / (1 + age + age*age/2)
}

// Count returns the average number of events in a period of meterWindow.
func (m *Meter) Count(now time.Time) float64 { return m.Rate(now) * meterWindow.Seconds() }
