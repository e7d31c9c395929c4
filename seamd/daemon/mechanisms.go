package daemon

import (
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seamd/forwarder"
)

//go:generate stringer -type=Mechanism -output=mechanisms_string.go

// Mechanism is a part of the daemon that upholds a guarantee to callers, upstreams or
// operators. A test may disable a mechanism, to show that the test's checks detect the
// broken guarantee. No setting can disable a mechanism.
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
	// RegionScope sends requests only to upstreams of the instance's own region.
	RegionScope
)

// WithoutMechanism disables a mechanism, which breaks a guarantee. It is only for tests
// that show that a check detects the broken guarantee.
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

// disableMechanism returns a copy of the configuration in which the disabled mechanism
// has no effect. It returns c itself if no mechanism is disabled, if the disabled one
// doesn't depend on the configuration, or if the changed configuration would be invalid.
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
	case RegionScope:
		doc.Defaults.Services = d.withAllEndpointsLocal(doc.Defaults.Services)
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

// withAllEndpointsLocal returns the services with all endpoints placed in this instance's
// region.
func (d *Daemon) withAllEndpointsLocal(services []configurer.Service) []configurer.Service {
	local := append([]configurer.Service(nil), services...)
	for i := range local {
		local[i].Endpoints = append([]configurer.Endpoint(nil), local[i].Endpoints...)
		for k := range local[i].Endpoints {
			e := &local[i].Endpoints[k]
			e.Region, e.FailureDomain = d.settings.Instance.Region, d.settings.Instance.FailureDomain
		}
	}
	return local
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
