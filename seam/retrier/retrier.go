// Package retrier bounds the traffic that retries and hedged requests add.
//
// Each first attempt adds a fraction of a token to a budget, and each retry or hedge
// costs a whole token. So even if every attempt fails, the extra load is at most that
// fraction of the traffic, plus the few tokens that had accumulated before.
//
// # Usage
//
//	b := retrier.NewBudget()
//	b.Earn()
//	if b.Spend() { ... }
package retrier

const (
	// defaultRetryRatio is the number of tokens that each first attempt adds.
	defaultRetryRatio = 0.1
	// defaultMaxTokens is the maximum number of tokens kept for a burst of retries,
	// for example when an endpoint fails with all its slots in use.
	defaultMaxTokens = 10
)

// Budget is a token bucket for retries and hedges. It is not safe for concurrent use.
type Budget struct {
	retryRatio float64
	maxTokens  float64
	tokens     float64
}

// Option configures a new budget.
type Option func(*Budget)

// WithRetryRatio sets the maximum ratio of retries and hedges to first attempts, 0 to 1.
func WithRetryRatio(ratio float64) Option { return func(b *Budget) { b.retryRatio = ratio } }

// WithMaxTokens sets the maximum number of tokens that the budget holds.
func WithMaxTokens(n int) Option { return func(b *Budget) { b.maxTokens = float64(n) } }

// NewBudget returns a full budget.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{retryRatio: defaultRetryRatio, maxTokens: defaultMaxTokens}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens = b.maxTokens
	return b
}

// Earn adds the tokens of a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.maxTokens, b.tokens+b.retryRatio) }

// Spend spends a token for a retry or hedge and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }
