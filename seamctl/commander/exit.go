package commander

import "primroseseam.org/seam/coder"

// Exit codes of seamctl.
const (
	exitOK               = 0
	exitFailed           = 1
	exitTraceInvalid     = 2
	exitConfigInvalid    = 3
	exitConflict         = 4
	exitNotInForce       = 5
	exitOutcomeUnknown   = 6
	exitStoreUnavailable = 7
	exitNotFound         = 8
	exitUsage            = 9
)

// exitCode maps the error code (see package coder) that an error carries to the exit code
// of seamctl. It returns exitFailed for an error without a code and for codes that have no
// exit code of their own.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	switch coder.CodeOf(err) {
	case coder.TraceInvalid:
		return exitTraceInvalid
	case coder.ArgumentInvalid:
		return exitUsage
	case coder.ConfigInvalid:
		return exitConfigInvalid
	case coder.ConfigConflict:
		return exitConflict
	case coder.ConfigNotInForce:
		return exitNotInForce
	case coder.StoreOutcomeUnknown:
		return exitOutcomeUnknown
	case coder.StoreUnavailable:
		return exitStoreUnavailable
	case coder.StoreNotFound:
		return exitNotFound
	}
	return exitFailed
}
