package placer

import (
	"math"
	"time"

	"primroseseam.org/seam/router"
)

const (
	// reportHalfLife is the time in which a reported speed loses half of its weight: other
	// programs on the endpoint's machine come and go several times a second.
	reportHalfLife = 300 * time.Millisecond
	// reportKept is how long a report is used at all, and passed on to other instances.
	reportKept = 5 * reportHalfLife
	// usualPercent is the reported work time of an endpoint that is as fast as usual. Reports
	// that differ from it by less than minDifference are not passed on.
	usualPercent  = 100
	minDifference = 15
	// A reported work time counts as at least minWorkTime and at most maxWorkTime times the
	// usual one.
	minWorkTime, maxWorkTime = 0.5, 10
	// maxReports limits the reports in a heartbeat.
	maxReports = 64
)

// report is what an endpoint last stated of itself, here or at another instance.
type report struct {
	// workTime is how long work takes at the endpoint, as a multiple of the usual time.
	workTime float64
	at       time.Time
	// pending means that the report came to this instance, and has not been passed on. announced
	// means that the last one that was passed on differed from the usual.
	pending, announced bool
}

// WorkTimeReport is a report that an instance passes on to the others of its region. It states
// how long work takes at an endpoint, in percent of the usual time, and how old that is.
type WorkTimeReport struct {
	Endpoint uint32
	Percent  uint16
	Age      time.Duration
}

// currentWorkTime returns how long work is expected to take at the endpoint, as a multiple of
// the usual time. Without new reports the result approaches 1.
func (e *endpoint) currentWorkTime(now time.Time) float64 {
	if e.report.workTime == 0 {
		return 1
	}
	age := now.Sub(e.report.at)
	if age > reportKept {
		return 1
	}
	return 1 + (e.report.workTime-1)*math.Exp2(-max(age, 0).Seconds()/reportHalfLife.Seconds())
}

// workTimeOf returns the reported work time as a multiple of the usual one, or 1 if none was
// reported.
func workTimeOf(l router.ReportedLoad) float64 {
	if l.WorkTimePercent <= 0 {
		return 1
	}
	return min(max(float64(l.WorkTimePercent)/usualPercent, minWorkTime), maxWorkTime)
}

// recordReport records what an endpoint states of its load in a response.
func (e *endpoint) recordReport(now time.Time, l router.ReportedLoad) {
	if l.WorkTimePercent <= 0 {
		return
	}
	e.report = report{workTime: workTimeOf(l), at: now, announced: e.report.announced}
	differs := math.Abs(e.report.workTime-1)*usualPercent >= minDifference
	e.report.pending = differs || e.report.announced
}

// TakeWorkTimeReports returns the reports that were not passed on yet. It leaves out those of
// endpoints that are as fast as usual, and were when they were last passed on.
func (b *Balancer) TakeWorkTimeReports(now time.Time) []WorkTimeReport {
	var reports []WorkTimeReport
	for _, e := range b.byID {
		if !e.report.pending || len(reports) >= maxReports {
			continue
		}
		e.report.pending = false
		age := now.Sub(e.report.at)
		if age > reportKept {
			continue
		}
		e.report.announced = math.Abs(e.report.workTime-1)*usualPercent >= minDifference
		reports = append(reports, WorkTimeReport{Endpoint: e.hash, Percent: uint16(math.Round(e.report.workTime * usualPercent)), Age: age})
	}
	return reports
}

// ApplyWorkTimeReports applies the reports that another instance has passed on, unless newer
// ones are known.
func (b *Balancer) ApplyWorkTimeReports(now time.Time, reports []WorkTimeReport) {
	for _, r := range reports {
		e, ok := b.byHash[r.Endpoint]
		at := now.Add(-r.Age)
		if !ok || r.Percent == 0 || !at.After(e.report.at) {
			continue
		}
		e.report.workTime = min(max(float64(r.Percent)/usualPercent, minWorkTime), maxWorkTime)
		e.report.at, e.report.pending = at, false
	}
}
