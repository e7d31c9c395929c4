package conductor_test

import (
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// An explanation must name the endpoint that gets the request when it is then sent at once, and
// asking must change nothing: the same run without questions makes the same decisions.
func TestExplainedEndpointGetsRequest(t *testing.T) {
	play := func(explain bool) (matches, sent int, arrivals []arrival) {
		sim := newSimulation(t, 3, [3]int{2, 2, 2}, [3]int{4, 4, 4}, 9, 40, openTeams)
		for _, i := range sim.instances {
			sim.generateLoad(i, 20, 60, "a", "/x", 8*time.Second)
		}
		for n := range 200 {
			sim.run(40 * time.Millisecond)
			i := sim.instances[n%len(sim.instances)]
			object := placer.Hash32(fmt.Sprint(sim.zones[i.zone], n%60))
			var x conductor.Explanation
			if explain {
				x = i.model.Explain(sim.now, conductor.Question{Host: host, Path: "/x", Key: "a", Object: object, CallerTimeLeft: 2 * sim.timings.timeout})
			}
			sim.request(i, 0, object, "a", "/x", 2*sim.timings.timeout, sim.now, 0)
			if explain && x.Outcome == "sent" {
				sent++
				if sim.lastSent == x.Services[0].Candidates[0].Endpoint {
					matches++
				}
			}
		}
		return matches, sent, sim.arrivals
	}
	matches, sent, with := play(true)
	_, _, without := play(false)
	t.Logf("%d of %d requests went to the endpoint that was named", matches, sent)
	if sent < 190 || matches < sent*95/100 {
		t.Errorf("%d of %d requests went to the endpoint that was named, want 95 in 100", matches, sent)
	}
	if !reflect.DeepEqual(with, without) {
		t.Error("questions changed what happened")
	}
}

func TestExplainsRefusals(t *testing.T) {
	teams := []router.Team{{Name: "a", Keys: []string{"key"}, Rate: 10, Burst: 20, HomeRegions: []string{region(1)}}}
	sim := newSimulation(t, 1, [3]int{1, 1, 1}, [3]int{2, 2, 2}, 9, 40, teams)
	m := sim.instances[0].model
	for name, c := range map[string]struct {
		question conductor.Question
		outcome  string
		status   int
		code     string
	}{
		"route":     {conductor.Question{Host: "other.example", Path: "/x", Key: "key"}, "refused", http.StatusNotFound, "RouteUnknown"},
		"key":       {conductor.Question{Host: host, Path: "/x", Key: "other"}, "refused", http.StatusUnauthorized, "KeyUnknown"},
		"team":      {conductor.Question{Host: host, Path: "/x", Team: "other"}, "refused", http.StatusUnauthorized, "KeyUnknown"},
		"known key": {conductor.Question{Host: host, Path: "/x", Key: "key"}, "sent", 0, ""},
		"as a team": {conductor.Question{Host: host, Path: "/x", Team: "a"}, "sent", 0, ""},
	} {
		x := m.Explain(sim.now, c.question)
		if x.Outcome != c.outcome || x.Status != c.status || x.Code != c.code {
			t.Errorf("%s: got %s, status %d, code %q", name, x.Outcome, x.Status, x.Code)
		}
		if c.outcome == "refused" {
			continue
		}
		if x.Route != "r" || x.Team != "a" || x.TeamRoom == nil || x.TeamRoom.Rate != 10 || len(x.Services) != 1 {
			t.Errorf("%s: got %+v", name, x)
		}
		for _, e := range x.Services[0].Candidates {
			if e.Region != region(1) || e.Total != e.Cost.Total() {
				t.Errorf("%s: a candidate outside the home region, or with another total: %+v", name, e)
			}
		}
	}
	if x := conductor.New().Explain(sim.now, conductor.Question{Host: host, Path: "/x"}); x.Status != http.StatusServiceUnavailable || x.Code != "NoConfiguration" {
		t.Errorf("without a configuration: got %+v", x)
	}
}
