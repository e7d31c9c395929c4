// Package retrier bounds the number of retries and hedges. A hedge is a second attempt at
// a request, in parallel to a slow first attempt. Package decider uses retrier for the
// fleet daemon seamd, with one budget for each service.
//
// Each first attempt at a request adds a fraction of a token to the budget, and each
// retry or hedge costs a whole token. So even if every attempt fails, the number of
// retries and hedges is at most that fraction of the number of requests, plus the tokens
// that were in the budget at the start.
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
	// defaultMaxTokens is the maximum number of tokens in the budget. It allows a burst
	// of retries, for example when an endpoint fails while all its slots are in use.
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

// WithRetryRatio sets the number of tokens that each first attempt adds, from 0 to 1. It
// is the highest ratio of retries and hedges to first attempts in the long run.
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

// Earn adds the fraction of a token that a first attempt adds, up to the maximum number
// of tokens.
func (b *Budget) Earn() { b.tokens = min(b.maxTokens, b.tokens+b.retryRatio) }

// Spend removes a token for a retry or hedge and returns true. If less than one token is
// left, it removes nothing and returns false, and the attempt must not be made.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }
