// Package rationer divides a rate of the whole fleet among its instances.
//
// Each instance may always use its static part: half of the rate, divided by
// the number of instances that are known at all. The other half is divided by
// demand among the instances that hear each other, but only in a group that is
// more than half of those known. Two such groups can't exist at once, so the
// parts in use never add up to more than the rate, however the instances are
// cut off from each other. A part is kept as a token bucket.
//
// # Usage
//
//	part := rationer.Part(rationer.Fleet{Known: 10, Heard: 10}, ownDemand, heardDemand)
//	b.SetRate(now, rate*part, burst*part)
//	if b.Take(now) { ... }
package rationer

import "time"

// staticHalf is the share of a rate that is divided without regard to demand.
// The rest follows demand, which an instance that is cut off must go without.
const staticHalf = 0.3

// Fleet counts instances, this one included.
type Fleet struct {
	// Known is the number of instances that may be running.
	Known int
	// Heard is the number of instances heard within a few heartbeats.
	Heard int
}

// Whole reports whether the instances that hear each other are more than half.
func (f Fleet) Whole() bool { return 2*f.Heard > f.Known }

// Part returns the share of a fleet-wide rate that this instance may use, given
// its own demand and that of the others it hears, both per second.
func Part(fleet Fleet, own, others float64) float64 {
	known := float64(max(fleet.Known, 1))
	part := staticHalf / known
	if !fleet.Whole() {
		return part
	}
	heard := float64(max(fleet.Heard, 1))
	// A small even share keeps an instance without demand ready for some.
	const evenShare = 0.1
	byDemand := 1 / heard
	if own+others > 0 {
		byDemand = evenShare/heard + (1-evenShare)*own/(own+others)
	}
	return part + (1-staticHalf)*byDemand
}

// Bucket is a token bucket. Over every window it gives at most its rate times the
// window plus its burst. It is not safe for concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	// debt is how far below zero Spend may go.
	debt float64
	at   time.Time
}

// NewBucket returns a bucket that holds some tokens at a time.
func NewBucket(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: min(tokens, burst), at: now}
}

// SetRate sets the tokens per second and the most that are kept. The first
// call fills a bucket that was not made by NewBucket.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	first := b.at.IsZero()
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
	if first {
		b.tokens = burst
	}
}

// fill adds the tokens of the time since the last call. A clock that went back
// adds nothing.
func (b *Bucket) fill(now time.Time) {
	if !b.at.IsZero() && !now.After(b.at) {
		return
	}
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// Take takes a token if there is one.
func (b *Bucket) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetDebt sets how far below zero Spend may go.
func (b *Bucket) SetDebt(tokens float64) { b.debt = tokens }

// Spend takes tokens that have been used already, also if that makes a debt.
func (b *Bucket) Spend(now time.Time, tokens float64) {
	b.fill(now)
	b.tokens = max(b.tokens-tokens, -b.debt)
}

// Tokens returns how many tokens are left; a debt is negative.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// Put gives tokens back, or earns new ones.
func (b *Bucket) Put(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// Ready reports whether there is a token to take.
func (b *Bucket) Ready(now time.Time) bool {
	b.fill(now)
	return b.tokens >= 1
}

// Wait returns how long it takes until there is a token.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.fill(now)
	if b.tokens >= 1 || b.rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// Meter is a rate per second that forgets with a half-life of about a second.
type Meter struct {
	value float64
	at    time.Time
}

// meterMemory is the time over which a meter averages.
const meterMemory = 1500 * time.Millisecond

// Add counts events at a time.
func (m *Meter) Add(now time.Time, events float64) {
	m.value = m.Rate(now) + events/meterMemory.Seconds()
	m.at = now
}

// Rate returns the events per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	age := max(now.Sub(m.at).Seconds(), 0) / meterMemory.Seconds()
	return m.value / (1 + age + age*age/2)
}

// Count returns the number of events that the meter remembers.
func (m *Meter) Count(now time.Time) float64 { return m.Rate(now) * meterMemory.Seconds() }
