package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"primroseseam.org/seam/tracer"
)

// sampleEvery is the time between two samples of a replay's series.
const sampleEvery = time.Second

// Sample is what happened in one second of a replay.
type Sample struct {
	// At is the time since the start of the trace.
	At time.Duration `json:"atNanoseconds"`
	// TeamP99 is each team's 99th percentile of latency in milliseconds.
	TeamP99 map[string]float64 `json:"teamP99Ms"`
	// Headroom is the free part of each region's slots, 0 to 1.
	Headroom map[string]float64 `json:"headroom"`
	// Links is the greatest used part of each link's allowance.
	Links map[string]float64 `json:"links"`
	// Refused counts refusals within the team's rate.
	Refused int `json:"refusedWithinRate"`
}

// Mark is an event of the trace that the report points out.
type Mark struct {
	At   time.Duration `json:"atNanoseconds"`
	Text string        `json:"text"`
}

// series samples a replay once a second.
type series struct {
	trace   *tracer.Trace
	latency map[string]*hdrhistogram.Histogram
	busy    map[string]busyTime
	refusal int
	samples []Sample
	running bool
}

// busyTime integrates the busy slots of a region.
type busyTime struct {
	sum  float64
	last time.Time
	busy int
}

func newSeries(t *tracer.Trace) *series {
	return &series{trace: t, latency: map[string]*hdrhistogram.Histogram{}, busy: map[string]busyTime{}}
}

func (s *series) begin(c *recorder, now time.Time) {
	s.running = true
	for region, r := range c.regions {
		s.busy[region] = busyTime{last: now, busy: r.busy}
	}
	var next func()
	next = func() {
		if !s.running {
			return
		}
		s.sample(c)
		c.world.After("", sampleEvery, next)
	}
	c.world.After("", sampleEvery, next)
}

func (s *series) stop() { s.running = false }

// slotsChanged adds the time since the last change to the integral.
func (s *series) slotsChanged(region string, now time.Time, busy int) {
	b := s.busy[region]
	if !b.last.IsZero() {
		b.sum += float64(b.busy) * now.Sub(b.last).Seconds()
	}
	b.last, b.busy = now, busy
	s.busy[region] = b
}

func (s *series) answered(team string, took time.Duration) {
	h, ok := s.latency[team]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
		s.latency[team] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds())
}

func (s *series) refused(string) { s.refusal++ }

// sample closes the current second.
func (s *series) sample(c *recorder) {
	now := c.world.Now()
	out := Sample{At: now.Sub(c.start), TeamP99: map[string]float64{}, Headroom: map[string]float64{}, Links: c.links.peaks(), Refused: s.refusal}
	for team, h := range s.latency {
		if h.TotalCount() > 0 {
			out.TeamP99[team] = milliseconds(h, 0.99)
			h.Reset()
		}
	}
	for region, r := range c.regions {
		s.slotsChanged(region, now, r.busy)
		b := s.busy[region]
		out.Headroom[region] = 1 - b.sum/sampleEvery.Seconds()/float64(max(1, r.slots))
		b.sum = 0
		s.busy[region] = b
	}
	s.refusal = 0
	s.samples = append(s.samples, out)
}

// leastHeadroom returns the least headroom of any region in any second after
// a time.
func (s *series) leastHeadroom(after time.Duration) float64 {
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

// milliseconds returns a quantile, 0 to 1, of a histogram of microseconds.
func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile*100)) / 1000
}
