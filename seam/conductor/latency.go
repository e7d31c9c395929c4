package conductor

import "time"

const (
	// latencyRatioWeight is the weight of a new measurement in the moving average.
	latencyRatioWeight = 0.2
	// A route counts as faster than its service if its ratio is below this fraction
	// of the service's.
	fastRouteRatio = 0.7
	// fastProbeInterval is how long after its last measurement a route that has not
	// been measured to be fast is probed again.
	fastProbeInterval = 5 * time.Second
)

// latencyRatio is a moving average of measured over estimated latency, of a route
// or a service. The service's average covers all its routes, of which some may be
// faster than the estimate for the service.
type latencyRatio struct {
	ratio    float64
	measured bool
	// updated is when a measurement was last recorded or a probe began.
	updated time.Time
}

// latencyRatios holds the latency ratios by the name of the route or service.
type latencyRatios map[string]*latencyRatio

// get returns the latency ratio for a name, creating it if there is none.
func (r latencyRatios) get(name string) *latencyRatio {
	ratio, ok := r[name]
	if !ok {
		ratio = &latencyRatio{}
		r[name] = ratio
	}
	return ratio
}

// estimate returns the expected latency of a request of this route, given the
// estimate for its service and the queueing time included in it. If a slot is free
// and the route has had no measurement for fastProbeInterval, it returns 0 for one
// request, so that the route is probed although the estimate alone might refuse
// it.
func (r *latencyRatio) estimate(now time.Time, expected, queueTime time.Duration, service *latencyRatio) time.Duration {
	switch {
	case r.measured && r.ratio < fastRouteRatio*service.ratio:
		return queueTime + time.Duration(r.ratio/service.ratio*float64(expected-queueTime))
	case queueTime == 0 && now.Sub(r.updated) > fastProbeInterval:
		r.updated = now
		return 0
	}
	return expected
}

// record adds the latency of an attempt to the average. Attempts that were
// expected to queue are left out. A timeout shows that the route is not faster
// than estimated; other failures show nothing.
func (r *latencyRatio) record(now time.Time, took, expected, queueTime time.Duration, o Outcome) {
	if queueTime > 0 || expected <= 0 || !o.Acceptable() && !o.TimedOut {
		return
	}
	ratio := float64(took) / float64(expected)
	if o.TimedOut {
		ratio = max(ratio, 1)
	}
	r.updated = now
	if !r.measured {
		r.measured = true
		r.ratio = ratio
		return
	}
	r.ratio += latencyRatioWeight * (ratio - r.ratio)
}
