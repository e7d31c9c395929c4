package allocator

import (
	"slices"
	"time"
)

const (
	// vouchTerm is how long a vouch is valid, counted from the sending of the request
	// for it.
	vouchTerm = 2 * time.Second
	// vouchInterval is the time between two rounds of vouch requests.
	vouchInterval = 500 * time.Millisecond
	// vouchLead is how long before the end of its lease a holder starts to
	// request vouches.
	vouchLead = 1500 * time.Millisecond
	// settleWait is the time between the acknowledgements of a roster and the write
	// that marks the roster as settled. By then, the vouches given before the
	// acknowledgements have expired, and so have the loans granted by holders that
	// relied on these vouches.
	settleWait = vouchTerm + vouchTerm/driftDivisor + takeoverGuard
	// maxOutage is how long a holder may spend on vouches after it sent its last
	// successful renewal.
	maxOutage = 75 * time.Minute
	// ackInterval is the time between two rounds of acknowledgement requests.
	ackInterval = 300 * time.Millisecond
	// rosterChangeDelay is how long a change of the roster is delayed, so that one
	// write covers several changes. A random time of up to the same length is added. A
	// change that ends the fencing of one of the writer's seats isn't delayed.
	rosterChangeDelay = time.Second
	// maxVouchRounds is the number of rounds of vouch requests that are remembered.
	// Answers to older rounds are ignored.
	maxVouchRounds = 8
)

// rosterState is what an instance keeps about rosters, also while the store can be
// reached: its newest roster, the vouches by which it may spend during an outage of the
// store, and the progress of replacing the roster in the store.
type rosterState struct {
	// newestRoster is the newest roster that this instance has received or read.
	newestRoster Roster
	// vouchRequestedAt holds, for each member that vouched for this instance, when the
	// request for its latest vouch was sent.
	vouchRequestedAt map[Peer]time.Time
	// storeFailingAt is when this instance last found the store unreachable. It counts
	// as the instance's vouch for itself.
	storeFailingAt   time.Time
	vouchRounds      []vouchRound
	nextVouchRequest time.Time

	// ackedAt holds, for each member of the previous roster that acknowledged
	// newestRoster, when its acknowledgement arrived.
	ackedAt        map[Peer]time.Time
	nextAckRequest time.Time
	// changeAt is when a change of the roster that isn't urgent is due to be written,
	// or zero if there is none.
	changeAt time.Time
	// rosterWriteSequence is the sequence number of the roster write in flight, or 0.
	rosterWriteSequence uint64
	rosterWriteSent     time.Time
}

// vouchRound is one round of vouch requests to all other members of the roster. All its
// requests have the same sequence number.
type vouchRound struct {
	sequence uint64
	sent     time.Time
}

// Members returns the members of the roster: the holders of its seats, each once.
func (r Roster) Members() []Peer {
	var members []Peer
	for _, s := range r.Seats {
		if !slices.Contains(members, s.Holder) {
			members = append(members, s.Holder)
		}
	}
	return members
}

// seat returns the roster's entry for a seat. It reports false if the roster has none.
func (r Roster) seat(name string) (RosterSeat, bool) {
	i := slices.IndexFunc(r.Seats, func(s RosterSeat) bool { return s.Seat == name })
	if i < 0 {
		return RosterSeat{}, false
	}
	return r.Seats[i], true
}

// adoptRoster replaces newestRoster by r if r is newer. Vouches received under the
// older roster then no longer count, and this instance no longer vouches for holders
// that have only the older roster. If r is the same roster and is settled, adoptRoster
// marks newestRoster as settled.
func (l *Ledger) adoptRoster(now time.Time, r Roster) {
	newestRoster := &l.rosterState.newestRoster
	switch {
	case r.Number > newestRoster.Number:
		*newestRoster = r
		clear(l.rosterState.vouchRequestedAt)
		l.rosterState.storeFailingAt = time.Time{}
		clear(l.rosterState.ackedAt)
		l.rosterState.vouchRounds = nil
		l.rosterState.nextAckRequest = now
	case r.Number == newestRoster.Number && r.Settled:
		newestRoster.Settled = true
	}
}

// acknowledgementRequested adopts a roster if it is newer, and answers with the number of
// newestRoster.
func (l *Ledger) acknowledgementRequested(now time.Time, msg AcknowledgementRequested) []Cmd {
	l.adoptRoster(now, msg.Roster)
	given := AcknowledgementAnswered{From: l.self, Number: l.rosterState.newestRoster.Number}
	return []Cmd{AnswerAcknowledgement{To: msg.From, Answer: given}}
}

// acknowledgementAnswered records when a member of the previous roster first
// acknowledged newestRoster.
func (l *Ledger) acknowledgementAnswered(now time.Time, msg AcknowledgementAnswered) []Cmd {
	newestRoster := l.rosterState.newestRoster
	if msg.Number < newestRoster.Number || !slices.Contains(newestRoster.Previous, msg.From) {
		return nil
	}
	if _, ok := l.rosterState.ackedAt[msg.From]; !ok {
		l.rosterState.ackedAt[msg.From] = now
	}
	return nil
}

// vouchRequested returns the answer to a vouch request. It grants the vouch only if
// this instance can't reach the store and has no newer roster than the requesting
// holder.
func (l *Ledger) vouchRequested(now time.Time, msg VouchRequested) VouchAnswered {
	granted := l.store.failing(now) && l.rosterState.newestRoster.Number <= msg.Number
	return VouchAnswered{From: l.self, Sequence: msg.Sequence, Granted: granted}
}

// vouchAnswered records a granted vouch with the time at which the request for it was
// sent.
func (l *Ledger) vouchAnswered(msg VouchAnswered) {
	if !msg.Granted {
		return
	}
	for _, r := range l.rosterState.vouchRounds {
		if r.sequence == msg.Sequence && r.sent.After(l.rosterState.vouchRequestedAt[msg.From]) {
			l.rosterState.vouchRequestedAt[msg.From] = r.sent
		}
	}
}

// requestVouches returns the commands that request vouches from the other members of the
// roster. It returns none unless the store can't be reached and the lease of a held
// seat is about to end or has ended.
func (l *Ledger) requestVouches(now time.Time) []Cmd {
	if !l.store.failing(now) || now.Before(l.rosterState.nextVouchRequest) || !l.leaseEndsSoon(now) {
		return nil
	}
	l.rosterState.nextVouchRequest = now.Add(vouchInterval)
	l.sequence++
	l.rosterState.vouchRounds = append(l.rosterState.vouchRounds, vouchRound{sequence: l.sequence, sent: now})
	if len(l.rosterState.vouchRounds) > maxVouchRounds {
		l.rosterState.vouchRounds = l.rosterState.vouchRounds[1:]
	}
	var cmds []Cmd
	for _, p := range l.rosterState.newestRoster.Members() {
		if p != l.self {
			request := VouchRequested{From: l.self, Sequence: l.sequence, Number: l.rosterState.newestRoster.Number}
			cmds = append(cmds, RequestVouch{To: p.Instance, Request: request})
		}
	}
	return cmds
}

// leaseEndsSoon reports whether the lease of some held seat ends within vouchLead or
// has ended.
func (l *Ledger) leaseEndsSoon(now time.Time) bool {
	for _, h := range l.held {
		if now.Add(vouchLead).After(h.leaseEnd) {
			return true
		}
	}
	return false
}

// refreshUsableUntil updates usableUntil of each held seat. A seat is usable until its
// lease ends. If the newest roster names this holder, the seat stays usable until the
// vouches for this instance end, but at most for maxOutage after the last successful
// renewal was sent. A seat is unusable while it is fenced, before plansChecked is set,
// and after its release was sent. Fencing ends when the newest roster names this holder
// and is settled.
func (l *Ledger) refreshUsableUntil(now time.Time) {
	if l.standalone {
		return
	}
	vouchesEnd := l.vouchedUntil(now)
	for name, h := range l.held {
		entry, listed := l.rosterState.newestRoster.seat(name)
		rosterNamesHolder := listed && entry.Holder == l.self && entry.Epoch == h.record.Epoch
		if h.fenced && rosterNamesHolder && l.rosterState.newestRoster.Settled {
			h.fenced = false
			h.dropTokens(now)
		}
		h.usableUntil = time.Time{}
		if (h.fenced && !l.injectedFaults.ignoreRosters) || !h.plansChecked || h.releaseSent {
			continue
		}
		h.usableUntil = h.leaseEnd
		if !rosterNamesHolder {
			continue
		}
		vouched := vouchesEnd
		if limit := h.renewalSent.Add(maxOutage); vouched.After(limit) {
			vouched = limit
		}
		if vouched.After(h.usableUntil) {
			h.usableUntil = vouched
		}
	}
}

// vouchedUntil returns the time until which vouches of more than half of the roster's
// members are valid, or zero if there are fewer vouches. This instance's vouch for
// itself counts. Vouches stay valid for their term after the store can be reached
// again, so that holders have time to renew their leases.
func (l *Ledger) vouchedUntil(now time.Time) time.Time {
	if l.store.failing(now) {
		l.rosterState.storeFailingAt = now
	}
	if l.rosterState.storeFailingAt.IsZero() {
		return time.Time{}
	}
	members := l.rosterState.newestRoster.Members()
	if !slices.Contains(members, l.self) {
		return time.Time{}
	}
	times := []time.Time{l.rosterState.storeFailingAt}
	for _, p := range members {
		if at, ok := l.rosterState.vouchRequestedAt[p]; ok && p != l.self {
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

// changeRoster returns the commands that write a new roster if the holders of seats
// have changed. If the holders haven't changed, or if the roster in the store isn't
// settled yet, it returns the commands that settle the roster in the store, because a
// roster must be settled before it is replaced. It returns no commands while a change
// is delayed, while a write of the roster is in flight, while the store can't be
// reached, or if this instance holds no seat.
func (l *Ledger) changeRoster(now time.Time) []Cmd {
	o := &l.rosterState
	busy := o.rosterWriteSequence != 0 && now.Sub(o.rosterWriteSent) < storeTimeout
	if busy || l.store.failing(now) || !l.store.everListed || len(l.held) == 0 {
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

// nextRoster returns a roster that lists the holders named in the latest known seat
// records. It returns an empty roster if the roster in the store already lists these
// holders. The change is urgent if the new roster, once settled, ends the fencing of a
// seat that this instance holds.
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

// settleRoster returns the commands that settle the roster in the store. It requests
// acknowledgements from the members of the previous roster. Once more than half of them
// have acknowledged the roster and settleWait has passed since, it writes the roster as
// settled.
func (l *Ledger) settleRoster(now time.Time) []Cmd {
	current := l.store.roster
	if l.store.rosterVersion == 0 || current.Settled || current.Number != l.rosterState.newestRoster.Number {
		return nil
	}
	if slices.Contains(current.Previous, l.self) && l.rosterState.ackedAt[l.self].IsZero() {
		l.rosterState.ackedAt[l.self] = now
	}
	if l.acknowledged(now, current) {
		current.Settled = true
		current.Previous = nil
		return l.writeRoster(now, current)
	}
	if now.Before(l.rosterState.nextAckRequest) {
		return nil
	}
	l.rosterState.nextAckRequest = now.Add(ackInterval)
	var cmds []Cmd
	for _, p := range current.Previous {
		if _, ok := l.rosterState.ackedAt[p]; !ok {
			request := AcknowledgementRequested{From: l.self, Roster: current}
			cmds = append(cmds, RequestAcknowledgement{To: p.Instance, Request: request})
		}
	}
	return cmds
}

// acknowledged reports whether more than half of the members of the previous
// roster acknowledged r at least settleWait ago.
func (l *Ledger) acknowledged(now time.Time, r Roster) bool {
	count := 0
	for _, p := range r.Previous {
		at, ok := l.rosterState.ackedAt[p]
		if ok && now.Sub(at) >= settleWait {
			count++
		}
	}
	return 2*count > len(r.Previous)
}

func (l *Ledger) writeRoster(now time.Time, r Roster) []Cmd {
	l.sequence++
	l.rosterState.rosterWriteSequence = l.sequence
	l.rosterState.rosterWriteSent = now
	return []Cmd{WriteRoster{Sequence: l.sequence, Version: l.store.rosterVersion, Roster: r}}
}

// rosterWritten makes the next listing due early, whatever the outcome of the write:
// the listing shows which roster is in the store.
func (l *Ledger) rosterWritten(_ time.Time, msg RosterWritten) []Cmd {
	if msg.Sequence == l.rosterState.rosterWriteSequence {
		l.rosterState.rosterWriteSequence = 0
		l.store.listSoon = true
	}
	return nil
}
