package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// refusalRetryAfter is the shortest time after which a caller should try again.
const refusalRetryAfter = 100 * time.Millisecond

// request is the state of one request between arrival and its last answer.
type request struct {
	id         uint64
	team       string
	service    string
	idempotent bool
	repeatable bool
	affinity   string
	weight     int
	deadline   time.Time
	arrived    time.Time
	key        authenticator.Digest
	// cutAt is when the request is cut, since its key was withdrawn.
	cutAt time.Time
	// passed means that a peer, which has checked the key, passed it on.
	passed bool
	// local means that this instance must not pass the request on.
	local bool
	// home is the instance that runs a named request, or "".
	home     string
	legs     []leg
	attempts int
	hedged   bool
	queued   bool
	// answered means that the caller has its answer; other legs still end.
	answered bool
	// ran is the strongest that any ended attempt said.
	ran coder.Ran
}

// leg is an attempt under way at an endpoint or a peer.
type leg struct {
	target string
	peer   bool
	at     time.Time
}

// leg returns the index of the attempt at a target, or -1.
func (r *request) leg(target string) int {
	return slices.IndexFunc(r.legs, func(l leg) bool { return l.target == target })
}

func (m *Model) requestArrived(now time.Time, msg RequestArrived) []Cmd {
	r := &request{id: msg.ID, arrived: now}
	route, code := m.authenticate(r, msg)
	if code != coder.OK {
		return []Cmd{m.refusal(now, r, code, coder.NotRun, 0)}
	}
	svc, _ := m.config.Service(route.Service)
	r.service = svc.Name
	// A named request runs at most once, whatever the route allows.
	r.idempotent = route.Idempotent && msg.Home == ""
	r.repeatable = msg.Repeatable
	r.home = msg.Home
	if route.Affinity {
		r.affinity = msg.Path
	}
	r.deadline = now.Add(time.Duration(svc.Timeout))
	if !msg.Deadline.IsZero() && msg.Deadline.Before(r.deadline) {
		r.deadline = msg.Deadline
	}
	return m.limit(now, r)
}

// authenticate finds the team and the route of a request.
func (m *Model) authenticate(r *request, msg RequestArrived) (configurer.Route, coder.Code) {
	var none configurer.Route
	if m.stopping || m.config == nil {
		return none, coder.Stopping
	}
	if !msg.HasKey {
		return none, coder.KeyMissing
	}
	if m.keysStale(r.arrived) {
		return none, coder.KeyEvidenceStale
	}
	r.key = msg.Key
	name, ok := m.keys.TeamAt(msg.Key, r.arrived)
	if !ok {
		return none, coder.KeyUnknown
	}
	team, ok := m.config.Team(name)
	if !ok {
		return none, coder.KeyUnknown
	}
	route, ok := m.config.Route(msg.Path)
	if !ok {
		return none, coder.RouteUnknown
	}
	if !route.OpenToAll && !slices.Contains(route.Teams, name) {
		return none, coder.RouteUnknown
	}
	r.team = team.Name
	r.weight = team.Weight
	return route, coder.OK
}

// passedArrived takes a request that a peer has checked.
func (m *Model) passedArrived(now time.Time, msg PassedRequestArrived) []Cmd {
	r := &request{
		id: msg.ID, arrived: now, team: msg.Team, service: msg.Service,
		idempotent: msg.Idempotent, repeatable: msg.Repeatable, affinity: msg.Affinity,
		deadline: msg.Deadline, passed: true, local: !msg.MayPass, weight: 1,
	}
	if m.stopping || m.config == nil {
		return []Cmd{m.refusal(now, r, coder.Stopping, coder.NotRun, 0)}
	}
	if team, ok := m.config.Team(msg.Team); ok {
		r.weight = team.Weight
	}
	if _, ok := m.services[msg.Service]; !ok {
		return []Cmd{m.refusal(now, r, coder.NoUpstream, coder.NotRun, 0)}
	}
	m.requests[r.id] = r
	return m.admit(now, r)
}

// admit counts a request as a first attempt and routes it.
func (m *Model) admit(now time.Time, r *request) []Cmd {
	m.services[r.service].budget.Earn()
	if r.home != "" {
		return []Cmd{m.pass(now, r, r.home)}
	}
	return m.route(now, r, "")
}

// callerLeft stops a request whose caller is gone.
func (m *Model) callerLeft(now time.Time, msg CallerLeft) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return m.leaveWait(now, msg.ID)
	}
	if r.answered {
		return nil
	}
	if r.queued {
		m.services[r.service].queue.Remove(r.team, r.id)
		return m.giveUp(now, r, coder.CallerGone, r.ran, 0)
	}
	return r.cancelLegs()
}

// cancelLegs stops all attempts that are under way.
func (r *request) cancelLegs() []Cmd {
	var cmds []Cmd
	for _, l := range r.legs {
		cmd := Cancel{ID: r.id, Endpoint: l.target}
		if l.peer {
			cmd = Cancel{ID: r.id, Peer: l.target}
		}
		cmds = append(cmds, cmd)
	}
	return cmds
}

// finish drops a request once all of its attempts have ended.
func (m *Model) finish(r *request) {
	r.answered = true
	if len(r.legs) == 0 {
		delete(m.requests, r.id)
	}
}

// giveUp ends a request with a refusal, at once.
func (m *Model) giveUp(now time.Time, r *request, code coder.Code, ran coder.Ran, wait time.Duration) []Cmd {
	m.finish(r)
	return []Cmd{m.refusal(now, r, code, ran, wait)}
}

// refusal spreads the callers' next tries over as long again as the wait.
func (m *Model) refusal(now time.Time, r *request, code coder.Code, ran coder.Ran, wait time.Duration) Refuse {
	wait = max(wait, refusalRetryAfter)
	wait += time.Duration(m.rng.Int64N(int64(wait)))
	return Refuse{ID: r.id, Code: code, Ran: ran, RetryAfter: wait, Decision: m.decision(now, r)}
}

func (m *Model) decision(now time.Time, r *request) Decision {
	return Decision{Team: r.team, Service: r.service, Waited: now.Sub(r.arrived), Hedge: len(r.legs) > 0}
}
