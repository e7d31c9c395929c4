package soaker

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"primroseseam.org/standin/crowder"
)

const (
	// undisturbedFor is how long an instance or an endpoint must have been without faults
	// before the time limits below apply to it again.
	undisturbedFor = 4 * time.Second
	// applyWithin is how long an instance may take to apply a new configuration, a drain
	// or an evacuation, from the time when the store has acknowledged the change.
	applyWithin = 3 * time.Second
	// withdrawWithin is how long an instance may still accept an API key after the store
	// has acknowledged its withdrawal.
	withdrawWithin = 5 * time.Second
	// cancelSlack is how long a request may still reach an endpoint after the caller has
	// cancelled the request.
	cancelSlack = 500 * time.Millisecond
	// inFlightSlack is a time after an instance's first response under a new version of
	// the configuration. Requests that are sent to the instance within this time may still
	// be handled under an older version.
	inFlightSlack = 250 * time.Millisecond
	// In any period of length rateWindow, a team may run as many requests as its rate and
	// burst allow, times rateTolerance, and a further rateSlack requests.
	rateWindow    = 5 * time.Second
	rateTolerance = 1.1
	rateSlack     = 20
	// An instance may send an endpoint maxPausedArrivals requests between pauseSlack after
	// the endpoint asked it for a pause and the end of the pause.
	pauseSlack        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// In any period of length limitWindow, an endpoint may get as many requests as its limit
	// allows, times limitTolerance, and a further limitSlack requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// recoveredRatio is the least share of requests that must be served, of those that are
	// sent later than recoveredAfter after the end of the last fault.
	recoveredRatio = 0.95
	recoveredAfter = 4 * time.Second
)

// report checks the recorded history against every rule except ruleRunsOn and ruleMemory,
// whose violations are recorded during the test. It returns the report of the test with the
// given seed.
func (h *history) report(seed uint64) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Seed: seed, Requests: len(h.requests), ViolationCounts: h.violationCounts}
	senders := map[string]*instance{}
	for _, req := range h.requests {
		if req.status == http.StatusOK {
			r.Served++
		}
		senders[req.id] = req.instance
		h.checkRequest(req)
	}
	for id, executions := range h.executions {
		r.Runs += len(executions)
		if id == crowder.RequestID {
			continue
		}
		for _, e := range executions {
			h.checkExecution(e, senders[id])
		}
	}
	h.checkPauses(senders)
	h.checkLimits(senders)
	h.checkCrowds()
	h.checkNoRollback()
	h.checkRate()
	h.checkRecovery()
	r.Violations = h.violations
	return r
}

// checkRequest checks a caller's request against the rules that concern one request.
func (h *history) checkRequest(r callerRequest) {
	executions := h.executions[r.id]
	if !r.idempotent && len(executions) > 1 {
		h.addViolation(ruleAtMostOnce, "%s ran %d times", r.id, len(executions))
	}
	isRefusal := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	if isRefusal && len(executions) > 0 {
		h.addViolation(ruleTrueRefusal, "%s was refused with %d by %s and ran at %s", r.id, r.status, r.instance.id, executions[0].endpoint.id)
	}
	if r.status == http.StatusOK && r.body != r.id+" "+bodyOf(r.content) {
		h.addViolation(ruleWholeAnswer, "%s got the response %q", r.id, r.body)
	}
	for _, e := range executions {
		if e.content != r.content {
			h.addViolation(ruleWholeAnswer, "%s was sent as %q and ran as %q", r.id, r.content, e.content)
		}
		if e.team != r.team {
			h.addViolation(ruleOwnTeam, "%s of %s ran for %q", r.id, r.team, e.team)
		}
	}
	h.checkKey(r)
	h.checkUpload(r)
	h.checkPlannedStop(r, len(executions))
	h.checkCancelled(r, executions)
}

// checkPauses checks that instances keep to the pauses that endpoints asked them for. It
// leaves out instances with a recent fault and those that were stopped as planned: a
// restarted instance knows of no pause.
func (h *history) checkPauses(senders map[string]*instance) {
	for _, asked := range h.arrivals {
		sender := senders[asked.id]
		end := asked.at.Add(requestedPause)
		if !asked.paused || sender == nil || !h.undisturbed(sender, asked.at, end) || h.stoppedAround(sender, asked.at, end) {
			continue
		}
		count := 0
		for _, a := range h.arrivals {
			if a.endpoint == asked.endpoint && senders[a.id] == sender && a.at.After(asked.at.Add(pauseSlack)) && a.at.Before(end) {
				count++
			}
		}
		if count > maxPausedArrivals {
			h.addViolation(rulePause, "%d requests from %s reached %s in a pause", count, sender.id, asked.endpoint.id)
		}
	}
}

// checkLimits checks that endpoints get no more requests than the limits allow that they
// name. It leaves out requests of instances with a recent fault or planned stop, and
// endpoints with a recent fault.
func (h *history) checkLimits(senders map[string]*instance) {
	for _, l := range h.limits {
		from := l.from.Add(applyWithin)
		if !h.undisturbed(l.subject, l.from, l.to) {
			continue
		}
		count := 0
		for _, a := range h.arrivals {
			sender := senders[a.id]
			if a.endpoint == l.subject && a.at.After(from) && a.at.Before(l.to) && sender != nil &&
				h.undisturbed(sender, l.from, l.to) && !h.stoppedAround(sender, l.from, l.to) {
				count++
			}
		}
		// The time from which the limit must be kept is shorter than limitWindow.
		if allowed := limitTolerance*namedLimit*limitWindow.Seconds() + limitSlack; float64(count) > allowed {
			h.addViolation(ruleLimit, "%d requests reached %s in %v under its limit; %.0f are allowed", count, l.subject.(*endpoint).id, l.to.Sub(from), allowed)
		}
	}
}

// stoppedAround reports whether an instance was stopped as planned at some time between
// from and to.
func (h *history) stoppedAround(i *instance, from, to time.Time) bool {
	for _, p := range h.plannedStops {
		if p.subject == i && p.overlaps(from, to.Add(restartAfter)) {
			return true
		}
	}
	return false
}

// checkCancelled checks that a request doesn't reach an endpoint after its caller has
// cancelled it. A late arrival is no violation if the endpoint had a recent fault, since
// the endpoint's proxy may have delayed the request. It is a violation even if the instance
// had a recent fault: an instance that was paused must not send a cancelled request when
// it resumes.
func (h *history) checkCancelled(r callerRequest, executions []execution) {
	for _, e := range executions {
		after := e.at.Sub(r.endedAt)
		if r.cancelled && after > cancelSlack && h.undisturbed(e.endpoint, e.at.Add(-undisturbedFor), e.at) {
			h.addViolation(ruleGone, "%s reached %s from %s %v after its caller had cancelled it", r.id, e.endpoint.id, r.instance.id, after)
		}
	}
}

// checkPlannedStop checks that the planned stop of an instance doesn't cut off a request
// that has reached an endpoint. The parameter executions is the number of times that the
// request ran. The check leaves out requests during a fault or shortly after one, of
// whatever instance or endpoint, as the fault may be the cause.
func (h *history) checkPlannedStop(r callerRequest, executions int) {
	if r.status != 0 || r.cancelledEarly() || executions == 0 || !h.noFaults(r.sentAt.Add(-undisturbedFor), r.endedAt) {
		return
	}
	for _, p := range h.plannedStops {
		if p.subject == r.instance && p.overlaps(r.sentAt, r.endedAt) {
			h.addViolation(rulePlannedStop, "%s was cut off by the planned stop of %s", r.id, r.instance.id)
		}
	}
}

// bodyOf returns the body from the content of a request, which is the method, the path and
// the body, separated by spaces.
func bodyOf(content string) string { return content[strings.LastIndexByte(content, ' ')+1:] }

// checkKey checks that a request that was served had an API key that is valid in one of the
// configuration versions that the instance may have had in force. A version may be in force
// until the instance must have applied the next version.
func (h *history) checkKey(r callerRequest) {
	if r.status != http.StatusOK {
		return
	}
	keyIsValid := false
	for n, v := range h.configVersions {
		mayBeInForce := n+1 >= len(h.configVersions) || !h.mustHaveApplied(r.instance, h.configVersions[n+1].at, r.sentAt, withdrawWithin)
		for _, team := range v.keyTeams {
			keyIsValid = keyIsValid || mayBeInForce && team == r.team
		}
	}
	if !keyIsValid {
		h.addViolation(ruleKeyDies, "%s of %s was served by %s although its key was withdrawn", r.id, r.team, r.instance.id)
	}
}

// mustHaveApplied reports whether an instance must have applied a change at the time at. It
// must if the store acknowledged the change at least the time within before, and the
// instance had no recent fault, which may have kept it from applying the change.
func (h *history) mustHaveApplied(i *instance, acknowledged, at time.Time, within time.Duration) bool {
	if acknowledged.IsZero() || at.Before(acknowledged.Add(within)) {
		return false
	}
	// A fault may have kept the instance from reading the change from the store.
	return h.undisturbed(i, at.Add(-undisturbedFor-within), at)
}

// checkExecution checks a request that an endpoint ran against the rules for the instance
// that sent it there. This is the sender: the instance to which a caller had sent the
// request, or nil if no caller had sent such a request.
func (h *history) checkExecution(e execution, sender *instance) {
	if sender == nil {
		h.addViolation(ruleWholeAnswer, "%s ran %q, which no caller sent", e.endpoint.id, e.content)
		return
	}
	if e.key != "" {
		h.addViolation(ruleNoKeyPassed, "%s received an API key with request %s", e.endpoint.id, e.id)
	}
	for _, d := range h.drains[e.endpoint.id] {
		if h.mustFollow(d, sender, e.at) {
			h.addViolation(ruleDrain, "%s sent %s to %s %v after its drain", sender.id, e.id, e.endpoint.id, e.at.Sub(d.at))
		}
	}
	for _, evacuation := range h.evacuations[e.endpoint.zone] {
		if h.mustFollow(evacuation, sender, e.at) {
			h.addViolation(ruleEvacuation, "%s sent %s to %s %v after the evacuation of %s", sender.id, e.id, e.endpoint.id, e.at.Sub(evacuation.at), e.endpoint.zone)
		}
	}
	for n, v := range h.configVersions {
		isNewest := n+1 >= len(h.configVersions)
		if v.service == e.endpoint.service && (isNewest || !h.mustHaveApplied(sender, h.configVersions[n+1].at, e.at, applyWithin)) {
			return
		}
	}
	h.addViolation(ruleConfig, "%s sent %s to %s, whose service is in no configuration that may be in force", sender.id, e.id, e.endpoint.id)
}

// mustFollow reports whether an instance must send no requests to a drained endpoint or an
// evacuated zone at a given time. This holds from the time when the instance must have
// applied the action until the action is reverted.
func (h *history) mustFollow(action operatorAction, i *instance, at time.Time) bool {
	return h.mustHaveApplied(i, action.at, at, applyWithin) && (action.revertedAt.IsZero() || at.Before(action.revertedAt))
}

// checkNoRollback checks that an instance doesn't use an older configuration version after
// it has used a newer one. Each process of an instance is checked by itself, since an
// instance may start with an older version after a restart.
func (h *history) checkNoRollback() {
	type lifetime struct {
		instance *instance
		number   int
	}
	byLifetime := map[lifetime][]callerRequest{}
	for _, r := range h.requests {
		if r.status == http.StatusOK && len(h.executions[r.id]) == 1 {
			k := lifetime{r.instance, r.lifetime}
			byLifetime[k] = append(byLifetime[k], r)
		}
	}
	for _, list := range byLifetime {
		sort.Slice(list, func(x, y int) bool { return list[x].endedAt.Before(list[y].endedAt) })
		newestVersion, newestSince := 0, time.Time{}
		for _, r := range list {
			usedVersion := h.newestVersionFor(h.executions[r.id][0].endpoint.service)
			if usedVersion < newestVersion && r.sentAt.After(newestSince.Add(inFlightSlack)) {
				h.addViolation(ruleNeverBack, "%s used version %d with %s after version %d", r.instance.id, usedVersion, r.id, newestVersion)
			}
			if usedVersion > newestVersion {
				newestVersion, newestSince = usedVersion, r.endedAt
			}
		}
	}
}

// newestVersionFor returns the index in configVersions of the newest version whose routes
// go to a service, or -1 if there is none. Routes never return to an earlier service, so a
// lower index always means an older configuration.
func (h *history) newestVersionFor(service int) int {
	for n := len(h.configVersions) - 1; n >= 0; n-- {
		if h.configVersions[n].service == service {
			return n
		}
	}
	return -1
}

// checkRate checks that the endpoints run no more requests of hotTeam than its rate and
// burst allow, with the tolerance of rateTolerance and rateSlack.
func (h *history) checkRate() {
	var at []time.Time
	for _, executions := range h.executions {
		for _, x := range executions {
			if x.team == hotTeam {
				at = append(at, x.at)
			}
		}
	}
	sort.Slice(at, func(x, y int) bool { return at[x].Before(at[y]) })
	limit := int((hotRate*rateWindow.Seconds()+hotBurst)*rateTolerance) + rateSlack
	from := 0
	for to := range at {
		for at[to].Sub(at[from]) > rateWindow {
			from++
		}
		if to-from+1 > limit {
			h.addViolation(ruleRate, "%d requests of %s ran in %v; %d are allowed", to-from+1, hotTeam, rateWindow, limit)
			return
		}
	}
}

// checkRecovery checks that at least recoveredRatio of the requests are served after the
// last fault. It leaves out requests that are expected to fail: requests of hotTeam, which
// exceeds its rate, requests that were refused with 401 for their key, and requests that
// the caller cancelled early.
func (h *history) checkRecovery() {
	var lastFaultEnd time.Time
	for _, f := range h.faults {
		if f.to.After(lastFaultEnd) {
			lastFaultEnd = f.to
		}
	}
	total, served := 0, 0
	for _, r := range h.requests {
		if r.sentAt.After(lastFaultEnd.Add(recoveredAfter)) && r.team != hotTeam && r.status != http.StatusUnauthorized && !r.cancelledEarly() {
			total++
			if r.status == http.StatusOK {
				served++
			}
		}
	}
	if total == 0 || float64(served) < recoveredRatio*float64(total) {
		h.addViolation(ruleRecovers, "%d of %d requests are served after the last fault", served, total)
	}
}
