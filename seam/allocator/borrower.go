package allocator

import (
	"math"
	"slices"
	"time"
)

const (
	// loanRequestTimeout is the time after which an unanswered loan request no
	// longer blocks the next one.
	loanRequestTimeout = 400 * time.Millisecond
	// shortRetryDelay is the wait after a refused request. It is also the base of
	// the backoff after answers that granted less than requested.
	shortRetryDelay = 100 * time.Millisecond
	// minRequestInterval is the least time between two requests to one holder.
	minRequestInterval = 15 * time.Millisecond
	// maxDelayDoublings limits the backoff after answers that granted less than
	// requested.
	maxDelayDoublings = 3
	// prefetch is the time for which borrowed tokens should cover the demand.
	prefetch = 250 * time.Millisecond
	// headroom is the factor by which the rate borrowed exceeds measured demand.
	headroom = 1.1
	// resizeThreshold is the relative difference between the rate needed and the
	// rate of a loan from which the loan is changed before it is due.
	resizeThreshold = 0.25
	// shortGrantPeriod is the time for which a holder that granted a lower rate
	// than requested gets no further request only because a higher rate is needed.
	shortGrantPeriod = 250 * time.Millisecond
	// minLoanRate is the least rate, in tokens a second, that is requested.
	// Measured demand below half of it counts as none.
	minLoanRate = 0.05
)

// borrowedLoan is the borrower's view of a loan of one resource.
type borrowedLoan struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
	end        time.Time
	// inUse is the number of borrowed slots that are occupied.
	inUse float64
	// shortUntil is set when the holder granted a lower rate than requested.
	// Before that time, a higher rate alone is no reason for another request.
	shortUntil time.Time
	// id distinguishes a loan from one of the same resource that expired before
	// it, so that unused tokens aren't returned to the wrong loan.
	id uint64
}

// refill adds the tokens accrued since the last call. An expired loan is set to
// zero.
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

// lender is the state of borrowing from the holder of one seat. A new holder
// gets a new lender.
type lender struct {
	epoch    int64
	holder   string
	sequence uint64
	sent     time.Time
	inFlight bool
	// shortAnswers counts consecutive answers in which every grant was well below
	// the request.
	shortAnswers int
	notBefore    time.Time
	requested    []LoanItem
	loans        map[Resource]*borrowedLoan
}

// demand measures the tokens of a resource that are requested at this instance.
type demand struct {
	// count is the number of tokens requested since lastTick.
	count float64
	// rate is an exponentially weighted average in tokens a second.
	rate     float64
	lastTick time.Time
	// lastSeen is the last tick at which count was above zero.
	lastSeen time.Time
	// waiting is the number of tokens that waiting requests need.
	waiting float64
}

// demandTimeConstant is the time constant of the average in demand.rate.
const demandTimeConstant = 300 * time.Millisecond

// tick updates the average. An abrupt change of the demand replaces it. The
// first tick treats the count as that of one second.
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

// jumped reports whether the demand has changed abruptly: a pause or a burst of
// requests that is very unlikely at the average rate.
func (d *demand) jumped(now time.Time, elapsed float64) bool {
	expected := d.rate * elapsed
	silent := d.count == 0 && d.rate*now.Sub(d.lastSeen).Seconds() > silenceLimit
	return silent || d.count > expected+surgeSigmas*math.Sqrt(expected)+surgeMin
}

const (
	// silenceLimit is the number of tokens that the average rate would have
	// requested during a pause from which the demand counts as zero.
	silenceLimit = 6
	// A count is a surge if it exceeds the expected one by surgeSigmas standard
	// deviations of a Poisson distribution plus surgeMin.
	surgeSigmas = 4
	surgeMin    = 2
)

// SetWaiting sets how many tokens of a resource waiting requests need.
func (l *Ledger) SetWaiting(r Resource, tokens float64) {
	l.demand(r).waiting = tokens
}

// Demand returns the measured demand at this instance, in tokens a second.
func (l *Ledger) Demand(r Resource) float64 { return l.demand(r).rate }

func (l *Ledger) demand(r Resource) *demand {
	d, ok := l.demands[r]
	if !ok {
		d = &demand{}
		l.demands[r] = d
	}
	return d
}

// loanAsked answers a loan request. The request is refused if this instance can't
// spend from the seat at that epoch, if the seat is being released, or if a
// request from the borrower that is as new was seen before.
func (l *Ledger) loanAsked(now time.Time, msg LoanAsked) LoanAnswered {
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

// ownDemand returns this instance's demand with headroom, divided by the number
// of seats that it holds.
func (l *Ledger) ownDemand(r Resource) float64 {
	return l.demand(r).rate * headroom / float64(max(1, len(l.held)))
}

// slotsUsableFrom returns the time at which all requests that occupy slots of the
// previous holder have ended. The first holder of a seat needn't wait.
func (h *heldSeat) slotsUsableFrom() time.Time {
	if h.record.Epoch <= 1 {
		return h.claimedAt
	}
	return h.claimedAt.Add(slotGuard)
}

// loanAnswered applies the grants of a holder's answer and sets when the next
// request may be sent to it. An answer without grants counts as short.
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

// applyGrant replaces a loan and reports whether it is well below the request.
// The term counts from the sending of the request, so that the loan expires here
// before it does at the holder.
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

// RequestLoans returns the loan requests that are due without waiting for the
// next tick. The owner calls it when a request starts to wait for tokens.
func (l *Ledger) RequestLoans(now time.Time) []Cmd {
	if len(l.plans) == 0 || l.standalone {
		return nil
	}
	return l.askLoans(now)
}

// askLoans requests from the holders of other seats what this instance's demand
// needs, before the tokens at hand are used up.
func (l *Ledger) askLoans(now time.Time) []Cmd {
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
		request := LoanAsked{From: l.self, Sequence: n.sequence, Seat: name, Epoch: n.epoch, Items: items}
		cmds = append(cmds, AskLoan{To: n.holder, Ask: request})
	}
	return cmds
}

// lender returns the state of borrowing from a seat's holder, or nil if this
// instance or nobody holds the seat.
func (l *Ledger) lender(seat string) *lender {
	seen, ok := l.store.seats[seat]
	_, mine := l.held[seat]
	if !ok || mine || seen.Record.Holder.Instance == "" || seen.Record.Holder.Instance == l.self.Instance {
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
	// rate is the rate of the loan, or the number of borrowed slots in use.
	rate float64
	// tokens are needed in addition to those of the present loan.
	tokens float64
}

// needs divides the demand among the seats, nearest first. The result is keyed
// by seat.
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

// addRateNeeds adds what is needed of a resource that has a rate. As much of the
// missing rate as a seat's share allows is requested from it, and the rest is left to
// the seats further away. Seats held by this instance or by nobody cover their part
// of the rate too, although no request is sent for them. Missing tokens are divided
// evenly.
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
	// Nothing is missing before half of the goal is used up.
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

// addSlotNeeds adds the slots that requests need or soon will. From each seat, all
// slots are requested that the present loans from it and from nearer seats don't
// cover.
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

// heldCapacity returns the rate that isn't lent and the tokens of the seats that
// this instance holds.
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

// items returns the items of a request to a holder and whether one of them is
// due. If so, it reduces the loans to what the items state as held: the holder may
// lend the rest to others as soon as it has the request.
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

// due reports whether a loan must be requested, changed or returned now, or
// renewed because less than 2/5 of its term is left.
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

// item returns the request for one resource: what is kept of the present loan,
// what is returned and what is needed. Of the burst it keeps at least the tokens
// or what the rate brings in twice the prefetch time, and less if the rate needed
// has dropped.
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

// keepOnly limits a loan to what a request states as held.
func (b *borrowedLoan) keepOnly(item LoanItem) {
	b.rate, b.burst = item.HeldRate, item.HeldBurst
	b.tokens = item.HeldTokens
}
