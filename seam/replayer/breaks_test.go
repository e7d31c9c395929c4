package replayer_test

import (
	"testing"

	"primroseseam.org/seam/replayer"
)

// caught names the scenario that is meant to catch the loss of a mechanism.
func caught(m replayer.Mechanism) string {
	switch m {
	case replayer.BreakLimits:
		return "deadlineSurge"
	case replayer.BreakWithdrawal:
		return "keyWithdrawn"
	case replayer.BreakAtMostOnce:
		return "failingUpstream"
	case replayer.BreakNotRun:
		return "silentConnections"
	case replayer.BreakDrain:
		return "domainDrain"
	case replayer.BreakGracefulStop, replayer.BreakVersions:
		return "rollingReplace"
	}
	return ""
}

func violations(r replayer.Result) int {
	sum := 0
	for _, p := range r.Promises {
		sum += p.Violations
	}
	return sum
}

func TestLossOfAMechanismIsCaught(t *testing.T) {
	for _, m := range replayer.Mechanisms() {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			trace := makeTrace(t, "nathibandh", caught(m))
			whole := violations(replayer.Replay(trace))
			broken := replayer.Replay(trace, replayer.WithMechanismDisabled(m))
			if broken.Holds() || violations(broken) <= whole {
				t.Errorf("%d violations broken, %d whole, holds %v", violations(broken), whole, broken.Holds())
			}
		})
	}
}
