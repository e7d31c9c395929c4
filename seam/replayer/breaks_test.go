package replayer_test

import (
	"testing"

	"primroseseam.org/seam/replayer"
)

// scenarioFor returns the name of the scenario whose replay must find violations when
// the mechanism m is turned off.
func scenarioFor(m replayer.Mechanism) string {
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

// violations returns the sum of the violations of all promises in a result.
func violations(r replayer.Result) int {
	sum := 0
	for _, p := range r.Promises {
		sum += p.Violations
	}
	return sum
}

// TestLossOfAMechanismIsCaught guards against checks that detect nothing. For each
// mechanism it replays a trace with the mechanism on and off. With the mechanism off,
// an outcome must fail and the number of violations must be higher.
func TestLossOfAMechanismIsCaught(t *testing.T) {
	for _, m := range replayer.Mechanisms() {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			trace := makeTrace(t, "nathibandh", scenarioFor(m))
			intact := violations(replayer.Replay(trace))
			disabled := replayer.Replay(trace, replayer.WithMechanismDisabled(m))
			if disabled.Holds() || violations(disabled) <= intact {
				t.Errorf("%d violations with the mechanism off, %d with it on, outcomes hold %v", violations(disabled), intact, disabled.Holds())
			}
		})
	}
}
