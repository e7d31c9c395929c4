package conductor

import (
	"fmt"
	"net/http"
	"time"

	"primroseseam.org/seam/admitter"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

const (
	// noConfigRetry is when to come back to an instance without configuration.
	noConfigRetry = 400 * time.Millisecond
	// defaultCallerTime is assumed if a caller doesn't say how long it waits.
	defaultCallerTime = 30 * time.Second
	// leastBudget is the least time for which an attempt is still made.
	leastBudget = 20 * time.Millisecond
	// cameBackPart is the part of the longest time of a route's callers below
	// which a caller must have been here before.
	cameBackPart = 0.985
	// answerMargin is the part of the route's timeout that is kept for the way
	// of the answer back to the caller.
	answerMargin = 15 * time.Millisecond
)

// request is the state of a request between arrival and answer.
type request struct {
	id      uint64
	route   *router.Route
	team    string
	service string
	place   placer.Request
	arrived time.Time
	// deadline is when nobody waits any more, callerEnd when the caller leaves.
	deadline  time.Time
	callerEnd time.Time
	targetEnd time.Time
	cameBack  bool
	attempts  int
	// sentAt and choice belong to the attempt under way.
	sentAt time.Time
	choice placer.Choice
	// mayHaveRun means that an attempt may have run.
	mayHaveRun bool
	// held means that an endpoint's failure is held to be given if no other
	// attempt brings a better answer.
	held bool
	// once means that the body is streamed and can't be sent again.
	once bool
}

func refuse(id uint64, status int, code coder.Code, after time.Duration) []Cmd {
	return []Cmd{Refuse{ID: id, Status: status, Code: code, RetryAfter: after}}
}

// requestArrived checks a request and sends it on, or refuses it at once.
func (m *Model) requestArrived(now time.Time, msg RequestArrived) []Cmd {
	if m.config == nil {
		return refuse(msg.ID, http.StatusServiceUnavailable, coder.NoConfiguration, noConfigRetry)
	}
	route, ok := m.config.Route(msg.Host, msg.Path)
	if !ok {
		return refuse(msg.ID, http.StatusNotFound, coder.RouteUnknown, 0)
	}
	var homes []string
	r := &request{id: msg.ID, route: route, arrived: now, once: msg.BodyStreamed}
	if m.config.HasTeams() {
		team, ok := m.config.TeamOf(msg.Key)
		switch {
		case ok:
			r.team = team.Name
			homes = team.Homes
		case !route.Open:
			return refuse(msg.ID, http.StatusUnauthorized, coder.KeyUnknown, 0)
		}
	}
	m.setTimes(r, msg)
	if cmds := m.overRate(now, r); cmds != nil {
		return cmds
	}
	r.service = m.splitOf(route).next()
	m.retryOf(now, r.service).bucket.Put(m.bounds.RetryRatio * ratioUsed)
	r.place = placer.Request{Service: r.service, Target: route.Target, Timeout: r.deadline.Sub(r.arrived), Once: !route.Idempotent}
	if route.Sticky {
		r.place.Object = msg.Object
	}
	r.place.Regions, r.place.Restricted = router.Homes(route.Homes, homes)
	return m.firstAttempt(now, r)
}

// setTimes works out until when a request is worth an answer.
func (m *Model) setTimes(r *request, msg RequestArrived) {
	left := msg.CallerTimeLeft
	if left <= 0 {
		left = defaultCallerTime
	}
	r.callerEnd = msg.Read.Add(left)
	r.deadline = msg.Read.Add(min(left, r.route.Timeout))
	if r.route.Timeout <= 0 {
		r.deadline = r.callerEnd
	}
	longest := max(m.longest[r.route.Name], left)
	m.longest[r.route.Name] = longest
	r.cameBack = float64(left) < cameBackPart*float64(longest)
	r.targetEnd = msg.Read.Add(r.route.Target)
	if r.cameBack {
		r.targetEnd = r.targetEnd.Add(left - longest)
	}
}

// overRate refuses a request beyond its team's rate.
func (m *Model) overRate(now time.Time, r *request) []Cmd {
	if r.team == "" {
		return nil
	}
	team := m.config.Teams()[r.team]
	if team.Rate <= 0 {
		return nil
	}
	t := m.teamOf(now, r.team)
	t.demand.Add(now, 1)
	if t.take(now, team, m.rng.Float64()) {
		return nil
	}
	after := admitter.RetryAfter(t.fleet.Wait(now), r.callerEnd.Sub(now), m.rng.Float64())
	return []Cmd{Refuse{
		ID: r.id, Status: http.StatusTooManyRequests, Code: coder.TeamOverRate, RetryAfter: after,
		Detail: fmt.Sprintf("team=%s rate=%g burst=%g fleetLeft=%.1f expected=%.1f whole=%t version=%d",
			r.team, team.Rate, team.Burst, t.fleet.Tokens(now), t.expected(now), t.whole, m.config.Version()),
	}}
}

// firstAttempt places a request, or refuses it at once if no endpoint can
// answer it in time.
func (m *Model) firstAttempt(now time.Time, r *request) []Cmd {
	choice, ok := m.board.Pick(now, r.place)
	if !ok {
		m.giveBack(r)
		after := admitter.RetryAfter(noConfigRetry, r.callerEnd.Sub(now), m.rng.Float64())
		return refuse(r.id, http.StatusServiceUnavailable, coder.NoUpstream, after)
	}
	expect := m.routes.of(r.route.Name).expect(now, choice.Expect, choice.Wait, m.services.of(r.service))
	decision := admitter.Decide(
		admitter.Load{Expect: expect, Wait: choice.Wait, Room: choice.Room},
		admitter.Request{
			TargetLeft: r.targetEnd.Sub(now), TimeLeft: r.deadline.Sub(now),
			CallerLeft: r.callerEnd.Sub(now), CameBack: r.cameBack,
		}, m.creditOf(r.service), m.rng.Float64())
	if decision.Refuse {
		m.giveBack(r)
		return []Cmd{Refuse{
			ID: r.id, Status: http.StatusServiceUnavailable, Code: coder.DeadlineUnreachable, RetryAfter: decision.RetryAfter,
			Detail: fmt.Sprintf("team=%s service=%s best=%s expect=%v paced=%v wait=%v room=%v load=%d slots=%d warm=%t targetLeft=%v timeLeft=%v cameBack=%t version=%d",
				r.team, r.service, choice.ID, choice.Expect, expect, choice.Wait, choice.Room, choice.Load, choice.Slots, choice.Warm,
				r.targetEnd.Sub(now), r.deadline.Sub(now), r.cameBack, m.config.Version()),
		}}
	}
	m.requests[r.id] = r
	return m.send(now, r, choice)
}

// creditOf returns the credit of a service for callers who come back.
func (m *Model) creditOf(service string) *admitter.Credit {
	c, ok := m.credits[service]
	if !ok {
		c = &admitter.Credit{}
		m.credits[service] = c
	}
	return c
}

// giveBack returns the token of a request that will not run.
func (m *Model) giveBack(r *request) {
	if t, ok := m.teams[r.team]; ok {
		t.giveBack()
	}
}

// send makes an attempt.
func (m *Model) send(now time.Time, r *request, choice placer.Choice) []Cmd {
	r.attempts++
	r.sentAt = now
	r.choice = choice
	r.place.Tried = append(r.place.Tried, choice.ID)
	m.board.Sent(now, choice.ID, r.place.Object)
	return []Cmd{Send{
		ID: r.id, Endpoint: choice.ID, Address: choice.Address, Team: r.team,
		Budget: r.deadline.Sub(now) - answerMargin, Deadline: r.deadline,
		Repeatable: r.route.Idempotent, Attempt: r.attempts, Choice: choice, Version: m.config.Version(),
	}}
}

// attemptEnded decides whether a request is sent once more.
func (m *Model) attemptEnded(now time.Time, msg AttemptEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	o := msg.Outcome
	m.board.Ended(now, r.choice.ID, placer.Outcome{
		SentAt: r.sentAt, Object: r.place.Object, Choice: r.choice,
		Answered: o.Answered, Good: o.Status/100 == 2, NotRun: o.NotRun && !o.Unreachable, Unreachable: o.Unreachable,
		Refused: o.Refused, Left: o.CallerGone, Connect: o.Connect, Target: r.route.Target, Timeout: r.place.Timeout,
	})
	took := now.Sub(r.sentAt)
	m.routes.of(r.route.Name).learn(now, took, r.choice.Expect, r.choice.Wait, o)
	m.services.of(r.service).learn(now, took, r.choice.Expect, r.choice.Wait, o)
	if !o.NotRun {
		r.mayHaveRun = true
	}
	switch {
	case o.CallerGone:
		m.forget(r.id)
		return nil
	case o.Good():
		return []Cmd{Deliver{ID: r.id}}
	}
	if o.Answered && !o.NotRun {
		r.held = true
	}
	if cmds := m.again(now, r, o); cmds != nil {
		return cmds
	}
	return m.failed(now, r, o)
}

// again sends a request once more if that is allowed and worth it.
func (m *Model) again(now time.Time, r *request, o Outcome) []Cmd {
	if r.once || r.mayHaveRun && !r.route.Idempotent {
		return nil
	}
	left := r.deadline.Sub(now)
	if r.attempts >= r.route.MaxAttempts || left < leastBudget || o.TimedOut {
		return nil
	}
	choice, ok := m.board.Pick(now, r.place)
	if !ok || choice.Expect > left {
		return nil
	}
	// An attempt that never reached an endpoint is no arrival there.
	if !o.Unreachable && !m.retryOf(now, r.service).bucket.Take(now) {
		return nil
	}
	return m.send(now, r, choice)
}

// failed gives up on a request.
func (m *Model) failed(now time.Time, r *request, o Outcome) []Cmd {
	if r.held {
		return []Cmd{Deliver{ID: r.id}}
	}
	if !r.mayHaveRun {
		m.giveBack(r)
		after := admitter.RetryAfter(r.choice.Wait, r.callerEnd.Sub(now), m.rng.Float64())
		return refuse(r.id, http.StatusServiceUnavailable, coder.NoUpstream, after)
	}
	if o.TimedOut {
		return refuse(r.id, http.StatusGatewayTimeout, coder.UpstreamTimeout, 0)
	}
	return refuse(r.id, http.StatusBadGateway, coder.UpstreamFailed, 0)
}

// forget drops a request. An attempt under way is reported by AttemptEnded
// before.
func (m *Model) forget(id uint64) { delete(m.requests, id) }

// split deals the requests of a route to its parts by weight, evenly.
type split struct {
	route *router.Route
	owed  []float64
}

// splitOf returns the state of a route's split.
func (m *Model) splitOf(route *router.Route) *split {
	s, ok := m.splits[route.Name]
	if ok && s.route == route {
		return s
	}
	if ok && samePart(s.route.Parts, route.Parts) {
		s.route = route
		return s
	}
	s = &split{route: route, owed: make([]float64, len(route.Parts))}
	// Instances start at different places of the sequence.
	for i := range s.owed {
		s.owed[i] = m.rng.Float64()
	}
	m.splits[route.Name] = s
	return s
}

func samePart(a, b []router.Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// next returns the service of the next request.
func (s *split) next() string {
	total := 0
	for _, p := range s.route.Parts {
		total += p.Weight
	}
	if total <= 0 {
		return s.route.Parts[0].Service
	}
	best := -1
	for i, p := range s.route.Parts {
		s.owed[i] += float64(p.Weight) / float64(total)
		if p.Weight > 0 && (best < 0 || s.owed[i] > s.owed[best]) {
			best = i
		}
	}
	s.owed[best]--
	return s.route.Parts[best].Service
}
