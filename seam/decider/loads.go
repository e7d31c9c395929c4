package decider

import "time"

// ServiceLoad is an instance's load for one service, as it reports it to its peers.
type ServiceLoad struct {
	Service  string
	InFlight int
	Queued   int
	// FreeSlots is the instance's estimate of the free slots of endpoints in its
	// region.
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
