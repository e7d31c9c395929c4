package router

// LimitStatement is what an answer states of an endpoint's rate limit.
type LimitStatement int

const (
	// NoLimit means that the answer names no limit, so that none applies any longer.
	NoLimit LimitStatement = iota
	// InvalidLimit means that the answer names a limit that can't be read. What applied
	// before still applies.
	InvalidLimit
	// LimitNamed means that the answer names a limit.
	LimitNamed
)

// RateLimit is what an endpoint's answer states of the rate of requests that the endpoint
// takes from all instances together. PerSecond is set if Statement is LimitNamed; it is 0
// or more, and may be a fraction.
type RateLimit struct {
	Statement LimitStatement
	PerSecond float64
}
