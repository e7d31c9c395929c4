package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"primroseseam.org/seam/tracer"
)

// sampleInterval is the length of the time that each sample covers.
const sampleInterval = time.Second

// Sample holds the measurements of one second of a replay.
type Sample struct {
	// At is the time from the start of the trace to the end of the second.
	At time.Duration `json:"atNanoseconds"`
	// TeamP99 holds the 99th percentile of the latency in milliseconds by team, for
	// teams with answered requests.
	TeamP99 map[string]float64 `json:"teamP99Ms"`
	// Headroom holds, by region, the fraction of the region's endpoint slots that were
	// free, from 0 to 1, as a mean over the second.
	Headroom map[string]float64 `json:"headroom"`
	// Links holds the highest usage of each link as a fraction of the link's burst. The
	// keys have the form "a to b". Links without traffic are left out.
	Links map[string]float64 `json:"links"`
	// Refused counts the refused requests that were within their team's rate.
	Refused int `json:"refusedWithinRate"`
}

// Mark is an event of the trace that a report shows, such as a crash. At is the time
// since the start of the trace.
type Mark struct {
	At   time.Duration `json:"atNanoseconds"`
	Text string        `json:"text"`
}

// series takes a sample of the measurements of a replay once a second.
type series struct {
	trace    *tracer.Trace
	latency  map[string]*hdrhistogram.Histogram
	busy     map[string]busyIntegral
	refusals int
	samples  []Sample
	sampling bool
}

// busyIntegral integrates the number of a region's busy slots over time, in slots times
// seconds, to get the mean over a second.
type busyIntegral struct {
	slotSeconds float64
	updated     time.Time
	busy        int
}

func newSeries(t *tracer.Trace) *series {
	return &series{trace: t, latency: map[string]*hdrhistogram.Histogram{}, busy: map[string]busyIntegral{}}
}

// begin starts to take a sample every second, until stop is called.
func (s *series) begin(rec *recorder, now time.Time) {
	s.sampling = true
	for region, r := range rec.regions {
		s.busy[region] = busyIntegral{updated: now, busy: r.busy}
	}
	var next func()
	next = func() {
		if !s.sampling {
			return
		}
		s.sample(rec)
		rec.world.After("", sampleInterval, next)
	}
	rec.world.After("", sampleInterval, next)
}

func (s *series) stop() { s.sampling = false }

// slotsChanged sets the number of a region's busy slots. It first adds the previous
// number of busy slots, times the time since the last change, to the region's integral.
func (s *series) slotsChanged(region string, now time.Time, busy int) {
	b := s.busy[region]
	if !b.updated.IsZero() {
		b.slotSeconds += float64(b.busy) * now.Sub(b.updated).Seconds()
	}
	b.updated, b.busy = now, busy
	s.busy[region] = b
}

// requestAnswered records the latency of a team's answered request.
func (s *series) requestAnswered(team string, took time.Duration) {
	h, ok := s.latency[team]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
		s.latency[team] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds())
}

// requestRefused counts a refused request that was within its team's rate.
func (s *series) requestRefused(string) { s.refusals++ }

// sample adds the sample of the second that ends now, and resets the measurements for
// the next second.
func (s *series) sample(rec *recorder) {
	now := rec.world.Now()
	out := Sample{At: now.Sub(rec.start), TeamP99: map[string]float64{}, Headroom: map[string]float64{}, Links: rec.links.takePeaks(), Refused: s.refusals}
	for team, h := range s.latency {
		if h.TotalCount() > 0 {
			out.TeamP99[team] = quantileMilliseconds(h, 0.99)
			h.Reset()
		}
	}
	for region, r := range rec.regions {
		s.slotsChanged(region, now, r.busy)
		b := s.busy[region]
		out.Headroom[region] = 1 - b.slotSeconds/sampleInterval.Seconds()/float64(max(1, r.slots))
		b.slotSeconds = 0
		s.busy[region] = b
	}
	s.refusals = 0
	s.samples = append(s.samples, out)
}

// minHeadroom returns the lowest fraction of free slots, from 0 to 1, of any region in
// any sample. It ignores the samples of the seconds that end at or before after, which
// is the time since the start of the trace. Without samples it returns 1.
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

// quantileMilliseconds returns a quantile of a histogram in milliseconds. The histogram
// holds microseconds, and quantile is from 0 to 1.
func quantileMilliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile*100)) / 1000
}
