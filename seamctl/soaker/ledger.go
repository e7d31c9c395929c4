package soaker

import (
	"fmt"
	"sync"
	"time"
)

//go:generate stringer -type=rule -linecomment -output=rule_string.go

// rule identifies a property that must hold throughout the test. The report prints
// the names in the line comments.
type rule int

const (
	// A non-idempotent request runs at most once.
	ruleAtMostOnce rule = iota // atMostOnce
	// A request that is refused with 429 or 503 didn't run.
	ruleTrueRefusal // trueRefusal
	// Endpoints get each request as it was sent, and callers get the complete response
	// to their own request.
	ruleWholeAnswer // wholeAnswer
	// A request runs for the team of its API key, whatever team header the caller sent.
	ruleOwnTeam // ownTeam
	// API keys aren't passed on to endpoints.
	ruleNoKeyPassed // noKeyPassed
	// A withdrawn API key is refused after withdrawWithin.
	ruleKeyDies // keyDies
	// A new configuration version is in force after applyWithin.
	ruleConfig // configInForce
	// An instance never returns to an older configuration version.
	ruleNeverBack // configNeverBack
	// A draining endpoint gets no requests after applyWithin.
	ruleDrain // drain
	// Endpoints in an evacuated zone get no requests after applyWithin.
	ruleEvacuation // evacuation
	// A team's requests stay within its rate and burst.
	ruleRate // teamRate
	// A planned stop ends within its grace period and cuts off no running request.
	rulePlannedStop // plannedStop
	// No request reaches an endpoint after its caller has cancelled it.
	ruleGone // gone
	// Instances start, and run until the test stops them.
	ruleRunsOn // runsOn
	// Requests are served again after the last fault.
	ruleRecovers // recovers
)

// execution is a request as an endpoint received it when it began to run it.
type execution struct {
	id       string
	endpoint *endpoint
	at       time.Time
	team     string
	// key is the API key that arrived with the request; it must be empty.
	key string
	// content is the method, the path and the body, separated by spaces.
	content string
}

// callerRequest is a request as its caller sent it, and its result.
type callerRequest struct {
	id   string
	team string
	// content has the same form as execution.content.
	content    string
	idempotent bool
	// instance is the one that the request was sent to, and lifetime the number of
	// times that it had been started.
	instance *instance
	lifetime int
	sent     time.Time
	ended    time.Time
	// cancelled is true if the caller's timeout had passed, or it had cancelled the
	// request early, when the request ended.
	cancelled bool
	// status is 0 if no complete response arrived.
	status int
	body   string
}

// cancelledEarly reports whether the caller cancelled the request before the usual
// timeout had passed.
func (r callerRequest) cancelledEarly() bool {
	return r.cancelled && r.ended.Sub(r.sent) < requestTimeout
}

// operatorAction is a drain or an evacuation.
type operatorAction struct {
	// at is when the store had acknowledged the action.
	at time.Time
	// revertedAt is just before the action was taken back, or zero while it lasts.
	revertedAt time.Time
}

// history records the requests, faults and operator actions of a test; report checks
// them against the rules at the end. It is safe for concurrent use.
type history struct {
	mu sync.Mutex
	// executions has the executions by request id.
	executions map[string][]execution
	requests   []callerRequest
	// drains has the drains by endpoint id, evacuations the evacuations by zone.
	drains      map[string][]operatorAction
	evacuations map[string][]operatorAction
	// configVersions is in the order in which the versions were written.
	configVersions  []configVersion
	faults          []span
	plannedStops    []span
	violations      []string
	violationCounts map[string]int
}

// configVersion is a version of the configuration.
type configVersion struct {
	// at is when the store had acknowledged the version.
	at time.Time
	// service is the number of the service that all routes go to.
	service int
	// keyTeams maps the valid API keys to their teams.
	keyTeams map[string]string
}

// span is the time during which a fault or a planned stop lasted. The subject is the
// instance or the endpoint concerned, or nil if all are.
type span struct {
	subject  any
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

func newHistory() *history {
	return &history{executions: map[string][]execution{}, drains: map[string][]operatorAction{}, evacuations: map[string][]operatorAction{}, violationCounts: map[string]int{}}
}

// maxListedViolations bounds the violations that a report describes; all are counted.
const maxListedViolations = 20

func (h *history) recordViolation(r rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation(r, format, args...)
}

// addViolation records a violation. The caller holds h.mu.
func (h *history) addViolation(r rule, format string, args ...any) {
	h.violationCounts[r.String()]++
	if len(h.violations) < maxListedViolations {
		h.violations = append(h.violations, r.String()+": "+fmt.Sprintf(format, args...))
	}
}

func (h *history) recordExecution(e execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[e.id] = append(h.executions[e.id], e)
}

func (h *history) recordRequest(r callerRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// recordFault records a fault that starts now and lasts for the given time. The subject
// is the instance or the endpoint concerned, or nil if all are.
func (h *history) recordFault(subject any, lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.faults = append(h.faults, span{subject: subject, from: now, to: now.Add(lasts)})
}

// recordPlannedStop records a planned stop of an instance, which lasts from now until
// the returned function is called.
func (h *history) recordPlannedStop(i *instance) func() {
	started := time.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.plannedStops = append(h.plannedStops, span{subject: i, from: started, to: time.Now()})
	}
}

func (h *history) recordConfig(v configVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersions = append(h.configVersions, v)
}

func (h *history) recordDrain(endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains[endpoint] = append(h.drains[endpoint], operatorAction{at: time.Now()})
}

func (h *history) recordDrainEnd(endpoint string) { h.recordEnd(h.drains, endpoint) }

func (h *history) recordEvacuation(zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations[zone] = append(h.evacuations[zone], operatorAction{at: time.Now()})
}

func (h *history) recordEvacuationEnd(zone string) { h.recordEnd(h.evacuations, zone) }

// recordEnd records that the last action on an endpoint or a zone is taken back.
func (h *history) recordEnd(actions map[string][]operatorAction, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	actions[name][len(actions[name])-1].revertedAt = time.Now()
}

// undisturbed reports whether no fault of the subject, or of all, overlaps the time
// between from and to.
func (h *history) undisturbed(subject any, from, to time.Time) bool {
	for _, f := range h.faults {
		if f.overlaps(from, to) && (f.subject == nil || f.subject == subject) {
			return false
		}
	}
	return true
}

// noFaults reports whether no fault of any subject overlaps the time between from and
// to.
func (h *history) noFaults(from, to time.Time) bool {
	for _, f := range h.faults {
		if f.overlaps(from, to) {
			return false
		}
	}
	return true
}

// Report is the result of a soak test.
type Report struct {
	Seed uint64 `json:"seed"`
	// Requests counts the requests that callers sent, and Served those that got 200.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// Runs counts the requests that endpoints began to run.
	Runs int `json:"runs"`
	// ViolationCounts has the number of violations of each violated rule.
	ViolationCounts map[string]int `json:"broken"`
	// Violations describes the first violations.
	Violations []string `json:"violations"`
}

// Passed reports whether no rule was violated.
func (r Report) Passed() bool { return len(r.ViolationCounts) == 0 }
