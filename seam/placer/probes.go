package placer

import (
	"cmp"
	"slices"
	"time"
)

// ProbeTarget is an endpoint to which a probe may be sent.
type ProbeTarget struct {
	ID      string
	Address string
	// Path is the service's path for probes.
	Path string
}

// ProbeTargets returns the endpoints at the given addresses to which probes may be sent. These
// are the ones that get requests without restrictions: not those that leave, pause, are in an
// evacuated zone, are cold or name a rate limit.
func (b *Balancer) ProbeTargets(now time.Time, addresses []string) []ProbeTarget {
	var targets []ProbeTarget
	for _, e := range b.byID {
		path := b.service(e.spec.Service).spec.HealthPath
		if path == "" || !slices.Contains(addresses, e.spec.Address) || !b.getsRequests(now, e) {
			continue
		}
		targets = append(targets, ProbeTarget{ID: e.spec.ID, Address: e.spec.Address, Path: path})
	}
	slices.SortFunc(targets, func(x, y ProbeTarget) int { return cmp.Compare(x.ID, y.ID) })
	return targets
}

// getsRequests reports whether an endpoint gets requests without restrictions.
func (b *Balancer) getsRequests(now time.Time, e *endpoint) bool {
	return !e.spec.Draining && !e.withdrawal.active(now) && !b.evacuatedZones[e.spec.Zone] &&
		!e.isEjected(now) && !e.isCold(now) && !e.limit.named
}
