package edger_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seamedge/heartbeater"
)

// fakePeer acts as an instance that answers calls for changes of store objects after a
// delay and records these calls.
type fakePeer struct {
	mu           sync.Mutex
	address      string
	requestTimes map[string][]time.Time
	deltas       map[string]follower.Delta
}

// peerDelay is how long a fake peer takes to answer a call, as if it were in another
// region.
const peerDelay = 150 * time.Millisecond

func newFakePeer(t *testing.T, deltas ...follower.Delta) *fakePeer {
	t.Helper()
	p := &fakePeer{requestTimes: map[string][]time.Time{}, deltas: map[string]follower.Delta{}}
	for _, d := range deltas {
		p.deltas[d.Kind] = d
	}
	path, handler := heartbeater.Handler(p.copies)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().String()
	return p
}

func (p *fakePeer) copies(r heartbeater.CopyRequest) heartbeater.CopyResponse {
	time.Sleep(peerDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	var a heartbeater.CopyResponse
	for kind, from := range r.Positions {
		p.requestTimes[kind] = append(p.requestTimes[kind], time.Now())
		if d, ok := p.deltas[kind]; ok && d.Changed > from {
			a.Deltas = append(a.Deltas, d)
		}
	}
	return a
}

func (p *fakePeer) calls(kind string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requestTimes[kind])
}

// heartbeatSender sends heartbeats in the names of many instances.
type heartbeatSender struct {
	t      *testing.T
	socket *heartbeater.Heartbeater
	to     netip.AddrPort
}

func newHeartbeatSender(t *testing.T, to string) *heartbeatSender {
	t.Helper()
	socket, err := heartbeater.Listen("127.0.0.1:0", func(conductor.Heartbeat) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return &heartbeatSender{t: t, socket: socket, to: netip.MustParseAddrPort(to)}
}

func (s *heartbeatSender) send(hb conductor.Heartbeat) {
	if _, err := s.socket.Send(hb, []netip.AddrPort{s.to}); err != nil {
		s.t.Error(err)
	}
}

// heartbeatAt returns a heartbeat of an instance that reports the position of its copy of
// one kind of object.
func heartbeatAt(instance int, peerAddress, kind string, position uint64) conductor.Heartbeat {
	return conductor.Heartbeat{
		ID: fmt.Sprintf("peer-%d", instance), StartedAtMs: 1, SequenceNumber: position, Region: "region-1", Zone: "z",
		CallerAddress: "127.0.0.1:2", PeerAddress: peerAddress,
		FullDemand: true, CopyStates: []conductor.CopyState{{Kind: kind, Position: position, Changed: position}},
	}
}

// Many instances announce a change of the endpoints. While this instance fetches the
// endpoints, they also announce a change of the configuration. This instance must fetch
// the configuration without waiting for the endpoints, and must not fetch the endpoints
// again for each announcement.
func TestFetchOfOneKindDoesNotDelayAnother(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "s")
	r.endpoint("e-1", "s", nil)
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	position, err := follower.NewPosition(1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := follower.Delta{Kind: platform.KindEndpoints, Position: position, Changed: position}
	peer := newFakePeer(t, endpoints)
	sender := newHeartbeatSender(t, run.settings.Listen.Peers)
	for i := range 24 {
		sender.send(heartbeatAt(i, peer.address, platform.KindEndpoints, position))
	}
	// Wait until the fetch of the endpoints is under way.
	time.Sleep(peerDelay / 2)
	for i := range 24 {
		sender.send(heartbeatAt(i, peer.address, platform.KindConfig, position+1))
	}
	run.waitFor(4*peerDelay, "configuration fetched", func() bool { return peer.calls(platform.KindConfig) > 0 })
	if n := peer.calls(platform.KindEndpoints); n > 2 {
		t.Errorf("the same change was fetched %d times", n)
	}
}
