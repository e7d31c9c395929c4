package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// minRetryAfter is the shortest retry delay that a refusal gives a caller, before
// jitter.
const minRetryAfter = 100 * time.Millisecond

// request is the state of a request from its arrival until its last attempt has
// ended.
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
	// cancelAt is when the request is cancelled because its key was withdrawn, or
	// zero.
	cancelAt time.Time
	// fromPeer means that a peer passed the request on, after it checked the key.
	fromPeer bool
	// local means that this instance must not pass the request on.
	local bool
	// home is the instance that is responsible for a named request, or "".
	home     string
	inFlight []attempt
	// attempts counts all attempts so far, ended ones included.
	attempts int
	hedged   bool
	queued   bool
	// answered means that the caller has an answer or a refusal, while other
	// attempts may still be in flight.
	answered bool
	// ran is the maximum over all ended attempts.
	ran coder.Ran
}

// attempt is an attempt in flight at an endpoint or a peer.
type attempt struct {
	target string
	peer   bool
	// startedAt is when the attempt started.
	startedAt time.Time
}

// attemptIndex returns the index of the attempt in flight at a target, or -1.
func (r *request) attemptIndex(target string) int {
	return slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.target == target })
}

func (m *Model) requestArrived(now time.Time, msg RequestArrived) []Cmd {
	r := &request{id: msg.ID, arrived: now}
	route, code := m.authenticate(r, msg)
	if code != coder.OK {
		return []Cmd{m.refusal(now, r, code, coder.NotRun, 0)}
	}
	svc, _ := m.config.Service(route.Service)
	r.service = svc.Name
	// A named request runs at most once, even if the route is idempotent.
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
	return m.applyTeamRate(now, r)
}

// authenticate checks a request's key, finds its team and returns the route that the
// team may use.
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

// passedRequestArrived accepts a request that a peer has authenticated and charged.
func (m *Model) passedRequestArrived(now time.Time, msg PassedRequestArrived) []Cmd {
	r := &request{
		id: msg.ID, arrived: now, team: msg.Team, service: msg.Service,
		idempotent: msg.Idempotent, repeatable: msg.Repeatable, affinity: msg.Affinity,
		deadline: msg.Deadline, fromPeer: true, local: !msg.MayPass, weight: 1,
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

// admit credits the retry budget for a new request and routes the request.
func (m *Model) admit(now time.Time, r *request) []Cmd {
	m.services[r.service].budget.Earn()
	if r.home != "" {
		return []Cmd{m.pass(now, r, r.home)}
	}
	return m.route(now, r, "")
}

// callerLeft ends a request whose caller cancelled or disconnected.
func (m *Model) callerLeft(now time.Time, msg CallerLeft) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return m.cancelWaiter(now, msg.ID)
	}
	if r.answered {
		return nil
	}
	if r.queued {
		m.services[r.service].queue.Remove(r.team, r.id)
		return m.refuse(now, r, coder.CallerGone, r.ran, 0)
	}
	return r.cancelAttempts()
}

// cancelAttempts returns commands that cancel all attempts in flight.
func (r *request) cancelAttempts() []Cmd {
	var cmds []Cmd
	for _, a := range r.inFlight {
		cmd := Cancel{ID: r.id, Endpoint: a.target}
		if a.peer {
			cmd = Cancel{ID: r.id, Peer: a.target}
		}
		cmds = append(cmds, cmd)
	}
	return cmds
}

// finish marks a request as answered, and removes it if no attempt is in flight.
func (m *Model) finish(r *request) {
	r.answered = true
	if len(r.inFlight) == 0 {
		delete(m.requests, r.id)
	}
}

// refuse finishes a request with a refusal.
func (m *Model) refuse(now time.Time, r *request, code coder.Code, ran coder.Ran, retryAfter time.Duration) []Cmd {
	m.finish(r)
	return []Cmd{m.refusal(now, r, code, ran, retryAfter)}
}

// refusal returns a refusal. To spread the callers' retries, its retry delay is random
// between one and two times retryAfter, which is raised to minRetryAfter if shorter.
func (m *Model) refusal(now time.Time, r *request, code coder.Code, ran coder.Ran, retryAfter time.Duration) Refuse {
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter += time.Duration(m.rng.Int64N(int64(retryAfter)))
	return Refuse{ID: r.id, Code: code, Ran: ran, RetryAfter: retryAfter, Decision: m.decision(now, r)}
}

func (m *Model) decision(now time.Time, r *request) Decision {
	return Decision{Team: r.team, Service: r.service, Waited: now.Sub(r.arrived), Hedge: len(r.inFlight) > 0}
}
