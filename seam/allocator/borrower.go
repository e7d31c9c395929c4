package allocator

import (
	"math"
	"slices"
	"time"
)

const (
	// askTimeout is when a loan request counts as unanswered.
	askTimeout = 400 * time.Millisecond
	// askEvery is the least time between two requests to one holder.
	askEvery = 100 * time.Millisecond
	// urgentEvery is the same while requests wait for tokens.
	urgentEvery = 15 * time.Millisecond
	// shortDoublings bounds how far the wait after short answers grows.
	shortDoublings = 3
	// prefetch is how long borrowed tokens should last ahead of the demand.
	prefetch = 250 * time.Millisecond
	// headroom is the part that is borrowed above the demand seen.
	headroom = 1.1
	// sizeStep is the part of a loan by which a want must differ before the
	// loan is changed early.
	sizeStep = 0.25
	// shortFor is how long a holder that gave less than asked is not asked for
	// more than it gave.
	shortFor = 250 * time.Millisecond
	// leastRate is the rate, in tokens a second, below which nothing is lent.
	leastRate = 0.05
)

// holding is a loan on the borrower's side.
type holding struct {
	rate   float64
	burst  float64
	tokens float64
	filled time.Time
	end    time.Time
	inUse  float64
	// shortUntil is set when the holder gave less than asked.
	shortUntil time.Time
	// identity tells loans of different holders apart.
	identity uint64
}

// fill adds the tokens of the time since the last call; a loan whose term is
// over holds none.
func (h *holding) fill(now time.Time) {
	if !now.Before(h.end) {
		h.rate, h.burst, h.tokens = 0, 0, 0
		return
	}
	if elapsed := now.Sub(h.filled); elapsed > 0 {
		h.filled = now
		h.tokens = math.Min(h.burst, h.tokens+h.rate*elapsed.Seconds())
	}
}

// lender is this instance's dealings with the holder of one seat.
type lender struct {
	epoch    int64
	holder   string
	sequence uint64
	sent     time.Time
	open     bool
	// shorts counts the answers in a row that brought less than asked.
	shorts    int
	notBefore time.Time
	asked     []LoanItem
	holdings  map[Resource]*holding
}

// demand measures what is asked for of a resource here.
type demand struct {
	count  float64
	rate   float64
	last   time.Time
	seen   time.Time
	missed float64
}

// demandWindow is the time constant of the measured demand.
const demandWindow = 300 * time.Millisecond

func (d *demand) tick(now time.Time) {
	elapsed := now.Sub(d.last).Seconds()
	if elapsed <= 0 {
		return
	}
	part := 1 - math.Exp(-elapsed/demandWindow.Seconds())
	if d.last.IsZero() {
		elapsed = 1
	}
	if d.jumped(now, elapsed) {
		part = 1
	}
	if d.count > 0 {
		d.seen = now
	}
	d.rate += (d.count/elapsed - d.rate) * part
	d.count = 0
	d.last = now
	if d.rate < leastRate/2 {
		d.rate = 0
	}
}

// jumped reports whether the demand left its old rate: a silence, or a surge,
// that is too unlikely at that rate.
func (d *demand) jumped(now time.Time, elapsed float64) bool {
	expected := d.rate * elapsed
	silent := d.count == 0 && d.rate*now.Sub(d.seen).Seconds() > silenceLimit
	return silent || d.count > expected+surgeSigmas*math.Sqrt(expected)+surgeLeast
}

const (
	// silenceLimit is the number of requests that the old rate would have
	// brought since the last one.
	silenceLimit = 6
	// surgeSigmas and surgeLeast say how far above the old rate a surge is.
	surgeSigmas = 4
	surgeLeast  = 2
)

// SetWaiting tells the ledger how many tokens of a resource requests wait for.
func (l *Ledger) SetWaiting(r Resource, tokens float64) {
	l.demand(r).missed = tokens
}

// Demand returns the tokens a second that this instance asks for.
func (l *Ledger) Demand(r Resource) float64 { return l.demand(r).rate }

func (l *Ledger) demand(r Resource) *demand {
	d, ok := l.demands[r]
	if !ok {
		d = &demand{}
		l.demands[r] = d
	}
	return d
}

// loanAsked lends a part of a held seat.
func (l *Ledger) loanAsked(now time.Time, msg LoanAsked) LoanAnswered {
	answer := LoanAnswered{Sequence: msg.Sequence, Seat: msg.Seat, Epoch: msg.Epoch}
	h, ok := l.held[msg.Seat]
	if !ok || h.record.Epoch != msg.Epoch || !now.Before(h.until) || !h.closing.IsZero() ||
		msg.Sequence <= h.sequences[msg.From] {
		answer.Refused = true
		return answer
	}
	h.sequences[msg.From] = msg.Sequence
	for _, item := range msg.Items {
		a := h.account(item.Resource, now)
		if a.counted && now.Before(h.slotsFrom()) {
			continue
		}
		term := loanTerm
		if a.counted {
			term = slotTerm
		}
		end := now.Add(term + term/driftPart)
		answer.Grants = append(answer.Grants, a.lend(now, end, msg.From, item, l.ownDemand(item.Resource)))
	}
	return answer
}

// ownDemand is the part of this instance's demand that each of its held seats
// should carry.
func (l *Ledger) ownDemand(r Resource) float64 {
	return l.demand(r).rate * headroom / float64(max(1, len(l.held)))
}

// slotsFrom is when requests in slots of the holder before have ended.
func (h *heldSeat) slotsFrom() time.Time {
	if h.record.Epoch <= 1 {
		return h.claimed
	}
	return h.claimed.Add(slotGuard)
}

// loanAnswered takes a loan. Its term counts from the sending of the request.
func (l *Ledger) loanAnswered(now time.Time, msg LoanAnswered) []Cmd {
	n, ok := l.lenders[msg.Seat]
	if !ok || !n.open || n.sequence != msg.Sequence || n.epoch != msg.Epoch {
		return nil
	}
	n.open = false
	if msg.Refused {
		n.notBefore = now.Add(askEvery)
		return nil
	}
	short := true
	for _, g := range msg.Grants {
		short = l.takeGrant(now, n, g) && short
	}
	n.shorts++
	if !short {
		n.shorts = 0
	}
	n.notBefore = now.Add(urgentEvery)
	if n.shorts > 0 {
		n.notBefore = now.Add(askEvery << min(n.shorts/2, shortDoublings))
	}
	return nil
}

// takeGrant replaces a loan and reports whether it brought less than asked.
func (l *Ledger) takeGrant(now time.Time, n *lender, g Grant) bool {
	h, ok := n.holdings[g.Resource]
	if !ok || !now.Before(h.end) {
		l.sequence++
		h = &holding{identity: l.sequence}
		n.holdings[g.Resource] = h
	}
	h.fill(now)
	term, start := loanTerm, n.sent
	if g.Resource.Kind == RegionSlots {
		term = slotTerm
	}
	if l.plants.termFromReceipt {
		start = now
	}
	h.rate, h.burst, h.end, h.filled = g.Rate, g.Burst, start.Add(term), now
	h.tokens = math.Min(h.burst-h.inUse, h.tokens+g.Tokens)
	if !now.Before(h.end) {
		h.fill(now)
	}
	i := slices.IndexFunc(n.asked, func(item LoanItem) bool { return item.Resource == g.Resource })
	if i < 0 {
		return false
	}
	asked := n.asked[i]
	short := g.Rate < asked.WantRate*(1-sizeStep/2) || g.Tokens < asked.WantTokens/2
	if g.Rate < asked.WantRate*(1-sizeStep/2) {
		h.shortUntil = now.Add(shortFor)
	}
	return short
}

// RequestLoans returns loan requests at once, for a request that waits for tokens.
func (l *Ledger) RequestLoans(now time.Time) []Cmd {
	if len(l.plans) == 0 || l.alone {
		return nil
	}
	return l.askLoans(now)
}

// askLoans asks holders of seats for what the demand needs, before it is used
// up.
func (l *Ledger) askLoans(now time.Time) []Cmd {
	wants := l.wants(now)
	var cmds []Cmd
	for _, name := range l.plan().seats {
		n := l.lender(name)
		if n == nil {
			continue
		}
		if n.open && now.Sub(n.sent) < askTimeout || now.Before(n.notBefore) {
			continue
		}
		items, due := l.items(now, n, wants[name])
		if !due || len(items) == 0 {
			continue
		}
		l.sequence++
		n.sequence, n.sent, n.open, n.asked = l.sequence, now, true, items
		n.notBefore = now.Add(urgentEvery)
		ask := LoanAsked{From: l.self, Sequence: n.sequence, Seat: name, Epoch: n.epoch, Items: items}
		cmds = append(cmds, AskLoan{To: n.holder, Ask: ask})
	}
	return cmds
}

// lender returns the dealings with a seat's holder, or nil if this instance or
// nobody holds it.
func (l *Ledger) lender(seat string) *lender {
	seen, ok := l.store.seats[seat]
	_, mine := l.held[seat]
	if !ok || mine || seen.Record.Holder.Instance == "" || seen.Record.Holder.Instance == l.self.Instance {
		return nil
	}
	n, ok := l.lenders[seat]
	if !ok || n.epoch != seen.Record.Epoch {
		n = &lender{epoch: seen.Record.Epoch, holder: seen.Record.Holder.Instance, holdings: map[Resource]*holding{}}
		l.lenders[seat] = n
	}
	return n
}

// want is what this instance would like to hold of one seat's resource.
type want struct {
	resource Resource
	rate     float64
	tokens   float64
}

// wants splits the demand over the seats, nearest first.
func (l *Ledger) wants(now time.Time) map[string][]want {
	wants := map[string][]want{}
	near := l.nearest()
	for _, c := range l.plan().capacities {
		d := l.demand(c.Resource)
		if c.Rate == 0 {
			l.wantSlots(now, near, c.Resource, d, wants)
			continue
		}
		if d.rate > 0 || d.missed > 0 {
			l.wantRate(now, near, c, d, wants)
		}
	}
	return wants
}

func (l *Ledger) wantRate(now time.Time, near []string, c Capacity, d *demand, wants map[string][]want) {
	ownRate, tokens := l.own(now, c.Resource)
	need := math.Max(0, d.rate*headroom-ownRate)
	for _, name := range near {
		if n := l.lender(name); n != nil {
			if h, ok := n.holdings[c.Resource]; ok {
				h.fill(now)
				tokens += h.tokens
			}
		}
	}
	goal := d.missed
	if need > 0 || ownRate == 0 {
		goal += d.rate*prefetch.Seconds() + 1
	}
	missing := math.Max(0, goal-tokens)
	if tokens > goal/2 && tokens >= d.missed {
		missing = 0
	}
	rest := need
	parts := float64(max(1, len(l.plan().shares[c.Resource])-1))
	for _, name := range near {
		s := l.plan().share(c.Resource, name)
		if s.rate == 0 {
			continue
		}
		w := want{resource: c.Resource, rate: math.Min(rest, s.rate)}
		given := w.rate
		if n := l.lender(name); n != nil {
			if h, ok := n.holdings[c.Resource]; ok && now.Before(h.shortUntil) {
				given = math.Min(given, h.rate)
			}
		}
		rest = math.Max(0, rest-given)
		if missing > 0 {
			w.tokens = missing*headroom/parts + 1
		}
		if w.rate < leastRate {
			w.rate = 0
		}
		if w.rate > 0 || w.tokens > 0 {
			wants[name] = append(wants[name], w)
		}
	}
}

// wantSlots asks for slots that requests wait for, one holder after another.
func (l *Ledger) wantSlots(now time.Time, near []string, r Resource, d *demand, wants map[string][]want) {
	missing := math.Ceil(d.missed + d.rate*prefetch.Seconds())
	for _, name := range near {
		n := l.lender(name)
		if n == nil {
			continue
		}
		w := want{resource: r}
		if h, ok := n.holdings[r]; ok {
			h.fill(now)
			missing = math.Max(0, missing-h.tokens)
			w.rate = h.inUse
		}
		w.tokens = math.Min(missing, l.plan().share(r, name).burst)
		if w.tokens > 0 || w.rate > 0 {
			wants[name] = append(wants[name], w)
		}
	}
}

// nearest returns the seats: own failure domain, own region, then others in an
// order that differs between instances.
func (l *Ledger) nearest() []string {
	if l.nearFor == l.plan() {
		return l.near
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
	l.near, l.nearFor = names, l.plan()
	return names
}

// own returns the rate and the tokens of the seats that this instance holds.
func (l *Ledger) own(now time.Time, r Resource) (rate, tokens float64) {
	for _, name := range l.heldNames() {
		h := l.held[name]
		a, ok := h.accounts[r]
		if !ok || !now.Before(h.until) {
			continue
		}
		a.fill(now)
		lent, _, _ := a.lent(Peer{})
		rate += math.Max(0, a.rate-lent)
		tokens += a.tokens
	}
	return rate, tokens
}

// items returns a request's items and whether sending it is due: a loan nears
// its end, is too large or too small, or tokens are missing.
func (l *Ledger) items(now time.Time, n *lender, wants []want) ([]LoanItem, bool) {
	var items []LoanItem
	due := false
	for _, c := range l.plan().capacities {
		w := want{resource: c.Resource}
		if i := slices.IndexFunc(wants, func(w want) bool { return w.resource == c.Resource }); i >= 0 {
			w = wants[i]
		}
		h, ok := n.holdings[c.Resource]
		if !ok {
			h = &holding{}
		}
		h.fill(now)
		if w.rate == 0 && w.tokens == 0 && h.burst == 0 {
			continue
		}
		due = due || l.due(now, h, w, c)
		items = append(items, l.item(now, h, w))
	}
	if !due {
		return nil, false
	}
	for _, item := range items {
		if h, ok := n.holdings[item.Resource]; ok {
			h.reduce(item)
		}
	}
	return items, true
}

func (l *Ledger) due(now time.Time, h *holding, w want, c Capacity) bool {
	term := loanTerm
	if c.Rate == 0 {
		term = slotTerm
	}
	switch {
	case w.tokens >= 1:
		return true
	case c.Rate > 0 && h.burst > 0 && w.rate == 0:
		return true
	case h.burst > 0 && h.end.Sub(now) < term*2/5:
		return true
	case now.Before(h.shortUntil) && w.rate > h.rate:
		return false
	}
	step := sizeStep * math.Max(w.rate, h.rate)
	return c.Rate > 0 && math.Abs(w.rate-h.rate) > step
}

// item describes a request for one resource. What it says is held is what the
// loan is reduced to.
func (l *Ledger) item(now time.Time, h *holding, w want) LoanItem {
	if w.resource.Kind == RegionSlots {
		held := h.inUse + math.Min(h.tokens, math.Ceil(w.tokens))
		return LoanItem{Resource: w.resource, HeldBurst: held, HeldTokens: held - h.inUse, WantTokens: w.tokens}
	}
	item := LoanItem{Resource: w.resource, HeldRate: h.rate, WantRate: w.rate, WantTokens: w.tokens}
	if w.rate == 0 && w.tokens == 0 {
		item.HeldRate = 0
		item.Returned = h.tokens
		return item
	}
	keep := math.Max(h.tokens, math.Max(1, h.rate*prefetch.Seconds()*2))
	if w.rate < h.rate*(1-sizeStep) {
		item.HeldRate = w.rate
		keep = math.Max(1, w.rate*prefetch.Seconds()*2)
	}
	item.HeldBurst = math.Min(h.burst, keep)
	item.HeldTokens = math.Min(h.tokens, item.HeldBurst)
	item.Returned = h.tokens - item.HeldTokens
	return item
}

// reduce shrinks a loan to what a request says is held.
func (h *holding) reduce(item LoanItem) {
	h.rate, h.burst = item.HeldRate, item.HeldBurst
	h.tokens = item.HeldTokens
}
