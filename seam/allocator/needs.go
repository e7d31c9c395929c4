package allocator

import (
	"math"
	"slices"
	"time"
)

// loanNeed is what this instance needs to borrow of one resource from one seat.
type loanNeed struct {
	resource Resource
	// rate is the whole rate that the loan should have. For slots, it is the number of
	// borrowed slots in use.
	rate float64
	// tokens is the number of tokens or slots needed in addition to the tokens of the
	// present loan.
	tokens float64
}

// needs returns, by seat, what this instance needs to borrow. It divides the demand for
// each resource among the seats, nearest first.
func (l *Ledger) needs(now time.Time) map[string][]loanNeed {
	needs := map[string][]loanNeed{}
	byDistance := l.seatsByDistance()
	for _, c := range l.plan().capacities {
		d := l.demand(c.Resource)
		if c.Rate == 0 {
			l.addSlotNeeds(now, byDistance, c.Resource, d, needs)
			continue
		}
		if d.rate > 0 || d.waiting > 0 {
			l.addRateNeeds(now, byDistance, c, d, needs)
		}
	}
	return needs
}

// addRateNeeds adds what is needed of a resource that has a rate. It goes through the
// seats, nearest first, assigns to each as much of the missing rate as the seat's share
// allows, and leaves the rest to the next seats. From a holder that recently granted
// too little, it expects no more than the rate of the present loan. Seats without a
// holder and seats that this instance holds also get a part of the missing rate,
// although no request is sent for them. Missing tokens are divided evenly among the
// other seats.
func (l *Ledger) addRateNeeds(now time.Time, byDistance []string, c Capacity, d *demand, needs map[string][]loanNeed) {
	ownRate, tokens := l.heldCapacity(now, c.Resource)
	need := math.Max(0, d.rate*headroom-ownRate)
	for _, name := range byDistance {
		if n := l.lender(name); n != nil {
			if b, ok := n.loans[c.Resource]; ok {
				b.refill(now)
				tokens += b.tokens
			}
		}
	}
	goal := d.waiting
	if need > 0 || ownRate == 0 {
		goal += d.rate*prefetch.Seconds() + 1
	}
	missing := math.Max(0, goal-tokens)
	// No tokens are requested while more than half of the goal is available and the
	// waiting requests are covered.
	if tokens > goal/2 && tokens >= d.waiting {
		missing = 0
	}
	remaining := need
	otherSeats := float64(max(1, len(l.plan().shares[c.Resource])-1))
	for _, name := range byDistance {
		s := l.plan().share(c.Resource, name)
		if s.rate == 0 {
			continue
		}
		w := loanNeed{resource: c.Resource, rate: math.Min(remaining, s.rate)}
		expected := w.rate
		if n := l.lender(name); n != nil {
			if b, ok := n.loans[c.Resource]; ok && now.Before(b.shortUntil) {
				expected = math.Min(expected, b.rate)
			}
		}
		remaining = math.Max(0, remaining-expected)
		if missing > 0 {
			w.tokens = missing*headroom/otherSeats + 1
		}
		if w.rate < minLoanRate {
			w.rate = 0
		}
		if w.rate > 0 || w.tokens > 0 {
			needs[name] = append(needs[name], w)
		}
	}
}

// addSlotNeeds adds the slots that waiting requests need and that demand will need
// within the prefetch time. From each seat it requests all missing slots, up to the
// seat's share. A slot is missing if the present loans from this seat and from nearer
// seats don't cover it.
func (l *Ledger) addSlotNeeds(now time.Time, byDistance []string, r Resource, d *demand, needs map[string][]loanNeed) {
	missing := math.Ceil(d.waiting + d.rate*prefetch.Seconds())
	for _, name := range byDistance {
		n := l.lender(name)
		if n == nil {
			continue
		}
		w := loanNeed{resource: r}
		if b, ok := n.loans[r]; ok {
			b.refill(now)
			missing = math.Max(0, missing-b.tokens)
			w.rate = b.inUse
		}
		w.tokens = math.Min(missing, l.plan().share(r, name).burst)
		if w.tokens > 0 || w.rate > 0 {
			needs[name] = append(needs[name], w)
		}
	}
}

// seatsByDistance returns the seats in the order in which to borrow from them:
// own failure domain, own region, then other regions. The order of seats at the
// same distance differs between instances, which spreads the loan requests.
func (l *Ledger) seatsByDistance() []string {
	if l.byDistancePlan == l.plan() {
		return l.byDistance
	}
	names := rank(l.self.Instance, l.plan().seats)
	distance := func(name string) int {
		switch {
		case name == l.domain:
			return 0
		case l.plan().regions[name] == l.region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(names, func(a, b string) int { return distance(a) - distance(b) })
	l.byDistance, l.byDistancePlan = names, l.plan()
	return names
}

// heldCapacity returns what this instance may spend of a resource from the seats that
// it holds: the sum of their rates minus the lent rates, and the sum of their tokens.
func (l *Ledger) heldCapacity(now time.Time, r Resource) (rate, tokens float64) {
	for _, name := range l.heldNames() {
		h := l.held[name]
		a, ok := h.accounts[r]
		if !ok || !now.Before(h.usableUntil) {
			continue
		}
		a.refill(now)
		lent, _, _ := a.lent(Peer{})
		rate += math.Max(0, a.rate-lent)
		tokens += a.tokens
	}
	return rate, tokens
}

// items returns the items of a loan request to a holder, and true if at least one of
// them is due. It returns no items if none is due. If one is due, it also reduces the
// loans to what the items state as held, because the holder may lend the rest to others
// as soon as it receives the request.
func (l *Ledger) items(now time.Time, n *lender, needs []loanNeed) ([]LoanItem, bool) {
	var items []LoanItem
	due := false
	for _, c := range l.plan().capacities {
		w := loanNeed{resource: c.Resource}
		if i := slices.IndexFunc(needs, func(w loanNeed) bool { return w.resource == c.Resource }); i >= 0 {
			w = needs[i]
		}
		b, ok := n.loans[c.Resource]
		if !ok {
			b = &borrowedLoan{}
		}
		b.refill(now)
		if w.rate == 0 && w.tokens == 0 && b.burst == 0 {
			continue
		}
		due = due || l.due(now, b, w, c)
		items = append(items, l.item(now, b, w))
	}
	if !due {
		return nil, false
	}
	for _, item := range items {
		if b, ok := n.loans[item.Resource]; ok {
			b.keepOnly(item)
		}
	}
	return items, true
}

// due reports whether a loan must be requested, changed or returned now, or be renewed
// because less than 2/5 of its term is left. Before b.shortUntil, the need for a higher
// rate alone doesn't make the loan due.
func (l *Ledger) due(now time.Time, b *borrowedLoan, w loanNeed, c Capacity) bool {
	term := loanTerm
	if c.Rate == 0 {
		term = slotTerm
	}
	switch {
	case w.tokens >= 1:
		return true
	case c.Rate > 0 && b.burst > 0 && w.rate == 0:
		return true
	case b.burst > 0 && b.end.Sub(now) < term*2/5:
		return true
	case now.Before(b.shortUntil) && w.rate > b.rate:
		return false
	}
	step := resizeThreshold * math.Max(w.rate, b.rate)
	return c.Rate > 0 && math.Abs(w.rate-b.rate) > step
}

// item returns the item of a loan request for one resource: what the borrower keeps of
// the present loan, what it returns and what it needs. A loan that is no longer needed
// is returned whole. Otherwise the burst kept is the larger of the present tokens and
// what the loan's rate accrues in twice the prefetch time. If the rate needed is lower
// than the loan's rate by more than resizeThreshold, the burst kept is what the lower
// rate accrues in that time. The burst kept is at least one token, but never more than
// the loan's burst.
func (l *Ledger) item(now time.Time, b *borrowedLoan, w loanNeed) LoanItem {
	if w.resource.Kind == RegionSlots {
		held := b.inUse + math.Min(b.tokens, math.Ceil(w.tokens))
		return LoanItem{Resource: w.resource, HeldBurst: held, HeldTokens: held - b.inUse, WantTokens: w.tokens}
	}
	item := LoanItem{Resource: w.resource, HeldRate: b.rate, WantRate: w.rate, WantTokens: w.tokens}
	if w.rate == 0 && w.tokens == 0 {
		item.HeldRate = 0
		item.Returned = b.tokens
		return item
	}
	keep := math.Max(b.tokens, math.Max(1, b.rate*prefetch.Seconds()*2))
	if w.rate < b.rate*(1-resizeThreshold) {
		item.HeldRate = w.rate
		keep = math.Max(1, w.rate*prefetch.Seconds()*2)
	}
	item.HeldBurst = math.Min(b.burst, keep)
	item.HeldTokens = math.Min(b.tokens, item.HeldBurst)
	item.Returned = b.tokens - item.HeldTokens
	return item
}

// keepOnly reduces a loan to the rate, burst and tokens that a request states as held.
func (b *borrowedLoan) keepOnly(item LoanItem) {
	b.rate, b.burst = item.HeldRate, item.HeldBurst
	b.tokens = item.HeldTokens
}
