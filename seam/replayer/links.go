package replayer

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// linkRecord measures the bytes on one direction between two regions.
type linkRecord struct {
	cap  excess
	peak float64
	// recent is the peak since the last sample.
	recent float64
}

// links measures the bytes that endpoints and instances exchange between
// regions.
type links struct {
	byPair map[regionPair]*linkRecord
}

func newLinks(t *tracer.Trace) *links {
	l := &links{byPair: map[regionPair]*linkRecord{}}
	for _, link := range t.Config().Links() {
		l.byPair[regionPair{link.From, link.To}] = &linkRecord{
			cap: excess{rate: float64(link.CapBytesPerSecond), burst: float64(link.BurstBytes)},
		}
	}
	return l
}

// add takes bytes on a link and reports whether all windows conform. Bytes on
// a pair of regions without a link conform.
func (l *links) add(pair regionPair, now time.Time, bytes int64) bool {
	r, ok := l.byPair[pair]
	if !ok {
		return true
	}
	conforms := r.cap.add(now, float64(bytes))
	part := r.cap.level / r.cap.burst
	r.peak = max(r.peak, part)
	r.recent = max(r.recent, part)
	return conforms
}

// greatestPart returns the greatest part of a link's allowance that a window
// used.
func (l *links) greatestPart(pair regionPair) float64 {
	if r, ok := l.byPair[pair]; ok {
		return r.peak
	}
	return 0
}

// peaks returns the greatest parts since the last call, of links in use.
func (l *links) peaks() map[string]float64 {
	parts := map[string]float64{}
	for pair, r := range l.byPair {
		if r.recent > 0 {
			parts[pair.from+" to "+pair.to] = r.recent
			r.recent = 0
		}
	}
	return parts
}
