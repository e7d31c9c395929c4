package allocator

import (
	"math"
	"time"
)

// demand measures how many tokens of a resource the requests at this instance need.
type demand struct {
	// count is the number of tokens requested since lastTick.
	count float64
	// rate is an exponentially weighted average in tokens a second.
	rate     float64
	lastTick time.Time
	// lastSeen is the time of the last tick at which count was above zero.
	lastSeen time.Time
	// waiting is the number of tokens that waiting requests need.
	waiting float64
}

// demandTimeConstant is the time constant of the average in demand.rate.
const demandTimeConstant = 300 * time.Millisecond

// tick adds the count since the last tick to the average rate. If the demand has
// changed abruptly, the rate since the last tick replaces the average. The first tick
// treats the count as collected over one second.
func (d *demand) tick(now time.Time) {
	elapsed := now.Sub(d.lastTick).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/demandTimeConstant.Seconds())
	if d.lastTick.IsZero() {
		elapsed = 1
	}
	if d.jumped(now, elapsed) {
		weight = 1
	}
	if d.count > 0 {
		d.lastSeen = now
	}
	d.rate += (d.count/elapsed - d.rate) * weight
	d.count = 0
	d.lastTick = now
	if d.rate < minLoanRate/2 {
		d.rate = 0
	}
}

// jumped reports whether the demand has changed abruptly, that is, whether a pause or a
// burst of requests is very unlikely at the average rate.
func (d *demand) jumped(now time.Time, elapsed float64) bool {
	expected := d.rate * elapsed
	silent := d.count == 0 && d.rate*now.Sub(d.lastSeen).Seconds() > silenceLimit
	return silent || d.count > expected+surgeSigmas*math.Sqrt(expected)+surgeMin
}

const (
	// silenceLimit is a number of tokens. A pause in the requests counts as the end of
	// the demand if more tokens than that would have been requested during the pause at
	// the average rate.
	silenceLimit = 6
	// A count is a surge if it exceeds the count expected at the average rate by
	// surgeSigmas standard deviations of a Poisson distribution plus surgeMin.
	surgeSigmas = 4
	surgeMin    = 2
)

// SetWaiting sets how many tokens of a resource are needed by requests that wait at
// this instance.
func (l *Ledger) SetWaiting(r Resource, tokens float64) {
	l.demand(r).waiting = tokens
}

// Demand returns the average demand for a resource at this instance, in tokens a
// second.
func (l *Ledger) Demand(r Resource) float64 { return l.demand(r).rate }

func (l *Ledger) demand(r Resource) *demand {
	d, ok := l.demands[r]
	if !ok {
		d = &demand{}
		l.demands[r] = d
	}
	return d
}
