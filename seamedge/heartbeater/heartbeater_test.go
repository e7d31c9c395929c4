package heartbeater_test

import (
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seamedge/heartbeater"
)

// beatOf returns a heartbeat of an instance that is busy at some endpoints and
// serves some teams.
func beatOf(endpoints, teams int) conductor.Heartbeat {
	b := conductor.Heartbeat{
		ID: "front-zone-1", Started: 1785827165229, Serial: 7, Region: "region-1", Zone: "zone-1", CallerAddress: "10.1.0.1:8000",
		PeerAddress: "10.1.0.1:7400", FleetSize: 10,
		States:         []conductor.KindState{{Kind: "config", Position: 9, Changed: 8, AgeMs: 300}},
		Rests:          []placer.ReachabilityReport{{Endpoint: 5, Recovered: true, RemainingMs: 3000}},
		Keeps:          []placer.WarmCapacity{{Service: 3, Tenths: 180}},
		KnownAddresses: []string{"10.1.0.2:7400"},
	}
	for i := range endpoints {
		b.Loads = append(b.Loads, placer.Load{Endpoint: placer.Hash32(fmt.Sprint(i)), Count: 2})
	}
	for i := range teams {
		b.Demand = append(b.Demand, conductor.Demand{Team: placer.Hash32(fmt.Sprint(i)), TenthsPerSecond: 123, Admitted: 4567})
	}
	return b
}

// pair returns a sender, its own address, and what a receiver gets from it.
func pair(t *testing.T) (send func(conductor.Heartbeat) int, raw func([]byte), got chan conductor.Heartbeat, bad chan error) {
	t.Helper()
	got, bad = make(chan conductor.Heartbeat, 16), make(chan error, 16)
	receiver, err := heartbeater.Listen("127.0.0.2:0", func(b conductor.Heartbeat) { got <- b }, func(err error) { bad <- err })
	if err != nil {
		t.Fatal(err)
	}
	go receiver.Run(t.Context())
	sender, err := heartbeater.Listen("127.0.0.3:0", func(conductor.Heartbeat) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(receiver.Address())
	send = func(b conductor.Heartbeat) int {
		bytes, err := sender.Send(b, []netip.AddrPort{to})
		if err != nil {
			t.Fatal(err)
		}
		return bytes
	}
	raw = func(data []byte) {
		conn, err := net.Dial("udp4", receiver.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(data)
	}
	return send, raw, got, bad
}

func TestHeartbeatsSurviveTheWire(t *testing.T) {
	send, _, got, _ := pair(t)
	in := beatOf(20, 8)
	in.Whole = true
	send(in)
	if out := <-got; !reflect.DeepEqual(in, out) {
		t.Errorf("got %+v", out)
	}
}

// The sender stands in whole heartbeats only. Before the first of them the others
// are dropped, after it they are known by their address.
func TestSendersAreKnownByTheirAddress(t *testing.T) {
	send, _, got, _ := pair(t)
	small, whole := beatOf(7, 3), beatOf(7, 3)
	whole.Whole = true
	small.Serial = 6
	unknown := send(small)
	known := send(whole)
	if out := <-got; out.Serial != whole.Serial {
		t.Errorf("heartbeat %d of an unknown sender was taken", out.Serial)
	}
	small.Serial = 8
	send(small)
	if out := <-got; !reflect.DeepEqual(small, out) {
		t.Errorf("got %+v", out)
	}
	if known-unknown < 60 {
		t.Errorf("a heartbeat has %d bytes and a whole one %d", unknown, known)
	}
}

func TestJunkIsReported(t *testing.T) {
	send, raw, got, bad := pair(t)
	for _, junk := range [][]byte{{0xc1}, []byte("junk"), {0x91, 0x01}} {
		raw(junk)
		select {
		case err := <-bad:
			t.Log(err)
		case b := <-got:
			t.Errorf("%q was taken as %+v", junk, b)
		case <-time.After(time.Second):
			t.Errorf("%q was not reported", junk)
		}
	}
	for _, shape := range [][2]int{{20, 8}, {7, 3}, {7, 74}} {
		t.Logf("%d endpoints, %d teams: %d bytes", shape[0], shape[1], send(beatOf(shape[0], shape[1])))
	}
}
