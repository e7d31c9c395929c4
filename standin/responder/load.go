package responder

import "time"

//go:generate stringer -type=Report -output=report_string.go

// Report says how far the reported load can be trusted.
type Report int

const (
	// ReportHonest reports the requests in progress now.
	ReportHonest Report = iota
	// ReportLagging reports the requests in progress some time ago.
	ReportLagging
	// ReportZero always reports an idle upstream.
	ReportZero
	// ReportFull always reports that all slots are in use.
	ReportFull
)

const (
	// reportLag is how old a lagging report is.
	reportLag = 2 * time.Second
	// maxLoads bounds the loads kept for lagging reports.
	maxLoads = 4096
)

// loadAt is the load at a time.
type loadAt struct {
	at   time.Time
	load int
}

// reportedLoad returns the load to report. The caller holds the lock.
func (r *FakeUpstream) reportedLoad(now time.Time) int {
	switch r.report {
	case ReportZero:
		return 0
	case ReportFull:
		return r.slots
	case ReportLagging:
		return r.laggingLoad(now)
	}
	return r.inUse
}

func (r *FakeUpstream) laggingLoad(now time.Time) int {
	r.loads = append(r.loads, loadAt{at: now, load: r.inUse})
	drop := 0
	for drop+1 < len(r.loads) && (len(r.loads)-drop > maxLoads || now.Sub(r.loads[drop+1].at) >= reportLag) {
		drop++
	}
	r.loads = r.loads[drop:]
	if now.Sub(r.loads[0].at) < reportLag {
		return 0
	}
	return r.loads[0].load
}

// coldStart slows requests down until the upstream is warm.
type coldStart struct {
	factor  float64
	warming time.Duration
	began   time.Time
}

// workAt returns how long a request takes that starts at now.
func (c coldStart) workAt(now time.Time, work time.Duration) time.Duration {
	age := now.Sub(c.began)
	if c.factor <= 1 || age >= c.warming {
		return work
	}
	left := 1 - float64(age)/float64(c.warming)
	return time.Duration(float64(work) * (1 + (c.factor-1)*left))
}
