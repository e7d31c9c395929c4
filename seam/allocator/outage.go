package allocator

import (
	"slices"
	"time"
)

const (
	// vouchTerm is how long a vouch is valid after it was requested.
	vouchTerm = 2 * time.Second
	// vouchInterval is the time between two rounds of vouch requests.
	vouchInterval = 500 * time.Millisecond
	// vouchLead is how long before the end of its lease a holder starts to
	// request vouches.
	vouchLead = 1500 * time.Millisecond
	// settleWait is the wait between the acknowledgements of a roster and its
	// settling. Vouches given before them, and loans granted by holders that relied
	// on those vouches, have expired by then.
	settleWait = vouchTerm + vouchTerm/driftDivisor + takeoverGuard
	// maxOutage limits how long a holder may spend after its last renewal.
	maxOutage = 75 * time.Minute
	// ackInterval is the time between two rounds of acknowledgement requests.
	ackInterval = 300 * time.Millisecond
	// rosterChangeDelay is how long a change of the roster is delayed if no seat
	// waits for it, so that one write covers several changes. A random time of up
	// to the same length is added.
	rosterChangeDelay = time.Second
	// maxVouchRounds is the number of rounds whose late answers still count.
	maxVouchRounds = 8
)

// outage holds an instance's newest roster, and the vouches by which it may spend
// while the store can't be reached.
type outage struct {
	// newestRoster is the newest roster that this instance has received or read.
	newestRoster Roster
	// vouches holds, by member, when its newest vouch was requested.
	vouches map[Peer]time.Time
	// ownVouch is when this instance last found the store unreachable.
	ownVouch time.Time
	rounds   []vouchRound
	nextAsk  time.Time

	// acks is when the members of the previous roster acknowledged newestRoster.
	acks    map[Peer]time.Time
	nextAck time.Time
	// changeAt is when a change that no seat waits for is written.
	changeAt time.Time
	// writing is the sequence number of the roster write in flight, or 0.
	writing   uint64
	writeSent time.Time
}

// vouchRound is one round of vouch requests to all members.
type vouchRound struct {
	sequence uint64
	sent     time.Time
}

// Members returns the holders of the roster's seats, each once.
func (r Roster) Members() []Peer {
	var members []Peer
	for _, s := range r.Seats {
		if !slices.Contains(members, s.Holder) {
			members = append(members, s.Holder)
		}
	}
	return members
}

// seat returns the roster's entry for a seat.
func (r Roster) seat(name string) (RosterSeat, bool) {
	i := slices.IndexFunc(r.Seats, func(s RosterSeat) bool { return s.Seat == name })
	if i < 0 {
		return RosterSeat{}, false
	}
	return r.Seats[i], true
}

// adoptRoster replaces newestRoster by a newer one. Vouches received for the older one no
// longer count, and this instance no longer vouches for holders that have only the older
// one.
func (l *Ledger) adoptRoster(now time.Time, r Roster) {
	newestRoster := &l.outage.newestRoster
	switch {
	case r.Number > newestRoster.Number:
		*newestRoster = r
		clear(l.outage.vouches)
		l.outage.ownVouch = time.Time{}
		clear(l.outage.acks)
		l.outage.rounds = nil
		l.outage.nextAck = now
	case r.Number == newestRoster.Number && r.Settled:
		newestRoster.Settled = true
	}
}

// acknowledgementAsked adopts a roster and answers with the number of newestRoster.
func (l *Ledger) acknowledgementAsked(now time.Time, msg AcknowledgementAsked) []Cmd {
	l.adoptRoster(now, msg.Roster)
	given := AcknowledgementGiven{From: l.self, Number: l.outage.newestRoster.Number}
	return []Cmd{AnswerAcknowledgement{To: msg.From, Answer: given}}
}

// acknowledgementGiven records when a member of the previous roster first
// acknowledged newestRoster.
func (l *Ledger) acknowledgementGiven(now time.Time, msg AcknowledgementGiven) []Cmd {
	newestRoster := l.outage.newestRoster
	if msg.Number < newestRoster.Number || !slices.Contains(newestRoster.Previous, msg.From) {
		return nil
	}
	if _, ok := l.outage.acks[msg.From]; !ok {
		l.outage.acks[msg.From] = now
	}
	return nil
}

// vouchAsked grants a vouch only while this instance can't reach the store and has
// no newer roster than the holder.
func (l *Ledger) vouchAsked(now time.Time, msg VouchAsked) VouchGiven {
	granted := l.store.failing(now) && l.outage.newestRoster.Number <= msg.Number
	return VouchGiven{From: l.self, Sequence: msg.Sequence, Granted: granted}
}

// vouchGiven records a vouch with the time at which it was requested.
func (l *Ledger) vouchGiven(msg VouchGiven) {
	if !msg.Granted {
		return
	}
	for _, r := range l.outage.rounds {
		if r.sequence == msg.Sequence && r.sent.After(l.outage.vouches[msg.From]) {
			l.outage.vouches[msg.From] = r.sent
		}
	}
}

// askVouches requests vouches from the other members while the store can't be
// reached and a lease is about to end.
func (l *Ledger) askVouches(now time.Time) []Cmd {
	if !l.store.failing(now) || now.Before(l.outage.nextAsk) || !l.leaseEndsSoon(now) {
		return nil
	}
	l.outage.nextAsk = now.Add(vouchInterval)
	l.sequence++
	l.outage.rounds = append(l.outage.rounds, vouchRound{sequence: l.sequence, sent: now})
	if len(l.outage.rounds) > maxVouchRounds {
		l.outage.rounds = l.outage.rounds[1:]
	}
	var cmds []Cmd
	for _, p := range l.outage.newestRoster.Members() {
		if p != l.self {
			request := VouchAsked{From: l.self, Sequence: l.sequence, Number: l.outage.newestRoster.Number}
			cmds = append(cmds, AskVouch{To: p.Instance, Ask: request})
		}
	}
	return cmds
}

// leaseEndsSoon reports whether the lease of a held seat ends within vouchLead or
// has ended.
func (l *Ledger) leaseEndsSoon(now time.Time) bool {
	for _, h := range l.held {
		if now.Add(vouchLead).After(h.leaseEnd) {
			return true
		}
	}
	return false
}

// refreshUsableUntil updates until when each held seat may be spent from: the end of its
// lease, or of the vouches for this instance if that is later. A seat is unusable
// while fenced, not yet checked or being released. Once the roster that names
// this holder is settled, the seat is no longer fenced.
func (l *Ledger) refreshUsableUntil(now time.Time) {
	if l.standalone {
		return
	}
	evidence := l.vouchedUntil(now)
	for name, h := range l.held {
		entry, listed := l.outage.newestRoster.seat(name)
		mine := listed && entry.Holder == l.self && entry.Epoch == h.record.Epoch
		if h.fenced && mine && l.outage.newestRoster.Settled {
			h.fenced = false
			h.dropTokens(now)
		}
		h.usableUntil = time.Time{}
		if (h.fenced && !l.injectedFaults.ignoreRosters) || !h.checked || h.releasing {
			continue
		}
		h.usableUntil = h.leaseEnd
		if !mine {
			continue
		}
		vouched := evidence
		if limit := h.renewalSent.Add(maxOutage); vouched.After(limit) {
			vouched = limit
		}
		if vouched.After(h.usableUntil) {
			h.usableUntil = vouched
		}
	}
}

// vouchedUntil returns the time until which vouches of more than half of the
// roster's members are valid, this instance's own included, or zero. They stay
// valid for their term when the store is back, so that holders have time to renew.
func (l *Ledger) vouchedUntil(now time.Time) time.Time {
	if l.store.failing(now) {
		l.outage.ownVouch = now
	}
	if l.outage.ownVouch.IsZero() {
		return time.Time{}
	}
	members := l.outage.newestRoster.Members()
	if !slices.Contains(members, l.self) {
		return time.Time{}
	}
	times := []time.Time{l.outage.ownVouch}
	for _, p := range members {
		if at, ok := l.outage.vouches[p]; ok && p != l.self {
			times = append(times, at)
		}
	}
	needed := len(members)/2 + 1
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1].Add(vouchTerm)
}

// changeRoster writes a new roster if the holders of seats have changed, or else
// settles the one in the store. A roster must be settled before it is replaced.
// Instances that hold no seat leave this to the others.
func (l *Ledger) changeRoster(now time.Time) []Cmd {
	o := &l.outage
	busy := o.writing != 0 && now.Sub(o.writeSent) < storeTimeout
	if busy || l.store.failing(now) || !l.store.answered || len(l.held) == 0 {
		return nil
	}
	next, urgent := l.nextRoster()
	if next.Number == 0 {
		o.changeAt = time.Time{}
		return l.settleRoster(now)
	}
	if o.changeAt.IsZero() {
		o.changeAt = now.Add(rosterChangeDelay + time.Duration(l.rng.Int64N(int64(rosterChangeDelay))))
	}
	if !urgent && now.Before(o.changeAt) {
		return nil
	}
	if l.store.rosterVersion > 0 && !l.store.roster.Settled {
		return l.settleRoster(now)
	}
	o.changeAt = time.Time{}
	return l.writeRoster(now, next)
}

// nextRoster returns a roster that lists the holders in the seat records seen, or
// an empty one if that in the store lists them already. The change is urgent if
// it ends the fencing of a seat of this instance.
func (l *Ledger) nextRoster() (next Roster, urgent bool) {
	current := l.store.roster
	next = Roster{Number: current.Number + 1, Previous: current.Members(), Settled: len(current.Seats) == 0}
	changed := false
	for _, name := range l.plan().seats {
		entry, listed := current.seat(name)
		seen, ok := l.store.seats[name]
		if ok && seen.Version > 0 && seen.Record.Holder != (Peer{}) && seen.Record.Epoch > entry.Epoch {
			entry = RosterSeat{Seat: name, Epoch: seen.Record.Epoch, Holder: seen.Record.Holder}
			listed, changed = true, true
			h, held := l.held[name]
			urgent = urgent || (held && h.fenced)
		}
		if listed {
			next.Seats = append(next.Seats, entry)
		}
	}
	if !changed {
		return Roster{}, false
	}
	return next, urgent
}

// settleRoster sends the store's roster to the members of the previous one, to be
// acknowledged. Once more than half of them have done so for settleWait, it writes the
// roster as settled.
func (l *Ledger) settleRoster(now time.Time) []Cmd {
	current := l.store.roster
	if l.store.rosterVersion == 0 || current.Settled || current.Number != l.outage.newestRoster.Number {
		return nil
	}
	if slices.Contains(current.Previous, l.self) && l.outage.acks[l.self].IsZero() {
		l.outage.acks[l.self] = now
	}
	if l.acknowledged(now, current) {
		current.Settled = true
		current.Previous = nil
		return l.writeRoster(now, current)
	}
	if now.Before(l.outage.nextAck) {
		return nil
	}
	l.outage.nextAck = now.Add(ackInterval)
	var cmds []Cmd
	for _, p := range current.Previous {
		if _, ok := l.outage.acks[p]; !ok {
			request := AcknowledgementAsked{From: l.self, Roster: current}
			cmds = append(cmds, AskAcknowledgement{To: p.Instance, Ask: request})
		}
	}
	return cmds
}

// acknowledged reports whether more than half of the members of the previous
// roster acknowledged r at least settleWait ago.
func (l *Ledger) acknowledged(now time.Time, r Roster) bool {
	count := 0
	for _, p := range r.Previous {
		at, ok := l.outage.acks[p]
		if ok && now.Sub(at) >= settleWait {
			count++
		}
	}
	return 2*count > len(r.Previous)
}

func (l *Ledger) writeRoster(now time.Time, r Roster) []Cmd {
	l.sequence++
	l.outage.writing = l.sequence
	l.outage.writeSent = now
	return []Cmd{WriteRoster{Sequence: l.sequence, Version: l.store.rosterVersion, Roster: r}}
}

// rosterWritten ignores the outcome of a write and requests a listing, which
// shows the roster that is in the store.
func (l *Ledger) rosterWritten(_ time.Time, msg RosterWritten) []Cmd {
	if msg.Sequence == l.outage.writing {
		l.outage.writing = 0
		l.store.urgent = true
	}
	return nil
}
