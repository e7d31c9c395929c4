package daemon

import (
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seamd/forwarder"
)

//go:generate stringer -type=Mechanism -output=mechanisms_string.go

// Mechanism is a part of the daemon that keeps a promise. Tests turn one off
// to show that a check notices; no setting does.
type Mechanism int

const (
	// KeyStripping takes callers' keys off requests to upstreams.
	KeyStripping Mechanism = iota + 1
	// KeyWithdrawal takes withdrawn keys out of use.
	KeyWithdrawal
	// AtMostOnce keeps non-idempotent requests from running again.
	AtMostOnce
	// RateLedger holds a team to its rate over all instances together.
	RateLedger
	// GracefulStop lets open requests end before the instance stops.
	GracefulStop
	// UpstreamDrain keeps new work off leaving upstreams.
	UpstreamDrain
	// EchoCheck compares an answer's request id with the request's.
	EchoCheck
)

// WithoutMechanism turns one mechanism off. It breaks a promise and is for
// tests of the checks alone.
func WithoutMechanism(m Mechanism) Option {
	return func(d *Daemon) {
		d.without = m
		switch m {
		case KeyStripping:
			d.forwarding = append(d.forwarding, forwarder.WithoutKeyStripping())
		case EchoCheck:
			d.forwarding = append(d.forwarding, forwarder.WithoutEchoCheck())
		}
	}
}

// weakened returns a configuration without the mechanism that is off.
func (d *Daemon) weakened(c *configurer.Config) *configurer.Config {
	doc := c.Document()
	switch d.without {
	case AtMostOnce:
		doc.Defaults.Routes = append([]configurer.Route(nil), doc.Defaults.Routes...)
		for i := range doc.Defaults.Routes {
			doc.Defaults.Routes[i].Idempotent = true
		}
	case RateLedger:
		doc.Defaults.Teams = append([]configurer.Team(nil), doc.Defaults.Teams...)
		for i := range doc.Defaults.Teams {
			doc.Defaults.Teams[i].RatePerSecond *= float64(doc.Defaults.FleetSize)
			doc.Defaults.Teams[i].Burst *= float64(doc.Defaults.FleetSize)
		}
	case UpstreamDrain:
		doc.Exceptions = withoutDrains(doc.Exceptions)
	default:
		return c
	}
	weaker, err := configurer.New(doc, c.Version())
	if err != nil {
		return c
	}
	return weaker
}

func withoutDrains(exceptions []configurer.Exception) []configurer.Exception {
	var rest []configurer.Exception
	for _, e := range exceptions {
		if e.Set.Draining == nil {
			rest = append(rest, e)
		}
	}
	return rest
}
