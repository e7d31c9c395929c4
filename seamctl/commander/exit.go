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

// exitCode returns the exit code of seamctl for an error. It depends on the code of package
// coder that the error carries. An error with any other code, or without a code, gives
// exitFailed.
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
