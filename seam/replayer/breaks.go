package replayer

import (
	"strings"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

//go:generate stringer -type=Mechanism -trimprefix=Break -output=replayer_string.go

// Mechanism is a safeguard of the load balancer that a replay can turn off. A replay
// without the safeguard must find violations, which shows that the checks work.
type Mechanism int

const (
	// BreakNothing turns no mechanism off.
	BreakNothing Mechanism = iota
	// BreakLimits multiplies the limits of teams and links by the number of instances,
	// as if every instance could use each limit in full instead of its share.
	BreakLimits
	// BreakWithdrawal makes the instances ignore the withdrawal of API keys.
	BreakWithdrawal
	// BreakAtMostOnce makes the instances treat every request as idempotent.
	BreakAtMostOnce
	// BreakDrain hides drains from the instances: it removes the exceptions from the
	// configuration and the draining flag from the load reports of endpoints.
	BreakDrain
	// BreakNotRun reports every refused request as not run to the sender, even if an
	// endpoint has run the request or may have run it.
	BreakNotRun
	// BreakGracefulStop makes an instance crash when it is told to stop, which breaks
	// the connections of its open requests.
	BreakGracefulStop
	// BreakVersions makes an instance apply the first configuration of the trace
	// whenever it starts.
	BreakVersions
)

// Mechanisms lists the mechanisms that can be turned off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		BreakLimits, BreakWithdrawal, BreakAtMostOnce, BreakDrain,
		BreakNotRun, BreakGracefulStop, BreakVersions,
	}
}

// ParseMechanism returns the mechanism with the given name, such as "limits". It
// ignores case, and returns an error if no mechanism has the name.
func ParseMechanism(name string) (Mechanism, error) {
	for _, m := range Mechanisms() {
		if strings.EqualFold(m.String(), name) {
			return m, nil
		}
	}
	return BreakNothing, coder.Errorf(coder.TraceInvalid, "break", "unknown mechanism %q; use one of %v", name, Mechanisms())
}

// WithMechanismDisabled turns a mechanism off for the whole replay.
func WithMechanismDisabled(m Mechanism) Option { return func(r *replay) { r.disabledMechanism = m } }

// disableInConfig returns the configuration that the instances apply: doc, changed so
// that the disabled mechanism has no effect. Mechanisms that don't depend on the
// configuration leave doc as it is.
func (r *replay) disableInConfig(doc configurer.Document) configurer.Document {
	switch r.disabledMechanism {
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

// withFleetLimits returns doc with the limits of teams and links multiplied by the
// number of instances.
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
