package gossiper

import "time"

// budget is a token bucket that limits a rate. It holds at most twice perSecond tokens,
// and the number of tokens can become negative, which is a debt.
type budget struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

func (b *budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens = 2 * b.perSecond
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.perSecond*elapsed.Seconds(), 2*b.perSecond)
		b.refilledAt = now
	}
}

// spend deducts amount and returns true if any tokens are left, even if amount is greater
// than the number of tokens left. Otherwise it deducts nothing and returns false.
func (b *budget) spend(amount float64) bool {
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= amount
	return true
}

// charge deducts amount even if no tokens are left, for traffic that can't be refused. The
// debt is limited to twice perSecond tokens.
func (b *budget) charge(amount float64) {
	b.tokens = max(b.tokens-amount, -2*b.perSecond)
}
