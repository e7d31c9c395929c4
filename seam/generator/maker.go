package generator

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// Limits that the outcomes of traces state.
const (
	// maxRefusedFraction is the highest fraction of requests within their team's
	// rate that may be refused.
	maxRefusedFraction = 0.005
	// instanceRecovery and regionRecovery are how long more requests may be refused
	// after the loss of instances, endpoints or a region.
	instanceRecovery = 15 * time.Second
	regionRecovery   = 30 * time.Second
	// maxWait is the highest 99th percentile of the wait for a slot.
	maxWait = 100 * time.Millisecond
	// maxWorkFactor is the longest time that an endpoint takes for a request, as a
	// multiple of the mean.
	maxWorkFactor = 1.5
	// maxDrain is how long an endpoint may get new requests after its drain starts.
	maxDrain = 3 * time.Second
)

// traceBuilder collects the events and the outcomes of a trace.
type traceBuilder struct {
	deployment deployment
	duration   time.Duration
	events     []tracer.Event
	outcomes   []tracer.Outcome
}

// at adds an event at a time since the start of the trace.
func (b *traceBuilder) at(t time.Duration, body tracer.Body) {
	b.events = append(b.events, tracer.NewEvent(t, body))
}

// addSteadyLoad makes every team send a fraction of its rate for the whole trace. It
// also limits refusals and latencies from the start.
func (b *traceBuilder) addSteadyLoad(fraction float64) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, fraction)
	}
	b.limitRefusals(0)
	b.limitLatencies(0)
}

// addLoad makes a team send a fraction of its rate, split among the services and
// evenly among the regions. A fraction above 1 exceeds the rate.
func (b *traceBuilder) addLoad(team int, start, length time.Duration, fraction float64) {
	for _, s := range b.deployment.services {
		for _, region := range b.deployment.regions {
			rate := teamRate(team) * fraction * s.fraction / float64(len(b.deployment.regions))
			b.at(start, tracer.Load{
				Request:       tracer.Request{Team: teamName(team), Service: s.name, Region: region},
				For:           duration(length),
				RatePerSecond: rate,
			})
		}
	}
}

// forbidViolations adds the outcomes that the promises are never violated.
func (b *traceBuilder) forbidViolations(promises ...tracer.Promise) {
	for _, p := range promises {
		b.outcomes = append(b.outcomes, tracer.Outcome{Measure: tracer.MeasureViolations, Promise: p, Max: bound(0)})
	}
}

// limitRefusals limits the fraction of requests within their team's rate that are
// refused, from a time since the start.
func (b *traceBuilder) limitRefusals(after time.Duration) {
	b.outcomes = append(b.outcomes, tracer.Outcome{
		Measure: tracer.MeasureRefused, After: duration(after), Max: bound(maxRefusedFraction),
	})
}

// limitLatencies limits the 99th percentile of every team's latency at each service.
// Extra is added to the limit, for scenarios in which requests take longer.
func (b *traceBuilder) limitLatencies(extra time.Duration) {
	for _, s := range b.deployment.services {
		b.outcomes = append(b.outcomes, tracer.Outcome{
			Measure: tracer.MeasureWorstTeam, Service: s.name, Quantile: 0.99, Max: b.latencyBound(s, extra),
		})
	}
}

// limitTeamLatencies limits the 99th percentile of one team's latency at each
// service.
func (b *traceBuilder) limitTeamLatencies(team int) {
	for _, s := range b.deployment.services {
		b.outcomes = append(b.outcomes, tracer.Outcome{
			Measure: tracer.MeasureLatency, Team: teamName(team), Service: s.name, Quantile: 0.99, Max: b.latencyBound(s, 0),
		})
	}
}

// latencyBound returns the highest 99th percentile of latency in milliseconds: the
// longest work, the network's round trips, the longest wait and the extra time.
func (b *traceBuilder) latencyBound(s service, extra time.Duration) *float64 {
	n := b.deployment.network
	networkTime := 2*time.Duration(n.ToClients) + 2*time.Duration(n.BetweenDomains)
	limit := time.Duration(maxWorkFactor*float64(s.work)) + networkTime + maxWait + extra
	return bound(float64(limit) / float64(time.Millisecond))
}

// limitDrain limits the time for which a draining endpoint gets new requests.
func (b *traceBuilder) limitDrain() {
	b.outcomes = append(b.outcomes, tracer.Outcome{
		Measure: tracer.MeasureDrain, Max: bound(float64(maxDrain.Milliseconds())),
	})
}

// bound returns a pointer to a limit, because an outcome without a limit has nil.
func bound(v float64) *float64 { return &v }
