package regulator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"primroseseam.org/seam/regulator"
)

const (
	// maxShift is the largest part of the requests that may change their region from one window
	// to the next. Half of it is planned; the rest allows for chance.
	maxShift = 0.15
	speed    = maxShift / 2 / 2
	// perSecond is the rate of requests, so many that chance has little part in the split. window
	// is the period in which parts are compared.
	perSecond = 1000
	window    = 2 * time.Second
)

var start = time.Unix(1000, 0)

// fleet is a number of instances of the region "a", each with a regulator. They report to each
// other every 200 ms.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	instances []*regulator.Regulator
}

func newFleet(seed uint64, instances int, initial map[string]float64) *fleet {
	f := &fleet{now: start, rng: rand.New(rand.NewPCG(seed, seed))}
	for range instances {
		r := regulator.New("a", []string{"a", "b", "c", "a"}, speed)
		if initial != nil {
			r.SetInitial(initial)
		}
		f.instances = append(f.instances, r)
	}
	return f
}

// run sends requests for a time, of which the part home prefers the region "a" and all others
// "b". It returns the part of them that went to "a".
func (f *fleet) run(d time.Duration, home float64) float64 {
	sent, toHome := 0, 0
	for range int(d.Seconds() * perSecond) {
		f.now = f.now.Add(time.Second / perSecond)
		r := f.instances[f.rng.IntN(len(f.instances))]
		preferred := "b"
		if f.rng.Float64() < home {
			preferred = "a"
		}
		region := r.Choose(f.now, preferred, f.rng.Float64())
		if region == "a" {
			toHome++
		}
		r.Record(f.now, preferred, region)
		if sent++; sent%(perSecond/5) == 0 {
			f.report()
		}
	}
	return float64(toHome) / float64(sent)
}

// report sends the counts of each instance to all others.
func (f *fleet) report() {
	for i, from := range f.instances {
		counts := from.TakeCounts()
		for j, to := range f.instances {
			if i != j {
				to.Apply(f.now, counts)
			}
		}
	}
}

// Guards against SHIFT: all requests of a region prefer another region from one moment to the
// next. In each window at most 15 in 100 may move, and in the end nearly all must have.
func TestRequestsMoveAtLimitedSpeed(t *testing.T) {
	for _, instances := range []int{1, 4, 30} {
		f := newFleet(uint64(instances), instances, nil)
		before := f.run(2*window, 0.9)
		first := before
		for range 14 {
			part := f.run(window, 0.1)
			if before-part > maxShift {
				t.Errorf("%d instances: from %.2f to %.2f within %v", instances, before, part, window)
			}
			before = part
		}
		if first < 0.8 || before > 0.2 {
			t.Errorf("%d instances: %.2f of the requests at first and %.2f in the end, want 0.9 and 0.1", instances, first, before)
		}
	}
}

// Requests whose preferences stay the same go where they prefer, but for few.
func TestSteadyRequestsAreNotMoved(t *testing.T) {
	f := newFleet(5, 30, nil)
	f.run(window, 0.6)
	if part := f.run(20*time.Second, 0.6); part < 0.55 || part > 0.65 {
		t.Errorf("%.2f go to the region that 0.6 prefer", part)
	}
}

// Endpoints that are gone must be left at once.
func TestReleasedRequestsMoveAtOnce(t *testing.T) {
	f := newFleet(6, 30, nil)
	f.run(2*window, 0.9)
	for _, r := range f.instances {
		r.Release(f.now)
	}
	f.run(window, 0)
	if part := f.run(window, 0); part > 0.05 {
		t.Errorf("%.2f still go to the region that none prefers", part)
	}
}

// Guards against requests that fill a small region first and then leave it at once: before the
// load is known, the region gets no more than its initial part. Later it gets what prefers it.
func TestInitialPartLimitsHomeRegion(t *testing.T) {
	f := newFleet(7, 30, map[string]float64{"a": 0.3, "b": 0.5, "c": 0.2})
	f.run(200*time.Millisecond, 1)
	if part := f.run(800*time.Millisecond, 1); part > 0.45 {
		t.Errorf("%.2f go to the region at first, want 0.3", part)
	}
	f.run(20*time.Second, 1)
	if part := f.run(window, 1); part < 0.95 {
		t.Errorf("%.2f go to the region in the end, want all", part)
	}
}

// Reports of an instance with other regions, and regions that aren't known, change nothing.
func TestUnknownRegionsAreIgnored(t *testing.T) {
	r := regulator.New("a", []string{"a", "b"}, speed)
	r.Apply(start, []uint32{1, 2, 3})
	r.Apply(start, nil)
	r.Record(start, "elsewhere", "a")
	if got := r.Choose(start, "elsewhere", 0); got != "elsewhere" || r.TakeCounts() != nil || r.Parts() != nil {
		t.Errorf("got %q, %v and %v", got, r.TakeCounts(), r.Parts())
	}
}
