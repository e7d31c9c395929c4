package conductor

import (
	"net/http"
	"time"

	"primroseseam.org/seam/admitter"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// Question describes a request that isn't sent, to ask where it would go.
type Question struct {
	Host, Path string
	// Key is the caller's key. Without a key, the request counts as one of Team, if that is set.
	Key, Team string
	// Object is the hash of the object, or 0 if there is none.
	Object uint32
	// CallerTimeLeft is how long the caller waits, or 0 for the default.
	CallerTimeLeft time.Duration
}

// Explanation states what would happen to a request now, and why.
type Explanation struct {
	// Outcome is outcomeSent or outcomeRefused. Status, Code and RetryAfterMs are those of a refusal.
	Outcome      string `json:"outcome"`
	Status       int    `json:"status,omitempty"`
	Code         string `json:"code,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64    `json:"configVersion"`
	Instance      string    `json:"instance"`
	Route         string    `json:"route,omitempty"`
	Team          string    `json:"team,omitempty"`
	TeamRoom      *TeamRoom `json:"teamRoom,omitempty"`
	// Regions lists the regions that may serve the request, if not all may.
	Regions []string `json:"regions,omitempty"`
	// RegionParts is the plan of the parts of this region's requests that go to each region.
	RegionParts map[string]float64 `json:"regionParts,omitempty"`
	// HeartbeatAgeMs is the age of the oldest heartbeat of a live instance of this region. What
	// is known of the endpoints' loads is at most about as old.
	HeartbeatAgeMs int64                `json:"heartbeatAgeMs"`
	Services       []ServiceExplanation `json:"services,omitempty"`
}

// TeamRoom states how much of its rate a team has left.
type TeamRoom struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens is what is left for the whole fleet, as far as this instance knows. Probability is
	// the one with which a request is admitted; it may exceed 1.
	Tokens      float64 `json:"tokens"`
	Probability float64 `json:"probability"`
}

// ServiceExplanation states where a request goes if the route's split gives it to a service.
type ServiceExplanation struct {
	Service string `json:"service"`
	// Weight is the service's weight in the split.
	Weight int `json:"weight"`
	// Admitted means that the best endpoint answers early enough. Retries of refused callers may
	// be admitted with less.
	Admitted bool `json:"admitted"`
	// Unavailable is the reason if no endpoint may receive the request.
	Unavailable string                 `json:"unavailable,omitempty"`
	Candidates  []CandidateExplanation `json:"candidates,omitempty"`
}

// CandidateExplanation states what an endpoint costs for a request.
type CandidateExplanation struct {
	Endpoint   string `json:"endpoint"`
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	ExpectedMs int64  `json:"expectedMs"`
	QueueMs    int64  `json:"queueMs"`
	DialMs     int64  `json:"dialMs"`
	Warm       bool   `json:"warm"`
	InFlight   int    `json:"inFlight"`
	Slots      int    `json:"slots"`
	// Total is the sum of the terms of Cost, in seconds.
	Total float64     `json:"total"`
	Cost  placer.Cost `json:"cost"`
}

const (
	outcomeSent    = "sent"
	outcomeRefused = "refused"
	// maxExplained is the number of endpoints of a service that an explanation holds, the best
	// ones.
	maxExplained = 20
)

// Explain returns what would happen to a request now. It sends nothing, spends nothing and
// changes no decision. Chance is left out: of the team's rate, of the route's split, and of
// requests that change their region.
func (m *Model) Explain(now time.Time, q Question) Explanation {
	x := Explanation{Instance: m.id, Outcome: outcomeRefused, ConfigVersion: m.ConfigVersion(), HeartbeatAgeMs: m.oldestHeartbeat(now).Milliseconds()}
	route, team, refused, ok := m.accessAs(q)
	if !ok {
		x.refuse(refused)
		return x
	}
	x.Route = route.Name
	m.explainTeam(now, &x, team)
	r := questionRequest(now, q, route, team)
	x.Regions = r.placement.Regions
	if !r.placement.Restricted {
		x.RegionParts = m.regulator.Parts()
	}
	refused = Refuse{Status: http.StatusServiceUnavailable, Code: coder.NoUpstream}
	for _, part := range route.TrafficSplit {
		s := m.explainService(now, r, part)
		x.Services = append(x.Services, s)
		switch {
		case s.Admitted:
			x.Outcome = outcomeSent
		case len(s.Candidates) > 0:
			refused.Code = coder.DeadlineUnreachable
		}
	}
	if x.Outcome == outcomeRefused {
		x.refuse(refused)
	}
	return x
}

// refuse adds a refusal to an explanation.
func (x *Explanation) refuse(r Refuse) {
	x.Status, x.Code, x.RetryAfterMs = r.Status, r.Code.String(), r.RetryAfter.Milliseconds()
}

// accessAs returns what access does, for a question with a team instead of a key.
func (m *Model) accessAs(q Question) (*router.Route, *router.Team, Refuse, bool) {
	if q.Key != "" || q.Team == "" || m.config == nil {
		return m.access(q.Host, q.Path, q.Key)
	}
	route, ok := m.config.Route(q.Host, q.Path)
	if !ok {
		return nil, nil, Refuse{Status: http.StatusNotFound, Code: coder.RouteUnknown}, false
	}
	team, ok := m.config.Teams()[q.Team]
	return route, team, Refuse{Status: http.StatusUnauthorized, Code: coder.KeyUnknown}, ok
}

// explainTeam adds the team and its room to an explanation.
func (m *Model) explainTeam(now time.Time, x *Explanation, team *router.Team) {
	if team == nil {
		return
	}
	x.Team = team.Name
	if team.Rate <= 0 {
		return
	}
	x.TeamRoom = &TeamRoom{Rate: team.Rate, Burst: team.Burst, Tokens: initialTokensRatio * team.Burst, Probability: 1}
	if t, ok := m.teams[team.Name]; ok {
		x.TeamRoom.Tokens = t.fleetBucket.Tokens(now)
		x.TeamRoom.Probability = t.admitProbability(now)
	}
}

// questionRequest returns the request that a question describes.
func questionRequest(now time.Time, q Question, route *router.Route, team *router.Team) *request {
	timeLeft := q.CallerTimeLeft
	if timeLeft <= 0 {
		timeLeft = defaultCallerTimeout
	}
	r := &request{route: route, team: team, arrivedAt: now, callerDeadline: now.Add(timeLeft), deadline: now.Add(timeLeft)}
	if route.Timeout > 0 {
		r.deadline = now.Add(min(timeLeft, route.Timeout))
	}
	r.targetDeadline = now.Add(route.TargetLatency)
	var homes []string
	if team != nil {
		homes = team.HomeRegions
	}
	r.placement = placer.Request{TargetLatency: route.TargetLatency, Timeout: r.deadline.Sub(now), NonIdempotent: !route.Idempotent}
	if route.Sticky {
		r.placement.Object = q.Object
	}
	r.placement.Regions, r.placement.Restricted = router.AllowedRegions(route.HomeRegions, homes)
	return r
}

// explainService returns where a request goes if it is for a service.
func (m *Model) explainService(now time.Time, r *request, part router.WeightedService) ServiceExplanation {
	s := ServiceExplanation{Service: part.Service, Weight: part.Weight}
	r.placement.Service = part.Service
	candidates := m.balancer.Candidates(now, r.placement)
	if len(candidates) == 0 {
		s.Unavailable = m.balancer.Unavailable(now, r.placement).String()
		return s
	}
	best := candidates[0].Choice
	ofRoute, ofService := m.routeLatency.copyOf(r.route.Name), m.serviceLatency.copyOf(part.Service)
	estimate := ofRoute.estimate(now, best.ExpectedLatency, best.QueueTime, &ofService)
	s.Admitted = !admitter.Decide(
		admitter.Load{ExpectedLatency: estimate, QueueTime: best.QueueTime, QueueSlack: best.QueueSlack},
		admitter.Request{TargetLeft: r.targetDeadline.Sub(now), TimeLeft: r.deadline.Sub(now), CallerTimeLeft: r.callerDeadline.Sub(now)},
		&admitter.Credit{}, 0).Refuse
	for _, c := range candidates[:min(len(candidates), maxExplained)] {
		s.Candidates = append(s.Candidates, CandidateExplanation{
			Endpoint: c.Choice.ID, Region: c.Choice.Region, Zone: c.Zone, ExpectedMs: c.Choice.ExpectedLatency.Milliseconds(),
			QueueMs: c.Choice.QueueTime.Milliseconds(), DialMs: c.Choice.DialTime.Milliseconds(), Warm: c.Choice.ObjectWarm,
			InFlight: c.Choice.AttemptsInFlight, Slots: c.Choice.Slots, Total: c.Cost.Total(), Cost: c.Cost,
		})
	}
	return s
}

// oldestHeartbeat returns the age of the oldest heartbeat of a live instance of this region, or 0
// if there is no other one.
func (m *Model) oldestHeartbeat(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range m.peers {
		if !p.silent && p.lastHeartbeat.Region == m.region && !p.lastHeartbeatAt.IsZero() {
			oldest = max(oldest, now.Sub(p.lastHeartbeatAt))
		}
	}
	return oldest
}
