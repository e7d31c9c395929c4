package heartbeater

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/placer"
)

// identity identifies the sender of a heartbeat. In a heartbeat with CopyStatesOnly, Zone
// and CallerAddress are empty. An identity is encoded as an array, so the order of its
// fields is part of the wire format.
type identity struct {
	ID            string
	StartedAtMs   int64
	Region        string
	Zone          string
	CallerAddress string
	PeerAddress   string
}

// sameLifetime reports whether two identities are of the same lifetime of an instance.
func (i identity) sameLifetime(other identity) bool {
	return i.ID == other.ID && i.StartedAtMs == other.StartedAtMs
}

// message is the form in which a heartbeat is encoded. Its fields have the same meaning as
// those of [conductor.Heartbeat]. A message is encoded as an array, so the order of its
// fields is part of the wire format.
type message struct {
	// Sender is nil unless FullDemand or CopyStatesOnly is true.
	Sender              *identity
	SequenceNumber      uint64
	Leaving             bool
	FleetSize           uint32
	StoreUnreachable    bool
	FullDemand          bool
	CopyStatesOnly      bool
	Loads               []placer.Load
	WarmObjects         []placer.WarmObject
	Demand              []conductor.Demand
	ReachabilityReports []placer.ReachabilityReport
	WarmCapacities      []placer.WarmCapacity
	CopyStates          []conductor.CopyState
	KnownAddresses      []string
}

// extension holds what was added to heartbeats later. It follows the message in the
// datagram if it isn't empty. Instances of older builds reject a message with more fields,
// but ignore what follows it. An extension is encoded as a map, so that unknown fields of
// newer builds are ignored.
type extension struct {
	Departures []placer.Departure `msgpack:"d,omitempty"`
	// Sightings holds sightingBytes for each sighting: the instance and the age.
	Sightings []byte `msgpack:"s,omitempty"`
	// Limits holds limitBytes for each report: the endpoint, its start, the limit in
	// thousandths of a request per second, or noLimit, and the age.
	Limits []byte `msgpack:"l,omitempty"`
	// WorkTimes holds workTimeBytes for each report: the endpoint, the work time in percent and
	// the age.
	WorkTimes []byte `msgpack:"w,omitempty"`
	// Regions counts requests by the region that they preferred.
	Regions []uint32 `msgpack:"r,omitempty"`
	// LiveByRegion holds a byte for each region.
	LiveByRegion []byte `msgpack:"v,omitempty"`
	// Ends, Answers and Quarantines are the parts of the evidence; see evidence.go.
	Ends        []byte `msgpack:"e,omitempty"`
	Answers     []byte `msgpack:"a,omitempty"`
	Quarantines []byte `msgpack:"q,omitempty"`
	// CopyStates holds the states whose positions are of a later era than 0. Builds from
	// before the extension know no eras: they would ask the store for such a position, and
	// then drop every list of the store as older.
	CopyStates []copyState `msgpack:"c,omitempty"`
	// MadeAtMs is when the heartbeat was made by the sender's clock, in milliseconds.
	MadeAtMs uint64 `msgpack:"m,omitempty"`
	// Apart means that the sender is in no majority.
	Apart bool `msgpack:"p,omitempty"`
}

// copyState is the encoded form of a [conductor.CopyState], an array.
type copyState struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Kind     string
	Position uint64
	Changed  uint64
	AgeMs    uint32
}

// splitCopyStates returns the states that older builds understand and the others in encoded
// form.
func splitCopyStates(states []conductor.CopyState) (common []conductor.CopyState, later []copyState) {
	for _, s := range states {
		if follower.EraOf(s.Position) == 0 {
			common = append(common, s)
			continue
		}
		later = append(later, copyState{Kind: s.Kind, Position: s.Position, Changed: s.Changed, AgeMs: s.AgeMs})
	}
	return common, later
}

// joinCopyStates reverses splitCopyStates.
func joinCopyStates(common []conductor.CopyState, later []copyState) []conductor.CopyState {
	for _, s := range later {
		common = append(common, conductor.CopyState{Kind: s.Kind, Position: s.Position, Changed: s.Changed, AgeMs: s.AgeMs})
	}
	return common
}

// sightingBytes is the encoded size of a sighting in bytes. There are many of them in each
// heartbeat of a large fleet.
const sightingBytes = 5

// encodeSightings encodes sightings in a fixed number of bytes each.
func encodeSightings(sightings []conductor.Sighting) []byte {
	data := make([]byte, 0, sightingBytes*len(sightings))
	for _, s := range sightings {
		data = append(binary.BigEndian.AppendUint32(data, s.Instance), s.AgeTenths)
	}
	return data
}

// decodeSightings decodes sightings. Bytes at the end that aren't a whole one are ignored.
func decodeSightings(data []byte) []conductor.Sighting {
	var sightings []conductor.Sighting
	for ; len(data) >= sightingBytes; data = data[sightingBytes:] {
		sightings = append(sightings, conductor.Sighting{Instance: binary.BigEndian.Uint32(data), AgeTenths: data[sightingBytes-1]})
	}
	return sightings
}

// limitBytes is the encoded size of a report on a rate limit in bytes. limitUnit is the unit
// in which limits are encoded, in requests per second. noLimit stands for a limit that has
// ended. limitAgeUnit is the unit of ages.
const (
	limitBytes   = 13
	limitUnit    = 1e-3
	noLimit      = math.MaxUint32
	limitAgeUnit = 100 * time.Millisecond
)

// encodeLimits encodes reports on rate limits in a fixed number of bytes each. Ages are
// rounded up, so that a report never seems later than it is.
func encodeLimits(reports []placer.LimitReport) []byte {
	data := make([]byte, 0, limitBytes*len(reports))
	for _, r := range reports {
		limit := uint32(noLimit)
		if r.Named {
			limit = uint32(min(max(r.PerSecond/limitUnit, 0), noLimit-1))
		}
		data = binary.BigEndian.AppendUint32(data, r.Endpoint)
		data = binary.BigEndian.AppendUint32(data, r.StartedAtMs)
		data = binary.BigEndian.AppendUint32(data, limit)
		data = append(data, uint8(min(max((r.Age+limitAgeUnit-1)/limitAgeUnit, 0), math.MaxUint8)))
	}
	return data
}

// decodeLimits decodes reports on rate limits. Bytes at the end that aren't a whole one are
// ignored.
func decodeLimits(data []byte) []placer.LimitReport {
	var reports []placer.LimitReport
	for ; len(data) >= limitBytes; data = data[limitBytes:] {
		r := placer.LimitReport{
			Endpoint: binary.BigEndian.Uint32(data), StartedAtMs: binary.BigEndian.Uint32(data[4:]),
			Age: time.Duration(data[limitBytes-1]) * limitAgeUnit,
		}
		if limit := binary.BigEndian.Uint32(data[8:]); limit != noLimit {
			r.Named, r.PerSecond = true, float64(limit)*limitUnit
		}
		reports = append(reports, r)
	}
	return reports
}

// empty reports whether the extension holds nothing.
func (x extension) empty() bool {
	return x.MadeAtMs == 0 && !x.Apart && len(x.Departures) == 0 && len(x.CopyStates) == 0 && len(x.Regions) == 0 &&
		len(x.Sightings)+len(x.LiveByRegion)+len(x.Limits)+len(x.WorkTimes)+len(x.Ends)+len(x.Answers)+len(x.Quarantines) == 0
}

// encode encodes a heartbeat as a message in MessagePack, followed by an extension if there
// is need for one.
func encode(hb conductor.Heartbeat) ([]byte, error) {
	common, later := splitCopyStates(hb.CopyStates)
	m := message{
		SequenceNumber: hb.SequenceNumber, Leaving: hb.Leaving, FleetSize: hb.FleetSize, StoreUnreachable: hb.StoreUnreachable,
		FullDemand: hb.FullDemand, CopyStatesOnly: hb.CopyStatesOnly, Loads: hb.Loads, WarmObjects: hb.WarmObjects, Demand: hb.Demand,
		ReachabilityReports: hb.ReachabilityReports, WarmCapacities: hb.WarmCapacities, CopyStates: common,
		KnownAddresses: hb.KnownAddresses,
	}
	if hb.FullDemand || hb.CopyStatesOnly {
		m.Sender = &identity{
			ID: hb.ID, StartedAtMs: hb.StartedAtMs, Region: hb.Region, Zone: hb.Zone,
			CallerAddress: hb.CallerAddress, PeerAddress: hb.PeerAddress,
		}
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(m); err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	x := extension{
		Departures: hb.Departures, Sightings: encodeSightings(hb.Sightings), Limits: encodeLimits(hb.Limits),
		WorkTimes: encodeWorkTimes(hb.WorkTimes), Regions: hb.Regions, LiveByRegion: hb.LiveByRegion, CopyStates: later,
		MadeAtMs: uint64(max(hb.MadeAt.Milliseconds(), 0)), Apart: hb.Apart,
	}
	x.setEvidence(hb.Evidence)
	if !x.empty() {
		encoder.UseArrayEncodedStructs(false)
		if err := encoder.Encode(x); err != nil {
			return nil, fmt.Errorf("encode heartbeat extension: %w", err)
		}
	}
	return buffer.Bytes(), nil
}

// decode decodes a datagram. It returns an error if the message has a sender without an ID.
func decode(data []byte) (message, extension, error) {
	var m message
	var x extension
	if err := checkLengths(data); err != nil {
		return message{}, extension{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	if err := decoder.Decode(&m); err != nil {
		return message{}, extension{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	if m.Sender != nil && m.Sender.ID == "" {
		return message{}, extension{}, fmt.Errorf("decode heartbeat: sender has no instance ID")
	}
	if reader.Len() > 0 {
		if err := decoder.Decode(&x); err != nil {
			return message{}, extension{}, fmt.Errorf("decode heartbeat extension: %w", err)
		}
	}
	return m, x, nil
}

// maxMadeAtMs is the longest time since a sender's start that a heartbeat may state, 100 years.
const maxMadeAtMs = uint64(100 * 365 * 24 * time.Hour / time.Millisecond)

// maxSenders limits the number of recorded senders. When it is reached, all records are
// deleted. It is larger than the number of instances in the largest planned deployment,
// including some instances that were replaced.
const maxSenders = 1024

// senders maps each source address to the last identity in a message from this address.
type senders map[netip.AddrPort]identity

// record records the identity of the sender at an address.
func (s senders) record(from netip.AddrPort, sender identity) {
	if _, known := s[from]; !known && len(s) >= maxSenders {
		// The identities of live instances are recorded again at their next full
		// heartbeats.
		clear(s)
	}
	s[from] = sender
}

// toHeartbeat converts a message from an address to a heartbeat with the sender's identity.
// The identity in a full heartbeat is recorded for the address. If a message carries none,
// the recorded identity is used; toHeartbeat returns false if none is recorded. The
// incomplete identity in a message with CopyStatesOnly is used for that message alone. If
// it is of another lifetime than the recorded one, the recorded one no longer applies.
func (s senders) toHeartbeat(m message, x extension, from netip.AddrPort) (conductor.Heartbeat, bool) {
	sender, ok := s[from]
	switch {
	case m.Sender != nil && m.CopyStatesOnly:
		if ok && !sender.sameLifetime(*m.Sender) {
			delete(s, from)
		}
		sender = *m.Sender
	case m.Sender != nil:
		sender = *m.Sender
		s.record(from, sender)
	case !ok:
		return conductor.Heartbeat{}, false
	}
	return conductor.Heartbeat{
		ID: sender.ID, StartedAtMs: sender.StartedAtMs, Region: sender.Region, Zone: sender.Zone,
		CallerAddress: sender.CallerAddress, PeerAddress: sender.PeerAddress,
		SequenceNumber: m.SequenceNumber, Leaving: m.Leaving, FleetSize: m.FleetSize, StoreUnreachable: m.StoreUnreachable,
		FullDemand: m.FullDemand, CopyStatesOnly: m.CopyStatesOnly, Loads: m.Loads, WarmObjects: m.WarmObjects, Demand: m.Demand,
		ReachabilityReports: m.ReachabilityReports, WarmCapacities: m.WarmCapacities, CopyStates: joinCopyStates(m.CopyStates, x.CopyStates),
		KnownAddresses: m.KnownAddresses, Departures: x.Departures, Sightings: decodeSightings(x.Sightings), Limits: decodeLimits(x.Limits),
		WorkTimes: decodeWorkTimes(x.WorkTimes), Regions: x.Regions, LiveByRegion: x.LiveByRegion, Evidence: x.evidence(),
		MadeAt: time.Duration(min(x.MadeAtMs, maxMadeAtMs)) * time.Millisecond, Apart: x.Apart,
	}, true
}
