package soaker

import (
	"net/http"
	"sort"
	"strings"
	"time"
)

const (
	// undisturbedFor is how long an instance or endpoint must have been without faults
	// before time limits apply to it again.
	undisturbedFor = 4 * time.Second
	// applyWithin is the time limit for applying a configuration, drain or evacuation,
	// withdrawWithin that for refusing a withdrawn key.
	applyWithin    = 3 * time.Second
	withdrawWithin = 5 * time.Second
	// cancelSlack is how long after its caller cancelled it a request may still reach an
	// endpoint.
	cancelSlack = 500 * time.Millisecond
	// inFlightSlack is how long after the first response under a new version requests
	// may still be sent that are handled under an older one.
	inFlightSlack = 250 * time.Millisecond
	// In any rateWindow, a team's requests may exceed its rate and burst by 10%
	// (rateTolerance) and a further rateSlack requests.
	rateWindow    = 5 * time.Second
	rateTolerance = 1.1
	rateSlack     = 20
	// recoveredRatio is the share of requests that must be served once recoveredAfter
	// has passed since the end of the last fault.
	recoveredRatio = 0.95
	recoveredAfter = 4 * time.Second
)

// report checks all rules against the recorded history.
func (h *history) report(seed uint64) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Seed: seed, Requests: len(h.requests), ViolationCounts: h.violationCounts}
	sentBy := map[string]*instance{}
	for _, req := range h.requests {
		if req.status == http.StatusOK {
			r.Served++
		}
		sentBy[req.id] = req.instance
		h.checkRequest(req)
	}
	for id, executions := range h.executions {
		r.Runs += len(executions)
		for _, e := range executions {
			h.checkExecution(e, sentBy[id])
		}
	}
	h.checkNoRollback()
	h.checkRate()
	h.checkRecovery()
	r.Violations = h.violations
	return r
}

// checkRequest checks the rules on a single request of a caller.
func (h *history) checkRequest(r callerRequest) {
	executions := h.executions[r.id]
	if !r.idempotent && len(executions) > 1 {
		h.addViolation(ruleAtMostOnce, "%s ran %d times", r.id, len(executions))
	}
	refused := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	if refused && len(executions) > 0 {
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
	h.checkPlannedStop(r, len(executions))
	h.checkCancelled(r, executions)
}

// checkCancelled checks that no request reaches an endpoint after its caller has
// cancelled it. Faults of the endpoint excuse a late arrival, since its proxy may hold
// the request back. Faults of the instance don't: one that was paused must not send the
// request when it resumes.
func (h *history) checkCancelled(r callerRequest, executions []execution) {
	for _, e := range executions {
		after := e.at.Sub(r.ended)
		if r.cancelled && after > cancelSlack && h.undisturbed(e.endpoint, e.at.Add(-undisturbedFor), e.at) {
			h.addViolation(ruleGone, "%s reached %s from %s %v after its caller had cancelled it", r.id, e.endpoint.id, r.instance.id, after)
		}
	}
}

// checkPlannedStop checks that a planned stop cuts off no request that had reached an
// endpoint. Requests near any fault are left out, as the fault may be the cause.
func (h *history) checkPlannedStop(r callerRequest, executions int) {
	if r.status != 0 || r.cancelledEarly() || executions == 0 || !h.noFaults(r.sent.Add(-undisturbedFor), r.ended) {
		return
	}
	for _, p := range h.plannedStops {
		if p.subject == r.instance && p.overlaps(r.sent, r.ended) {
			h.addViolation(rulePlannedStop, "%s was cut off by the planned stop of %s", r.id, r.instance.id)
		}
	}
}

// bodyOf returns the body of a request's content, which is what follows the last space.
func bodyOf(content string) string { return content[strings.LastIndexByte(content, ' ')+1:] }

// checkKey checks that a request was served only if its key is valid in a configuration
// version that may still have been in force.
func (h *history) checkKey(r callerRequest) {
	if r.status != http.StatusOK {
		return
	}
	known := false
	for n, v := range h.configVersions {
		inForce := n+1 >= len(h.configVersions) || !h.mustHaveApplied(r.instance, h.configVersions[n+1].at, r.sent, withdrawWithin)
		for _, team := range v.keyTeams {
			known = known || inForce && team == r.team
		}
	}
	if !known {
		h.addViolation(ruleKeyDies, "%s of %s was served by %s although its key was withdrawn", r.id, r.team, r.instance.id)
	}
}

// mustHaveApplied reports whether an instance must, at the time at, have applied a change
// that the store acknowledged earlier.
func (h *history) mustHaveApplied(i *instance, acknowledged, at time.Time, within time.Duration) bool {
	if acknowledged.IsZero() || at.Before(acknowledged.Add(within)) {
		return false
	}
	// The time limit applies only if no fault kept the instance from the store.
	return h.undisturbed(i, at.Add(-undisturbedFor-within), at)
}

// checkExecution checks the rules on a request that an endpoint ran. The sender is the
// instance that the caller sent it to, or nil if no caller did.
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
		last := n+1 >= len(h.configVersions)
		if v.service == e.endpoint.service && (last || !h.mustHaveApplied(sender, h.configVersions[n+1].at, e.at, applyWithin)) {
			return
		}
	}
	h.addViolation(ruleConfig, "%s sent %s to %s, whose service is in no configuration that may be in force", sender.id, e.id, e.endpoint.id)
}

// mustFollow reports whether an instance must follow an operator's action at a given
// time.
func (h *history) mustFollow(action operatorAction, i *instance, at time.Time) bool {
	return h.mustHaveApplied(i, action.at, at, applyWithin) && (action.revertedAt.IsZero() || at.Before(action.revertedAt))
}

// checkNoRollback checks that an instance that has used a configuration version doesn't
// use an older one afterwards, unless it has been restarted.
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
		sort.Slice(list, func(x, y int) bool { return list[x].ended.Before(list[y].ended) })
		newest, since := 0, time.Time{}
		for _, r := range list {
			used := h.newestVersionFor(h.executions[r.id][0].endpoint.service)
			if used < newest && r.sent.After(since.Add(inFlightSlack)) {
				h.addViolation(ruleNeverBack, "%s used version %d with %s after version %d", r.instance.id, used, r.id, newest)
			}
			if used > newest {
				newest, since = used, r.ended
			}
		}
	}
}

// newestVersionFor returns the index of the newest version whose routes go to a service,
// or -1. Routes never return to an earlier service, so a lower index always means an older
// configuration.
func (h *history) newestVersionFor(service int) int {
	for n := len(h.configVersions) - 1; n >= 0; n-- {
		if h.configVersions[n].service == service {
			return n
		}
	}
	return -1
}

// checkRate checks that hotTeam's requests stay within its rate and burst.
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

// checkRecovery checks that requests are served again after the last fault. It leaves
// out requests that are expected to fail: those of hotTeam, with a withdrawn key, or
// cancelled early.
func (h *history) checkRecovery() {
	var lastFaultEnd time.Time
	for _, f := range h.faults {
		if f.to.After(lastFaultEnd) {
			lastFaultEnd = f.to
		}
	}
	total, served := 0, 0
	for _, r := range h.requests {
		if r.sent.After(lastFaultEnd.Add(recoveredAfter)) && r.team != hotTeam && r.status != http.StatusUnauthorized && !r.cancelledEarly() {
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
