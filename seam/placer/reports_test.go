package placer_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// answer records an attempt at an endpoint that took a time and stated a work time.
func answer(b *placer.Balancer, now time.Time, c placer.Choice, object uint32, took time.Duration, percent int) {
	b.RecordAttempt(now.Add(-took), c.ID, object)
	b.RecordOutcome(now, c.ID, placer.Outcome{
		SentAt: now.Add(-took), Object: object, Choice: c, Answered: true, SuccessStatus: true,
		Load: router.ReportedLoad{WorkTimePercent: percent}, TargetLatency: 500 * time.Millisecond, Timeout: 2 * time.Second,
	})
}

// Guards against requests at endpoints that are slow at the moment: the report counts at once,
// here and at the other instances of the region, and is forgotten soon.
func TestReportedWorkTimeCountsForAMoment(t *testing.T) {
	one, two := newBalancer("a-1"), newBalancer("a-1")
	first, _ := one.Pick(start, request(7))
	answer(one, start, first, 0, 200*time.Millisecond, 250)
	reports := one.TakeWorkTimeReports(start)
	two.ApplyWorkTimeReports(start, reports)
	for n, b := range []*placer.Balancer{one, two} {
		if c, _ := b.Pick(start, request(7)); c.ID == first.ID {
			t.Errorf("instance %d picked an endpoint that is slow at the moment", n)
		}
		if c, _ := b.Pick(start.Add(3*time.Second), request(7)); c.ID != first.ID {
			t.Errorf("instance %d picked %s after 3 s, want %s as before", n, c.ID, first.ID)
		}
	}
	if again := one.TakeWorkTimeReports(start); len(reports) != 1 || len(again) != 0 {
		t.Errorf("passed on %v and then %v, want one report once", reports, again)
	}
	// The end of the slow time is passed on, and nothing more.
	answer(one, start.Add(time.Second), first, 0, 100*time.Millisecond, 100)
	if r := one.TakeWorkTimeReports(start.Add(time.Second)); len(r) != 1 || r[0].Percent != 100 {
		t.Errorf("passed on %v, want the end of the slow time", r)
	}
	answer(one, start.Add(2*time.Second), first, 0, 100*time.Millisecond, 105)
	if r := one.TakeWorkTimeReports(start.Add(2 * time.Second)); len(r) != 0 {
		t.Errorf("passed on %v, want nothing for an endpoint as fast as usual", r)
	}
}

// An older report, or one that can't be true, changes nothing.
func TestOlderAndInvalidReportsAreIgnored(t *testing.T) {
	b := newBalancer("a-1")
	first, _ := b.Pick(start, request(7))
	answer(b, start, first, 0, 100*time.Millisecond, 100)
	hash := placer.Hash32(first.ID)
	b.ApplyWorkTimeReports(start, []placer.WorkTimeReport{
		{Endpoint: hash, Percent: 900, Age: time.Second}, {Endpoint: hash, Percent: 0}, {Endpoint: 12345, Percent: 900},
	})
	if c, _ := b.Pick(start, request(7)); c.ID != first.ID {
		t.Errorf("got %+v, want %s", c, first.ID)
	}
}

// Guards against run times and warm capacities that are learned from slow moments: the part of
// a run time that a report explains must not change them.
func TestSlowMomentsTeachNothingLasting(t *testing.T) {
	play := func(percent int) placer.Choice {
		b := newBalancer("a-1")
		now := start
		for range 40 {
			now = now.Add(3 * time.Second)
			c, _ := b.Pick(now, request(7))
			run := 600 * time.Millisecond
			if c.ObjectWarm {
				run = 200 * time.Millisecond
			}
			answer(b, now.Add(run), c, 7, run*time.Duration(percent)/100, percent)
		}
		c, _ := b.Pick(now.Add(3*time.Second), request(7))
		return c
	}
	usual, slow := play(100), play(250)
	if slow.ExpectedLatency > usual.ExpectedLatency*11/10 || slow.Slowdown > 1.1 {
		t.Errorf("after slow moments %v is expected (slowdown %.2f), otherwise %v", slow.ExpectedLatency, slow.Slowdown, usual.ExpectedLatency)
	}
}
