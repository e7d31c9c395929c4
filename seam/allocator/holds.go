package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hold is an amount of tokens, or a slot, that was taken for a request. [Ledger.Settle]
// ends a hold of tokens and returns the unused ones. [Ledger.FreeSlot] ends a hold of a
// slot.
type Hold struct {
	resource Resource
	parts    []holdPart
}

// holdPart is the amount of a hold that was taken from one source: the account of a
// held seat or a borrowed loan.
type holdPart struct {
	seat  string
	epoch int64
	// id is the id of the borrowed loan, or 0 if the source is an account.
	id     uint64
	amount float64
}

// Take spends an amount of tokens and returns them as a hold. If fewer tokens are
// available, it spends none and returns false. In both cases the amount counts as
// demand. The buckets that lack the fewest tokens are spent first, because a full
// bucket accrues no more tokens.
func (l *Ledger) Take(now time.Time, r Resource, amount float64) (Hold, bool) {
	l.AddDemand(r, amount)
	return l.spend(now, r, amount)
}

// AddDemand counts an amount of tokens as demand without spending them.
func (l *Ledger) AddDemand(r Resource, amount float64) { l.demand(r).count += amount }

// TakeUncounted is like Take but doesn't count the amount as demand. It is for requests
// that were already counted, for instance by a Take that failed.
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
		s.holdPart.amount = math.Min(amount, *s.tokens)
		if s.holdPart.amount > 0 {
			*s.tokens -= s.holdPart.amount
			amount -= s.holdPart.amount
			hold.parts = append(hold.parts, s.holdPart)
		}
	}
	return hold, true
}

// source is a token bucket that this instance may currently spend from.
type source struct {
	holdPart holdPart
	tokens   *float64
	// room is the capacity of the bucket, in tokens.
	room float64
}

// sources returns the token buckets of a resource that this instance may spend from:
// those of borrowed loans, then the accounts of held seats.
func (l *Ledger) sources(now time.Time, r Resource) []source {
	if len(l.plans) == 0 {
		return nil
	}
	var sources []source
	for _, name := range l.plan().seats {
		if b := l.usableLoan(now, name, r); b != nil {
			p := holdPart{seat: name, epoch: l.lenders[name].epoch, id: b.id}
			sources = append(sources, source{holdPart: p, tokens: &b.tokens, room: b.burst})
		}
	}
	for _, name := range l.heldNames() {
		if a := l.usableAccount(now, name, r); a != nil {
			_, lent, _ := a.lent(Peer{})
			p := holdPart{seat: name, epoch: l.held[name].record.Epoch}
			sources = append(sources, source{holdPart: p, tokens: &a.tokens, room: a.burst - lent})
		}
	}
	return sources
}

// Tokens returns the number of tokens of a resource that this instance could spend now.
func (l *Ledger) Tokens(now time.Time, r Resource) float64 {
	sum := 0.0
	for _, s := range l.sources(now, r) {
		sum += *s.tokens
	}
	return sum
}

// usableLoan refills and returns the loan borrowed from a seat. It returns nil if there
// is no such loan or it has expired.
func (l *Ledger) usableLoan(now time.Time, seat string, r Resource) *borrowedLoan {
	n, ok := l.lenders[seat]
	if !ok {
		return nil
	}
	b, ok := n.loans[r]
	if !ok || !now.Before(b.end) {
		return nil
	}
	b.refill(now)
	return b
}

// usableAccount refills and returns a held seat's account for a resource. It returns nil
// if the seat is not held, its usableUntil has passed, or it has no such account.
func (l *Ledger) usableAccount(now time.Time, seat string, r Resource) *account {
	h, ok := l.held[seat]
	if !ok || !now.Before(h.usableUntil) {
		return nil
	}
	a, ok := h.accounts[r]
	if !ok {
		return nil
	}
	a.refill(now)
	return a
}

// Settle ends a hold of tokens; used is the amount that the request needed. Unused
// tokens go back to the loans or accounts that they were taken from, except to those
// that this instance may no longer spend from. If the request needed more than was
// taken, the difference is charged to the hold's first loan or account, whose tokens
// may become negative.
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

// giveBack adds an amount, which may be negative, to the loan or account that a part of
// a hold was taken from. It does nothing if this instance may no longer spend from that
// loan or account.
func (l *Ledger) giveBack(now time.Time, r Resource, p holdPart, amount float64) {
	if p.id != 0 {
		b := l.usableLoan(now, p.seat, r)
		if b != nil && b.id == p.id && l.lenders[p.seat].epoch == p.epoch {
			b.tokens = math.Min(b.burst, b.tokens+amount)
		}
		return
	}
	a := l.usableAccount(now, p.seat, r)
	if a != nil && l.held[p.seat].record.Epoch == p.epoch {
		_, lent, _ := a.lent(Peer{})
		a.tokens += amount
		a.clipTokens(lent)
	}
}

// TakeSlot occupies one slot of a region for a request that ends at the deadline at the
// latest, and counts the request as demand. It returns false if there is no free slot
// that stays reserved for this instance until the deadline. A borrowed slot is reserved
// until the loan ends. A slot of a held seat is reserved until slotTerm after the
// seat's usableUntil, because a new holder leaves the slots unused for that long.
func (l *Ledger) TakeSlot(now time.Time, r Resource, deadline time.Time) (Hold, bool) {
	l.demand(r).count++
	if len(l.plans) == 0 {
		return Hold{}, false
	}
	for _, name := range l.plan().seats {
		b := l.usableLoan(now, name, r)
		if b != nil && b.tokens >= 1 && !deadline.After(b.end) {
			b.tokens--
			b.inUse++
			return Hold{resource: r, parts: []holdPart{{seat: name, epoch: l.lenders[name].epoch, id: b.id, amount: 1}}}, true
		}
	}
	for _, name := range l.heldNames() {
		a := l.usableAccount(now, name, r)
		if a == nil || a.tokens < 1 || now.Before(l.held[name].slotsUsableFrom()) || deadline.After(l.held[name].usableUntil.Add(slotTerm)) {
			continue
		}
		a.inUse++
		a.refill(now)
		return Hold{resource: r, parts: []holdPart{{seat: name, epoch: l.held[name].record.Epoch, amount: 1}}}, true
	}
	return Hold{}, false
}

// FreeSlot ends a hold of a slot. It frees the slot if this instance still has the
// loan, or holds the seat, that the slot was taken from.
func (l *Ledger) FreeSlot(now time.Time, hold Hold) {
	for _, p := range hold.parts {
		if p.id != 0 {
			b := l.usableLoan(now, p.seat, hold.resource)
			if b != nil && b.id == p.id && b.inUse > 0 {
				b.inUse--
				b.tokens = math.Min(b.burst-b.inUse, b.tokens+1)
			}
			continue
		}
		if h, ok := l.held[p.seat]; ok && h.record.Epoch == p.epoch {
			if a := h.accounts[hold.resource]; a != nil && a.inUse > 0 {
				a.inUse--
				a.refill(now)
			}
		}
	}
}
