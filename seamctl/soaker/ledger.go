package soaker

import (
	"fmt"
	"sync"
	"time"
)

//go:generate stringer -type=rule -linecomment -output=rule_string.go

// rule is something that must always hold.
type rule int

const (
	ruleAtMostOnce  rule = iota // atMostOnce
	ruleTrueRefusal             // trueRefusal
	ruleWholeAnswer             // wholeAnswer
	ruleOwnTeam                 // ownTeam
	ruleNoKeyPassed             // noKeyPassed
	ruleKeyDies                 // keyDies
	ruleConfig                  // configInForce
	ruleNeverBack               // configNeverBack
	ruleDrain                   // drain
	ruleEvacuation              // evacuation
	ruleRate                    // teamRate
	rulePlannedStop             // plannedStop
	ruleGone                    // gone
	ruleRunsOn                  // runsOn
	ruleRecovers                // recovers
)

// run is a request that an endpoint began to work on.
type run struct {
	id       string
	endpoint *endpoint
	at       time.Time
	team     string
	key      string
	request  string
}

// attempt is a request of a caller and how it ended.
type attempt struct {
	id       string
	team     string
	request  string
	repeat   bool
	instance *instance
	life     int
	sent     time.Time
	ended    time.Time
	// left means that the caller left at the end, without an answer.
	left bool
	// status is 0 if no whole answer came.
	status int
	body   string
}

// leftEarly reports whether the caller left before its time was over.
func (a attempt) leftEarly() bool { return a.left && a.ended.Sub(a.sent) < callerTime }

// act is something that the operator did, and when the store acknowledged it.
type act struct {
	at    time.Time
	taken time.Time
}

// ledger notes what happens and judges it at the end. It is safe for concurrent
// use.
type ledger struct {
	mu         sync.Mutex
	runs       map[string][]run
	attempts   []attempt
	drains     map[string][]act
	zones      map[string][]act
	versions   []version
	faults     []span
	planned    []span
	violations []string
	broken     map[string]int
}

// version is a configuration.
type version struct {
	at      time.Time
	service int
	// keys maps keys to teams.
	keys map[string]string
}

// span is a time in which something was done to an instance or an endpoint, or
// to all if subject is nil.
type span struct {
	subject  any
	from, to time.Time
}

func (s span) touches(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

func newLedger() *ledger {
	return &ledger{runs: map[string][]run{}, drains: map[string][]act{}, zones: map[string][]act{}, broken: map[string]int{}}
}

// shownMost bounds the violations that a report lists.
const shownMost = 20

func (l *ledger) violate(r rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(r, format, args...)
}

// note notes a violation; l.mu is held.
func (l *ledger) note(r rule, format string, args ...any) {
	l.broken[r.String()]++
	if len(l.violations) < shownMost {
		l.violations = append(l.violations, r.String()+": "+fmt.Sprintf(format, args...))
	}
}

func (l *ledger) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *ledger) attempted(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// fault notes a fault of an instance or an endpoint, or of all if subject is
// nil, that lasts for a time from now.
func (l *ledger) fault(subject any, lasts time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.faults = append(l.faults, span{subject: subject, from: now, to: now.Add(lasts)})
}

// stops notes the planned stop of an instance until the returned function is
// called.
func (l *ledger) stops(i *instance) func() {
	started := time.Now()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.planned = append(l.planned, span{subject: i, from: started, to: time.Now()})
	}
}

func (l *ledger) configured(v version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, v)
}

func (l *ledger) drained(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[endpoint] = append(l.drains[endpoint], act{at: time.Now()})
}

func (l *ledger) undrained(endpoint string) { l.takeBack(l.drains, endpoint) }

func (l *ledger) evacuated(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[zone] = append(l.zones[zone], act{at: time.Now()})
}

func (l *ledger) refilled(zone string) { l.takeBack(l.zones, zone) }

// takeBack notes that the last act on something no longer holds.
func (l *ledger) takeBack(acts map[string][]act, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acts[name][len(acts[name])-1].taken = time.Now()
}

// calm reports whether no fault touched an instance or an endpoint, or all,
// between two moments.
func (l *ledger) calm(subject any, from, to time.Time) bool {
	for _, f := range l.faults {
		if f.touches(from, to) && (f.subject == nil || f.subject == subject) {
			return false
		}
	}
	return true
}

// quiet reports whether there was no fault at all between two moments.
func (l *ledger) quiet(from, to time.Time) bool {
	for _, f := range l.faults {
		if f.touches(from, to) {
			return false
		}
	}
	return true
}

// Report is what a run showed.
type Report struct {
	Seed       uint64         `json:"seed"`
	Requests   int            `json:"requests"`
	Served     int            `json:"served"`
	Runs       int            `json:"runs"`
	Broken     map[string]int `json:"broken"`
	Violations []string       `json:"violations"`
}

// Passed reports whether nothing was violated.
func (r Report) Passed() bool { return len(r.Broken) == 0 }
