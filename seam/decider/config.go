package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/picker"
)

// configChanged applies a configuration if it is newer than the current one.
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

// updatePools applies the configured endpoints to the pool of each service, and
// creates the pools of new services.
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

// dropServices removes the endpoints of services that are no longer configured.
// Attempts in flight may still end; the next tick refuses queued requests.
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

func (m *Model) configuredServices() []configurer.Service {
	if m.config == nil {
		return nil
	}
	return m.config.Services()
}

// Config returns the current configuration, or nil.
func (m *Model) Config() *configurer.Config { return m.config }
