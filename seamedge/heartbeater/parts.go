package heartbeater

import (
	"errors"
	"fmt"

	"primroseseam.org/seam/conductor"
)

// ErrTooLarge means that a heartbeat can't be received: what each of its parts has to hold exceeds a
// datagram.
var ErrTooLarge = errors.New("heartbeat exceeds a datagram")

// encodeParts encodes a heartbeat as one or more datagrams. Further ones are needed for the demand of very
// many teams. Each is a heartbeat of its own, with the next sequence number and the state that a receiver
// replaces; only the first one is full and holds what a receiver adds up. The parts are as large as they can
// be, since few of them fit into the buffer of a receiver's socket.
func encodeParts(hb conductor.Heartbeat) ([][]byte, error) {
	data, err := encode(hb)
	if err != nil {
		return nil, err
	}
	if len(data) <= maxDatagram {
		return [][]byte{data}, nil
	}
	demand := hb.Demand
	hb.Demand = nil
	base, err := encode(hb)
	if err != nil {
		return nil, err
	}
	room := maxDatagram - len(base)
	if room <= 0 || len(demand) == 0 {
		return nil, fmt.Errorf("%w: %d bytes without the demand of teams", ErrTooLarge, len(base))
	}
	teams := max(room*len(demand)/(len(data)-len(base)), 1)
	var parts [][]byte
	for len(demand) > 0 {
		part, n, err := encodePart(hb, demand[:min(teams, len(demand))])
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		demand = demand[n:]
		hb = continuation(hb)
	}
	return parts, nil
}

// shrinkBy is the part of the teams by which a datagram that is too large is made smaller.
const shrinkBy = 32

// encodePart encodes a heartbeat with as much of the demand as fits into a datagram, and returns for how many
// teams that is.
func encodePart(hb conductor.Heartbeat, demand []conductor.Demand) ([]byte, int, error) {
	for n := len(demand); n > 0; n -= 1 + n/shrinkBy {
		hb.Demand = demand[:n]
		part, err := encode(hb)
		if err != nil || len(part) <= maxDatagram {
			return part, n, err
		}
	}
	return nil, 0, fmt.Errorf("%w: with the demand of one team", ErrTooLarge)
}

// continuation returns the heartbeat that follows a part of one, without demand.
func continuation(hb conductor.Heartbeat) conductor.Heartbeat {
	hb.SequenceNumber++
	hb.FullDemand, hb.KnownAddresses = false, nil
	hb.WarmObjects, hb.Sightings, hb.Regions, hb.WorkTimes = nil, nil, nil, nil
	return hb
}
