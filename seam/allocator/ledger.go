// Package allocator shares out capacities that all instances together may not
// exceed: a team's rate and burst, a link's bytes each way and a region's
// slots for traffic from elsewhere.
//
// Every failure domain has one seat. A seat owns an equal part of each
// capacity and is held by one instance under a lease in the store. Holders
// lend parts of what they hold to instances that are short; tokens travel as
// amounts. docs/LIMITS.md states what holds and why.
//
// # Usage
//
//	l := allocator.New(allocator.WithSelf(peer, region, domain), allocator.WithSeed(1))
//	cmds := l.Update(now, allocator.PlanChanged{Plan: plan})
//	hold, ok := l.Take(now, allocator.Resource{Kind: allocator.TeamRate, Name: "clerks"}, 1)
//	l.Settle(now, hold, 1)
//
// A [Ledger] is a pure state machine: the owner feeds it messages and the
// time, carries out its commands and returns their answers as messages.
package allocator

import (
	"math/rand/v2"
	"time"
)

// Times of the protocol. Instances compare durations of their own clocks only;
// driftPart is how much faster one clock may run than another.
const (
	// loanTerm is how long a loan lasts.
	loanTerm = 1500 * time.Millisecond
	// slotTerm is how long a loan of slots lasts. A request in a borrowed slot
	// ends within it.
	slotTerm = 10 * time.Second
	// leaseTerm is how long a holder spends after it sent its last renewal.
	leaseTerm = 3 * time.Second
	// guard is added to a lease by whoever takes the seat over. It outlives a
	// loan that was granted at the end of the lease.
	guard = 1750 * time.Millisecond
	// slotGuard is how long a new holder leaves the seat's slots alone.
	slotGuard = slotTerm + slotTerm/driftPart
	// renewEvery is the time between two renewals.
	renewEvery = 750 * time.Millisecond
	// listEvery is the least time between two listings of the store.
	listEvery = time.Second
	// listsPerSecond bounds the listings of the whole fleet.
	listsPerSecond = 200
	// driftPart is the divisor of a term that covers clocks of unequal speed.
	driftPart = 50
)

// Ledger is one instance's part of the fleet's limits. It is not safe for
// concurrent use.
type Ledger struct {
	self   Peer
	region string
	domain string
	rng    *rand.Rand
	plants plants

	// plans are the newest plan and older ones that some holder still follows.
	plans         []*Plan
	planConfirmed bool
	// near is the order of the seats for the plan nearFor.
	near        []string
	nearFor     *Plan
	members     []Member
	memberSince map[string]time.Time

	store   storeView
	held    map[string]*heldSeat
	writes  map[string]*write
	lenders map[string]*lender
	demands map[Resource]*demand
	outage  outage
	stop    bool
	// alone means that this instance is the whole fleet.
	alone bool
	// sequence numbers the calls that expect an answer.
	sequence uint64
}

// plants are faults that tests plant to see that checks find them.
type plants struct {
	termFromReceipt   bool
	mintAtTakeover    bool
	claimWithoutGuard bool
	ignoreRosters     bool
}

// Option changes a ledger at its creation.
type Option func(*Ledger)

// WithSelf sets who and where the instance is.
func WithSelf(p Peer, region, domain string) Option {
	return func(l *Ledger) { l.self, l.region, l.domain = p, region, domain }
}

// WithSeed seeds the ledger's random choices.
func WithSeed(seed uint64) Option {
	return func(l *Ledger) { l.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithoutStore makes the instance the whole fleet: it holds every seat, needs
// no store and starts with full buckets.
func WithoutStore() Option {
	return func(l *Ledger) { l.alone = true }
}

// New returns a ledger that holds nothing.
func New(opts ...Option) *Ledger {
	l := &Ledger{
		rng:         rand.New(rand.NewPCG(1, 1)),
		store:       storeView{seats: map[string]*seenSeat{}},
		held:        map[string]*heldSeat{},
		writes:      map[string]*write{},
		lenders:     map[string]*lender{},
		demands:     map[Resource]*demand{},
		memberSince: map[string]time.Time{},
		outage:      outage{words: map[Peer]time.Time{}, acks: map[Peer]time.Time{}},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Update takes one message at the time now and returns what is to be done.
func (l *Ledger) Update(now time.Time, msg Msg) []Cmd {
	cmds := l.update(now, msg)
	l.refresh(now)
	return cmds
}

func (l *Ledger) update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case LoanAsked:
		return []Cmd{AnswerLoan{To: msg.From, Answer: l.loanAsked(now, msg)}}
	case LoanAnswered:
		return l.loanAnswered(now, msg)
	case SeatsListed:
		return l.seatsListed(now, msg)
	case SeatWritten:
		return l.seatWritten(now, msg)
	case RosterWritten:
		return l.rosterWritten(now, msg)
	case AcknowledgementAsked:
		return l.acknowledgementAsked(now, msg)
	case AcknowledgementGiven:
		return l.acknowledgementGiven(now, msg)
	case VouchAsked:
		return []Cmd{AnswerVouch{To: msg.From, Answer: l.wordAsked(now, msg)}}
	case VouchGiven:
		l.wordGiven(msg)
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
		l.stop = true
		return nil
	}
	return nil
}

// tick does what is due.
func (l *Ledger) tick(now time.Time) []Cmd {
	if len(l.plans) == 0 || l.alone {
		return nil
	}
	for _, d := range l.demands {
		d.tick(now)
	}
	var cmds []Cmd
	cmds = append(cmds, l.list(now)...)
	cmds = append(cmds, l.renew(now)...)
	cmds = append(cmds, l.claim(now)...)
	cmds = append(cmds, l.changeRoster(now)...)
	cmds = append(cmds, l.askWords(now)...)
	return append(cmds, l.askLoans(now)...)
}

// Seats returns the number of seats that this instance holds.
func (l *Ledger) Seats() int { return len(l.held) }

// plan returns the newest plan.
func (l *Ledger) plan() *Plan { return l.plans[len(l.plans)-1] }

// planChanged keeps older plans until every holder follows the new one. Until
// then a seat has the least of its shares.
func (l *Ledger) planChanged(now time.Time, p *Plan) {
	if len(l.plans) > 0 && p.version <= l.plan().version {
		return
	}
	if len(l.plans) > 0 && !l.planConfirmed {
		// Shares under a plan that was never confirmed were never spent.
		l.plans = l.plans[:len(l.plans)-1]
	}
	if len(l.plans) == 0 {
		l.planConfirmed = false
	}
	l.plans = append(l.plans, p)
	if l.alone {
		l.holdAll(now)
		return
	}
	l.resize(now)
}

// forGood outlives any process.
const forGood = 100 * 365 * 24 * time.Hour

// holdAll holds every seat for good; new buckets are full.
func (l *Ledger) holdAll(now time.Time) {
	l.plans = l.plans[len(l.plans)-1:]
	l.planConfirmed = true
	known := map[Resource]bool{}
	for _, h := range l.held {
		for r := range h.accounts {
			known[r] = true
		}
	}
	for _, name := range l.plan().seats {
		if _, ok := l.held[name]; !ok {
			l.take(now, Seat{Name: name, Record: Record{Holder: l.self, Epoch: 1}}, false)
			l.held[name].until = now.Add(forGood)
		}
	}
	l.resize(now)
	for _, h := range l.held {
		for r, a := range h.accounts {
			if !known[r] {
				a.tokens = a.burst
			}
		}
	}
}

// confirmPlans drops older plans once every seat's record shows the newest.
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

// resize applies the shares to the accounts of all held seats.
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

// share returns the least of a seat's shares under the plans in use.
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

// membersChanged keeps the time since which each instance has been known.
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
