package decider

import (
	"math"
	"time"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

const (
	// maxTokenWait is the longest time that a request waits for a rate token, while this
	// instance tries to borrow one from another instance.
	maxTokenWait = 400 * time.Millisecond
	// expiredExceptionBits is the number of low bits in the version of an
	// allocator.Plan that hold the count of expired configuration exceptions. The count
	// is part of the version because each expiry changes the limits without changing
	// the version of the configuration.
	expiredExceptionBits = 10
)

// limits applies the fleet-wide limits at this instance: the rates of teams, the
// bandwidth of links between regions, and the slots that regions offer to other regions.
type limits struct {
	ledger *allocator.Ledger
	// waiters holds the requests that wait for a rate token, by team, oldest first.
	waiters map[string][]tokenWaiter
	// waiterCount is the number of requests in waiters, over all teams.
	waiterCount int
}

// tokenWaiter is a request that waits for a rate token, and the time at which the
// request stops waiting and is refused.
type tokenWaiter struct {
	request *request
	until   time.Time
}

// linkReservation is a reservation of bytes on a link between two regions.
type linkReservation struct{ hold allocator.Hold }

// slotReservation is a slot in another region that is occupied for a request.
type slotReservation struct{ hold allocator.Hold }

// LedgerMessage carries one message to the ledger of package allocator, which keeps the
// fleet-wide limits. Exactly one field is set.
type LedgerMessage struct {
	LoanRequested            *allocator.LoanRequested            `json:"loanAsked,omitempty"`
	LoanAnswered             *allocator.LoanAnswered             `json:"loanAnswered,omitempty"`
	SeatsListed              *allocator.SeatsListed              `json:"seatsListed,omitempty"`
	SeatWritten              *allocator.SeatWritten              `json:"seatWritten,omitempty"`
	RosterWritten            *allocator.RosterWritten            `json:"rosterWritten,omitempty"`
	AcknowledgementRequested *allocator.AcknowledgementRequested `json:"acknowledgementAsked,omitempty"`
	AcknowledgementAnswered  *allocator.AcknowledgementAnswered  `json:"acknowledgementGiven,omitempty"`
	VouchRequested           *allocator.VouchRequested           `json:"wordAsked,omitempty"`
	VouchAnswered            *allocator.VouchAnswered            `json:"wordGiven,omitempty"`
	MembersChanged           *allocator.MembersChanged           `json:"membersChanged,omitempty"`
}

func (LedgerMessage) isMsg() {}

// message returns the message in the field that is set, or nil if no field is set.
func (r LedgerMessage) message() allocator.Msg {
	switch {
	case r.LoanRequested != nil:
		return *r.LoanRequested
	case r.LoanAnswered != nil:
		return *r.LoanAnswered
	case r.SeatsListed != nil:
		return *r.SeatsListed
	case r.SeatWritten != nil:
		return *r.SeatWritten
	case r.RosterWritten != nil:
		return *r.RosterWritten
	case r.AcknowledgementRequested != nil:
		return *r.AcknowledgementRequested
	case r.AcknowledgementAnswered != nil:
		return *r.AcknowledgementAnswered
	case r.VouchRequested != nil:
		return *r.VouchRequested
	case r.VouchAnswered != nil:
		return *r.VouchAnswered
	case r.MembersChanged != nil:
		return *r.MembersChanged
	}
	return nil
}

// LedgerCommand carries one command that the ledger of package allocator returned. The
// owner of the model carries it out.
type LedgerCommand struct{ Command allocator.Cmd }

func (LedgerCommand) isCmd() {}

// WithIncarnation makes the instance share the limits with the rest of its fleet. The
// incarnation must grow with each start of the instance. Without this option, or with
// incarnation 0, the instance has all limits to itself.
func WithIncarnation(incarnation uint64) Option {
	return func(m *Model) { m.incarnation = incarnation }
}

// initLimits creates the ledger. It must run after all options have been applied.
func (m *Model) initLimits() {
	self := allocator.Peer{Instance: m.self.id, Incarnation: m.incarnation}
	opts := []allocator.Option{
		allocator.WithSelf(self, m.self.region, m.self.failureDomain),
		allocator.WithSeed(m.rng.Uint64()),
	}
	if m.incarnation == 0 {
		opts = append(opts, allocator.WithoutStore())
	}
	m.limits = limits{ledger: allocator.New(opts...), waiters: map[string][]tokenWaiter{}}
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

// configureLimits passes the limits of the configuration in force to the ledger and
// returns the ledger's commands.
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
	version := c.Version()<<expiredExceptionBits + expiredExceptions(c, now)
	return m.updateLedger(now, allocator.PlanChanged{Plan: allocator.NewPlan(version, domains, capacities)})
}

// expiredExceptions returns the number of a configuration's exceptions that have expired
// by now.
func expiredExceptions(c *configurer.Config, now time.Time) int64 {
	count := int64(0)
	for _, e := range c.Document().Exceptions {
		if e.Expires != nil && !now.Before(*e.Expires) {
			count++
		}
	}
	return count
}

// ledgerMessage passes a message to the ledger, then processes the requests that wait
// for rate tokens, because the message may have brought tokens.
func (m *Model) ledgerMessage(now time.Time, msg LedgerMessage) []Cmd {
	inner := msg.message()
	if inner == nil {
		return nil
	}
	cmds := m.updateLedger(now, inner)
	return append(cmds, m.processTokenWaiters(now)...)
}

// updateLedger passes a message to the ledger and returns the ledger's commands.
func (m *Model) updateLedger(now time.Time, msg allocator.Msg) []Cmd {
	return ledgerCommands(m.limits.ledger.Update(now, msg))
}

// ledgerCommands wraps commands of the ledger in LedgerCommand values.
func ledgerCommands(calls []allocator.Cmd) []Cmd {
	cmds := make([]Cmd, 0, len(calls))
	for _, c := range calls {
		cmds = append(cmds, LedgerCommand{Command: c})
	}
	return cmds
}

// applyTeamRate spends a token of the team's rate for a request and admits the request.
// If no token is left, or if requests of the team already wait for tokens, the request
// waits for a token borrowed from another instance. It waits at most maxTokenWait, and at
// most until its deadline. If this instance shares no limits, or if mayWaitForLoan returns
// false, the request is refused without waiting. The request counts once in the team's
// demand, however often it tries to get a token.
func (m *Model) applyTeamRate(now time.Time, r *request) []Cmd {
	resource := teamResource(r.team)
	m.limits.ledger.AddDemand(resource, 1)
	if len(m.limits.waiters[r.team]) == 0 {
		if _, ok := m.limits.ledger.TakeUncounted(now, resource, 1); ok {
			m.requests[r.id] = r
			return m.admit(now, r)
		}
	}
	if m.incarnation == 0 || !m.mayWaitForLoan(r.team) {
		return []Cmd{m.refusal(now, r, coder.TeamOverRate, coder.NotRun, m.nextTokenDelay(r.team))}
	}
	until := now.Add(maxTokenWait)
	if r.deadline.Before(until) {
		until = r.deadline
	}
	m.limits.waiters[r.team] = append(m.limits.waiters[r.team], tokenWaiter{request: r, until: until})
	m.limits.waiterCount++
	m.reportMissingTokens(r.team)
	return ledgerCommands(m.limits.ledger.RequestLoans(now))
}

// spendTeamToken spends a token of the team's rate for a retry or hedge. It returns
// false if there is no token.
func (m *Model) spendTeamToken(now time.Time, r *request) bool {
	_, ok := m.limits.ledger.Take(now, teamResource(r.team), 1)
	return ok
}

// mayWaitForLoan reports whether one more request of a team may wait for a borrowed token.
// It returns false in two cases:
//
//   - The team's demand at this instance alone exceeds maxDemandFactor times the team's
//     rate in the whole fleet.
//   - The number of the team's waiting requests has reached the larger of 1 and the team's
//     burst.
func (m *Model) mayWaitForLoan(team string) bool {
	t, _ := m.config.Team(team)
	waiters := float64(len(m.limits.waiters[team]))
	return waiters < math.Max(1, t.Burst) && m.limits.ledger.Demand(teamResource(team)) <= t.RatePerSecond*maxDemandFactor
}

// maxDemandFactor is the highest ratio of a team's measured demand to its rate at which
// the team's requests may wait for tokens. It is greater than 1 because the measurement
// varies around the true demand.
const maxDemandFactor = 1.25

// nextTokenDelay returns the time between two tokens at a team's rate.
func (m *Model) nextTokenDelay(team string) time.Duration {
	t, _ := m.config.Team(team)
	return time.Duration(float64(time.Second) / t.RatePerSecond)
}

// reportMissingTokens sets, in the ledger, the number of tokens that a team's waiting
// requests need: one for each request.
func (m *Model) reportMissingTokens(team string) {
	m.limits.ledger.SetWaiting(teamResource(team), float64(len(m.limits.waiters[team])))
}

// processTokenWaiters admits the requests that wait for rate tokens while there are
// tokens. It refuses requests that waited too long, or whose key is no longer valid.
func (m *Model) processTokenWaiters(now time.Time) []Cmd {
	if m.limits.waiterCount == 0 {
		return nil
	}
	var cmds []Cmd
	for _, t := range m.config.Teams() {
		for len(m.limits.waiters[t.Name]) > 0 {
			next, done := m.processOldestWaiter(now, t.Name)
			if !done {
				break
			}
			cmds = append(cmds, next...)
		}
		m.reportMissingTokens(t.Name)
	}
	return cmds
}

// processOldestWaiter admits or refuses the request of a team that has waited longest
// for a rate token, and returns the commands for that and true. It returns false if the
// request must continue to wait.
func (m *Model) processOldestWaiter(now time.Time, team string) ([]Cmd, bool) {
	first := m.limits.waiters[team][0]
	if _, ok := m.keys.TeamAt(first.request.key, now); !ok {
		m.removeWaiter(team, 0)
		return []Cmd{m.refusal(now, first.request, coder.KeyUnknown, coder.NotRun, 0)}, true
	}
	if !now.Before(first.until) {
		m.removeWaiter(team, 0)
		return []Cmd{m.refusal(now, first.request, coder.TeamOverRate, coder.NotRun, m.nextTokenDelay(team))}, true
	}
	if _, ok := m.limits.ledger.TakeUncounted(now, teamResource(team), 1); !ok {
		return nil, false
	}
	m.removeWaiter(team, 0)
	m.requests[first.request.id] = first.request
	return m.admit(now, first.request), true
}

// removeWaiter removes the i-th of a team's requests that wait for a rate token.
func (m *Model) removeWaiter(team string, i int) {
	waiters := m.limits.waiters[team]
	m.limits.waiters[team] = append(waiters[:i:i], waiters[i+1:]...)
	m.limits.waiterCount--
}

// cancelWaiter refuses the request with the given ID if the request waits for a rate
// token. It is called after the caller cancelled the request or disconnected.
func (m *Model) cancelWaiter(now time.Time, id uint64) []Cmd {
	if m.limits.waiterCount == 0 || m.config == nil {
		return nil
	}
	for _, t := range m.config.Teams() {
		for i, w := range m.limits.waiters[t.Name] {
			if w.request.id == id {
				m.removeWaiter(t.Name, i)
				return []Cmd{m.refusal(now, w.request, coder.CallerGone, coder.NotRun, 0)}
			}
		}
	}
	return nil
}

// tickLimits runs the ledger's periodic work, then processes the requests that wait for
// rate tokens.
func (m *Model) tickLimits(now time.Time) []Cmd {
	cmds := m.updateLedger(now, allocator.Ticked{})
	return append(cmds, m.processTokenWaiters(now)...)
}

// reserveLinkBytes reserves bytes on the link from one region to another. It returns
// false if the link's bandwidth cap doesn't allow these bytes now.
func (m *Model) reserveLinkBytes(now time.Time, from, to string, bytes int64) (linkReservation, bool) {
	hold, ok := m.limits.ledger.Take(now, linkResource(from, to), float64(bytes))
	return linkReservation{hold: hold}, ok
}

// settleLinkBytes replaces a reservation by the number of bytes that were in fact
// transferred.
func (m *Model) settleLinkBytes(now time.Time, hold linkReservation, actual int64) {
	m.limits.ledger.Settle(now, hold.hold, float64(actual))
}

// takeRemoteSlot occupies one of the slots that a region offers to other regions. The
// slot is free again after freeRemoteSlot, or at the time until if that comes first. It
// returns false if no slot is free.
func (m *Model) takeRemoteSlot(now time.Time, region string, until time.Time) (slotReservation, bool) {
	hold, ok := m.limits.ledger.TakeSlot(now, slotResource(region), until)
	return slotReservation{hold: hold}, ok
}

// freeRemoteSlot releases an occupied slot.
func (m *Model) freeRemoteSlot(now time.Time, hold slotReservation) {
	m.limits.ledger.FreeSlot(now, hold.hold)
}
