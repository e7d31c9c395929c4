package decider

import (
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/picker"
	"primroseseam.org/seam/queuer"
)

// configChanged takes a configuration that is newer than the one in force.
func (m *Model) configChanged(now time.Time, msg ConfigChanged) []Cmd {
	if m.config != nil && msg.Config.Version() <= m.config.Version() {
		return nil
	}
	m.config = msg.Config.At(now)
	m.expiry, _ = msg.Config.NextExpiry(now)
	cmds := m.configureLimits(now)
	m.updatePools()
	return cmds
}

func (m *Model) updatePools() {
	for _, configured := range m.config.Services() {
		endpoints := make([]picker.Endpoint, 0, len(configured.Endpoints))
		for _, p := range configured.Endpoints {
			endpoints = append(endpoints, picker.NewEndpoint(p.Address, p.Region, p.Slots, p.Draining))
		}
		if s, ok := m.services[configured.Name]; ok {
			s.pool.Update(endpoints)
			continue
		}
		m.services[configured.Name] = &service{pool: picker.NewPool(endpoints), queue: queuer.New()}
	}
}

func (m *Model) configuredServices() []configurer.Service {
	if m.config == nil {
		return nil
	}
	return m.config.Services()
}

// Config returns the configuration in force, or nil.
func (m *Model) Config() *configurer.Config { return m.config }
