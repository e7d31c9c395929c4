package demonstrator

import (
	"strings"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/daemon"
)

// testedMechanisms lists the daemon mechanisms that a run can disable. In a run that
// disables one of these mechanisms and injects the fault that the mechanism handles, the
// checker must report violations.
var testedMechanisms = []daemon.Mechanism{
	daemon.KeyStripping, daemon.KeyWithdrawal, daemon.AtMostOnce, daemon.RateLedger,
	daemon.GracefulStop, daemon.UpstreamDrain, daemon.EchoCheck, daemon.RegionScope,
}

// ParseMechanism returns the mechanism with the given name, such as "keyStripping". It
// returns an ArgumentInvalid error if the name is not in testedMechanisms.
func ParseMechanism(name string) (daemon.Mechanism, error) {
	var knownNames []string
	for _, m := range testedMechanisms {
		knownName := camelCase(m.String())
		if knownName == name {
			return m, nil
		}
		knownNames = append(knownNames, knownName)
	}
	return 0, coder.Errorf(coder.ArgumentInvalid, "--break", "unknown mechanism %q; use one of %s", name, strings.Join(knownNames, ", "))
}

// camelCase returns the name with its first letter in lower case.
func camelCase(name string) string { return strings.ToLower(name[:1]) + name[1:] }
