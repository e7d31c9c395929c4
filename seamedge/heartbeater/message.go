package heartbeater

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
)

// identity identifies the sender. It doesn't change in the lifetime of an instance. It is
// encoded as an array, so the order of its fields is part of the wire format.
type identity struct {
	ID      string
	Started int64
	Region  string
	Zone    string
	Callers string
	Peers   string
}

// message is the encoded form of a [conductor.Heartbeat], which documents the fields. It is
// encoded as an array, so the order of its fields is part of the wire format.
type message struct {
	// Sender is set only if Whole or News is.
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

// encode encodes a heartbeat as a message in MessagePack.
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

// decode decodes a message. A sender without an ID is an error.
func decode(data []byte) (message, error) {
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return message{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	if m.Sender != nil && m.Sender.ID == "" {
		return message{}, fmt.Errorf("decode heartbeat: sender has no instance ID")
	}
	return m, nil
}

// maxSenders limits the number of remembered senders. It is larger than the number of
// instances in the largest planned deployment, including some that were replaced.
const maxSenders = 1024

// senders maps source addresses to the identities of their instances.
type senders map[netip.AddrPort]identity

// complete returns the heartbeat in a message from an address, with the sender's
// identity. It returns false if no identity is known for the address yet.
func (s senders) complete(m message, from netip.AddrPort) (conductor.Heartbeat, bool) {
	if m.Sender != nil {
		if len(s) >= maxSenders {
			// Live instances send their identity again with the next whole heartbeat.
			clear(s)
		}
		s[from] = *m.Sender
	}
	sender, ok := s[from]
	if !ok {
		return conductor.Heartbeat{}, false
	}
	return conductor.Heartbeat{
		ID: sender.ID, Started: sender.Started, Region: sender.Region, Zone: sender.Zone, CallerAddress: sender.Callers, PeerAddress: sender.Peers,
		Serial: m.Serial, Leaving: m.Leaving, FleetSize: m.Fleet, StoreUnreachable: m.Blind, Whole: m.Whole, StatesOnly: m.News,
		Loads: m.Loads, Touches: m.Touches, Demand: m.Demand, Rests: m.Rests, Keeps: m.Keeps, States: m.States, KnownAddresses: m.Known,
	}, true
}
