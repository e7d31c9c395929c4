package edger

import "testing"

func TestConnectionsStayBelowTheDescriptors(t *testing.T) {
	for _, descriptors := range []int{leastDescriptors, 1024, 4100, 8192, 1 << 20} {
		for _, elsewhere := range []int{0, 100, descriptors / 2} {
			s := shareSockets(descriptors, elsewhere)
			sockets := descriptors - fileDescriptors
			if s.callers > sockets-elsewhere && s.callers > leastCallers || s.callers < leastCallers {
				t.Errorf("%d descriptors, %d elsewhere: %d callers", descriptors, elsewhere, s.callers)
			}
			if rest := s.endpointsIdle + 4*s.others; rest > sockets {
				t.Errorf("%d descriptors: others may be %d", descriptors, rest)
			}
		}
	}
}
