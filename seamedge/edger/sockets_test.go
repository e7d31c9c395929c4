package edger

import "testing"

// The limit on callers' connections must leave enough sockets for all other open
// connections, but must never be below minCallers. The other limits together must not
// exceed the number of sockets.
func TestConnectionsStayBelowTheDescriptors(t *testing.T) {
	for _, descriptors := range []int{minDescriptors, 1024, 4100, 8192, 1 << 20} {
		for _, nonCallerConns := range []int{0, 100, descriptors / 2} {
			s := divideSockets(descriptors, nonCallerConns)
			sockets := descriptors - reservedDescriptors
			if s.callers > sockets-nonCallerConns && s.callers > minCallers || s.callers < minCallers {
				t.Errorf("%d descriptors, %d other connections: limit of %d callers", descriptors, nonCallerConns, s.callers)
			}
			if rest := s.endpointsIdle + 4*s.others; rest > sockets {
				t.Errorf("%d descriptors: limits of the other kinds add up to %d", descriptors, rest)
			}
		}
	}
}
