package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/picker"
)

// configChanged applies a configuration if its version is greater than that of the
// configuration in force. It returns the ledger's commands for the changed limits.
func (m *Model) configChanged(now time.Time, msg ConfigChanged) []Cmd {
	if m.config != nil && msg.Config.Version() <= m.config.Version() {
		return nil
	}
	m.config = msg.Config.At(now)
	m.nextExpiry, _ = msg.Config.NextExpiry(now)
	cmds := m.configureLimits(now)
	m.updatePools(now)
	return cmds
}

// updatePools sets the endpoints of each service's pool to the configured ones. It adds
// new services, and removes the endpoints of services that are no longer configured.
func (m *Model) updatePools(now time.Time) {
	m.peers.epoch++
	m.dropServices(now)
	for _, configured := range m.config.Services() {
		endpoints := make([]picker.Endpoint, 0, len(configured.Endpoints))
		for _, e := range configured.Endpoints {
			endpoints = append(endpoints, picker.NewEndpoint(e.Address, e.Region, e.Slots, e.Draining))
		}
		if s, ok := m.services[configured.Name]; ok {
			s.pool.Update(now, endpoints)
			continue
		}
		m.services[configured.Name] = newService(configured.Name, picker.NewPool(endpoints, picker.WithPolicy(m.policy)))
	}
}

// dropServices removes the endpoints of services that are no longer configured. The
// services themselves are kept, so that attempts in flight can end. The next Ticked
// message refuses the requests that are queued for them.
func (m *Model) dropServices(now time.Time) {
	for name, s := range m.services {
		if _, ok := m.config.Service(name); !ok {
			s.pool.Update(now, nil)
		}
	}
}

// orderedServices returns all services sorted by name, including those that are no
// longer configured.
func (m *Model) orderedServices() []*service {
	services := make([]*service, 0, len(m.services))
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		services = append(services, m.services[name])
	}
	return services
}

// configuredServices returns the services of the configuration in force, or nil if there
// is no configuration yet.
func (m *Model) configuredServices() []configurer.Service {
	if m.config == nil {
		return nil
	}
	return m.config.Services()
}

// Config returns the configuration in force, or nil if there is none yet.
func (m *Model) Config() *configurer.Config { return m.config }
