package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// minRetryAfter is the shortest retry delay that a refusal carries. Random jitter is
// added to it.
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
	// cancelAt is when the request is cancelled because its key was withdrawn, or zero
	// if the key is still valid.
	cancelAt time.Time
	// fromPeer means that a peer passed the request to this instance. The peer checks
	// the request's key.
	fromPeer bool
	// passForbidden means that this instance must not pass the request on.
	passForbidden bool
	// home is the home of a named request, which is the instance to pass the request to,
	// or "" if the request has no name.
	home string
	// inFlight holds the attempts in flight.
	inFlight []attempt
	// attempts is the number of attempts so far, including those that have ended.
	attempts int
	// hedged means that a hedge has been charged for the request.
	hedged bool
	// queued means that the request is in the queue of its service.
	queued bool
	// callerAnswered means that the caller has an answer or a refusal, while other
	// attempts may still be in flight.
	callerAnswered bool
	// ran states whether an endpoint ran the request. It is the highest value that an
	// ended attempt reported.
	ran coder.Ran
}

// attempt is an attempt in flight at an endpoint or a peer.
type attempt struct {
	// target is the address of the endpoint, or the ID of the peer if peer is true.
	target string
	peer   bool
	// startedAt is when the attempt started.
	startedAt time.Time
}

// attemptIndex returns the index, in r.inFlight, of the attempt at an endpoint or peer.
// It returns -1 if no attempt is in flight there.
func (r *request) attemptIndex(target string) int {
	return slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.target == target })
}

// requestArrived authenticates a request from a caller, finds its route and deadline,
// and applies its team's rate.
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

// authenticate checks a request's key and sets the request's key, team and weight. It
// returns the route for the request's path and OK. If the key isn't valid, or if the team
// may not use the route, it returns the code with which to refuse the request.
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

// passedRequestArrived admits a request from a peer, which has authenticated the request
// and charged it to the team's rate.
func (m *Model) passedRequestArrived(now time.Time, msg PassedRequestArrived) []Cmd {
	r := &request{
		id: msg.ID, arrived: now, team: msg.Team, service: msg.Service,
		idempotent: msg.Idempotent, repeatable: msg.Repeatable, affinity: msg.Affinity,
		deadline: msg.Deadline, fromPeer: true, passForbidden: !msg.MayPass, weight: 1,
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

// admit credits the service's retry budget for a new request. Then it passes a named
// request to its home, and routes any other request.
func (m *Model) admit(now time.Time, r *request) []Cmd {
	m.services[r.service].budget.Earn()
	if r.home != "" {
		return []Cmd{m.pass(now, r, r.home)}
	}
	return m.route(now, r, "")
}

// callerLeft handles a caller that cancelled its request or disconnected. A request that
// waits for a rate token or a slot is refused. The attempts of any other request are
// cancelled.
func (m *Model) callerLeft(now time.Time, msg CallerLeft) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return m.cancelWaiter(now, msg.ID)
	}
	if r.callerAnswered {
		return nil
	}
	if r.queued {
		m.services[r.service].queue.Remove(r.team, r.id)
		return m.refuse(now, r, coder.CallerGone, r.ran, 0)
	}
	return r.cancelAttempts()
}

// cancelAttempts returns commands that cancel all attempts of a request that are in
// flight.
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

// finish marks a request as answered, and removes the request if none of its attempts is
// in flight.
func (m *Model) finish(r *request) {
	r.callerAnswered = true
	if len(r.inFlight) == 0 {
		delete(m.requests, r.id)
	}
}

// refuse finishes a request and returns the command that refuses it.
func (m *Model) refuse(now time.Time, r *request, code coder.Code, ran coder.Ran, retryAfter time.Duration) []Cmd {
	m.finish(r)
	return []Cmd{m.refusal(now, r, code, ran, retryAfter)}
}

// refusal returns the command that refuses a request. retryAfter is raised to
// minRetryAfter if it is shorter. The retry delay in the command is random, between one
// and two times retryAfter, so that callers don't all retry at the same time.
func (m *Model) refusal(now time.Time, r *request, code coder.Code, ran coder.Ran, retryAfter time.Duration) Refuse {
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter += time.Duration(m.rng.Int64N(int64(retryAfter)))
	return Refuse{ID: r.id, Code: code, Ran: ran, RetryAfter: retryAfter, Decision: m.decision(now, r)}
}

// decision describes the decision that is made now about a request.
func (m *Model) decision(now time.Time, r *request) Decision {
	return Decision{Team: r.team, Service: r.service, Waited: now.Sub(r.arrived), Hedge: len(r.inFlight) > 0}
}
