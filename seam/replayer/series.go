package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"primroseseam.org/seam/tracer"
)

// sampleInterval is the length of time that a sample covers.
const sampleInterval = time.Second

// Sample holds the measurements of one second of a replay.
type Sample struct {
	// At is the end of the second, since the start of the trace.
	At time.Duration `json:"atNanoseconds"`
	// TeamP99 is the 99th percentile of each team's latency in milliseconds.
	TeamP99 map[string]float64 `json:"teamP99Ms"`
	// Headroom is the mean fraction of each region's slots that was free, 0 to 1.
	Headroom map[string]float64 `json:"headroom"`
	// Links is the highest usage of each link as a fraction of its burst.
	Links map[string]float64 `json:"links"`
	// Refused counts the refused requests that were within their team's rate.
	Refused int `json:"refusedWithinRate"`
}

// Mark is an event of the trace that a report shows, such as a crash.
type Mark struct {
	At   time.Duration `json:"atNanoseconds"`
	Text string        `json:"text"`
}

// series samples a replay once a second.
type series struct {
	trace    *tracer.Trace
	latency  map[string]*hdrhistogram.Histogram
	busy     map[string]busyIntegral
	refusals int
	samples  []Sample
	running  bool
}

// busyIntegral integrates the number of a region's busy slots over time.
type busyIntegral struct {
	slotSeconds float64
	updated     time.Time
	busy        int
}

func newSeries(t *tracer.Trace) *series {
	return &series{trace: t, latency: map[string]*hdrhistogram.Histogram{}, busy: map[string]busyIntegral{}}
}

// begin starts to take a sample every second.
func (s *series) begin(c *recorder, now time.Time) {
	s.running = true
	for region, r := range c.regions {
		s.busy[region] = busyIntegral{updated: now, busy: r.busy}
	}
	var next func()
	next = func() {
		if !s.running {
			return
		}
		s.sample(c)
		c.world.After("", sampleInterval, next)
	}
	c.world.After("", sampleInterval, next)
}

func (s *series) stop() { s.running = false }

// slotsChanged adds the time since the last change to the integral and sets the
// number of busy slots.
func (s *series) slotsChanged(region string, now time.Time, busy int) {
	b := s.busy[region]
	if !b.updated.IsZero() {
		b.slotSeconds += float64(b.busy) * now.Sub(b.updated).Seconds()
	}
	b.updated, b.busy = now, busy
	s.busy[region] = b
}

// answered records the latency of an answered request.
func (s *series) answered(team string, took time.Duration) {
	h, ok := s.latency[team]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
		s.latency[team] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds())
}

// refused counts a refusal within the team's rate.
func (s *series) refused(string) { s.refusals++ }

// sample adds the sample of the second that ends now and resets the measurements.
func (s *series) sample(c *recorder) {
	now := c.world.Now()
	out := Sample{At: now.Sub(c.start), TeamP99: map[string]float64{}, Headroom: map[string]float64{}, Links: c.links.takePeaks(), Refused: s.refusals}
	for team, h := range s.latency {
		if h.TotalCount() > 0 {
			out.TeamP99[team] = quantileMilliseconds(h, 0.99)
			h.Reset()
		}
	}
	for region, r := range c.regions {
		s.slotsChanged(region, now, r.busy)
		b := s.busy[region]
		out.Headroom[region] = 1 - b.slotSeconds/sampleInterval.Seconds()/float64(max(1, r.slots))
		b.slotSeconds = 0
		s.busy[region] = b
	}
	s.refusals = 0
	s.samples = append(s.samples, out)
}

// minHeadroom returns the lowest headroom of any region, in the samples after a time
// since the start.
func (s *series) minHeadroom(after time.Duration) float64 {
	least := 1.0
	for _, sample := range s.samples {
		if sample.At <= after {
			continue
		}
		for _, free := range sample.Headroom {
			least = min(least, free)
		}
	}
	return least
}

// quantileMilliseconds returns a quantile, 0 to 1, of a histogram that holds
// microseconds.
func quantileMilliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile*100)) / 1000
}
