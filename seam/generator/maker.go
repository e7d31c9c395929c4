package generator

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// Bounds in the outcomes of the traces, and values from which bounds are calculated.
const (
	// maxRefusedFraction is the highest fraction of requests within their team's
	// rate that may be refused.
	maxRefusedFraction = 0.005
	// After a loss, the limit on refused requests doesn't apply for a time:
	// instanceRecovery after the loss of instances or endpoints, and regionRecovery
	// after the loss of a region.
	instanceRecovery = 15 * time.Second
	regionRecovery   = 30 * time.Second
	// maxWait is the highest 99th percentile of the time that a request waits for a free
	// slot.
	maxWait = 100 * time.Millisecond
	// maxWorkFactor is the longest time that an endpoint takes for a request, as a
	// multiple of the mean.
	maxWorkFactor = 1.5
	// maxDrain is how long an endpoint may still get new requests after the start of its
	// drain.
	maxDrain = 3 * time.Second
)

// traceBuilder collects the events and the outcomes of a trace for a deployment.
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
// also adds the outcomes that limit refusals and latencies, over the whole trace.
func (b *traceBuilder) addSteadyLoad(fraction float64) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, fraction)
	}
	b.limitRefusals(0)
	b.limitLatencies(0)
}

// addLoad makes a team send a fraction of its rate, where a fraction above 1 exceeds the
// rate. The load is split among the services by their fractions, and evenly among the
// regions.
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

// forbidViolations adds, for each promise, the outcome that it has no violations. A
// promise is a guarantee of the system that a replay checks.
func (b *traceBuilder) forbidViolations(promises ...tracer.Promise) {
	for _, p := range promises {
		b.outcomes = append(b.outcomes, tracer.Outcome{Measure: tracer.MeasureViolations, Promise: p, Max: bound(0)})
	}
}

// limitRefusals adds the outcome that at most maxRefusedFraction of the requests within
// their team's rate are refused. Requests that are sent earlier than the time after,
// which counts from the start of the trace, are left out.
func (b *traceBuilder) limitRefusals(after time.Duration) {
	b.outcomes = append(b.outcomes, tracer.Outcome{
		Measure: tracer.MeasureRefused, After: duration(after), Max: bound(maxRefusedFraction),
	})
}

// limitLatencies adds the outcomes that limit the 99th percentile of every team's latency
// at each service. The parameter extra raises the limit, for scenarios in which requests
// take longer.
func (b *traceBuilder) limitLatencies(extra time.Duration) {
	for _, s := range b.deployment.services {
		b.outcomes = append(b.outcomes, tracer.Outcome{
			Measure: tracer.MeasureWorstTeam, Service: s.name, Quantile: 0.99, Max: b.latencyBound(s, extra),
		})
	}
}

// limitTeamLatencies adds the outcomes that limit the 99th percentile of one team's
// latency at each service.
func (b *traceBuilder) limitTeamLatencies(team int) {
	for _, s := range b.deployment.services {
		b.outcomes = append(b.outcomes, tracer.Outcome{
			Measure: tracer.MeasureLatency, Team: teamName(team), Service: s.name, Quantile: 0.99, Max: b.latencyBound(s, 0),
		})
	}
}

// latencyBound returns the highest allowed 99th percentile of the latency at a service,
// in milliseconds. It is the sum of the longest time that an endpoint takes, the network
// round trips between caller, instance and endpoint, the longest wait and extra.
func (b *traceBuilder) latencyBound(s service, extra time.Duration) *float64 {
	n := b.deployment.network
	networkTime := 2*time.Duration(n.ToClients) + 2*time.Duration(n.BetweenDomains)
	limit := time.Duration(maxWorkFactor*float64(s.work)) + networkTime + maxWait + extra
	return bound(float64(limit) / float64(time.Millisecond))
}

// limitDrain adds the outcome that an endpoint gets no new requests later than maxDrain
// after the start of its drain.
func (b *traceBuilder) limitDrain() {
	b.outcomes = append(b.outcomes, tracer.Outcome{
		Measure: tracer.MeasureDrain, Max: bound(float64(maxDrain.Milliseconds())),
	})
}

// bound returns a pointer to v for the bounds of an outcome, where nil means no bound.
func bound(v float64) *float64 { return &v }
