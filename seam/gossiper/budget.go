package gossiper

import "time"

// budget is a token bucket that limits a rate. It holds at most the tokens of two
// seconds and can go into debt.
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

// spend deducts amount if at least some tokens are left, and reports whether it did. An
// amount greater than the tokens left is spent too and leaves a debt.
func (b *budget) spend(amount float64) bool {
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= amount
	return true
}

// charge spends amount even without tokens, for traffic that can't be refused. The debt
// is limited to the tokens of two seconds.
func (b *budget) charge(amount float64) {
	b.tokens = max(b.tokens-amount, -2*b.perSecond)
}
