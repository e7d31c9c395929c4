package allocator

import (
	"math"
	"slices"
	"time"
)

// account is the state that the holder of a seat keeps for one resource of the seat: a
// token bucket and the loans granted from the bucket. The bucket's tokens plus the
// sum of the loans' bursts never exceed the seat's burst. The sum of the loans' rates
// never exceeds the seat's rate. The bucket refills at the seat's rate minus that sum.
type account struct {
	// isSlots means that the resource is a region's slots. It then has no rate, and
	// tokens is the number of slots that are neither lent nor occupied.
	isSlots    bool
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
	// inUse is the number of the seat's slots that requests at this instance occupy.
	inUse float64
	// loans lists the loans in the order in which they were added. The fixed order
	// makes floating-point sums the same in every replay.
	loans []loan
}

// loan is an upper bound of what a borrower may still spend, as recorded by the holder.
// It covers both the last grant and the loan before it, which the borrower still uses
// if the answer with the grant was lost.
type loan struct {
	borrower Peer
	rate     float64
	burst    float64
	// requested is the rate, or the number of slots, in the borrower's last request.
	requested float64
	end       time.Time
}

func newAccount(isSlots bool, now time.Time) *account {
	return &account{isSlots: isSlots, lastRefill: now}
}

// lent returns the sums of rate, burst and requested over all loans, leaving out the
// loan to the borrower excluded. The zero Peer leaves none out.
func (a *account) lent(excluded Peer) (rate, burst, requested float64) {
	for _, l := range a.loans {
		if l.borrower != excluded {
			rate += l.rate
			burst += l.burst
			requested += l.requested
		}
	}
	return rate, burst, requested
}

// refill adds the tokens accrued since the last call, up to the burst that is not lent,
// and then removes expired loans. For slots, it removes expired loans and sets tokens
// to the number of free slots.
func (a *account) refill(now time.Time) {
	rate, burst, _ := a.lent(Peer{})
	if elapsed := now.Sub(a.lastRefill); elapsed > 0 {
		a.lastRefill = now
		a.tokens += math.Max(0, a.rate-rate) * elapsed.Seconds()
	}
	a.clipTokens(burst)
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return !now.Before(l.end) })
	if a.isSlots {
		_, burst, _ = a.lent(Peer{})
		a.tokens = math.Max(0, a.burst-burst-a.inUse)
	}
}

// clipTokens limits the tokens to the seat's burst minus the lent burst.
func (a *account) clipTokens(lentBurst float64) {
	a.tokens = math.Min(a.tokens, math.Max(0, a.burst-lentBurst))
}

// loanIndex returns the index of a borrower's loan in loans, or -1 if the borrower has
// none.
func (a *account) loanIndex(borrower Peer) int {
	return slices.IndexFunc(a.loans, func(l loan) bool { return l.borrower == borrower })
}

// setLoan adds or replaces a borrower's loan, or removes it if l is empty.
func (a *account) setLoan(l loan) {
	i := a.loanIndex(l.borrower)
	empty := l.rate == 0 && l.burst == 0 && l.requested == 0
	switch {
	case i >= 0 && empty:
		a.loans = slices.Delete(a.loans, i, i+1)
	case i >= 0:
		a.loans[i] = l
	case !empty:
		a.loans = append(a.loans, l)
	}
}

// resize sets the rate and burst of the account to the seat's share. The first call of
// refill applies the old rate up to now; the second call limits the tokens to the new
// burst.
func (a *account) resize(now time.Time, s share) {
	a.refill(now)
	a.rate, a.burst = s.rate, s.burst
	a.refill(now)
}

// fits reports whether the loans and the occupied slots together stay within a share.
func (a *account) fits(s share) bool {
	rate, burst, _ := a.lent(Peer{})
	return rate <= s.rate+rounding && burst+a.inUse <= s.burst+rounding
}

// rounding is the tolerance for errors of floating-point sums, in tokens.
const rounding = 1e-6

// lend answers one item of a loan request and records the new loan. demand is the
// holder's own demand in tokens a second. For this demand the holder keeps its fair
// share of the rate and a proportional part of the burst, and lends only from the rest.
// The loan expires at end by the holder's clock.
func (a *account) lend(now, end time.Time, borrower Peer, item LoanItem, demand float64) Grant {
	a.refill(now)
	held := a.reclaim(borrower, item)
	if a.isSlots {
		return a.lendSlots(end, borrower, item, held)
	}
	lentRate, lentBurst, requestedByOthers := a.lent(borrower)
	ownRate := fairShare(demand, a.rate, demand+requestedByOthers+item.WantRate)
	g := Grant{Resource: item.Resource}
	g.Rate = math.Min(item.WantRate, math.Max(0, a.rate-lentRate-ownRate))
	g.Rate = math.Min(g.Rate, fairShare(item.WantRate, a.rate, demand+requestedByOthers+item.WantRate))

	free := math.Max(0, a.burst-lentBurst)
	lendable := free
	if a.rate > 0 {
		ownBurst := a.burst * ownRate / a.rate
		if ownRate > 0 {
			ownBurst = math.Max(ownBurst, minLoanBurst)
		}
		lendable = math.Max(0, free-ownBurst)
		g.Burst = math.Min(lendable, a.burst*g.Rate/a.rate)
	}
	// The burst that the borrower still holds can always be lent to it again.
	lendable = math.Max(lendable, held.burst)
	reserve := math.Min(a.tokens, demand*ownReserveTime.Seconds())
	g.Tokens = math.Max(0, math.Min(item.WantTokens, math.Min(a.tokens-reserve, lendable-held.burst)))
	if item.WantRate > 0 {
		g.Burst = math.Max(g.Burst, math.Min(lendable, minLoanBurst))
	}
	g.Burst = math.Min(lendable, math.Max(g.Burst, math.Min(item.HeldTokens, held.burst)+g.Tokens))
	if g.Burst < minLoanBurst-rounding {
		g = Grant{Resource: item.Resource}
	}
	// The borrower may spend the burst that it holds before the grant arrives, and the
	// granted tokens afterwards. If it waits for the grant, it may spend the granted
	// burst. The loan is recorded with the larger of these two amounts.
	charge := math.Max(held.burst+g.Tokens, g.Burst)
	// The loan reduces the burst of the holder's bucket. Tokens that exceed the reduced
	// burst would be lost, so they go to the borrower, up to the burst of its loan.
	surplus := math.Max(0, a.tokens-g.Tokens-math.Max(0, free-charge))
	surplus = math.Min(surplus, math.Max(0, charge-held.burst-g.Tokens))
	g.Tokens += surplus
	a.tokens -= g.Tokens
	a.setLoan(loan{borrower: borrower, rate: math.Max(held.rate, g.Rate), burst: charge, requested: item.WantRate, end: end})
	a.clipTokens(lentBurst + charge)
	return g
}

// minLoanBurst is the least burst of a loan, in tokens. A smaller loan could never
// accrue a whole token, so no request could be paid from it.
const minLoanBurst = 1

// ownReserveTime is the time for which a holder keeps tokens for its own demand.
const ownReserveTime = 100 * time.Millisecond

// fairShare returns requested if the total demand is at most rate. Otherwise it returns
// the part of rate that is proportional to requested.
func fairShare(requested, rate, total float64) float64 {
	if total <= rate {
		return requested
	}
	return rate * requested / total
}

// reclaim reduces a borrower's loan to the rate and burst that the borrower's request
// states as held. It returns the reduced loan, or an empty loan if the borrower has
// none, for instance because the loan has expired. Except for slots, it adds the tokens
// that the request returns to the bucket, at most as many as the burst was reduced by.
func (a *account) reclaim(borrower Peer, item LoanItem) loan {
	i := a.loanIndex(borrower)
	if i < 0 {
		return loan{}
	}
	l := &a.loans[i]
	before := l.burst
	l.rate = math.Min(l.rate, item.HeldRate)
	l.burst = math.Min(l.burst, item.HeldBurst)
	if !a.isSlots {
		a.tokens += math.Min(item.Returned, before-l.burst)
	}
	_, burst, _ := a.lent(Peer{})
	a.clipTokens(burst)
	return *l
}

// lendSlots lends the slots that the borrower still holds and, as far as they are free,
// the additional slots that it requests.
func (a *account) lendSlots(end time.Time, borrower Peer, item LoanItem, held loan) Grant {
	_, lent, _ := a.lent(borrower)
	free := math.Max(0, a.burst-lent-held.burst-a.inUse)
	extra := math.Floor(math.Min(item.WantTokens, free))
	g := Grant{Resource: item.Resource, Burst: held.burst + extra, Tokens: extra}
	a.setLoan(loan{borrower: borrower, burst: g.Burst, requested: item.WantTokens, end: end})
	a.tokens = math.Max(0, a.burst-lent-g.Burst-a.inUse)
	return g
}
