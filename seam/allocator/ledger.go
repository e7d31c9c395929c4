// Package allocator distributes fleet-wide limits, which all instances together
// must not exceed: a team's request rate and burst, a link's bytes in each
// direction and a region's slots for requests from other regions.
//
// Limits are token buckets that are divided among seats. Every failure domain has one
// seat. A seat owns a share of each limit, and one instance, its holder, may spend from
// it under a lease in the store. The seat's epoch counts its holders. A loan is an
// amount of rate, burst and tokens that a holder lends for a short term to an instance
// that needs more than it has, the borrower.
//
// While the store can't be reached, a holder may spend from its seats past the lease if
// more than half of the members of the roster, itself included, vouch for it. The
// roster is an object in the store that lists the holders of all seats; these holders
// are its members. A vouch is a member's statement that it can't reach the store either
// and has no newer roster. It is valid for a short term.
//
// A holder that takes over a seat after the lease has expired can't know whether the
// previous holder still spends on vouches. The seat is therefore fenced, that is,
// unusable, until a roster that names the new holder is settled. A roster is settled
// when more than half of the previous roster's members have acknowledged it and all
// vouches and loans given before that have expired. A member that has acknowledged a
// roster no longer vouches for holders that have only an older one.
//
// The fleet daemon seamd uses this package, through package decider. Package replayer
// simulates it.
//
// docs/LIMITS.md states the guarantees and the reasons for them.
//
// # Usage
//
//	l := allocator.New(allocator.WithSelf(peer, region, domain), allocator.WithSeed(1))
//	cmds := l.Update(now, allocator.PlanChanged{Plan: plan})
//	hold, ok := l.Take(now, allocator.Resource{Kind: allocator.TeamRate, Name: "clerks"}, 1)
//	l.Settle(now, hold, 1)
//
// A [Ledger] is a state machine without I/O or clock: the owner passes messages
// and the time to it, carries out the commands that it returns, and passes their
// results back as messages.
package allocator

import (
	"math/rand/v2"
	"time"
)

// Times of the protocol. Instances never compare timestamps of different clocks. They
// exchange durations only, and each instance measures them by its own clock.
const (
	// loanTerm is the term of a loan of rate and tokens.
	loanTerm = 1500 * time.Millisecond
	// slotTerm is the term of a loan of slots. A request that occupies a borrowed
	// slot ends before the term does.
	slotTerm = 10 * time.Second
	// leaseTerm is the term of a lease. It counts from the time at which the holder
	// sent the last renewal that took effect.
	leaseTerm = 3 * time.Second
	// takeoverGuard is how long another instance waits after the end of a lease before
	// it claims the seat. It is longer than loanTerm, so that a loan granted at the end
	// of the lease expires before the claim.
	takeoverGuard = 1750 * time.Millisecond
	// slotGuard is how long a new holder leaves the slots of its seat unused. By then,
	// all requests that occupy slots of the previous holder have ended.
	slotGuard = slotTerm + slotTerm/driftDivisor
	// renewInterval is the time between two renewals of a lease.
	renewInterval = 750 * time.Millisecond
	// listInterval is the least time between two regular listings. A listing reads all
	// seats and the roster from the store. After a write, a listing may be due earlier.
	listInterval = time.Second
	// maxListsPerSecond limits the regular listings of the whole fleet.
	maxListsPerSecond = 200
	// driftDivisor allows for clock drift: whoever waits for the end of a term on
	// another clock adds 1/driftDivisor of the term. With 50, one clock may run 2%
	// faster than another.
	driftDivisor = 50
)

// Ledger is one instance's state of the fleet-wide limits: the seats that it holds, the
// loans that it granted from them and the loans that it borrowed from other holders. It
// is not safe for concurrent use.
type Ledger struct {
	self           Peer
	region         string
	domain         string
	rng            *rand.Rand
	injectedFaults injectedFaults

	// plans are the plans that holders may still follow, the newest last.
	plans []*Plan
	// planConfirmed is set by the first listing in which no seat's record has an older
	// plan than the newest one in plans. Until then, all shares are zero and nothing is
	// spent.
	planConfirmed bool
	// byDistance caches the result of seatsByDistance for byDistancePlan.
	byDistance     []string
	byDistancePlan *Plan
	members        []Member
	// memberSince holds, for each member, the time since which every list of members
	// has contained it.
	memberSince map[string]time.Time

	store       storeView
	held        map[string]*heldSeat
	writes      map[string]*write
	lenders     map[string]*lender
	demands     map[Resource]*demand
	rosterState rosterState
	stopping    bool
	// standalone means that this instance is the whole fleet.
	standalone bool
	// sequence is the last number given out. Requests to the store and to other
	// instances, borrowed loans and renewals are numbered from it.
	sequence uint64
}

// injectedFaults are violations of the protocol. Tests enable them to verify that their
// checks detect them.
type injectedFaults struct {
	termFromReceipt   bool
	fillAtTakeover    bool
	claimWithoutGuard bool
	ignoreRosters     bool
}

// Option configures a [Ledger].
type Option func(*Ledger)

// WithSelf sets the instance's identity, region and failure domain.
func WithSelf(p Peer, region, domain string) Option {
	return func(l *Ledger) { l.self, l.region, l.domain = p, region, domain }
}

// WithSeed seeds the ledger's random choices.
func WithSeed(seed uint64) Option {
	return func(l *Ledger) { l.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithoutStore is for an instance that is the whole fleet. The instance holds every
// seat without a lease, doesn't use the store and starts with full buckets.
func WithoutStore() Option {
	return func(l *Ledger) { l.standalone = true }
}

// New returns a ledger that holds no seats.
func New(opts ...Option) *Ledger {
	l := &Ledger{
		rng:         rand.New(rand.NewPCG(1, 1)),
		store:       storeView{seats: map[string]*seenSeat{}},
		held:        map[string]*heldSeat{},
		writes:      map[string]*write{},
		lenders:     map[string]*lender{},
		demands:     map[Resource]*demand{},
		memberSince: map[string]time.Time{},
		rosterState: rosterState{vouchRequestedAt: map[Peer]time.Time{}, ackedAt: map[Peer]time.Time{}},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Update handles one message at the time now and returns the commands to carry
// out.
func (l *Ledger) Update(now time.Time, msg Msg) []Cmd {
	cmds := l.update(now, msg)
	l.refreshUsableUntil(now)
	return cmds
}

func (l *Ledger) update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case LoanRequested:
		return []Cmd{AnswerLoan{To: msg.From, Answer: l.loanRequested(now, msg)}}
	case LoanAnswered:
		return l.loanAnswered(now, msg)
	case SeatsListed:
		return l.seatsListed(now, msg)
	case SeatWritten:
		return l.seatWritten(now, msg)
	case RosterWritten:
		return l.rosterWritten(now, msg)
	case AcknowledgementRequested:
		return l.acknowledgementRequested(now, msg)
	case AcknowledgementAnswered:
		return l.acknowledgementAnswered(now, msg)
	case VouchRequested:
		return []Cmd{AnswerVouch{To: msg.From, Answer: l.vouchRequested(now, msg)}}
	case VouchAnswered:
		l.vouchAnswered(msg)
		return nil
	case PlanChanged:
		l.planChanged(now, msg.Plan)
		return nil
	case MembersChanged:
		l.membersChanged(now, msg.Members)
		return nil
	case Ticked:
		return l.tick(now)
	case StopRequested:
		l.stopping = true
		return nil
	}
	return nil
}

// tick updates the measured demand and returns the commands that are due: listings,
// writes of seats and of the roster, and requests for vouches and loans.
func (l *Ledger) tick(now time.Time) []Cmd {
	if len(l.plans) == 0 || l.standalone {
		return nil
	}
	for _, d := range l.demands {
		d.tick(now)
	}
	var cmds []Cmd
	cmds = append(cmds, l.listStore(now)...)
	cmds = append(cmds, l.renew(now)...)
	cmds = append(cmds, l.claim(now)...)
	cmds = append(cmds, l.changeRoster(now)...)
	cmds = append(cmds, l.requestVouches(now)...)
	return append(cmds, l.requestLoans(now)...)
}

// Seats returns the number of seats that this instance holds.
func (l *Ledger) Seats() int { return len(l.held) }

// plan returns the newest plan.
func (l *Ledger) plan() *Plan { return l.plans[len(l.plans)-1] }

// planChanged adds a plan if it is newer than all others. Older plans are kept until
// every holder follows the new one. Until then a seat's share is the least of its
// shares under these plans, so that holders of different plans don't exceed a limit
// together.
func (l *Ledger) planChanged(now time.Time, p *Plan) {
	if len(l.plans) > 0 && p.version <= l.plan().version {
		return
	}
	if len(l.plans) > 0 && !l.planConfirmed {
		// The newest plan was never confirmed, so nothing was spent under it.
		l.plans = l.plans[:len(l.plans)-1]
	}
	if len(l.plans) == 0 {
		l.planConfirmed = false
	}
	l.plans = append(l.plans, p)
	if l.standalone {
		l.holdAllSeats(now)
		return
	}
	l.resize(now)
}

// forever is longer than any process runs.
const forever = 100 * 365 * 24 * time.Hour

// holdAllSeats makes a standalone instance the permanent holder of every seat. It fills
// the buckets of resources that no held seat had before.
func (l *Ledger) holdAllSeats(now time.Time) {
	l.plans = l.plans[len(l.plans)-1:]
	l.planConfirmed = true
	existing := map[Resource]bool{}
	for _, h := range l.held {
		for r := range h.accounts {
			existing[r] = true
		}
	}
	for _, name := range l.plan().seats {
		if _, ok := l.held[name]; !ok {
			l.holdSeat(now, Seat{Name: name, Record: Record{Holder: l.self, Epoch: 1}}, false)
			l.held[name].usableUntil = now.Add(forever)
		}
	}
	l.resize(now)
	for _, h := range l.held {
		for r, a := range h.accounts {
			if !existing[r] {
				a.tokens = a.burst
			}
		}
	}
}

// confirmPlans drops the older plans if all listed seat records show the newest plan or
// a later one.
func (l *Ledger) confirmPlans(now time.Time, seats []Seat) {
	if len(l.plans) == 0 {
		return
	}
	for _, s := range seats {
		if s.Record.Plan < l.plan().version {
			return
		}
	}
	l.plans = l.plans[len(l.plans)-1:]
	l.planConfirmed = true
	l.resize(now)
}

// resize sets the accounts of all held seats to the seats' present shares. Accounts of
// resources that the newest plan doesn't contain get a zero share.
func (l *Ledger) resize(now time.Time) {
	for name, h := range l.held {
		for _, c := range l.plan().capacities {
			a := h.account(c.Resource, now)
			a.resize(now, l.share(c.Resource, name))
		}
		for r, a := range h.accounts {
			if _, planned := l.plan().shares[r]; !planned {
				a.resize(now, share{})
			}
		}
	}
}

// share returns the least rate and the least burst that a seat has under any plan in
// use, or a zero share before the first plan is confirmed.
func (l *Ledger) share(r Resource, seat string) share {
	if !l.planConfirmed {
		return share{seat: seat}
	}
	least := l.plan().share(r, seat)
	for _, p := range l.plans {
		s := p.share(r, seat)
		least.rate = min(least.rate, s.rate)
		least.burst = min(least.burst, s.burst)
	}
	return least
}

// membersChanged replaces the list of members. For a member that the previous list
// didn't contain, it records now in memberSince.
func (l *Ledger) membersChanged(now time.Time, members []Member) {
	l.members = members
	since := make(map[string]time.Time, len(members))
	for _, m := range members {
		since[m.Instance] = now
		if t, ok := l.memberSince[m.Instance]; ok {
			since[m.Instance] = t
		}
	}
	l.memberSince = since
}
