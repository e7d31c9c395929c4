package responder

import "time"

//go:generate stringer -type=Report -output=report_string.go

// Report selects how the reported load relates to the actual load.
type Report int

const (
	// ReportHonest reports the number of requests in progress.
	ReportHonest Report = iota
	// ReportLagging reports the number of requests that were in progress reportLag ago.
	// Samples are taken when requests arrive; it reports 0 until one is old enough.
	ReportLagging
	// ReportZero always reports a load of 0.
	ReportZero
	// ReportFull always reports that all slots are in use.
	ReportFull
)

const (
	// reportLag is how old a lagging report is.
	reportLag = 2 * time.Second
	// maxLoadSamples bounds the samples kept for lagging reports. More requests than that
	// within reportLag push out the samples that are old enough, and 0 is reported.
	maxLoadSamples = 4096
)

// loadSample is the number of requests in progress at a time.
type loadSample struct {
	at   time.Time
	load int
}

// reportedLoad returns the load to report. The caller holds the lock.
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

// coldStart makes requests take factor times as long at startedAt. The factor falls
// linearly to 1 over the time warming.
type coldStart struct {
	factor    float64
	warming   time.Duration
	startedAt time.Time
}

// workAt returns how long a request takes that starts at now and takes work on a warm
// upstream.
func (c coldStart) workAt(now time.Time, work time.Duration) time.Duration {
	age := now.Sub(c.startedAt)
	if c.factor <= 1 || age >= c.warming {
		return work
	}
	remaining := 1 - float64(age)/float64(c.warming)
	return time.Duration(float64(work) * (1 + (c.factor-1)*remaining))
}
