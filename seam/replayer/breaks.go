package replayer

import (
	"strings"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

//go:generate stringer -type=Mechanism -trimprefix=Break -output=replayer_string.go

// Mechanism is a safeguard that a replay can turn off, to show that the checks
// detect its absence.
type Mechanism int

const (
	// BreakNothing turns no mechanism off.
	BreakNothing Mechanism = iota
	// BreakLimits multiplies the limits of teams and links by the size of the
	// fleet, as if every instance could use the whole of each limit.
	BreakLimits
	// BreakWithdrawal keeps withdrawn keys valid.
	BreakWithdrawal
	// BreakAtMostOnce treats every request as idempotent.
	BreakAtMostOnce
	// BreakDrain hides drains from the instances: those in the configuration and
	// those that endpoints report.
	BreakDrain
	// BreakNotRun reports every refused request as not run, even if an endpoint
	// may have run it.
	BreakNotRun
	// BreakGracefulStop breaks the connections of open requests at a planned stop.
	BreakGracefulStop
	// BreakVersions makes an instance apply the oldest configuration whenever it
	// starts.
	BreakVersions
)

// Mechanisms lists the mechanisms that can be turned off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		BreakLimits, BreakWithdrawal, BreakAtMostOnce, BreakDrain,
		BreakNotRun, BreakGracefulStop, BreakVersions,
	}
}

// ParseMechanism returns the mechanism with a name such as "limits". Case doesn't
// matter.
func ParseMechanism(name string) (Mechanism, error) {
	for _, m := range Mechanisms() {
		if strings.EqualFold(m.String(), name) {
			return m, nil
		}
	}
	return BreakNothing, coder.Errorf(coder.TraceInvalid, "break", "unknown mechanism %q; use one of %v", name, Mechanisms())
}

// WithMechanismDisabled turns one mechanism off.
func WithMechanismDisabled(m Mechanism) Option { return func(r *replay) { r.disabled = m } }

// disableInConfig returns the configuration that the instances get, without the
// disabled mechanism if it depends on the configuration.
func (r *replay) disableInConfig(doc configurer.Document) configurer.Document {
	switch r.disabled {
	case BreakLimits:
		return withFleetLimits(doc)
	case BreakAtMostOnce:
		routes := append([]configurer.Route(nil), doc.Defaults.Routes...)
		for i := range routes {
			routes[i].Idempotent = true
		}
		doc.Defaults.Routes = routes
	case BreakDrain:
		doc.Exceptions = nil
	}
	return doc
}

// withFleetLimits multiplies the limits of teams and links by the fleet's size.
func withFleetLimits(doc configurer.Document) configurer.Document {
	fleetSize := float64(doc.Defaults.FleetSize)
	teams := append([]configurer.Team(nil), doc.Defaults.Teams...)
	for i := range teams {
		teams[i].RatePerSecond *= fleetSize
		teams[i].Burst *= fleetSize
	}
	doc.Defaults.Teams = teams
	links := append([]configurer.Link(nil), doc.Defaults.Links...)
	for i := range links {
		links[i].CapBytesPerSecond *= int64(fleetSize)
		links[i].BurstBytes *= int64(fleetSize)
	}
	doc.Defaults.Links = links
	return doc
}
