package daemon

import (
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seamd/forwarder"
)

//go:generate stringer -type=Mechanism -output=mechanisms_string.go

// Mechanism is a part of the daemon that upholds a guarantee to callers, upstreams or
// operators. Tests turn one off to show that their checks detect it. No setting can turn
// one off.
type Mechanism int

const (
	// KeyStripping removes callers' keys from requests to upstreams.
	KeyStripping Mechanism = iota + 1
	// KeyWithdrawal stops accepting withdrawn keys.
	KeyWithdrawal
	// AtMostOnce prevents non-idempotent requests from running more than once.
	AtMostOnce
	// RateLedger limits the rate of a team over all instances together.
	RateLedger
	// GracefulStop completes open requests before the instance stops.
	GracefulStop
	// UpstreamDrain sends no new requests to draining upstreams.
	UpstreamDrain
	// EchoCheck verifies that an answer carries the id of its request.
	EchoCheck
)

// WithoutMechanism turns a mechanism off. It breaks a guarantee and is only for tests of
// the checks that must detect this.
func WithoutMechanism(m Mechanism) Option {
	return func(d *Daemon) {
		d.disabledMechanism = m
		switch m {
		case KeyStripping:
			d.forwarderOptions = append(d.forwarderOptions, forwarder.WithoutKeyStripping())
		case EchoCheck:
			d.forwarderOptions = append(d.forwarderOptions, forwarder.WithoutEchoCheck())
		}
	}
}

// disableMechanism returns the configuration changed such that the disabled mechanism
// has no effect, or c itself if that mechanism doesn't depend on the configuration.
func (d *Daemon) disableMechanism(c *configurer.Config) *configurer.Config {
	doc := c.Document()
	switch d.disabledMechanism {
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
	modified, err := configurer.New(doc, c.Version())
	if err != nil {
		return c
	}
	return modified
}

// withoutDrains returns the exceptions that don't set whether an endpoint is draining.
func withoutDrains(exceptions []configurer.Exception) []configurer.Exception {
	var rest []configurer.Exception
	for _, e := range exceptions {
		if e.Set.Draining == nil {
			rest = append(rest, e)
		}
	}
	return rest
}
