// Package retrier bounds how much traffic retries and hedges may add.
//
// Each first attempt earns a part of a token; each retry or hedge spends a
// whole one. When every attempt fails, the extra load is at most that part of
// the traffic, plus the few tokens that were saved before.
//
// # Usage
//
//	b := retrier.NewBudget()
//	b.Earn()
//	if b.Spend() { ... }
package retrier

const (
	// defaultFraction is the part of first attempts that may be repeated.
	defaultFraction = 0.1
	// defaultSaved is the greatest number of tokens kept for a burst, such as
	// an endpoint that fails with all its slots in use.
	defaultSaved = 10
)

// Budget counts what may be repeated. It is not safe for concurrent use.
type Budget struct {
	fraction float64
	saved    float64
	tokens   float64
}

// Option changes a budget at its creation.
type Option func(*Budget)

// WithFraction sets the part of first attempts, 0 to 1, that may be repeated.
func WithFraction(part float64) Option { return func(b *Budget) { b.fraction = part } }

// WithSaved sets the greatest number of tokens that are kept.
func WithSaved(n int) Option { return func(b *Budget) { b.saved = float64(n) } }

// NewBudget returns a budget that holds all the tokens it may keep.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{fraction: defaultFraction, saved: defaultSaved}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens = b.saved
	return b
}

// Earn counts a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.saved, b.tokens+b.fraction) }

// Spend takes the token of a retry or hedge and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the tokens that are left.
func (b *Budget) Tokens() float64 { return b.tokens }
