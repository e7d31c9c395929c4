package soaker

import (
	"net/http"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns a moment some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// healthy returns a ledger of two services and one instance, with two requests
// that went well.
func healthy() (*ledger, *instance, []*endpoint) {
	l := newLedger()
	i := &instance{id: "edge-1"}
	list := []*endpoint{{id: "i-0", service: 0, zone: "zone-0"}, {id: "i-1", service: 1, zone: "zone-1"}}
	l.versions = []version{{at: at(0), service: 0, keys: keys}}
	l.faults = []span{{subject: &endpoint{}, from: at(6), to: at(8)}}
	add(l, i, "first", list[0], at(1))
	add(l, i, "last", list[0], at(20))
	return l, i, list
}

// add notes a request that ran once and was answered.
func add(l *ledger, i *instance, id string, e *endpoint, sent time.Time) {
	request := "POST /once/1 body-" + id
	l.attempts = append(l.attempts, attempt{
		id: id, team: "team-a", request: request, instance: i, life: 1, sent: sent, ended: sent.Add(20 * time.Millisecond),
		status: http.StatusOK, body: id + " body-" + id,
	})
	l.runs[id] = append(l.runs[id], run{id: id, endpoint: e, at: sent.Add(5 * time.Millisecond), team: "team-a", request: request})
}

// Each rule is found broken by what breaks it, and by nothing else.
func TestEachRuleIsNoticed(t *testing.T) {
	cases := map[rule]func(l *ledger, i *instance, e []*endpoint){
		ruleAtMostOnce: func(l *ledger, _ *instance, _ []*endpoint) {
			l.runs["first"] = append(l.runs["first"], l.runs["first"][0])
		},
		ruleTrueRefusal: func(l *ledger, _ *instance, _ []*endpoint) { l.attempts[0].status = http.StatusServiceUnavailable },
		ruleWholeAnswer: func(l *ledger, _ *instance, _ []*endpoint) { l.attempts[0].body = "last body-last" },
		ruleOwnTeam:     func(l *ledger, _ *instance, _ []*endpoint) { l.runs["first"][0].team = "team-b" },
		ruleNoKeyPassed: func(l *ledger, _ *instance, _ []*endpoint) { l.runs["first"][0].key = "key-a" },
		ruleKeyDies: func(l *ledger, _ *instance, _ []*endpoint) {
			l.versions = append(l.versions, version{at: at(2), service: 0, keys: map[string]string{"key-b": "team-b"}})
		},
		ruleConfig: func(l *ledger, _ *instance, _ []*endpoint) {
			l.versions = append(l.versions, version{at: at(2), service: 1, keys: keys})
		},
		ruleNeverBack: func(l *ledger, i *instance, e []*endpoint) {
			l.versions = append(l.versions, version{at: at(18), service: 1, keys: keys})
			add(l, i, "newer", e[1], at(19))
		},
		ruleDrain: func(l *ledger, _ *instance, _ []*endpoint) { l.drains["i-0"] = []act{{at: at(10)}} },
		ruleEvacuation: func(l *ledger, _ *instance, _ []*endpoint) {
			l.zones["zone-0"] = []act{{at: at(5), taken: at(6)}, {at: at(10)}}
		},
		rulePlannedStop: func(l *ledger, i *instance, _ []*endpoint) {
			l.attempts[0].status = 0
			l.planned = []span{{subject: i, from: at(0.5), to: at(3)}}
		},
		ruleGone: func(l *ledger, _ *instance, _ []*endpoint) {
			l.attempts[0].left, l.attempts[0].status = true, 0
			l.runs["first"][0].at = l.attempts[0].ended.Add(600 * time.Millisecond)
		},
		ruleRecovers: func(l *ledger, _ *instance, _ []*endpoint) {
			l.attempts[1].status = http.StatusBadGateway
		},
	}
	for broken, breaks := range cases {
		sound, _, _ := healthy()
		if r := sound.report(1); !r.Passed() {
			t.Fatalf("a healthy run is broken: %v", r.Violations)
		}
		l, i, e := healthy()
		breaks(l, i, e)
		r := l.report(1)
		if len(r.Broken) != 1 || r.Broken[broken.String()] == 0 {
			t.Errorf("%v: found %v, %v", broken, r.Broken, r.Violations)
		}
	}
}

// A bound doesn't bind an instance that was out of touch.
func TestBoundsHoldForInstancesInTouch(t *testing.T) {
	l, i, _ := healthy()
	l.drains["i-0"] = []act{{at: at(10)}}
	l.faults = []span{{subject: i, from: at(13), to: at(13.5)}}
	if r := l.report(1); !r.Passed() {
		t.Errorf("an instance that was out of touch is bound: %v", r.Violations)
	}
}

// More requests than a team's rate, burst and slack allow are noticed.
func TestRateIsNoticed(t *testing.T) {
	l, i, e := healthy()
	for n := range 250 {
		id := "hot-" + time.Duration(n).String()
		add(l, i, id, e[0], at(2+float64(n)/100))
		l.runs[id][0].team, l.attempts[len(l.attempts)-1].team = hotTeam, hotTeam
	}
	if r := l.report(1); r.Broken[ruleRate.String()] == 0 {
		t.Errorf("250 requests in 2.5 s of %v a second are not noticed: %v", hotRate, r.Broken)
	}
}
