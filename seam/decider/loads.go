package decider

import "time"

// ServiceLoad is the load of one instance for one service. Instances report it to their
// peers.
type ServiceLoad struct {
	Service string
	// InFlight is the number of the instance's requests in flight at the service's
	// endpoints in its own region. Queued is the number of its requests for the service
	// that wait for a slot.
	InFlight int
	Queued   int
	// FreeSlots is the instance's estimate of the free slots at the service's endpoints
	// in its own region.
	FreeSlots int
}

// ServiceLoads returns the load of every configured service, in the order of the
// configuration.
func (m *Model) ServiceLoads(now time.Time) []ServiceLoad {
	var loads []ServiceLoad
	for _, configured := range m.configuredServices() {
		s := m.services[configured.Name]
		inFlight, free := s.pool.Load(now, m.self.region)
		loads = append(loads, ServiceLoad{
			Service: configured.Name, InFlight: inFlight, Queued: s.queue.Len(), FreeSlots: free,
		})
	}
	return loads
}
