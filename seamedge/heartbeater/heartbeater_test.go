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

// newBeat returns a heartbeat of an instance with requests at some endpoints and demand
// from some teams.
func newBeat(endpoints, teams int) conductor.Heartbeat {
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

// newPair starts a sender and a receiver. It returns functions that send a heartbeat from
// the sender and raw bytes from another address, and the heartbeats and errors that the
// receiver gets.
func newPair(t *testing.T) (send func(conductor.Heartbeat) int, sendRaw func([]byte), received chan conductor.Heartbeat, errs chan error) {
	t.Helper()
	received, errs = make(chan conductor.Heartbeat, 16), make(chan error, 16)
	receiver, err := heartbeater.Listen("127.0.0.2:0", func(b conductor.Heartbeat) { received <- b }, func(err error) { errs <- err })
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
	sendRaw = func(data []byte) {
		conn, err := net.Dial("udp4", receiver.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(data)
	}
	return send, sendRaw, received, errs
}

func TestHeartbeatsSurviveTheWire(t *testing.T) {
	send, _, received, _ := newPair(t)
	in := newBeat(20, 8)
	in.Whole = true
	send(in)
	if out := <-received; !reflect.DeepEqual(in, out) {
		t.Errorf("got %+v", out)
	}
}

// Heartbeats that aren't whole don't carry the sender's identity. Before the first whole
// one they are dropped, after it they are matched to the sender by their source address.
func TestSendersAreIdentifiedByAddress(t *testing.T) {
	send, _, received, _ := newPair(t)
	small, whole := newBeat(7, 3), newBeat(7, 3)
	whole.Whole = true
	small.Serial = 6
	sizeWithoutSender := send(small)
	sizeWithSender := send(whole)
	if out := <-received; out.Serial != whole.Serial {
		t.Errorf("heartbeat %d of an unknown sender was accepted", out.Serial)
	}
	small.Serial = 8
	send(small)
	if out := <-received; !reflect.DeepEqual(small, out) {
		t.Errorf("got %+v", out)
	}
	if sizeWithSender-sizeWithoutSender < 60 {
		t.Errorf("a heartbeat has %d bytes and a whole one %d, want at least 60 more", sizeWithoutSender, sizeWithSender)
	}
}

func TestMalformedDatagramsAreReported(t *testing.T) {
	send, sendRaw, received, errs := newPair(t)
	for _, malformed := range [][]byte{{0xc1}, []byte("junk"), {0x91, 0x01}} {
		sendRaw(malformed)
		select {
		case err := <-errs:
			t.Log(err)
		case b := <-received:
			t.Errorf("%q was accepted as %+v", malformed, b)
		case <-time.After(time.Second):
			t.Errorf("%q was not reported", malformed)
		}
	}
	for _, shape := range [][2]int{{20, 8}, {7, 3}, {7, 74}} {
		t.Logf("%d endpoints, %d teams: %d bytes", shape[0], shape[1], send(newBeat(shape[0], shape[1])))
	}
}
