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

// demand measures how many tokens of a resource the requests at this instance need.
type demand struct {
	// count is the number of tokens requested since lastTick.
	count float64
	// rate is an exponentially weighted average in tokens a second.
	rate     float64
	lastTick time.Time
	// lastSeen is the time of the last tick at which count was above zero.
	lastSeen time.Time
	// waiting is the number of tokens that waiting requests need.
	waiting float64
}

// demandTimeConstant is the time constant of the average in demand.rate.
const demandTimeConstant = 300 * time.Millisecond

// tick adds the count since the last tick to the average rate. If the demand has
// changed abruptly, the rate since the last tick replaces the average. The first tick
// treats the count as collected over one second.
func (d *demand) tick(now time.Time) {
	elapsed := now.Sub(d.lastTick).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/demandTimeConstant.Seconds())
	if d.lastTick.IsZero() {
		elapsed = 1
	}
	if d.jumped(now, elapsed) {
		weight = 1
	}
	if d.count > 0 {
		d.lastSeen = now
	}
	d.rate += (d.count/elapsed - d.rate) * weight
	d.count = 0
	d.lastTick = now
	if d.rate < minLoanRate/2 {
		d.rate = 0
	}
}

// jumped reports whether the demand has changed abruptly, that is, whether a pause or a
// burst of requests is very unlikely at the average rate.
func (d *demand) jumped(now time.Time, elapsed float64) bool {
	expected := d.rate * elapsed
	silent := d.count == 0 && d.rate*now.Sub(d.lastSeen).Seconds() > silenceLimit
	return silent || d.count > expected+surgeSigmas*math.Sqrt(expected)+surgeMin
}

const (
	// silenceLimit is a number of tokens. A pause in the requests counts as the end of
	// the demand if more tokens than that would have been requested during the pause at
	// the average rate.
	silenceLimit = 6
	// A count is a surge if it exceeds the count expected at the average rate by
	// surgeSigmas standard deviations of a Poisson distribution plus surgeMin.
	surgeSigmas = 4
	surgeMin    = 2
)

// SetWaiting sets how many tokens of a resource are needed by requests that wait at
// this instance.
func (l *Ledger) SetWaiting(r Resource, tokens float64) {
	l.demand(r).waiting = tokens
}

// Demand returns the average demand for a resource at this instance, in tokens a
// second.
func (l *Ledger) Demand(r Resource) float64 { return l.demand(r).rate }

func (l *Ledger) demand(r Resource) *demand {
	d, ok := l.demands[r]
	if !ok {
		d = &demand{}
		l.demands[r] = d
	}
	return d
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
