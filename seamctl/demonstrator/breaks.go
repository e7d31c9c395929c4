package demonstrator

import (
	"strings"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/daemon"
)

// breakable lists the mechanisms that a run can turn off, to show that the
// checker notices.
var breakable = []daemon.Mechanism{
	daemon.KeyStripping, daemon.KeyWithdrawal, daemon.AtMostOnce, daemon.RateLedger,
	daemon.GracefulStop, daemon.UpstreamDrain, daemon.EchoCheck,
}

// ParseMechanism returns the mechanism of a name such as "keyStripping".
func ParseMechanism(name string) (daemon.Mechanism, error) {
	var names []string
	for _, m := range breakable {
		known := camelCase(m.String())
		if known == name {
			return m, nil
		}
		names = append(names, known)
	}
	return 0, coder.Errorf(coder.ArgumentInvalid, "--break", "no mechanism %q; use one of %s", name, strings.Join(names, ", "))
}

func camelCase(name string) string { return strings.ToLower(name[:1]) + name[1:] }
