package replayer

import (
	"encoding/json"
	"slices"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/storer"
)

// rosterName is the name of the object in the store that holds the roster, the list of
// the holders of all seats. A seat is a share of the fleet-wide limits, and its holder is
// the instance that may spend this share. Each seat has an object in the store, of the
// same kind as the roster.
const rosterName = "roster"

// runLedgerCommand runs a command of the ledger, the part of the decision core that
// divides fleet-wide limits among the instances. A command sends a message to another
// instance, or reads or writes the store.
func (i *instance) runLedgerCommand(cmd allocator.Cmd) {
	switch c := cmd.(type) {
	case allocator.RequestLoan:
		i.sendLedgerMessage(c.To, decider.LedgerMessage{LoanRequested: &c.Request})
	case allocator.AnswerLoan:
		i.sendLedgerMessage(c.To.Instance, decider.LedgerMessage{LoanAnswered: &c.Answer})
	case allocator.RequestAcknowledgement:
		i.sendLedgerMessage(c.To, decider.LedgerMessage{AcknowledgementRequested: &c.Request})
	case allocator.AnswerAcknowledgement:
		i.sendLedgerMessage(c.To.Instance, decider.LedgerMessage{AcknowledgementAnswered: &c.Answer})
	case allocator.RequestVouch:
		i.sendLedgerMessage(c.To, decider.LedgerMessage{VouchRequested: &c.Request})
	case allocator.AnswerVouch:
		i.sendLedgerMessage(c.To.Instance, decider.LedgerMessage{VouchAnswered: &c.Answer})
	case allocator.ListSeats:
		i.replay.store.List(i.info.ID, storer.KindSeat, func(e storer.Events, err error) { i.seatsListed(c, e, err) })
	case allocator.WriteSeat:
		i.writeSeat(c)
	case allocator.WriteRoster:
		i.writeRoster(c)
	}
}

// sendLedgerMessage sends a message over the network to the core of another instance.
// It does nothing if no instance has the ID.
func (i *instance) sendLedgerMessage(id string, msg decider.LedgerMessage) {
	to, ok := i.replay.instances[id]
	if !ok {
		return
	}
	i.replay.network.Send(i.info.ID, id, func() {
		if to.alive {
			to.update(msg)
		}
	})
}

// seatsListed gives the core the seats and the roster that were read from the store, or
// the failure of the read.
func (i *instance) seatsListed(c allocator.ListSeats, e storer.Events, err error) {
	listed := allocator.SeatsListed{Sequence: c.Sequence, Failed: err != nil}
	for _, o := range e.Objects {
		if o.Name == rosterName {
			listed.RosterVersion = o.Version
			_ = json.Unmarshal(o.Value, &listed.Roster)
			continue
		}
		seat := allocator.Seat{Name: o.Name, Version: o.Version}
		_ = json.Unmarshal(o.Value, &seat.Record)
		listed.Seats = append(listed.Seats, seat)
	}
	i.update(decider.LedgerMessage{SeatsListed: &listed})
}

func (i *instance) writeSeat(c allocator.WriteSeat) {
	i.put(c.Seat.Name, c.Seat.Version, c.Seat.Record, func(result allocator.WriteResult, version int64) {
		written := allocator.SeatWritten{Sequence: c.Sequence, Seat: c.Seat.Name, Result: result, Version: version}
		i.update(decider.LedgerMessage{SeatWritten: &written})
	})
}

func (i *instance) writeRoster(c allocator.WriteRoster) {
	i.put(rosterName, c.Version, c.Roster, func(result allocator.WriteResult, version int64) {
		written := allocator.RosterWritten{Sequence: c.Sequence, Result: result, Version: version}
		i.update(decider.LedgerMessage{RosterWritten: &written})
	})
}

// put writes a seat or the roster, on condition that the version in the store equals
// the given version. It then calls done with the result and, if the write was applied,
// the new version.
func (i *instance) put(name string, version int64, value any, done func(allocator.WriteResult, int64)) {
	data, _ := json.Marshal(value)
	o := storer.Object{Kind: storer.KindSeat, Name: name, Version: version, Value: data}
	i.replay.store.Put(i.info.ID, o, func(written storer.Object, err error) {
		switch coder.CodeOf(err) {
		case coder.OK:
			done(allocator.WriteApplied, written.Version)
		case coder.StoreConflict:
			done(allocator.WriteConflicted, 0)
		default:
			done(allocator.WriteUnknown, 0)
		}
	})
}

// updateMembers gives the core two lists of running instances, in place of the list that
// a daemon gets from the platform. The peers are all other instances. The members of the
// ledger are all instances that aren't leaving, including this instance.
func (i *instance) updateMembers() {
	var members []allocator.Member
	var peers []decider.Peer
	for _, o := range i.replay.fleet {
		if o != i && o.alive {
			peers = append(peers, decider.Peer{
				ID: o.info.ID, Region: o.info.Region,
				Incarnation: i.replay.world.Incarnation(o.info.ID), Leaving: o.leaving,
			})
		}
		if o.alive && !o.leaving {
			members = append(members, allocator.Member{
				Instance: o.info.ID, Region: o.info.Region, FailureDomain: o.info.FailureDomain,
			})
		}
	}
	i.update(decider.LedgerMessage{MembersChanged: &allocator.MembersChanged{Members: members}})
	if !slices.Equal(peers, i.peers) {
		i.peers = peers
		i.update(decider.PeersChanged{Peers: peers})
	}
}
