package replayer

import (
	"strings"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

//go:generate stringer -type=Mechanism -trimprefix=Break -output=replayer_string.go

// Mechanism is something that a replay can turn off, to show that its checks
// catch the loss.
type Mechanism int

const (
	// BreakNothing leaves all mechanisms on.
	BreakNothing Mechanism = iota
	// BreakLimits gives every instance the whole fleet's rates and links.
	BreakLimits
	// BreakWithdrawal keeps withdrawn keys in force.
	BreakWithdrawal
	// BreakAtMostOnce treats every request as idempotent.
	BreakAtMostOnce
	// BreakDrain hides drains from the instances.
	BreakDrain
	// BreakNotRun calls every refused request not run.
	BreakNotRun
	// BreakGracefulStop cuts open requests at a planned stop.
	BreakGracefulStop
	// BreakVersions lets an instance go back to an older configuration.
	BreakVersions
)

// Mechanisms lists what can be broken.
func Mechanisms() []Mechanism {
	return []Mechanism{
		BreakLimits, BreakWithdrawal, BreakAtMostOnce, BreakDrain,
		BreakNotRun, BreakGracefulStop, BreakVersions,
	}
}

// ParseMechanism returns the mechanism of a name such as "limits".
func ParseMechanism(name string) (Mechanism, error) {
	for _, m := range Mechanisms() {
		if strings.EqualFold(m.String(), name) {
			return m, nil
		}
	}
	return BreakNothing, coder.Errorf(coder.TraceInvalid, "break", "no mechanism %q; use one of %v", name, Mechanisms())
}

// WithMechanismDisabled turns one mechanism off.
func WithMechanismDisabled(m Mechanism) Option { return func(r *replay) { r.broken = m } }

// damage changes the configuration that an instance gets.
func (r *replay) damage(doc configurer.Document) configurer.Document {
	switch r.broken {
	case BreakLimits:
		return withoutLimits(doc)
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

func withoutLimits(doc configurer.Document) configurer.Document {
	fleet := float64(doc.Defaults.FleetSize)
	teams := append([]configurer.Team(nil), doc.Defaults.Teams...)
	for i := range teams {
		teams[i].RatePerSecond *= fleet
		teams[i].Burst *= fleet
	}
	doc.Defaults.Teams = teams
	links := append([]configurer.Link(nil), doc.Defaults.Links...)
	for i := range links {
		links[i].CapBytesPerSecond *= int64(fleet)
		links[i].BurstBytes *= int64(fleet)
	}
	doc.Defaults.Links = links
	return doc
}
