package heartbeater

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
)

// identity says who sends. It doesn't change in the lifetime of an instance.
type identity struct {
	ID      string
	Started int64
	Region  string
	Zone    string
	Callers string
	Peers   string
}

// message is a heartbeat as it is sent.
type message struct {
	// Sender is there in whole heartbeats and news.
	Sender  *identity
	Serial  uint64
	Leaving bool
	Fleet   uint32
	Blind   bool
	Whole   bool
	News    bool
	Loads   []placer.Load
	Touches []placer.WarmObject
	Demand  []conductor.Demand
	Rests   []placer.ReachabilityReport
	Keeps   []placer.WarmCapacity
	States  []conductor.KindState
	Known   []string
}

// encode encodes a heartbeat.
func encode(b conductor.Heartbeat) ([]byte, error) {
	m := message{
		Serial: b.Serial, Leaving: b.Leaving, Fleet: b.FleetSize, Blind: b.StoreUnreachable, Whole: b.Whole, News: b.StatesOnly,
		Loads: b.Loads, Touches: b.Touches, Demand: b.Demand, Rests: b.Rests, Keeps: b.Keeps, States: b.States, Known: b.KnownAddresses,
	}
	if b.Whole || b.StatesOnly {
		m.Sender = &identity{ID: b.ID, Started: b.Started, Region: b.Region, Zone: b.Zone, Callers: b.CallerAddress, Peers: b.PeerAddress}
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(m); err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	return buffer.Bytes(), nil
}

// decode decodes what encode made.
func decode(data []byte) (message, error) {
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return message{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	if m.Sender != nil && m.Sender.ID == "" {
		return message{}, fmt.Errorf("decode heartbeat: it names no instance")
	}
	return m, nil
}

// sendersMost bounds the senders that are remembered; it is above the number of
// instances of the largest deployment planned, with some that were replaced.
const sendersMost = 1024

// senders remembers who sends from which address.
type senders map[netip.AddrPort]identity

// complete returns the heartbeat that a message from an address holds. It reports
// false if the sender has not said yet who it is.
func (s senders) complete(m message, from netip.AddrPort) (conductor.Heartbeat, bool) {
	if m.Sender != nil {
		if len(s) >= sendersMost {
			// Those that are alive say again who they are.
			clear(s)
		}
		s[from] = *m.Sender
	}
	who, ok := s[from]
	if !ok {
		return conductor.Heartbeat{}, false
	}
	return conductor.Heartbeat{
		ID: who.ID, Started: who.Started, Region: who.Region, Zone: who.Zone, CallerAddress: who.Callers, PeerAddress: who.Peers,
		Serial: m.Serial, Leaving: m.Leaving, FleetSize: m.Fleet, StoreUnreachable: m.Blind, Whole: m.Whole, StatesOnly: m.News,
		Loads: m.Loads, Touches: m.Touches, Demand: m.Demand, Rests: m.Rests, Keeps: m.Keeps, States: m.States, KnownAddresses: m.Known,
	}, true
}
