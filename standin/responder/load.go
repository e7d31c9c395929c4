package responder

import "time"

//go:generate stringer -type=Report -output=report_string.go

// Report selects which load an upstream reports in its responses. The actual load is the
// number of requests in progress.
type Report int

const (
	// ReportHonest reports the number of requests in progress.
	ReportHonest Report = iota
	// ReportLagging reports the number of requests that were in progress reportLag ago or
	// earlier. The upstream stores the actual load whenever a request arrives, and reports
	// the newest stored load that is at least reportLag old, or 0 if there is none.
	ReportLagging
	// ReportZero always reports a load of 0.
	ReportZero
	// ReportFull always reports that all slots are in use.
	ReportFull
)

const (
	// reportLag is the least age of the load that ReportLagging reports.
	reportLag = 2 * time.Second
	// maxLoadSamples is the maximum number of samples kept for ReportLagging. If more
	// requests arrive within reportLag, no kept sample is old enough, and 0 is reported.
	maxLoadSamples = 4096
)

// loadSample holds how many requests were in progress at the time at.
type loadSample struct {
	at   time.Time
	load int
}

// reportedLoad returns the load to report in a response. It is called once for each request,
// when the request has arrived. The caller holds the lock.
func (u *FakeUpstream) reportedLoad(now time.Time) int {
	switch u.report {
	case ReportZero:
		return 0
	case ReportFull:
		return u.slots
	case ReportLagging:
		return u.laggingLoad(now)
	}
	return u.inUse
}

// laggingLoad records the current load and returns the newest sample that is at least
// reportLag old, or 0 if there is none. The caller holds the lock.
func (u *FakeUpstream) laggingLoad(now time.Time) int {
	u.loadSamples = append(u.loadSamples, loadSample{at: now, load: u.inUse})
	drop := 0
	for drop+1 < len(u.loadSamples) && (len(u.loadSamples)-drop > maxLoadSamples || now.Sub(u.loadSamples[drop+1].at) >= reportLag) {
		drop++
	}
	u.loadSamples = u.loadSamples[drop:]
	if now.Sub(u.loadSamples[0].at) < reportLag {
		return 0
	}
	return u.loadSamples[0].load
}

// coldStart makes requests take longer after the start of an upstream. At startedAt they
// take factor times as long as on a warm upstream. This factor falls linearly to 1 over the
// time warming, after which the upstream is warm.
type coldStart struct {
	factor    float64
	warming   time.Duration
	startedAt time.Time
}

// workAt returns how long a request that starts at now takes. The parameter work is the
// time that it would take on a warm upstream.
func (c coldStart) workAt(now time.Time, work time.Duration) time.Duration {
	age := now.Sub(c.startedAt)
	if c.factor <= 1 || age >= c.warming {
		return work
	}
	remainingShare := 1 - float64(age)/float64(c.warming)
	return time.Duration(float64(work) * (1 + (c.factor-1)*remainingShare))
}
