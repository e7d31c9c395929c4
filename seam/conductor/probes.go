package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

// ProbeTargets returns the endpoints at the given addresses to which probes may be sent, in
// order to keep connections to them open. There are none while the instance stops.
func (m *Model) ProbeTargets(now time.Time, addresses []string) []placer.ProbeTarget {
	if !m.stopRequestedAt.IsZero() {
		return nil
	}
	return m.balancer.ProbeTargets(now, addresses)
}
