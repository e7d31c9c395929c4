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

// fakePeer answers calls for copies slowly and notes them.
type fakePeer struct {
	mu      sync.Mutex
	address string
	asked   map[string][]time.Time
	gives   map[string]follower.Delta
}

// peerDelay is how long a fake peer takes, as one in another region does.
const peerDelay = 150 * time.Millisecond

func newFakePeer(t *testing.T, gives ...follower.Delta) *fakePeer {
	t.Helper()
	p := &fakePeer{asked: map[string][]time.Time{}, gives: map[string]follower.Delta{}}
	for _, d := range gives {
		p.gives[d.Kind] = d
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
		p.asked[kind] = append(p.asked[kind], time.Now())
		if d, ok := p.gives[kind]; ok && d.Changed > from {
			a.Deltas = append(a.Deltas, d)
		}
	}
	return a
}

func (p *fakePeer) calls(kind string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.asked[kind])
}

// speaker sends heartbeats as if it were many instances.
type speaker struct {
	t      *testing.T
	socket *heartbeater.Heartbeater
	to     netip.AddrPort
}

func newSpeaker(t *testing.T, to string) *speaker {
	t.Helper()
	socket, err := heartbeater.Listen("127.0.0.1:0", func(conductor.Heartbeat) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return &speaker{t: t, socket: socket, to: netip.MustParseAddrPort(to)}
}

func (s *speaker) say(b conductor.Heartbeat) {
	if _, err := s.socket.Send(b, []netip.AddrPort{s.to}); err != nil {
		s.t.Error(err)
	}
}

// news is a heartbeat of an instance that has come to a position of a kind.
func news(instance int, peers, kind string, position uint64) conductor.Heartbeat {
	return conductor.Heartbeat{
		ID: fmt.Sprintf("peer-%d", instance), Started: 1, Serial: position, Region: "region-1", Zone: "z",
		CallerAddress: "127.0.0.1:2", PeerAddress: peers,
		Whole: true, States: []conductor.KindState{{Kind: kind, Position: position, Changed: position}},
	}
}

func TestNewsOfOneKindIsNotHeldUpByThatOfAnother(t *testing.T) {
	r := newRig(t)
	r.configure("key-1", "s")
	r.endpoint("e-1", "s", nil)
	run := r.start("one", &logSink{})
	run.until(5*time.Second, "ready", run.ready)
	endpoints := follower.Delta{Kind: platform.KindEndpoints, Position: 1000, Changed: 1000}
	peer := newFakePeer(t, endpoints)
	voice := newSpeaker(t, run.settings.Listen.Peers)
	for i := range 24 {
		voice.say(news(i, peer.address, platform.KindEndpoints, 1000))
	}
	// The first fetch is under way when the other kind changes.
	time.Sleep(peerDelay / 2)
	for i := range 24 {
		voice.say(news(i, peer.address, platform.KindConfig, 1001))
	}
	run.until(4*peerDelay, "configuration fetched", func() bool { return peer.calls(platform.KindConfig) > 0 })
	if n := peer.calls(platform.KindEndpoints); n > 2 {
		t.Errorf("the same news was fetched %d times", n)
	}
}
