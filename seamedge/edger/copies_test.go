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
	// whole holds what is returned for the position 0, if it is there.
	whole map[string]follower.Delta
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
	p.address = serveCopies(t, p.copies)
	return p
}

// serveCopies answers calls for changes of store objects, as an instance does, and returns the address.
func serveCopies(t *testing.T, copies func(heartbeater.CopyRequest) heartbeater.CopyResponse) string {
	t.Helper()
	path, handler := heartbeater.Handler(copies)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (p *fakePeer) copies(r heartbeater.CopyRequest) heartbeater.CopyResponse {
	time.Sleep(peerDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	var a heartbeater.CopyResponse
	for kind, from := range r.Positions {
		p.requestTimes[kind] = append(p.requestTimes[kind], time.Now())
		if d, ok := p.whole[kind]; ok && from == 0 {
			a.Deltas = append(a.Deltas, d)
		} else if d, ok := p.deltas[kind]; ok && d.Changed > from {
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
	endpoints := follower.Delta{Kind: platform.KindEndpoints, Position: position, Changed: position, Complete: true}
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

// Guards against DRAIN while instances of an earlier version run beside this one: their changes
// lack removals of endpoints that they never had, so the whole copy must be fetched instead.
func TestChangesWithoutAllRemovalsAreRefused(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "s")
	r.endpoint("leaves", "s", nil)
	stays := r.endpoint("stays", "s", nil)
	logs := &logSink{}
	run := r.start("one", logs)
	run.waitFor(5*time.Second, "ready", run.ready)
	run.waitFor(5*time.Second, "both endpoints", func() bool { return run.gauge("seam_edge_endpoints_known") == 2 })
	position, err := follower.NewPosition(1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	peer := newFakePeer(t, follower.Delta{Kind: platform.KindEndpoints, From: 1, Position: position, Changed: position})
	object := follower.Object{Name: "stays", Revision: position, Spec: r.endpointEntry("s", r.addresses["stays"], "ready")}
	peer.whole = map[string]follower.Delta{platform.KindEndpoints: {
		Kind: platform.KindEndpoints, Position: position, Changed: position, Whole: true, Objects: []follower.Object{object},
	}}
	newHeartbeatSender(t, run.settings.Listen.Peers).send(heartbeatAt(1, peer.address, platform.KindEndpoints, position))
	run.waitFor(5*time.Second, "the whole copy", func() bool { return run.gauge("seam_edge_endpoints_known") == 1 })
	before := stays.Load()
	if a := run.post("/x/", "key-1", ""); a.status != http.StatusOK || stays.Load() != before+1 {
		t.Errorf("got status %d, %v", a.status, a.err)
	}
	if !logs.contains("copy: changes refused") || peer.calls(platform.KindEndpoints) != 2 {
		t.Errorf("%d calls, want 2; or the log has no line of the refusal", peer.calls(platform.KindEndpoints))
	}
}
