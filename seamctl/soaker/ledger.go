package soaker

import (
	"fmt"
	"sync"
	"time"
)

//go:generate stringer -type=rule -linecomment -output=rule_string.go

// rule identifies a property that must hold throughout the test. The name of a rule in
// reports is the line comment after its constant.
type rule int

const (
	// A non-idempotent request runs at most once.
	ruleAtMostOnce rule = iota // atMostOnce
	// A request that is refused with 429 or 503 didn't run.
	ruleTrueRefusal // trueRefusal
	// An endpoint gets each request as its caller sent it. A caller that gets status 200
	// gets the complete response to its own request.
	ruleWholeAnswer // wholeAnswer
	// A request runs for the team of its API key, whatever team header the caller sent.
	ruleOwnTeam // ownTeam
	// API keys aren't passed on to endpoints.
	ruleNoKeyPassed // noKeyPassed
	// Instances refuse a withdrawn API key once withdrawWithin has passed since its
	// withdrawal.
	ruleKeyDies // keyDies
	// Instances route by a new configuration version once applyWithin has passed since it
	// was written.
	ruleConfig // configInForce
	// An instance doesn't return to an older configuration version while it runs.
	ruleNeverBack // configNeverBack
	// A draining endpoint gets no requests once applyWithin has passed since the drain.
	ruleDrain // drain
	// Endpoints in an evacuated zone get no requests once applyWithin has passed since the
	// evacuation.
	ruleEvacuation // evacuation
	// A team's requests stay within its rate and burst.
	ruleRate // teamRate
	// An instance that gets SIGTERM exits at most a second after the end of its grace
	// period, and cuts off no request that has reached an endpoint.
	rulePlannedStop // plannedStop
	// An endpoint that asked an instance for a pause gets at most maxPausedArrivals requests
	// from that instance in the pause.
	rulePause // pause
	// An endpoint that names a rate limit gets, once applyWithin has passed, no more requests
	// than the limit allows.
	ruleLimit // limit
	// An upload that has reached an endpoint gets the endpoint's answer, however slowly the
	// endpoint reads.
	ruleUpload // upload
	// No request reaches an endpoint after its caller has cancelled it.
	ruleGone // gone
	// An instance stays within its memory beside a crowd of clients that misbehave.
	ruleMemory // memory
	// Callers are answered beside such a crowd.
	ruleAnswered // answered
	// The process of an instance starts, and runs until the test stops it.
	ruleRunsOn // runsOn
	// Requests are served again after the last fault.
	ruleRecovers // recovers
)

// execution is a request as it arrived at the endpoint that ran it.
type execution struct {
	id       string
	endpoint *endpoint
	// at is when the request's head arrived.
	at time.Time
	// team is the team that the instance named in the request to the endpoint.
	team string
	// key is the API key that arrived with the request. It must be empty.
	key string
	// content is the method, the path and the description of the body (see [describeBody]),
	// separated by spaces.
	content string
}

// arrival is a request that arrived at an endpoint, whether or not the endpoint ran it. It is
// recorded only where the endpoint may ask for pauses. paused means that the endpoint refused
// it and asked its sender for requestedPause.
type arrival struct {
	id       string
	endpoint *endpoint
	at       time.Time
	paused   bool
}

// callerRequest is a request as its caller sent it, and its result.
type callerRequest struct {
	id string
	// team is the team of the caller's API key.
	team string
	// content has the same form as execution.content.
	content    string
	idempotent bool
	// instance is the instance that the request was sent to.
	instance *instance
	// lifetime says which process of the instance ran when the request was sent: it is the
	// number of times that the instance had been started by then.
	lifetime int
	sentAt   time.Time
	endedAt  time.Time
	// cancelled is true if, when the request ended, the caller's timeout for it had passed.
	// For requests that a caller cancels early the timeout is short.
	cancelled bool
	// status is 0 if no complete response arrived. failure then says why.
	status  int
	body    string
	failure error
}

// cancelledEarly reports whether the caller cancelled the request before requestTimeout
// had passed.
func (r callerRequest) cancelledEarly() bool {
	return r.cancelled && r.endedAt.Sub(r.sentAt) < requestTimeout
}

// operatorAction is the drain of an endpoint or the evacuation of a zone.
type operatorAction struct {
	// at is when the store had acknowledged the action.
	at time.Time
	// revertedAt is the time just before the operator ended the action, or the zero time
	// while the action lasts.
	revertedAt time.Time
}

// history records the requests, faults and operator actions of a test. At the end of the
// test, its method report checks them against the rules. It is safe for concurrent use.
type history struct {
	mu sync.Mutex
	// executions has the executions of each request, by the id of the request.
	executions map[string][]execution
	requests   []callerRequest
	arrivals   []arrival
	// drains has the drains of each endpoint, by the id of the endpoint.
	drains map[string][]operatorAction
	// evacuations has the evacuations of each zone, by the name of the zone.
	evacuations map[string][]operatorAction
	// configVersions has the versions of the configuration, oldest first.
	configVersions []configVersion
	faults         []span
	plannedStops   []span
	// limits are the times during which an endpoint, the subject, names namedLimit.
	limits []span
	crowds []crowdSpan
	// uploads has the time that an endpoint takes to read each upload that has reached it,
	// by the id of the upload.
	uploads map[string]time.Duration
	// violations describes the first maxListedViolations violations.
	violations []string
	// violationCounts has the number of violations by the name of the rule.
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

// span is the time during which a fault or a planned stop lasts.
type span struct {
	// subject is the *instance or the *endpoint that has the fault or is stopped. It is
	// nil for a fault that concerns every instance and endpoint.
	subject  any
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

func newHistory() *history {
	return &history{executions: map[string][]execution{}, drains: map[string][]operatorAction{}, evacuations: map[string][]operatorAction{}, violationCounts: map[string]int{}, uploads: map[string]time.Duration{}}
}

// maxListedViolations is the maximum number of violations that a report describes. Further
// violations are only counted.
const maxListedViolations = 20

// recordViolation records a violation. The caller doesn't hold h.mu.
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

func (h *history) recordArrival(a arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

func (h *history) recordRequest(r callerRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// recordFault records a fault that starts now and lasts for the given time. The subject is
// the *instance or the *endpoint that has the fault, or nil for a fault that concerns every
// instance and endpoint.
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

// recordLimit records that an endpoint names a limit, from now until the returned function
// is called.
func (h *history) recordLimit(e *endpoint) func() {
	started := time.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.limits = append(h.limits, span{subject: e, from: started, to: time.Now()})
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

// recordEnd records that the last action on the endpoint or zone of this name ends now.
func (h *history) recordEnd(actions map[string][]operatorAction, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	actions[name][len(actions[name])-1].revertedAt = time.Now()
}

// undisturbed reports whether an instance or endpoint, the subject, has no fault at any
// time between from and to. Faults that concern every instance and endpoint count too. The
// caller holds h.mu.
func (h *history) undisturbed(subject any, from, to time.Time) bool {
	for _, f := range h.faults {
		if f.overlaps(from, to) && (f.subject == nil || f.subject == subject) {
			return false
		}
	}
	return true
}

// faultTimeAfter returns how long an instance has had faults between start and now. The
// caller doesn't hold h.mu.
func (h *history) faultTimeAfter(i *instance, start, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := time.Duration(0)
	for _, f := range h.faults {
		if f.subject == i && f.overlaps(start, now) {
			from := f.from
			if from.Before(start) {
				from = start
			}
			total += f.to.Sub(from)
		}
	}
	return total
}

// noFaults reports whether no instance or endpoint has a fault at any time between from and
// to. The caller holds h.mu.
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
	// Requests is the number of requests that callers sent.
	Requests int `json:"requests"`
	// Served is the number of requests whose caller got status 200.
	Served int `json:"served"`
	// Runs is how many times endpoints began to run a request.
	Runs int `json:"runs"`
	// ViolationCounts has the number of violations of each violated rule, by the name of
	// the rule.
	ViolationCounts map[string]int `json:"broken"`
	// Violations describes the first maxListedViolations violations.
	Violations []string `json:"violations"`
}

// Passed reports whether no rule was violated.
func (r Report) Passed() bool { return len(r.ViolationCounts) == 0 }
