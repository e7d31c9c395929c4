// Package coder defines the numbered error codes of the load balancer and its tools. The
// fleet daemon seamd, the edge daemon seamedge and the operators' client seamctl use it.
//
// The number and name of a code don't change. Codes appear in logs, in errors on the
// command line and in refusals. A refusal is an error response of the load balancer
// itself. docs/CODES.md lists what an operator should do about each code.
//
// # Usage
//
//	err := coder.Errorf(coder.ConfigInvalid, "defaults.teams[2].ratePerSecond", "must be positive")
//	if coder.CodeOf(err) == coder.ConfigInvalid { ... }
package coder

import (
	"errors"
	"fmt"
)

//go:generate stringer -type=Code,Ran -output=coder_string.go

// Code is the numbered result of an operation. Every code except OK is an error.
type Code int

// Results of a request.
const (
	// OK reports success.
	OK Code = 0

	// KeyMissing means that the request has no API key.
	KeyMissing Code = 100
	// KeyUnknown means that the API key doesn't exist, that it was withdrawn, that it
	// has expired, or that its team isn't in the configuration.
	KeyUnknown Code = 101
	// KeyEvidenceStale means that too much time has passed since the instance last
	// confirmed that its list of API keys is up to date.
	KeyEvidenceStale Code = 102
	// RouteUnknown means that no route matches the path, or that the team may not use
	// the route.
	RouteUnknown Code = 103
	// RequestMalformed means that the request violates HTTP framing, that it exceeds a
	// limit, that its Seam-Name header is invalid, or that its URL contains the API
	// key.
	RequestMalformed Code = 104

	// TeamOverRate means that the team has exceeded its rate limit.
	TeamOverRate Code = 110
	// DeadlineUnreachable means that the request can't meet its deadline: it has waited
	// in the queue for too long, or would have to.
	DeadlineUnreachable Code = 111
	// QueueFull means that the team's queue has reached its maximum length.
	QueueFull Code = 112
	// NoUpstream means that no endpoint is available for the request.
	NoUpstream Code = 113
	// Stopping means that the instance is shutting down or hasn't finished starting.
	Stopping Code = 114
	// NoConfiguration means that the instance hasn't received a configuration yet.
	NoConfiguration Code = 116
	// RequestQuarantined means that several upstreams have ended while they ran such a
	// request, so it isn't sent to more of them.
	RequestQuarantined Code = 117
	// NoRoom means that the instance holds too much for its clients to take the request.
	NoRoom Code = 118
	// CallerTooSlow means that the body of the request did not arrive in time.
	CallerTooSlow Code = 119
	// LinkCapReached means that the request would exceed the bandwidth limit of a link
	// between regions.
	LinkCapReached Code = 115

	// UpstreamFailed means that the upstream couldn't be reached, that it sent no valid
	// response, or that it reported that it didn't run the request.
	UpstreamFailed Code = 120
	// UpstreamTimeout means that the deadline passed after the request was forwarded.
	UpstreamTimeout Code = 121
	// AnswerMismatched means that the response belonged to another request.
	AnswerMismatched Code = 122
	// OutcomeUnknown means that the request may have been executed, but that its
	// response isn't available. Either no complete response arrived, or the request
	// repeats an earlier request with the same name. In the second case, the instance
	// that recorded the earlier request is gone or didn't keep its response.
	OutcomeUnknown Code = 123
	// CallerGone means that the caller cancelled the request or disconnected.
	CallerGone Code = 124
	// InternalError means that the instance itself failed while it handled the request.
	InternalError Code = 125
	// NoHomeInstance means that a lookup names no instance: none is alive in the caller's
	// region or in a region that is home to all routes of the host that have homes.
	NoHomeInstance Code = 126
)

// Results of configuration, settings and store calls.
const (
	// ConfigInvalid means that a configuration document is invalid.
	ConfigInvalid Code = 200
	// ConfigConflict means that another change to the configuration was accepted first.
	ConfigConflict Code = 201
	// ConfigNotInForce means that not every instance is known to use a change yet.
	ConfigNotInForce Code = 202
	// SettingsInvalid means that a settings file is invalid.
	SettingsInvalid Code = 210
	// ArgumentInvalid means that a flag or argument has an invalid value.
	ArgumentInvalid Code = 220

	// StoreUnavailable means that the platform's store didn't respond.
	StoreUnavailable Code = 300
	// StoreConflict means that a conditional write failed because the object in the
	// store had changed.
	StoreConflict Code = 301
	// StoreNotFound means that the store has no such object.
	StoreNotFound Code = 302
	// StoreCompacted means that the store no longer has all changes after the position
	// from which a watch starts.
	StoreCompacted Code = 303
	// StoreOutcomeUnknown means that a write got no response and may or may not have
	// been applied.
	StoreOutcomeUnknown Code = 304

	// PeerUnauthenticated means that a peer or an operator didn't prove possession of
	// the shared secret.
	PeerUnauthenticated Code = 400
)

// Results of traces and replays.
const (
	// TraceInvalid means that a trace is invalid.
	TraceInvalid Code = 500
	// OutcomeMissed means that the replay of a trace didn't have an outcome that the
	// trace expects.
	OutcomeMissed Code = 501
)

// Ran states whether an upstream executed a request.
type Ran int

const (
	// NotRun means that no upstream executed the request, so that it can be retried
	// safely.
	NotRun Ran = iota
	// MayHaveRun means that an upstream may have executed the request.
	MayHaveRun
	// HasRun means that an upstream executed the request.
	HasRun
)

// Error is an error with a code and a path. The path names the field, object or other item
// that caused the error.
type Error struct {
	code   Code
	path   string
	reason string
	cause  error
}

// Errorf returns an [Error] with a formatted message. The path may be empty. If exactly one
// argument is formatted with %w, that error is the cause.
func Errorf(code Code, path, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{code: code, path: path, reason: err.Error(), cause: errors.Unwrap(err)}
}

// Code returns the error's code.
func (e *Error) Code() Code { return e.code }

// Path returns the path of the item that caused the error, or "".
func (e *Error) Path() string { return e.path }

// Error implements error.
func (e *Error) Error() string {
	if e.path == "" {
		return fmt.Sprintf("%s (%d): %s", e.code, int(e.code), e.reason)
	}
	return fmt.Sprintf("%s (%d): %s: %s", e.code, int(e.code), e.path, e.reason)
}

// Unwrap returns the cause, or nil if the error has no cause.
func (e *Error) Unwrap() error { return e.cause }

// CodeOf returns the code of the first [Error] in err's tree. If the tree has no [Error],
// CodeOf returns OK, even if err isn't nil.
func CodeOf(err error) Code {
	var codeErr *Error
	if errors.As(err, &codeErr) {
		return codeErr.code
	}
	return OK
}
