package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/picker"
)

// configChanged takes a configuration that is newer than the one in force.
func (m *Model) configChanged(now time.Time, msg ConfigChanged) []Cmd {
	if m.config != nil && msg.Config.Version() <= m.config.Version() {
		return nil
	}
	m.config = msg.Config.At(now)
	m.expiry, _ = msg.Config.NextExpiry(now)
	cmds := m.configureLimits(now)
	m.updatePools(now)
	return cmds
}

func (m *Model) updatePools(now time.Time) {
	m.peers.epoch++
	m.dropServices(now)
	for _, configured := range m.config.Services() {
		endpoints := make([]picker.Endpoint, 0, len(configured.Endpoints))
		for _, p := range configured.Endpoints {
			endpoints = append(endpoints, picker.NewEndpoint(p.Address, p.Region, p.Slots, p.Draining))
		}
		if s, ok := m.services[configured.Name]; ok {
			s.pool.Update(now, endpoints)
			continue
		}
		m.services[configured.Name] = newService(configured.Name, picker.NewPool(endpoints, picker.WithPolicy(m.policy)))
	}
}

// dropServices takes the endpoints of services that are no longer configured.
// Requests in progress end there; the next tick refuses those that wait.
func (m *Model) dropServices(now time.Time) {
	for name, s := range m.services {
		if _, ok := m.config.Service(name); !ok {
			s.pool.Update(now, nil)
		}
	}
}

// orderedServices returns all services, dropped ones included, by name.
func (m *Model) orderedServices() []*service {
	services := make([]*service, 0, len(m.services))
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		services = append(services, m.services[name])
	}
	return services
}

func (m *Model) configuredServices() []configurer.Service {
	if m.config == nil {
		return nil
	}
	return m.config.Services()
}

// Config returns the configuration in force, or nil.
func (m *Model) Config() *configurer.Config { return m.config }
