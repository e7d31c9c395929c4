package gossiper

import "time"

// budget bounds a rate. It holds at most two seconds' worth.
type budget struct {
	perSecond float64
	left      float64
	at        time.Time
}

func (b *budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.left = 2 * b.perSecond
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.left = min(b.left+b.perSecond*elapsed.Seconds(), 2*b.perSecond)
		b.at = now
	}
}

// take spends an amount if any budget is left; the rest is owed.
func (b *budget) take(amount float64) bool {
	if b.left <= 0 {
		return false
	}
	b.left -= amount
	return true
}

// charge spends an amount that could not be refused; debt is bounded.
func (b *budget) charge(amount float64) {
	b.left = max(b.left-amount, -2*b.perSecond)
}
