package allocator

import (
	"math"
	"slices"
	"time"
)

// account is a holder's side of one resource of one seat: its own bucket and
// what it has lent. Tokens plus the bursts of all loans never exceed the
// seat's burst, and the rates never exceed the seat's rate.
type account struct {
	counted bool
	rate    float64
	burst   float64
	tokens  float64
	filled  time.Time
	// inUse are the slots that this instance occupies.
	inUse float64
	// loans is ordered by time of the first request, so that sums are the same
	// in every replay.
	loans []loan
}

// loan is what the borrower may still spend in the worst case.
type loan struct {
	borrower Peer
	rate     float64
	burst    float64
	// want is the rate that the borrower asked for last.
	want float64
	end  time.Time
}

func newAccount(counted bool, now time.Time) *account {
	return &account{counted: counted, filled: now}
}

// lent returns the sum of what is lent, without one borrower's loan.
func (a *account) lent(without Peer) (rate, burst, want float64) {
	for _, l := range a.loans {
		if l.borrower != without {
			rate += l.rate
			burst += l.burst
			want += l.want
		}
	}
	return rate, burst, want
}

// fill adds the tokens of the time since the last call and then ends loans
// whose term is over.
func (a *account) fill(now time.Time) {
	rate, burst, _ := a.lent(Peer{})
	if elapsed := now.Sub(a.filled); elapsed > 0 {
		a.filled = now
		a.tokens += math.Max(0, a.rate-rate) * elapsed.Seconds()
	}
	a.clip(burst)
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return !now.Before(l.end) })
	if a.counted {
		_, burst, _ = a.lent(Peer{})
		a.tokens = math.Max(0, a.burst-burst-a.inUse)
	}
}

func (a *account) clip(lentBurst float64) {
	a.tokens = math.Min(a.tokens, math.Max(0, a.burst-lentBurst))
}

func (a *account) find(borrower Peer) int {
	return slices.IndexFunc(a.loans, func(l loan) bool { return l.borrower == borrower })
}

// record replaces a borrower's loan; an empty one is dropped.
func (a *account) record(l loan) {
	i := a.find(l.borrower)
	empty := l.rate == 0 && l.burst == 0 && l.want == 0
	switch {
	case i >= 0 && empty:
		a.loans = slices.Delete(a.loans, i, i+1)
	case i >= 0:
		a.loans[i] = l
	case !empty:
		a.loans = append(a.loans, l)
	}
}

// resize sets the seat's part of the capacity.
func (a *account) resize(now time.Time, s share) {
	a.fill(now)
	a.rate, a.burst = s.rate, s.burst
	a.fill(now)
}

// fits reports whether everything lent is within the seat's part.
func (a *account) fits(s share) bool {
	rate, burst, _ := a.lent(Peer{})
	return rate <= s.rate+rounding && burst+a.inUse <= s.burst+rounding
}

// rounding is the error of floating-point sums, in tokens.
const rounding = 1e-6

// lend answers one item of a request. Demand is the holder's own use, in
// tokens a second. The term ends at end by the holder's clock.
func (a *account) lend(now, end time.Time, borrower Peer, item LoanItem, demand float64) Grant {
	a.fill(now)
	held := a.takeBack(borrower, item)
	if a.counted {
		return a.lendCount(end, borrower, item, held)
	}
	lentRate, lentBurst, wanted := a.lent(borrower)
	keep := fairPart(demand, a.rate, demand+wanted+item.WantRate)
	g := Grant{Resource: item.Resource}
	g.Rate = math.Min(item.WantRate, math.Max(0, a.rate-lentRate-keep))
	g.Rate = math.Min(g.Rate, fairPart(item.WantRate, a.rate, demand+wanted+item.WantRate))

	free := math.Max(0, a.burst-lentBurst)
	room := free
	if a.rate > 0 {
		own := a.burst * keep / a.rate
		if keep > 0 {
			own = math.Max(own, leastBurst)
		}
		room = math.Max(0, free-own)
		g.Burst = math.Min(room, a.burst*g.Rate/a.rate)
	}
	room = math.Max(room, held.burst)
	reserve := math.Min(a.tokens, demand*ownReserve.Seconds())
	g.Tokens = math.Max(0, math.Min(item.WantTokens, math.Min(a.tokens-reserve, room-held.burst)))
	if item.WantRate > 0 {
		g.Burst = math.Max(g.Burst, math.Min(room, leastBurst))
	}
	g.Burst = math.Min(room, math.Max(g.Burst, math.Min(item.HeldTokens, held.burst)+g.Tokens))
	if g.Burst < leastBurst-rounding {
		g = Grant{Resource: item.Resource}
	}
	charge := math.Max(held.burst+g.Tokens, g.Burst)
	// Tokens that no longer fit beside the loan go with it.
	surplus := math.Max(0, a.tokens-g.Tokens-math.Max(0, free-charge))
	surplus = math.Min(surplus, math.Max(0, charge-held.burst-g.Tokens))
	g.Tokens += surplus
	a.tokens -= g.Tokens
	a.record(loan{borrower: borrower, rate: math.Max(held.rate, g.Rate), burst: charge, want: item.WantRate, end: end})
	a.clip(lentBurst + charge)
	return g
}

// leastBurst is the least burst of a loan, in tokens: with less, a borrower
// could never spend a whole one.
const leastBurst = 1

// ownReserve is how long a holder's own demand could live on what it keeps.
const ownReserve = 100 * time.Millisecond

// fairPart returns want, or its proportional part if all wants exceed rate.
func fairPart(want, rate, all float64) float64 {
	if all <= rate {
		return want
	}
	return rate * want / all
}

// takeBack ends what the borrower no longer holds of its loan and returns the
// rest. A loan whose term is over gives nothing back.
func (a *account) takeBack(borrower Peer, item LoanItem) loan {
	i := a.find(borrower)
	if i < 0 {
		return loan{}
	}
	l := &a.loans[i]
	before := l.burst
	l.rate = math.Min(l.rate, item.HeldRate)
	l.burst = math.Min(l.burst, item.HeldBurst)
	if !a.counted {
		a.tokens += math.Min(item.Returned, before-l.burst)
	}
	_, burst, _ := a.lent(Peer{})
	a.clip(burst)
	return *l
}

// lendCount lends whole slots on top of those still held.
func (a *account) lendCount(end time.Time, borrower Peer, item LoanItem, held loan) Grant {
	_, lent, _ := a.lent(borrower)
	free := math.Max(0, a.burst-lent-held.burst-a.inUse)
	extra := math.Floor(math.Min(item.WantTokens, free))
	g := Grant{Resource: item.Resource, Burst: held.burst + extra, Tokens: extra}
	a.record(loan{borrower: borrower, burst: g.Burst, want: item.WantTokens, end: end})
	a.tokens = math.Max(0, a.burst-lent-g.Burst-a.inUse)
	return g
}
