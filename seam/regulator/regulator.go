// Package regulator limits how fast the split of a region's requests over the regions that run
// them changes. It is used by package conductor of the edge daemon, seamedge.
//
// Each request prefers the region of its best endpoint. When the load of a region changes, the
// preferences of all its requests change at once, and endpoints and links elsewhere would get
// many requests without a warning. A [Regulator] keeps a plan, the parts of the requests that go
// to each region. The plan follows the preferences of all requests of the instance's region at a
// limited speed. Requests that prefer a region beyond its part in the plan are sent to a region
// below its part, at random, so that the instances of a region needn't agree on single requests.
//
// # Usage
//
//	r := regulator.New("east", []string{"east", "west"}, 0.05)
//	r.SetInitial(map[string]float64{"east": 0.6, "west": 0.4})
//	region := r.Choose(now, "east", rng.Float64())
//	r.Record(now, "east", region)
package regulator

import (
	"math"
	"slices"
	"time"
)

const (
	// preferredMemory is the time over which preferences are averaged. It is short, since the
	// plan must not be left while the average lags behind. sentMemory is the same for the regions
	// that requests were sent to.
	preferredMemory = 500 * time.Millisecond
	sentMemory      = time.Second
	// minRequests is the number of requests in the average from which on it is used.
	minRequests = 20.0
	// initialPeriod is how long the initial parts apply after the first request.
	initialPeriod = time.Second
	// releasePeriod is how long the plan equals the preferences after Release. By then the
	// requests have left endpoints that are gone.
	releasePeriod = 3 * time.Second
	// minTolerance is how far the preferences for a region may exceed its part in the plan before
	// requests are sent elsewhere, if the average has no error.
	minTolerance = 0.02
)

// average counts requests by region, decayed over memory.
type average struct {
	memory   time.Duration
	requests []float64
	total    float64
	at       time.Time
}

func newAverage(memory time.Duration, regions int) average {
	return average{memory: memory, requests: make([]float64, regions)}
}

// add counts n requests for a region.
func (a *average) add(now time.Time, region int, n float64) {
	decay := math.Exp(-max(now.Sub(a.at).Seconds(), 0) / a.memory.Seconds())
	for i := range a.requests {
		a.requests[i] *= decay
	}
	a.requests[region] += n
	a.total = a.total*decay + n
	a.at = now
}

// part returns the part of the requests that were for a region, or 0 if there were none.
func (a *average) part(region int) float64 {
	if a.total == 0 {
		return 0
	}
	return a.requests[region] / a.total
}

// Regulator holds the plan of one instance. It is not safe for concurrent use.
type Regulator struct {
	// maxSpeed is the largest part of the requests by which the plan changes in a second.
	maxSpeed float64
	// home is the index of the instance's own region.
	home    int
	regions []string
	// preferred counts the requests by the region that they preferred, and sent by the region that
	// they were sent to.
	preferred, sent average
	// plan holds the part of each region. It is nil before the first request. initial holds the
	// parts of [Regulator.SetInitial].
	plan        []float64
	planAt      time.Time
	initial     []float64
	startedAt   time.Time
	releasedEnd time.Time
	// pendingPreferred and pendingSent hold the requests that were recorded and not yet reported
	// to other instances.
	pendingPreferred, pendingSent []uint32
}

// New returns a regulator for an instance in the region home, which is one of the given regions.
// maxSpeed is the largest part of the requests, from 0 to 1, that may change their region in a
// second; 0 means no limit.
func New(home string, regions []string, maxSpeed float64) *Regulator {
	regions = slices.Compact(slices.Sorted(slices.Values(regions)))
	return &Regulator{
		maxSpeed: maxSpeed, regions: regions, home: slices.Index(regions, home),
		preferred: newAverage(preferredMemory, len(regions)), sent: newAverage(sentMemory, len(regions)),
		pendingPreferred: make([]uint32, len(regions)), pendingSent: make([]uint32, len(regions)),
	}
}

// SetMaxSpeed changes the largest part of the requests that may change their region in a second.
func (r *Regulator) SetMaxSpeed(maxSpeed float64) { r.maxSpeed = maxSpeed }

// SetInitial sets the parts with which the regulator begins, before it is known how many requests
// there are. No more than its part goes to the home region at first, and what is beyond it to the
// others in proportion to theirs. Without it, the first preferences are the plan.
func (r *Regulator) SetInitial(parts map[string]float64) {
	r.initial = make([]float64, len(r.regions))
	for i, region := range r.regions {
		r.initial[i] = parts[region]
	}
}

// Release lets the plan follow the preferences without a limit for a few seconds, because
// endpoints are gone or are back.
func (r *Regulator) Release(now time.Time) { r.releasedEnd = now.Add(releasePeriod) }

// Choose returns the region to use for a request that prefers a region. random is uniform in
// [0, 1).
func (r *Regulator) Choose(now time.Time, preferred string, random float64) string {
	n := slices.Index(r.regions, preferred)
	if n < 0 || r.maxSpeed <= 0 || r.preferred.total < minRequests {
		return preferred
	}
	r.follow(now)
	if now.Before(r.releasedEnd) {
		return preferred
	}
	// What was sent there beyond the plan while the preferences were not yet known is made up for.
	surplus := max(r.sent.part(n)-r.plan[n], 0)
	part := r.preferred.part(n)
	excess := min(part-r.plan[n]+surplus-r.tolerance(part), part)
	if excess <= 0 || random >= excess/part {
		return preferred
	}
	return r.regions[r.below(n, random*part/excess)]
}

// tolerance returns how far the preferences for a region, a part of all, may exceed its part in
// the plan: the standard error of the average, so that chance moves few requests.
func (r *Regulator) tolerance(part float64) float64 {
	return max(math.Sqrt(part*(1-part)/r.preferred.total), minTolerance)
}

// Record records that a request of this instance that preferred a region was sent to an endpoint,
// in that region or another one. Requests that are refused don't count: they run in no region.
func (r *Regulator) Record(now time.Time, preferred, sent string) {
	p, s := slices.Index(r.regions, preferred), slices.Index(r.regions, sent)
	if p < 0 || s < 0 {
		return
	}
	r.pendingPreferred[p]++
	r.pendingSent[s]++
	r.record(now, &r.preferred, p, 1)
	r.record(now, &r.sent, s, 1)
}

// below returns the index of a region to which less is sent than its part in the plan, at random
// in proportion to the difference, or instead if there is none.
func (r *Regulator) below(instead int, random float64) int {
	missing := make([]float64, len(r.regions))
	total := 0.0
	for i := range r.regions {
		missing[i] = max(r.plan[i]-min(r.preferred.part(i), r.sent.part(i)), 0)
		if i == instead {
			missing[i] = 0
		}
		total += missing[i]
	}
	for i, m := range missing {
		if random -= m / total; m > 0 && random < 0 {
			return i
		}
	}
	return instead
}

// Apply records what another instance of the region reported with [Regulator.TakeCounts].
// Reports for another number of regions are ignored: that instance has other settings.
func (r *Regulator) Apply(now time.Time, counts []uint32) {
	n := len(r.regions)
	if len(counts) != n && len(counts) != 2*n {
		return
	}
	sent := counts[len(counts)-n:]
	for i, count := range counts[:n] {
		r.record(now, &r.preferred, i, float64(count))
		r.record(now, &r.sent, i, float64(sent[i]))
	}
}

// TakeCounts returns what was recorded since the last call: for each region, in the order of
// their names, the number of requests that preferred it, and, unless they are the same, the number
// of requests that were sent there. It returns nil if there were none.
func (r *Regulator) TakeCounts() []uint32 {
	preferred, sent := r.pendingPreferred, r.pendingSent
	if !slices.ContainsFunc(preferred, func(n uint32) bool { return n > 0 }) {
		return nil
	}
	r.pendingPreferred, r.pendingSent = make([]uint32, len(preferred)), make([]uint32, len(sent))
	if slices.Equal(preferred, sent) {
		return preferred
	}
	return append(preferred, sent...)
}

// Parts returns the plan, by region, or nil before the first request.
func (r *Regulator) Parts() map[string]float64 {
	if r.plan == nil {
		return nil
	}
	parts := make(map[string]float64, len(r.regions))
	for i, region := range r.regions {
		parts[region] = r.plan[i]
	}
	return parts
}

// record counts requests for a region.
func (r *Regulator) record(now time.Time, a *average, region int, requests float64) {
	if requests == 0 {
		return
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	a.add(now, region, requests)
}

// begin sets the plan to the preferences, with no more than the initial part for the home region.
func (r *Regulator) begin() {
	r.plan = make([]float64, len(r.regions))
	for i := range r.plan {
		r.plan[i] = r.preferred.part(i)
	}
	if r.initial == nil || r.home < 0 || r.plan[r.home] <= r.initial[r.home] {
		return
	}
	excess := r.plan[r.home] - r.initial[r.home]
	elsewhere := 0.0
	for i, part := range r.initial {
		if i != r.home {
			elsewhere += part
		}
	}
	if elsewhere == 0 {
		return
	}
	for i, part := range r.initial {
		r.plan[i] += excess * part / elsewhere
	}
	r.plan[r.home] = r.initial[r.home]
}

// follow moves the plan toward the preferences.
func (r *Regulator) follow(now time.Time) {
	elapsed := max(now.Sub(r.planAt).Seconds(), 0)
	r.planAt = now
	switch {
	case r.plan == nil || now.Sub(r.startedAt) < initialPeriod:
		r.begin()
		return
	case r.preferred.total < minRequests:
		return
	case now.Before(r.releasedEnd):
		elapsed = math.Inf(1)
	}
	distance := 0.0
	for i, part := range r.plan {
		distance += max(r.preferred.part(i)-part, 0)
	}
	if distance == 0 {
		return
	}
	step := min(r.maxSpeed*elapsed/distance, 1)
	for i, part := range r.plan {
		r.plan[i] += step * (r.preferred.part(i) - part)
	}
}
