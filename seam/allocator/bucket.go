package allocator

import (
	"math"
	"time"
)

// Rate is a number of tokens a second.
type Rate float64

// Bucket is a token bucket. Over every window it grants at most the rate times
// the window plus the burst. It is not safe for concurrent use.
type Bucket struct {
	rate   Rate
	burst  float64
	tokens float64
	filled time.Time
}

// NewBucket returns a bucket that holds tokens at now.
func NewBucket(rate Rate, burst, tokens float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: math.Min(tokens, burst), filled: now}
}

// Take spends amount tokens and reports whether the bucket held them.
func (b *Bucket) Take(now time.Time, amount float64) bool {
	b.fill(now)
	if b.tokens < amount {
		return false
	}
	b.tokens -= amount
	return true
}

// Wait returns how long it takes until the bucket holds amount tokens.
func (b *Bucket) Wait(now time.Time, amount float64) time.Duration {
	b.fill(now)
	if b.tokens >= amount || b.rate <= 0 {
		return 0
	}
	return time.Duration((amount - b.tokens) / float64(b.rate) * float64(time.Second))
}

// Resize sets a new rate and burst; tokens over the new burst are dropped.
func (b *Bucket) Resize(now time.Time, rate Rate, burst float64) {
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = math.Min(b.tokens, burst)
}

// Tokens returns the tokens held at now.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// fill adds the tokens of the time since the last call. A clock that went back
// adds nothing.
func (b *Bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = now
	b.tokens = math.Min(b.burst, b.tokens+float64(b.rate)*elapsed.Seconds())
}
