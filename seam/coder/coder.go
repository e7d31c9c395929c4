// Package coder numbers every result that the system reports.
//
// A [Code] is stable: it appears in refusals, in errors of the command line
// and in logs, and docs/CODES.md lists what an operator should do about each.
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

// Code is a numbered result.
type Code int

// Results of a request.
const (
	// OK reports success.
	OK Code = 0

	// KeyMissing means that the request carried no key.
	KeyMissing Code = 100
	// KeyUnknown means that no team owns the key, or that it was withdrawn.
	KeyUnknown Code = 101
	// KeyEvidenceStale means that the instance can't vouch for keys now.
	KeyEvidenceStale Code = 102
	// RouteUnknown means that no route matches the path.
	RouteUnknown Code = 103
	// RequestMalformed means that the request breaks HTTP framing or limits.
	RequestMalformed Code = 104

	// TeamOverRate means that the team has used its rate and burst.
	TeamOverRate Code = 110
	// DeadlineUnreachable means that the queue is too long for the deadline.
	DeadlineUnreachable Code = 111
	// QueueFull means that the team's queue holds its maximum.
	QueueFull Code = 112
	// NoUpstream means that no endpoint may take the request.
	NoUpstream Code = 113
	// Stopping means that the instance is shutting down.
	Stopping Code = 114
	// NoConfiguration means that the instance knows no configuration yet.
	NoConfiguration Code = 116
	// LinkCapReached means that the link's cap leaves no room for the request.
	LinkCapReached Code = 115

	// UpstreamFailed means that the upstream gave no usable answer.
	UpstreamFailed Code = 120
	// UpstreamTimeout means that the deadline passed after forwarding.
	UpstreamTimeout Code = 121
	// AnswerMismatched means that the answer belonged to another request.
	AnswerMismatched Code = 122
	// OutcomeUnknown means that the home of the request's name is gone.
	OutcomeUnknown Code = 123
	// CallerGone means that the caller cancelled or disconnected.
	CallerGone Code = 124
)

// Results of configuration, settings and store calls.
const (
	// ConfigInvalid means that a configuration document failed its checks.
	ConfigInvalid Code = 200
	// ConfigConflict means that another change was accepted first.
	ConfigConflict Code = 201
	// ConfigNotInForce means that some instance doesn't run the version yet.
	ConfigNotInForce Code = 202
	// SettingsInvalid means that a settings file failed its checks.
	SettingsInvalid Code = 210
	// ArgumentInvalid means that a flag or argument has no valid value.
	ArgumentInvalid Code = 220

	// StoreUnavailable means that the platform's store didn't answer.
	StoreUnavailable Code = 300
	// StoreConflict means that a conditional update lost to another.
	StoreConflict Code = 301
	// StoreNotFound means that the store has no such object.
	StoreNotFound Code = 302
	// StoreCompacted means that a watch position is older than the store keeps.
	StoreCompacted Code = 303
	// StoreOutcomeUnknown means that a write may or may not have been applied.
	StoreOutcomeUnknown Code = 304

	// PeerUnauthenticated means that a peer or an operator didn't prove itself.
	PeerUnauthenticated Code = 400
)

// Results of traces and replays.
const (
	// TraceInvalid means that a trace failed its checks.
	TraceInvalid Code = 500
	// OutcomeMissed means that a replay missed an outcome that its trace states.
	OutcomeMissed Code = 501
)

// Ran tells whether a refused request reached an upstream.
type Ran int

const (
	// NotRun means that no upstream saw the request.
	NotRun Ran = iota
	// MayHaveRun means that an upstream may have run the request.
	MayHaveRun
	// HasRun means that an upstream ran the request.
	HasRun
)

// Error is an error with a numbered code and the path of what is at fault.
type Error struct {
	code   Code
	path   string
	reason string
	cause  error
}

// Errorf returns an [Error] for path; the path may be empty.
func Errorf(code Code, path, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{code: code, path: path, reason: err.Error(), cause: errors.Unwrap(err)}
}

// Code returns the numbered code.
func (e *Error) Code() Code { return e.code }

// Path returns the path of the field at fault, or "".
func (e *Error) Path() string { return e.path }

// Error implements error.
func (e *Error) Error() string {
	if e.path == "" {
		return fmt.Sprintf("%s (%d): %s", e.code, int(e.code), e.reason)
	}
	return fmt.Sprintf("%s (%d): %s: %s", e.code, int(e.code), e.path, e.reason)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// CodeOf returns the code that err carries, or OK if it carries none.
func CodeOf(err error) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.code
	}
	return OK
}
