package replayer

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// linkUsage measures the traffic of one link against the link's rate and burst. Usage
// is the level of the leaky bucket as a fraction of the burst. Above 1, the traffic
// exceeds the limit.
type linkUsage struct {
	cap leakyBucket
	// peak is the highest usage since the start of the replay.
	peak float64
	// recentPeak is the highest usage since the last call of takePeaks.
	recentPeak float64
}

// links measures the bytes that instances and endpoints send to other regions, for each
// link of the configuration.
type links struct {
	byPair map[regionPair]*linkUsage
}

func newLinks(t *tracer.Trace) *links {
	l := &links{byPair: map[regionPair]*linkUsage{}}
	for _, link := range t.Config().Links() {
		l.byPair[regionPair{link.From, link.To}] = &linkUsage{
			cap: leakyBucket{rate: float64(link.CapBytesPerSecond), burst: float64(link.BurstBytes)},
		}
	}
	return l
}

// add counts bytes on a link and reports whether the link's traffic conforms to its
// limit. If the configuration has no link between the regions, it returns true.
func (l *links) add(pair regionPair, now time.Time, bytes int64) bool {
	r, ok := l.byPair[pair]
	if !ok {
		return true
	}
	conforms := r.cap.add(now, float64(bytes))
	used := r.cap.level / r.cap.burst
	r.peak = max(r.peak, used)
	r.recentPeak = max(r.recentPeak, used)
	return conforms
}

// peakUsage returns the highest usage of a link so far, as a fraction of its burst. It
// returns 0 if the configuration has no such link.
func (l *links) peakUsage(pair regionPair) float64 {
	if r, ok := l.byPair[pair]; ok {
		return r.peak
	}
	return 0
}

// takePeaks returns the highest usage of each link since the last call of takePeaks, as
// a fraction of the link's burst. Links without traffic are left out.
func (l *links) takePeaks() map[string]float64 {
	usage := map[string]float64{}
	for pair, r := range l.byPair {
		if r.recentPeak > 0 {
			usage[pair.from+" to "+pair.to] = r.recentPeak
			r.recentPeak = 0
		}
	}
	return usage
}
