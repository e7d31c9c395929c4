package allocator

import (
	"math"
	"slices"
	"time"
)

const (
	// loanRequestTimeout is how long an unanswered loan request prevents the next
	// request to the same holder.
	loanRequestTimeout = 400 * time.Millisecond
	// shortRetryDelay is the wait before the next request to a holder that refused one.
	// It is also the first delay of the backoff after short answers. An answer is short
	// if every grant in it is much smaller than requested, as applyGrant defines, or if
	// it contains no grant.
	shortRetryDelay = 100 * time.Millisecond
	// minRequestInterval is the least time between two requests to one holder.
	minRequestInterval = 15 * time.Millisecond
	// maxDelayDoublings is the maximum number of doublings of the backoff. The backoff
	// doubles with every second consecutive short answer.
	maxDelayDoublings = 3
	// prefetch is the time for which borrowed tokens should cover the demand.
	prefetch = 250 * time.Millisecond
	// headroom is the factor by which measured demand and missing tokens are
	// multiplied, so that a little more is borrowed or kept than is needed now.
	headroom = 1.1
	// resizeThreshold is the relative difference between the rate needed and the loan's
	// rate above which a changed loan is requested before a renewal is due. The
	// difference is relative to the larger of the two rates.
	resizeThreshold = 0.25
	// shortGrantPeriod starts when a holder grants less than 7/8 of the requested rate.
	// During this period, the need for a higher rate alone doesn't cause another
	// request to the holder.
	shortGrantPeriod = 250 * time.Millisecond
	// minLoanRate is the least rate, in tokens a second, that is requested.
	// Measured demand below half of it counts as none.
	minLoanRate = 0.05
)

// borrowedLoan is the state that a borrower keeps for a loan of one resource: the
// bucket from which it may spend until the loan ends by its own clock.
type borrowedLoan struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
	end        time.Time
	// inUse is the number of borrowed slots that are occupied.
	inUse float64
	// shortUntil is the end of the last shortGrantPeriod. Until then, the need for a
	// higher rate alone doesn't cause another request.
	shortUntil time.Time
	// id differs between this loan and earlier, expired loans of the same resource.
	// Unused tokens of a hold are returned only to the loan that they were taken from.
	id uint64
}

// refill adds the tokens accrued since the last call. If the loan has expired, refill
// sets its rate, burst and tokens to zero.
func (b *borrowedLoan) refill(now time.Time) {
	if !now.Before(b.end) {
		b.rate, b.burst, b.tokens = 0, 0, 0
		return
	}
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.lastRefill = now
		b.tokens = math.Min(b.burst, b.tokens+b.rate*elapsed.Seconds())
	}
}

// lender is a borrower's state about the holder of one seat at one epoch: the last loan
// request and the loans received. It is replaced when the seat gets a new holder.
type lender struct {
	epoch    int64
	holder   string
	sequence uint64
	sent     time.Time
	inFlight bool
	// shortAnswers counts consecutive short answers. A refusal doesn't change it.
	shortAnswers int
	notBefore    time.Time
	requested    []LoanItem
	loans        map[Resource]*borrowedLoan
}

// loanRequested returns the holder's answer to a loan request. The request is refused if
// this instance can't spend from the seat at that epoch, if the seat is being released,
// or if the same borrower has already sent a request with this sequence number or a
// higher one.
func (l *Ledger) loanRequested(now time.Time, msg LoanRequested) LoanAnswered {
	answer := LoanAnswered{Sequence: msg.Sequence, Seat: msg.Seat, Epoch: msg.Epoch}
	h, ok := l.held[msg.Seat]
	if !ok || h.record.Epoch != msg.Epoch || !now.Before(h.usableUntil) || !h.closingSince.IsZero() ||
		msg.Sequence <= h.sequences[msg.From] {
		answer.Refused = true
		return answer
	}
	h.sequences[msg.From] = msg.Sequence
	for _, item := range msg.Items {
		a := h.account(item.Resource, now)
		if a.isSlots && now.Before(h.slotsUsableFrom()) {
			continue
		}
		term := loanTerm
		if a.isSlots {
			term = slotTerm
		}
		end := now.Add(term + term/driftDivisor)
		answer.Grants = append(answer.Grants, a.lend(now, end, msg.From, item, l.ownDemand(item.Resource)))
	}
	return answer
}

// ownDemand returns this instance's demand for a resource in tokens a second,
// multiplied by headroom and divided by the number of seats that it holds.
func (l *Ledger) ownDemand(r Resource) float64 {
	return l.demand(r).rate * headroom / float64(max(1, len(l.held)))
}

// slotsUsableFrom returns the time at which all requests that occupy slots of the
// previous holder have ended. For the first holder of a seat, that is the time of its
// claim.
func (h *heldSeat) slotsUsableFrom() time.Time {
	if h.record.Epoch <= 1 {
		return h.claimedAt
	}
	return h.claimedAt.Add(slotGuard)
}

// loanAnswered applies the grants of a holder's answer and sets when the next request
// may be sent to the holder. Consecutive short answers lengthen the wait.
func (l *Ledger) loanAnswered(now time.Time, msg LoanAnswered) []Cmd {
	n, ok := l.lenders[msg.Seat]
	if !ok || !n.inFlight || n.sequence != msg.Sequence || n.epoch != msg.Epoch {
		return nil
	}
	n.inFlight = false
	if msg.Refused {
		n.notBefore = now.Add(shortRetryDelay)
		return nil
	}
	short := true
	for _, g := range msg.Grants {
		short = l.applyGrant(now, n, g) && short
	}
	n.shortAnswers++
	if !short {
		n.shortAnswers = 0
	}
	n.notBefore = now.Add(minRequestInterval)
	if n.shortAnswers > 0 {
		n.notBefore = now.Add(shortRetryDelay << min(n.shortAnswers/2, maxDelayDoublings))
	}
	return nil
}

// applyGrant replaces the loan of a resource by a grant. It reports whether the grant
// is short: a rate below 7/8 of the requested rate, or fewer than half of the requested
// tokens. The term of the loan counts from the sending of the request, so that the loan
// expires at the borrower before it expires at the holder.
func (l *Ledger) applyGrant(now time.Time, n *lender, g Grant) bool {
	b, ok := n.loans[g.Resource]
	if !ok || !now.Before(b.end) {
		l.sequence++
		b = &borrowedLoan{id: l.sequence}
		n.loans[g.Resource] = b
	}
	b.refill(now)
	term, start := loanTerm, n.sent
	if g.Resource.Kind == RegionSlots {
		term = slotTerm
	}
	if l.injectedFaults.termFromReceipt {
		start = now
	}
	b.rate, b.burst, b.end, b.lastRefill = g.Rate, g.Burst, start.Add(term), now
	b.tokens = math.Min(b.burst-b.inUse, b.tokens+g.Tokens)
	if !now.Before(b.end) {
		b.refill(now)
	}
	i := slices.IndexFunc(n.requested, func(item LoanItem) bool { return item.Resource == g.Resource })
	if i < 0 {
		return false
	}
	requested := n.requested[i]
	short := g.Rate < requested.WantRate*(1-resizeThreshold/2) || g.Tokens < requested.WantTokens/2
	if g.Rate < requested.WantRate*(1-resizeThreshold/2) {
		b.shortUntil = now.Add(shortGrantPeriod)
	}
	return short
}

// RequestLoans returns the commands that send the loan requests that are due now. The
// owner of the ledger calls it between ticks, when a request starts to wait for tokens.
func (l *Ledger) RequestLoans(now time.Time) []Cmd {
	if len(l.plans) == 0 || l.standalone {
		return nil
	}
	return l.requestLoans(now)
}

// requestLoans returns the commands that request loans from the holders of other seats.
// Loans are requested ahead of demand, before the available tokens are used up.
func (l *Ledger) requestLoans(now time.Time) []Cmd {
	needs := l.needs(now)
	var cmds []Cmd
	for _, name := range l.plan().seats {
		n := l.lender(name)
		if n == nil {
			continue
		}
		if n.inFlight && now.Sub(n.sent) < loanRequestTimeout || now.Before(n.notBefore) {
			continue
		}
		items, due := l.items(now, n, needs[name])
		if !due || len(items) == 0 {
			continue
		}
		l.sequence++
		n.sequence, n.sent, n.inFlight, n.requested = l.sequence, now, true, items
		n.notBefore = now.Add(minRequestInterval)
		request := LoanRequested{From: l.self, Sequence: n.sequence, Seat: name, Epoch: n.epoch, Items: items}
		cmds = append(cmds, RequestLoan{To: n.holder, Request: request})
	}
	return cmds
}

// lender returns the state about a seat's holder, from whom this instance can borrow.
// It returns nil if this instance holds the seat, if the seat has no holder, or if its
// record hasn't been read yet.
func (l *Ledger) lender(seat string) *lender {
	seen, ok := l.store.seats[seat]
	_, heldHere := l.held[seat]
	if !ok || heldHere || seen.Record.Holder.Instance == "" || seen.Record.Holder.Instance == l.self.Instance {
		return nil
	}
	n, ok := l.lenders[seat]
	if !ok || n.epoch != seen.Record.Epoch {
		n = &lender{epoch: seen.Record.Epoch, holder: seen.Record.Holder.Instance, loans: map[Resource]*borrowedLoan{}}
		l.lenders[seat] = n
	}
	return n
}
