package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hold is an amount of tokens that was taken; Settle or Free ends it.
type Hold struct {
	resource Resource
	parts    []part
}

// part is an amount from one source: an account of a held seat or a loan.
type part struct {
	seat     string
	epoch    int64
	identity uint64
	amount   float64
}

// Take spends amount tokens and reports whether they were there. The
// bucket that is nearest to overflowing goes first.
func (l *Ledger) Take(now time.Time, r Resource, amount float64) (Hold, bool) {
	l.AddDemand(r, amount)
	return l.spend(now, r, amount)
}

// AddDemand counts an amount as asked for without spending it.
func (l *Ledger) AddDemand(r Resource, amount float64) { l.demand(r).count += amount }

// TakeUncounted is Take for an amount that was asked for before.
func (l *Ledger) TakeUncounted(now time.Time, r Resource, amount float64) (Hold, bool) {
	return l.spend(now, r, amount)
}

func (l *Ledger) spend(now time.Time, r Resource, amount float64) (Hold, bool) {
	sources := l.sources(now, r)
	sum := 0.0
	for _, s := range sources {
		sum += *s.tokens
	}
	if sum < amount-rounding {
		return Hold{}, false
	}
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(a.room-*a.tokens, b.room-*b.tokens) })
	hold := Hold{resource: r}
	for _, s := range sources {
		s.part.amount = math.Min(amount, *s.tokens)
		if s.part.amount > 0 {
			*s.tokens -= s.part.amount
			amount -= s.part.amount
			hold.parts = append(hold.parts, s.part)
		}
	}
	return hold, true
}

// source is a bucket that may be spent now.
type source struct {
	part   part
	tokens *float64
	// room is the number of tokens at which the bucket overflows.
	room float64
}

// sources returns the loans and then the accounts of a resource.
func (l *Ledger) sources(now time.Time, r Resource) []source {
	if len(l.plans) == 0 {
		return nil
	}
	var sources []source
	for _, name := range l.plan().seats {
		if h := l.loan(now, name, r); h != nil {
			p := part{seat: name, epoch: l.lenders[name].epoch, identity: h.identity}
			sources = append(sources, source{part: p, tokens: &h.tokens, room: h.burst})
		}
	}
	for _, name := range l.heldNames() {
		if a := l.usable(now, name, r); a != nil {
			_, lent, _ := a.lent(Peer{})
			p := part{seat: name, epoch: l.held[name].record.Epoch}
			sources = append(sources, source{part: p, tokens: &a.tokens, room: a.burst - lent})
		}
	}
	return sources
}

// Tokens returns the tokens that could be spent here now.
func (l *Ledger) Tokens(now time.Time, r Resource) float64 {
	sum := 0.0
	for _, s := range l.sources(now, r) {
		sum += *s.tokens
	}
	return sum
}

// loan returns a loan that may be spent now, or nil.
func (l *Ledger) loan(now time.Time, seat string, r Resource) *holding {
	n, ok := l.lenders[seat]
	if !ok {
		return nil
	}
	h, ok := n.holdings[r]
	if !ok || !now.Before(h.end) {
		return nil
	}
	h.fill(now)
	return h
}

// usable returns the account of a held seat that may be spent now, or nil.
func (l *Ledger) usable(now time.Time, seat string, r Resource) *account {
	h, ok := l.held[seat]
	if !ok || !now.Before(h.until) {
		return nil
	}
	a, ok := h.accounts[r]
	if !ok {
		return nil
	}
	a.fill(now)
	return a
}

// Settle replaces the amount of a hold by what was used. Unused tokens go back
// to where they came from if that is still held; an excess is taken from what
// comes next.
func (l *Ledger) Settle(now time.Time, hold Hold, used float64) {
	taken := 0.0
	for _, p := range hold.parts {
		taken += p.amount
	}
	back := taken - used
	for _, p := range hold.parts {
		amount := math.Min(p.amount, back)
		if back < 0 {
			amount = back
		}
		l.giveBack(now, hold.resource, p, amount)
		back -= amount
	}
}

func (l *Ledger) giveBack(now time.Time, r Resource, p part, amount float64) {
	if p.identity != 0 {
		h := l.loan(now, p.seat, r)
		if h != nil && h.identity == p.identity && l.lenders[p.seat].epoch == p.epoch {
			h.tokens = math.Min(h.burst, h.tokens+amount)
		}
		return
	}
	a := l.usable(now, p.seat, r)
	if a != nil && l.held[p.seat].record.Epoch == p.epoch {
		_, lent, _ := a.lent(Peer{})
		a.tokens += amount
		a.clip(lent)
	}
}

// TakeSlot occupies one slot of a region until a deadline at the latest. It
// reports false if none is free that is sure to be held until then.
func (l *Ledger) TakeSlot(now time.Time, r Resource, until time.Time) (Hold, bool) {
	l.demand(r).count++
	if len(l.plans) == 0 {
		return Hold{}, false
	}
	for _, name := range l.plan().seats {
		h := l.loan(now, name, r)
		if h != nil && h.tokens >= 1 && !until.After(h.end) {
			h.tokens--
			h.inUse++
			return Hold{resource: r, parts: []part{{seat: name, epoch: l.lenders[name].epoch, identity: h.identity, amount: 1}}}, true
		}
	}
	for _, name := range l.heldNames() {
		a := l.usable(now, name, r)
		if a == nil || a.tokens < 1 || now.Before(l.held[name].slotsFrom()) || until.After(l.held[name].until.Add(slotTerm)) {
			continue
		}
		a.inUse++
		a.fill(now)
		return Hold{resource: r, parts: []part{{seat: name, epoch: l.held[name].record.Epoch, amount: 1}}}, true
	}
	return Hold{}, false
}

// FreeSlot gives an occupied slot back.
func (l *Ledger) FreeSlot(now time.Time, hold Hold) {
	for _, p := range hold.parts {
		if p.identity != 0 {
			h := l.loan(now, p.seat, hold.resource)
			if h != nil && h.identity == p.identity && h.inUse > 0 {
				h.inUse--
				h.tokens = math.Min(h.burst-h.inUse, h.tokens+1)
			}
			continue
		}
		if h, ok := l.held[p.seat]; ok && h.record.Epoch == p.epoch {
			if a := h.accounts[hold.resource]; a != nil && a.inUse > 0 {
				a.inUse--
				a.fill(now)
			}
		}
	}
}
