package decider

import "time"

// ServiceLoad is what an instance tells its peers about one service.
type ServiceLoad struct {
	Service  string
	InFlight int
	Queued   int
	// FreeSlots counts the slots of the own region's endpoints that are free as
	// far as this instance knows.
	FreeSlots int
}

// ServiceLoads returns the load of every service, in the configuration's order.
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
