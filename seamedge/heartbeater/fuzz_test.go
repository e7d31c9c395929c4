package heartbeater

import (
	"bytes"
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
)

// A datagram of few bytes that announces an array of billions must not make an instance run
// out of memory.
func TestDatagramsWithFalseLengthsAreRefused(t *testing.T) {
	whole, err := encode(conductor.Heartbeat{ID: "front-1", FullDemand: true, Loads: []placer.Load{{Endpoint: 1, Count: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := checkLengths(whole); err != nil {
		t.Errorf("a whole heartbeat: %v", err)
	}
	for name, data := range map[string]string{
		"array of 32 bits": "\x91\xdd\xc0\xc0\xc0\xc0", "array of 16 bits": "\xdc\xff\xff\x01", "small array": "\x93\x01\x02",
		"map of 32 bits": "\xdf\xff\xff\xff\xff\x01", "map of 16 bits": "\xde\xff\xff", "small map": "\x82\x01\x02\x03",
		"text of 32 bits": "\xdb\xff\xff\xff\xff", "bytes of 8 bits": "\xc4\x05\x01", "small text": "\xa5abc", "cut length": "\xdd\x00",
		"extension": "\xc9\xff\xff\xff\xff\x01", "number": "\xcf\x01", "nested": "\x92\xdd\x00\x00\x00\x02\x01",
	} {
		if _, _, err := decode([]byte(data)); !errors.Is(err, errFalseLength) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzDecode checks that datagrams that are cut, changed or of another origin are decoded or
// refused, in bounded memory, and never recorded without an instance ID.
func FuzzDecode(f *testing.F) {
	hb := conductor.Heartbeat{
		ID: "front-1", StartedAtMs: 5, Region: "r", Zone: "z", CallerAddress: "10.1.0.1:1", PeerAddress: "10.1.0.1:2", FullDemand: true,
		Loads: []placer.Load{{Endpoint: 1, Count: 2}}, Demand: []conductor.Demand{{Team: 3, TenthsPerSecond: 4, Admitted: 5}},
		CopyStates: []conductor.CopyState{{Kind: "config", Position: 1 << 45, Changed: 7}}, KnownAddresses: []string{"10.1.0.3:2"},
		Departures: []placer.Departure{{Endpoint: 1, StartedAtMs: 2}},
		Limits:     []placer.LimitReport{{Endpoint: 1, StartedAtMs: 2, Named: true, PerSecond: 1e300, Age: -1}},
	}
	whole, err := encode(hb)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add(append(append([]byte{}, whole...), 0xc1))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte(strings.Repeat("\x91", 4000)))
	f.Add(bytes.Repeat([]byte{0xdf, 0xff, 0xff, 0xff, 0xff}, 100))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, x, err := decode(data)
		if err != nil {
			return
		}
		s := senders{}
		if hb, ok := s.toHeartbeat(m, x, netip.AddrPort{}); ok && hb.ID == "" {
			t.Error("a heartbeat without a sender was accepted")
		}
		for _, l := range decodeLimits(x.Limits) {
			if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) || l.Age < 0 {
				t.Errorf("limit %+v", l)
			}
		}
	})
}
