package conductor

import "time"

const (
	// latencyRatioWeight is the weight of a new measurement in the moving average of a
	// latencyRatio.
	latencyRatioWeight = 0.2
	// A route counts as faster than its service if its latencyRatio is below this
	// fraction of the service's latencyRatio.
	fastRouteRatio = 0.7
	// A route that is not known to be faster than its service is probed again when this
	// time has passed since its last measurement or probe.
	fastProbeInterval = 5 * time.Second
)

// latencyRatio is a moving average of the measured latency divided by the estimated
// latency, for a route or for a service. The estimates are made per service, so a
// route may be faster than the estimate for its service. The average of a service
// covers all its routes.
type latencyRatio struct {
	ratio          float64
	hasMeasurement bool
	// updatedAt is when a measurement was last recorded or a probe began.
	updatedAt time.Time
}

// latencyRatios holds the latency ratios by the name of the route or service.
type latencyRatios map[string]*latencyRatio

// get returns the latency ratio for a name and creates it if there is none.
func (r latencyRatios) get(name string) *latencyRatio {
	ratio, ok := r[name]
	if !ok {
		ratio = &latencyRatio{}
		r[name] = ratio
	}
	return ratio
}

// copyOf returns a copy of the latency ratio of a name.
func (r latencyRatios) copyOf(name string) latencyRatio {
	if ratio, ok := r[name]; ok {
		return *ratio
	}
	return latencyRatio{}
}

// estimate returns the expected latency of a request of the route that r belongs to.
// expected is the estimate for the service, and queueTime is the part of expected that
// is spent queueing. service is the latency ratio of the service.
//
// If the route was measured to be faster than its service, the result is shorter than
// expected. If a slot is free and the route has had no measurement and no probe for
// fastProbeInterval, the request becomes a probe: the result is 0, so that the request
// is not refused. Without probes, a route whose requests are all refused because of
// the estimate would never be measured.
func (r *latencyRatio) estimate(now time.Time, expected, queueTime time.Duration, service *latencyRatio) time.Duration {
	switch {
	case r.hasMeasurement && r.ratio < fastRouteRatio*service.ratio:
		return queueTime + time.Duration(r.ratio/service.ratio*float64(expected-queueTime))
	case queueTime == 0 && now.Sub(r.updatedAt) > fastProbeInterval:
		r.updatedAt = now
		return 0
	}
	return expected
}

// record adds the latency of an attempt to the average. Attempts that were expected
// to queue are left out. A timeout shows that the route is not faster than estimated.
// Other failures are left out, because they show nothing about the latency.
func (r *latencyRatio) record(now time.Time, took, expected, queueTime time.Duration, o Outcome) {
	if queueTime > 0 || expected <= 0 || !o.Acceptable() && !o.TimedOut {
		return
	}
	ratio := float64(took) / float64(expected)
	if o.TimedOut {
		ratio = max(ratio, 1)
	}
	r.updatedAt = now
	if !r.hasMeasurement {
		r.hasMeasurement = true
		r.ratio = ratio
		return
	}
	r.ratio += latencyRatioWeight * (ratio - r.ratio)
}
