package decider

import (
	"math"
	"time"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

const (
	// tokenWait is the longest time for which a request waits for a loan.
	tokenWait = 400 * time.Millisecond
	// planVersionBits leaves room for a configuration's expired exceptions in
	// the version of a plan.
	planVersionBits = 10
)

// limits is this instance's part of the fleet-wide limits.
type limits struct {
	ledger *allocator.Ledger
	// waiting holds each team's requests that wait for a loan, oldest first.
	waiting map[string][]tokenWaiter
	count   int
}

// tokenWaiter is a request that waits for a token until a time.
type tokenWaiter struct {
	request *request
	until   time.Time
}

// linkHold is a reservation of bytes on a link between two regions.
type linkHold struct{ hold allocator.Hold }

// slotHold is a slot of another region that a request occupies.
type slotHold struct{ hold allocator.Hold }

// LedgerMessage brings one message of the fleet-wide ledger: exactly one
// field is set.
type LedgerMessage struct {
	LoanAsked            *allocator.LoanAsked            `json:"loanAsked,omitempty"`
	LoanAnswered         *allocator.LoanAnswered         `json:"loanAnswered,omitempty"`
	SeatsListed          *allocator.SeatsListed          `json:"seatsListed,omitempty"`
	SeatWritten          *allocator.SeatWritten          `json:"seatWritten,omitempty"`
	RosterWritten        *allocator.RosterWritten        `json:"rosterWritten,omitempty"`
	AcknowledgementAsked *allocator.AcknowledgementAsked `json:"acknowledgementAsked,omitempty"`
	AcknowledgementGiven *allocator.AcknowledgementGiven `json:"acknowledgementGiven,omitempty"`
	VouchAsked           *allocator.VouchAsked           `json:"wordAsked,omitempty"`
	VouchGiven           *allocator.VouchGiven           `json:"wordGiven,omitempty"`
	MembersChanged       *allocator.MembersChanged       `json:"membersChanged,omitempty"`
}

func (LedgerMessage) isMsg() {}

// message returns the field that is set, or nil.
func (r LedgerMessage) message() allocator.Msg {
	switch {
	case r.LoanAsked != nil:
		return *r.LoanAsked
	case r.LoanAnswered != nil:
		return *r.LoanAnswered
	case r.SeatsListed != nil:
		return *r.SeatsListed
	case r.SeatWritten != nil:
		return *r.SeatWritten
	case r.RosterWritten != nil:
		return *r.RosterWritten
	case r.AcknowledgementAsked != nil:
		return *r.AcknowledgementAsked
	case r.AcknowledgementGiven != nil:
		return *r.AcknowledgementGiven
	case r.VouchAsked != nil:
		return *r.VouchAsked
	case r.VouchGiven != nil:
		return *r.VouchGiven
	case r.MembersChanged != nil:
		return *r.MembersChanged
	}
	return nil
}

// LedgerCommand is a command of the fleet-wide ledger.
type LedgerCommand struct{ Command allocator.Cmd }

func (LedgerCommand) isCmd() {}

// WithIncarnation makes the instance one of a fleet that shares limits. The
// number orders the starts of the instance. Without this option the model is
// the whole fleet and has all limits to itself.
func WithIncarnation(incarnation uint64) Option {
	return func(m *Model) { m.incarnation = incarnation }
}

// startLimits makes the ledger once all options are known.
func (m *Model) startLimits() {
	self := allocator.Peer{Instance: m.self.id, Incarnation: m.incarnation}
	opts := []allocator.Option{
		allocator.WithSelf(self, m.self.region, m.self.failureDomain),
		allocator.WithSeed(m.rng.Uint64()),
	}
	if m.incarnation == 0 {
		opts = append(opts, allocator.WithoutStore())
	}
	m.limits = limits{ledger: allocator.New(opts...), waiting: map[string][]tokenWaiter{}}
}

func teamResource(team string) allocator.Resource {
	return allocator.Resource{Kind: allocator.TeamRate, Name: team}
}

func linkResource(from, to string) allocator.Resource {
	return allocator.Resource{Kind: allocator.LinkBytes, Name: from + ">" + to}
}

func slotResource(region string) allocator.Resource {
	return allocator.Resource{Kind: allocator.RegionSlots, Name: region}
}

// configureLimits gives the ledger the limits that are in force.
func (m *Model) configureLimits(now time.Time) []Cmd {
	c := m.config
	var capacities []allocator.Capacity
	for _, t := range c.Teams() {
		capacities = append(capacities, allocator.Capacity{Resource: teamResource(t.Name), Rate: t.RatePerSecond, Burst: t.Burst})
	}
	for _, l := range c.Links() {
		capacities = append(capacities, allocator.Capacity{
			Resource: linkResource(l.From, l.To), Rate: float64(l.CapBytesPerSecond), Burst: float64(l.BurstBytes),
		})
	}
	var domains []allocator.Domain
	for _, r := range c.Regions() {
		if r.SlotsForOthers > 0 {
			capacities = append(capacities, allocator.Capacity{Resource: slotResource(r.Name), Burst: float64(r.SlotsForOthers)})
		}
		for _, d := range r.FailureDomains {
			domains = append(domains, allocator.Domain{Name: d, Region: r.Name})
		}
	}
	version := c.Version()<<planVersionBits + expired(c, now)
	return m.ledger(now, allocator.PlanChanged{Plan: allocator.NewPlan(version, domains, capacities)})
}

// expired counts the exceptions whose time is over.
func expired(c *configurer.Config, now time.Time) int64 {
	count := int64(0)
	for _, e := range c.Document().Exceptions {
		if e.Expires != nil && !now.Before(*e.Expires) {
			count++
		}
	}
	return count
}

// ledgerReported gives the ledger a message and serves requests that waited.
func (m *Model) ledgerReported(now time.Time, msg LedgerMessage) []Cmd {
	inner := msg.message()
	if inner == nil {
		return nil
	}
	cmds := m.ledger(now, inner)
	return append(cmds, m.serveWaiting(now)...)
}

func (m *Model) ledger(now time.Time, msg allocator.Msg) []Cmd {
	return ledgerCalls(m.limits.ledger.Update(now, msg))
}

func ledgerCalls(calls []allocator.Cmd) []Cmd {
	cmds := make([]Cmd, 0, len(calls))
	for _, c := range calls {
		cmds = append(cmds, LedgerCommand{Command: c})
	}
	return cmds
}

// limit spends a token for a request and admits it. Without a token the
// request waits a little for a loan, or is refused.
func (m *Model) limit(now time.Time, r *request) []Cmd {
	resource := teamResource(r.team)
	m.limits.ledger.AddDemand(resource, 1)
	if len(m.limits.waiting[r.team]) == 0 {
		if _, ok := m.limits.ledger.TakeUncounted(now, resource, 1); ok {
			m.requests[r.id] = r
			return m.admit(now, r)
		}
	}
	if m.incarnation == 0 || !m.mayWait(r.team) {
		return []Cmd{m.refusal(now, r, coder.TeamOverRate, coder.NotRun, m.tokenAfter(r.team))}
	}
	until := now.Add(tokenWait)
	if r.deadline.Before(until) {
		until = r.deadline
	}
	m.limits.waiting[r.team] = append(m.limits.waiting[r.team], tokenWaiter{request: r, until: until})
	m.limits.count++
	m.tellMissing(r.team)
	return ledgerCalls(m.limits.ledger.RequestLoans(now))
}

// spendRetry spends a token for another attempt of a request.
func (m *Model) spendRetry(now time.Time, r *request) bool {
	_, ok := m.limits.ledger.Take(now, teamResource(r.team), 1)
	return ok
}

// mayWait reports whether a loan could still come in time: not if the team's
// demand here alone is above its rate, or if too many wait.
func (m *Model) mayWait(team string) bool {
	t, _ := m.config.Team(team)
	waiting := float64(len(m.limits.waiting[team]))
	return waiting < math.Max(1, t.Burst) && m.limits.ledger.Demand(teamResource(team)) <= t.RatePerSecond*overDemand
}

// overDemand is the factor above a team's rate from which its requests no
// longer wait: measured demand varies around the true one.
const overDemand = 1.25

// tokenAfter is the time after which the team's rate brings another token.
func (m *Model) tokenAfter(team string) time.Duration {
	t, _ := m.config.Team(team)
	return time.Duration(float64(time.Second) / t.RatePerSecond)
}

func (m *Model) tellMissing(team string) {
	m.limits.ledger.SetWaiting(teamResource(team), float64(len(m.limits.waiting[team])))
}

// serveWaiting admits waiting requests while there are tokens and refuses
// those that waited too long.
func (m *Model) serveWaiting(now time.Time) []Cmd {
	if m.limits.count == 0 {
		return nil
	}
	var cmds []Cmd
	for _, t := range m.config.Teams() {
		for len(m.limits.waiting[t.Name]) > 0 {
			next, done := m.serveFirst(now, t.Name)
			if !done {
				break
			}
			cmds = append(cmds, next...)
		}
		m.tellMissing(t.Name)
	}
	return cmds
}

// serveFirst ends the wait of a team's oldest request if it can.
func (m *Model) serveFirst(now time.Time, team string) ([]Cmd, bool) {
	first := m.limits.waiting[team][0]
	if _, ok := m.keys.TeamAt(first.request.key, now); !ok {
		m.endWait(team, 0)
		return []Cmd{m.refusal(now, first.request, coder.KeyUnknown, coder.NotRun, 0)}, true
	}
	if !now.Before(first.until) {
		m.endWait(team, 0)
		return []Cmd{m.refusal(now, first.request, coder.TeamOverRate, coder.NotRun, m.tokenAfter(team))}, true
	}
	if _, ok := m.limits.ledger.TakeUncounted(now, teamResource(team), 1); !ok {
		return nil, false
	}
	m.endWait(team, 0)
	m.requests[first.request.id] = first.request
	return m.admit(now, first.request), true
}

func (m *Model) endWait(team string, i int) {
	waiting := m.limits.waiting[team]
	m.limits.waiting[team] = append(waiting[:i:i], waiting[i+1:]...)
	m.limits.count--
}

// leaveWait ends the wait of a request whose caller has gone.
func (m *Model) leaveWait(now time.Time, id uint64) []Cmd {
	if m.limits.count == 0 || m.config == nil {
		return nil
	}
	for _, t := range m.config.Teams() {
		for i, w := range m.limits.waiting[t.Name] {
			if w.request.id == id {
				m.endWait(t.Name, i)
				return []Cmd{m.refusal(now, w.request, coder.CallerGone, coder.NotRun, 0)}
			}
		}
	}
	return nil
}

// tickLimits lets the ledger do what is due.
func (m *Model) tickLimits(now time.Time) []Cmd {
	cmds := m.ledger(now, allocator.Ticked{})
	return append(cmds, m.serveWaiting(now)...)
}

// takeLink reserves bytes on the link from one region to another. It reports
// false if the link's cap leaves no room now.
func (m *Model) takeLink(now time.Time, from, to string, bytes int64) (linkHold, bool) {
	hold, ok := m.limits.ledger.Take(now, linkResource(from, to), float64(bytes))
	return linkHold{hold: hold}, ok
}

// settleLink replaces a reservation by the bytes that were carried.
func (m *Model) settleLink(now time.Time, hold linkHold, actual int64) {
	m.limits.ledger.Settle(now, hold.hold, float64(actual))
}

// takeSlot occupies one of the slots that a region offers to others, until a
// deadline at the latest. It reports false if none is free.
func (m *Model) takeSlot(now time.Time, region string, until time.Time) (slotHold, bool) {
	hold, ok := m.limits.ledger.TakeSlot(now, slotResource(region), until)
	return slotHold{hold: hold}, ok
}

// freeSlot gives an occupied slot back.
func (m *Model) freeSlot(now time.Time, hold slotHold) {
	m.limits.ledger.FreeSlot(now, hold.hold)
}
