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
	// unavailableRetryAfter is how long callers should wait before they retry if the
	// instance has no configuration or no usable endpoint.
	unavailableRetryAfter = 400 * time.Millisecond
	// StoppingRetryAfter is how long callers should wait before they retry if the instance is
	// stopping. It is short because other instances can serve them at once.
	StoppingRetryAfter = 50 * time.Millisecond
	// defaultCallerTimeout is assumed if a caller's request sets no timeout.
	defaultCallerTimeout = 30 * time.Second
	// A request is retried only if at least minAttemptBudget of its time is left.
	minAttemptBudget = 20 * time.Millisecond
	// A caller is taken to be retrying if its remaining time is below this fraction of
	// the longest remaining time of any caller of the route so far.
	callerRetryRatio = 0.985
	// answerMargin is the part of a request's remaining time that is reserved for sending
	// the response back to the caller.
	answerMargin = 15 * time.Millisecond
)

// request is the state of a request from its arrival to its answer.
type request struct {
	id uint64
	// digest is that of [RequestArrived].
	digest uint64
	route  *router.Route
	// team is the team that holds the caller's key, or nil. Its name may be empty.
	team      *router.Team
	service   string
	placement placer.Request
	arrivedAt time.Time
	// callerDeadline is when the caller stops waiting. deadline is the earlier of
	// callerDeadline and the end of the route's timeout. targetDeadline is when the
	// target latency has passed.
	deadline       time.Time
	callerDeadline time.Time
	targetDeadline time.Time
	callerRetry    bool
	attempts       int
	// sentAt is when the last attempt was sent. choice holds its endpoint and the
	// estimates for it.
	sentAt time.Time
	choice placer.Choice
	// preferredRegion is the region of the best endpoint if the first attempt was sent to another
	// region.
	preferredRegion string
	// mayHaveRun means that an endpoint may have run the request in one of the attempts.
	mayHaveRun bool
	// hasErrorAnswer means that an endpoint's error response is kept. It is delivered if
	// no other attempt brings an acceptable response.
	hasErrorAnswer bool
	// bodyStreamed means that the body is passed on as it arrives, so the request can't
	// be sent a second time.
	bodyStreamed bool
}

// teamName returns the name of the caller's team, or "" if it has none.
func (r *request) teamName() string {
	if r.team == nil {
		return ""
	}
	return r.team.Name
}

func refuse(id uint64, status int, code coder.Code, retryAfter time.Duration) []Cmd {
	return []Cmd{Refuse{ID: id, Status: status, Code: code, RetryAfter: retryAfter}}
}

// CheckAccess reports whether a request with a host, path and key has a route and may use it.
// If so, it returns the longest time that the request may take, or 0 if the route sets no limit;
// otherwise the refusal. A request that passes may still be refused when it arrives.
func (m *Model) CheckAccess(host, path, key string) (timeout time.Duration, refused Refuse, ok bool) {
	route, _, refused, ok := m.access(host, path, key)
	if !ok {
		return 0, refused, false
	}
	return route.Timeout, Refuse{}, true
}

// access returns the route of a request, and the team that holds its key, or nil if it has
// none. If the request may not use a route, access returns the refusal and false.
func (m *Model) access(host, path, key string) (*router.Route, *router.Team, Refuse, bool) {
	if m.config == nil {
		return nil, nil, Refuse{Status: http.StatusServiceUnavailable, Code: coder.NoConfiguration, RetryAfter: unavailableRetryAfter}, false
	}
	route, ok := m.config.Route(host, path)
	if !ok {
		return nil, nil, Refuse{Status: http.StatusNotFound, Code: coder.RouteUnknown}, false
	}
	// A key that no team holds is refused also without a table of teams: it may be one that
	// a version before held.
	if !m.config.RequiresKeys() && key == "" {
		return route, nil, Refuse{}, true
	}
	team, ok := m.config.TeamOf(key)
	if !ok && !route.AllowAnonymous {
		return nil, nil, Refuse{Status: http.StatusUnauthorized, Code: coder.KeyUnknown}, false
	}
	return route, team, Refuse{}, true
}

// requestArrived validates a request and makes its first attempt, or refuses it.
func (m *Model) requestArrived(now time.Time, msg RequestArrived) []Cmd {
	route, team, refused, ok := m.access(msg.Host, msg.Path, msg.Key)
	if !ok {
		refused.ID = msg.ID
		return []Cmd{refused}
	}
	r := &request{id: msg.ID, digest: msg.Digest, route: route, team: team, arrivedAt: now, bodyStreamed: msg.BodyStreamed}
	var homes []string
	if team != nil {
		homes = team.HomeRegions
	}
	m.setDeadlines(r, msg)
	if !m.stopRequestedAt.IsZero() && r.deadline.After(m.stopEnd) {
		// Its endpoint may still be at work when the instance ends.
		return refuse(msg.ID, http.StatusServiceUnavailable, coder.Stopping, StoppingRetryAfter)
	}
	if cmds := m.checkQuarantine(now, r); cmds != nil {
		return cmds
	}
	if cmds := m.checkTeamRate(now, r); cmds != nil {
		return cmds
	}
	r.service = m.splitFor(route).nextService()
	m.retryBudgetOf(now, r.service).bucket.Put(m.bounds.RetryRatio * usedRetryRatio)
	r.placement = placer.Request{
		Service: r.service, TargetLatency: route.TargetLatency, Timeout: r.deadline.Sub(r.arrivedAt), NonIdempotent: !route.Idempotent,
	}
	if route.Sticky {
		r.placement.Object = msg.Object
	}
	r.placement.Regions, r.placement.Restricted = router.AllowedRegions(route.HomeRegions, homes)
	return m.firstAttempt(now, r)
}

// setDeadlines sets the deadlines of a request. If the caller is taken to be retrying,
// the target latency counts from its first try. The first try is assumed to have been
// made with the longest remaining time of any caller of the route so far.
func (m *Model) setDeadlines(r *request, msg RequestArrived) {
	timeLeft := msg.CallerTimeLeft
	if timeLeft <= 0 {
		timeLeft = defaultCallerTimeout
	}
	r.callerDeadline = msg.ReadAt.Add(timeLeft)
	r.deadline = msg.ReadAt.Add(min(timeLeft, r.route.Timeout))
	if r.route.Timeout <= 0 {
		r.deadline = r.callerDeadline
	}
	longestCallerTime := max(m.longestCallerTime[r.route.Name], timeLeft)
	m.longestCallerTime[r.route.Name] = longestCallerTime
	r.callerRetry = float64(timeLeft) < callerRetryRatio*float64(longestCallerTime)
	r.targetDeadline = msg.ReadAt.Add(r.route.TargetLatency)
	if r.callerRetry {
		r.targetDeadline = r.targetDeadline.Add(timeLeft - longestCallerTime)
	}
}

// checkTeamRate refuses a request that exceeds its team's rate limit; it returns
// nil if the request is admitted.
func (m *Model) checkTeamRate(now time.Time, r *request) []Cmd {
	team := r.team
	if team == nil || team.Rate <= 0 {
		return nil
	}
	t := m.teamStateOf(now, team.Name)
	t.demand.Add(now, 1)
	if t.admit(now, m.rng.Float64()) {
		return nil
	}
	// Some names in the detail: fleetLeft is the number of tokens left in the fleet-wide
	// bucket. expected is the team's estimated demand over the fleet, in requests per
	// second. basis is why this instance may use which part of the rate.
	retryAfter := admitter.RetryAfter(t.fleetBucket.Wait(now), r.callerDeadline.Sub(now), m.rng.Float64())
	return []Cmd{Refuse{
		ID: r.id, Status: http.StatusTooManyRequests, Code: coder.TeamOverRate, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("team=%q rate=%g burst=%g fleetLeft=%.1f expected=%.1f basis=%v version=%d",
			team.Name, team.Rate, team.Burst, t.fleetBucket.Tokens(now), t.fleetDemand(now), t.basis, m.config.Version()),
	}}
}

// firstAttempt sends a request to the best endpoint. It refuses the request if there
// is no usable endpoint or the best one can't answer in time.
func (m *Model) firstAttempt(now time.Time, r *request) []Cmd {
	choice, preferred, ok := m.pick(now, r.placement)
	if !ok {
		m.refundToken(r)
		wait, known := m.balancer.TimeUntilReady(now, r.placement)
		if !known {
			wait = unavailableRetryAfter
		}
		retryAfter := admitter.RetryAfter(wait, r.callerDeadline.Sub(now), m.rng.Float64())
		return []Cmd{Refuse{
			ID: r.id, Status: http.StatusServiceUnavailable, Code: coder.NoUpstream, RetryAfter: retryAfter,
			Detail: fmt.Sprintf("team=%q service=%q %v ready=%v", r.teamName(), r.service, m.balancer.Unavailable(now, r.placement), wait),
		}}
	}
	estimate := m.routeLatency.get(r.route.Name).estimate(now, choice.ExpectedLatency, choice.QueueTime, m.serviceLatency.get(r.service))
	decision := admitter.Decide(
		admitter.Load{ExpectedLatency: estimate, QueueTime: choice.QueueTime, QueueSlack: choice.QueueSlack},
		admitter.Request{
			TargetLeft: r.targetDeadline.Sub(now), TimeLeft: r.deadline.Sub(now),
			CallerTimeLeft: r.callerDeadline.Sub(now), CallerRetry: r.callerRetry,
		}, m.creditFor(r.service), m.rng.Float64())
	if decision.Refuse {
		m.refundToken(r)
		// Some names in the detail: expect is the expected latency by the estimate for the
		// service. paced is that estimate adjusted for the route. wait is the queueing time
		// at the endpoint. room is how long a request for a warm object could queue there
		// without being late. cameBack means that the caller is taken to be retrying.
		return []Cmd{Refuse{
			ID: r.id, Status: http.StatusServiceUnavailable, Code: coder.DeadlineUnreachable, RetryAfter: decision.RetryAfter,
			Detail: fmt.Sprintf("team=%q service=%q best=%q expect=%v paced=%v wait=%v room=%v load=%d slots=%d warm=%t targetLeft=%v timeLeft=%v cameBack=%t version=%d",
				r.teamName(), r.service, choice.ID, choice.ExpectedLatency, estimate, choice.QueueTime, choice.QueueSlack,
				choice.AttemptsInFlight, choice.Slots, choice.ObjectWarm,
				r.targetDeadline.Sub(now), r.deadline.Sub(now), r.callerRetry, m.config.Version()),
		}}
	}
	m.requests[r.id] = r
	m.regulator.Record(now, preferred, choice.Region)
	if preferred != choice.Region {
		r.preferredRegion = preferred
	}
	return m.sendAttempt(now, r, choice)
}

// creditFor returns the credit of a service and creates it if there is none. Credit
// lets some retrying callers wait in a longer queue.
func (m *Model) creditFor(service string) *admitter.Credit {
	c, ok := m.credits[service]
	if !ok {
		c = &admitter.Credit{}
		m.credits[service] = c
	}
	return c
}

// refundToken returns the token that a request took from its team's rate limit. It is
// called for admitted requests that did not run.
func (m *Model) refundToken(r *request) {
	if r.team == nil {
		return
	}
	if t, ok := m.teams[r.team.Name]; ok {
		t.refundToken()
	}
}

// sendAttempt records an attempt and returns the command for it.
func (m *Model) sendAttempt(now time.Time, r *request, choice placer.Choice) []Cmd {
	r.attempts++
	r.sentAt = now
	r.choice = choice
	r.placement.Tried = append(r.placement.Tried, choice.ID)
	m.balancer.RecordAttempt(now, choice.ID, r.placement.Object)
	return []Cmd{Send{
		ID: r.id, Endpoint: choice.ID, Address: choice.Address, Team: r.teamName(), HasTeam: r.team != nil,
		Budget: r.deadline.Sub(now) - answerMargin, Deadline: r.deadline,
		Idempotent: r.route.Idempotent, Attempt: r.attempts, Preferred: r.preferredRegion, Choice: choice, ConfigVersion: m.config.Version(),
	}}
}

// attemptEnded records the outcome of an attempt and decides whether to deliver
// the response, to retry, or to give up.
func (m *Model) attemptEnded(now time.Time, msg AttemptEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	o := msg.Outcome
	if o.Leaving {
		m.balancer.RecordLeaving(r.choice.ID)
	}
	m.balancer.RecordPause(now, r.choice.ID, o.Pause)
	// Another endpoint may send a 421 response.
	if o.Status != 0 && o.Status != http.StatusMisdirectedRequest {
		m.balancer.RecordLimit(now, r.choice.ID, o.Limit, o.Answered && !o.NotRun && o.Status/100 == 2)
	}
	m.balancer.RecordOutcome(now, r.choice.ID, placer.Outcome{
		SentAt: r.sentAt, Object: r.placement.Object, Choice: r.choice,
		Answered: o.Answered, SuccessStatus: o.Status/100 == 2, NotRun: o.NotRun && !o.Unreachable, Unreachable: o.Unreachable,
		ConnectionRefused: o.ConnectionRefused, CallerDisconnected: o.CallerDisconnected, DialTime: o.DialTime, Load: o.Load,
		TargetLatency: r.route.TargetLatency, Timeout: r.placement.Timeout,
	})
	took := now.Sub(r.sentAt)
	m.routeLatency.get(r.route.Name).record(now, took, r.choice.ExpectedLatency, r.choice.QueueTime, o)
	m.serviceLatency.get(r.service).record(now, took, r.choice.ExpectedLatency, r.choice.QueueTime, o)
	if !o.NotRun {
		r.mayHaveRun = true
	}
	m.recordEvidence(now, r, o)
	switch {
	case o.CallerDisconnected:
		m.forgetRequest(r.id)
		return nil
	case o.Acceptable():
		return []Cmd{Deliver{ID: r.id}}
	}
	if o.Answered && !o.NotRun {
		r.hasErrorAnswer = true
	}
	if cmds := m.retry(now, r, o); cmds != nil {
		return cmds
	}
	return m.answerFailure(now, r, o)
}

// retry returns the command to send a request to another endpoint, if a retry is
// allowed and that endpoint can answer in time. Otherwise it returns nil.
func (m *Model) retry(now time.Time, r *request, o Outcome) []Cmd {
	if r.bodyStreamed || r.mayHaveRun && !r.route.Idempotent {
		return nil
	}
	timeLeft := r.deadline.Sub(now)
	if r.attempts >= r.route.MaxAttempts || timeLeft < minAttemptBudget || o.TimedOut {
		return nil
	}
	if _, quarantined := m.quarantiner.Lookup(now, r.digest); quarantined {
		return nil
	}
	choice, ok := m.balancer.Pick(now, r.placement)
	if !ok || choice.ExpectedLatency > timeLeft {
		return nil
	}
	// A retry after an attempt that never reached an endpoint doesn't count against the
	// retry budget.
	if !o.Unreachable && !m.retryBudgetOf(now, r.service).bucket.Take(now) {
		return nil
	}
	return m.sendAttempt(now, r, choice)
}

// answerFailure returns the command to answer a request that failed and is not
// retried.
func (m *Model) answerFailure(now time.Time, r *request, o Outcome) []Cmd {
	if r.hasErrorAnswer {
		return []Cmd{Deliver{ID: r.id}}
	}
	if !r.mayHaveRun {
		m.refundToken(r)
		retryAfter := admitter.RetryAfter(r.choice.QueueTime, r.callerDeadline.Sub(now), m.rng.Float64())
		return refuse(r.id, http.StatusServiceUnavailable, coder.NoUpstream, retryAfter)
	}
	if o.TimedOut {
		return refuse(r.id, http.StatusGatewayTimeout, coder.UpstreamTimeout, 0)
	}
	return refuse(r.id, http.StatusBadGateway, coder.UpstreamFailed, 0)
}

// forgetRequest deletes the state of a request. By then AttemptEnded has been
// processed for each of its attempts.
func (m *Model) forgetRequest(id uint64) { delete(m.requests, id) }

// split distributes a route's requests over the route's services by smooth weighted
// round robin. deficit holds, for each service, how many requests it is behind its
// share.
type split struct {
	route   *router.Route
	deficit []float64
}

// splitFor returns the state of a route's split and creates it if there is none. The
// state is kept over configuration changes that leave the services and weights of the
// route unchanged.
func (m *Model) splitFor(route *router.Route) *split {
	s, ok := m.splits[route.Name]
	if ok && s.route == route {
		return s
	}
	if ok && sameSplit(s.route.TrafficSplit, route.TrafficSplit) {
		s.route = route
		return s
	}
	s = &split{route: route, deficit: make([]float64, len(route.TrafficSplit))}
	// Without random starting points, all instances would send their requests to the
	// services in the same order at the same time.
	for i := range s.deficit {
		s.deficit[i] = m.rng.Float64()
	}
	m.splits[route.Name] = s
	return s
}

func sameSplit(a, b []router.WeightedService) bool {
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

// nextService returns the service that the next request is sent to.
func (s *split) nextService() string {
	total := 0
	for _, p := range s.route.TrafficSplit {
		total += p.Weight
	}
	if total <= 0 {
		return s.route.TrafficSplit[0].Service
	}
	best := -1
	for i, p := range s.route.TrafficSplit {
		s.deficit[i] += float64(p.Weight) / float64(total)
		if p.Weight > 0 && (best < 0 || s.deficit[i] > s.deficit[best]) {
			best = i
		}
	}
	s.deficit[best]--
	return s.route.TrafficSplit[best].Service
}
