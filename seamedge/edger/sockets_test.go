package edger

import "testing"

// The limit on callers must leave room for the connections elsewhere, and the limits
// on the other kinds must fit into the descriptors together.
func TestConnectionsStayBelowTheDescriptors(t *testing.T) {
	for _, descriptors := range []int{minDescriptors, 1024, 4100, 8192, 1 << 20} {
		for _, elsewhere := range []int{0, 100, descriptors / 2} {
			s := divideSockets(descriptors, elsewhere)
			sockets := descriptors - reservedDescriptors
			if s.callers > sockets-elsewhere && s.callers > minCallers || s.callers < minCallers {
				t.Errorf("%d descriptors, %d connections elsewhere: limit of %d callers", descriptors, elsewhere, s.callers)
			}
			if rest := s.endpointsIdle + 4*s.others; rest > sockets {
				t.Errorf("%d descriptors: limits of the other kinds add up to %d", descriptors, rest)
			}
		}
	}
}
