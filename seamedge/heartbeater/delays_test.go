package heartbeater

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
)

// Guards against CONFIG (review/7): what a heartbeat states must not count from its receipt if it
// lay in a queue before, whatever the clocks of the two machines show.
func TestDelaysAreTheTimeBeyondTheShortestWay(t *testing.T) {
	const way = 55 * time.Millisecond
	for _, ahead := range []time.Duration{-time.Hour, 0, time.Hour} {
		d := delays{}
		sender := lifetime{"edge-1", 1}
		made := 10 * time.Second
		for n, c := range []struct {
			after, late, want time.Duration
			known             bool
		}{
			{0, 40 * time.Millisecond, 0, false},
			{200 * time.Millisecond, 0, 0, false},
			{time.Second, 0, 0, true},
			{200 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, true},
			{200 * time.Millisecond, 1300 * time.Millisecond, 1300 * time.Millisecond, true},
			{70 * time.Second, 30 * time.Second, 30 * time.Second, true},
			{200 * time.Millisecond, 0, 0, true},
			{70 * time.Second, 0, 0, true},
		} {
			made += c.after
			delay, known := d.of(sender, made, made+ahead+way+c.late)
			if delay != c.want || known != c.known {
				t.Errorf("clock ahead by %v, heartbeat %d: delay %v, known %v; want %v, %v", ahead, n, delay, known, c.want, c.known)
			}
		}
		if _, known := d.of(lifetime{"edge-1", 2}, time.Second, time.Hour); known {
			t.Error("the way of an earlier lifetime counts for a later one")
		}
	}
}

// steppedClock is a clock that the test sets.
type steppedClock struct{ elapsed time.Duration }

func (c *steppedClock) Elapsed() time.Duration { return c.elapsed }

// Heartbeats that lay together in the socket of an instance that stood still, from a sender that it
// doesn't know, must not be taken for recent. The same holds for those of earlier builds, which
// don't state when they were made.
func TestHeartbeatsInTheSocketAreLate(t *testing.T) {
	received := make(chan conductor.Heartbeat, 8)
	clock := &steppedClock{}
	h, err := Listen("127.0.0.1:0", func(hb conductor.Heartbeat) { received <- hb }, func(err error) { t.Error(err) }, WithClock(clock))
	if err != nil {
		t.Fatal(err)
	}
	to := h.socket.LocalAddr().(*net.UDPAddr).AddrPort()
	from, err := Listen("127.0.0.1:0", func(conductor.Heartbeat) {}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.socket.Close() }()
	for _, madeAt := range []time.Duration{time.Second, 2 * time.Second, 0} {
		hb := conductor.Heartbeat{ID: "edge-1", StartedAtMs: 1, PeerAddress: from.Address(), CopyStatesOnly: true, MadeAt: madeAt}
		if _, err := from.Send(hb, []netip.AddrPort{to}); err != nil {
			t.Fatal(err)
		}
	}
	clock.elapsed = 3 * time.Second
	go h.Run(t.Context())
	for n := range 3 {
		if hb := <-received; hb.DelayKnown {
			t.Errorf("heartbeat %d, with others in the socket: delay %v", n, hb.Delay)
		}
	}
}
