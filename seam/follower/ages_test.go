package follower

import (
	"testing"
	"time"
)

// stateInFlight is a state that an instance has sent to another one.
type stateInFlight struct {
	to      int
	state   State
	arrives time.Time
}

// Guards against CONFIG: when nobody polls the store any more, all instances must notice that in time. Instances
// of two regions report to each other what they know of the last poll; each report is on its way for
// a while, which its receiver can't see in its own clock.
func TestAgesGrowWhileReportsAreOnTheirWay(t *testing.T) {
	const (
		instances, regions = 20, 2
		interval           = 100 * time.Millisecond
		sameRegion         = 2 * time.Millisecond
		otherRegion        = 50 * time.Millisecond
		step               = time.Millisecond
		silence            = 3 * time.Second
		// tolerance is the longest way of one report.
		tolerance = otherRegion + interval
	)
	now := time.Unix(1000, 0)
	var followers []*Follower
	for range instances {
		f := New(nil, "config")
		f.ApplyDelta(Delta{Kind: "config", Position: 7, Changed: 7, Whole: true})
		f.ObservePeer(State{Position: 7, Changed: 7}, now)
		followers = append(followers, f)
	}
	var sent []stateInFlight
	for end := now.Add(silence); now.Before(end); now = now.Add(step) {
		var left []stateInFlight
		for _, s := range sent {
			if s.arrives.After(now) {
				left = append(left, s)
				continue
			}
			followers[s.to].ObservePeer(s.state, now)
		}
		sent = left
		for from, f := range followers {
			phase := time.Duration(from) * interval / instances
			if now.Add(phase).UnixMilli()%interval.Milliseconds() != 0 {
				continue
			}
			for to := range followers {
				way := sameRegion
				if from%regions != to%regions {
					way = otherRegion
				}
				sent = append(sent, stateInFlight{to, f.State(now), now.Add(way)})
			}
		}
	}
	for n, f := range followers {
		if age := f.State(now).Age; age < silence-tolerance {
			t.Errorf("instance %d takes the last poll to be %v old after %v", n, age, silence)
		}
	}
}
