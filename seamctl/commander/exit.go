package commander

import "primroseseam.org/seam/coder"

// Exit codes of the client.
const (
	exitOK              = 0
	exitFailed          = 1
	exitTraceInvalid    = 2
	exitInvalid         = 3
	exitConflict        = 4
	exitNotInForce      = 5
	exitOutcomeUnknown  = 6
	exitStoreDown       = 7
	exitNothingWithName = 8
	exitUsage           = 9
)

// exitCode returns the exit code for an error.
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
		return exitInvalid
	case coder.ConfigConflict:
		return exitConflict
	case coder.ConfigNotInForce:
		return exitNotInForce
	case coder.StoreOutcomeUnknown:
		return exitOutcomeUnknown
	case coder.StoreUnavailable:
		return exitStoreDown
	case coder.StoreNotFound:
		return exitNothingWithName
	}
	return exitFailed
}
