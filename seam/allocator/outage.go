package allocator

import (
	"slices"
	"time"
)

const (
	// evidenceTerm is how long a word counts after it was asked for.
	evidenceTerm = 2 * time.Second
	// wordEvery is the time between two rounds of asking for words.
	wordEvery = 500 * time.Millisecond
	// wordLead is how long before the lapse a holder starts to ask.
	wordLead = 1500 * time.Millisecond
	// settleWait is how long a roster waits after its acknowledgements: words
	// given before them, and loans that stand on those words, have ended.
	settleWait = evidenceTerm + evidenceTerm/driftPart + guard
	// outageLimit bounds how long a holder goes on without the store.
	outageLimit = 75 * time.Minute
	// ackEvery is the time between two rounds of asking for acknowledgements.
	ackEvery = 300 * time.Millisecond
	// lazyChange is how long a change of the roster that no seat waits for is
	// left to gather others; as long again is added at random.
	lazyChange = time.Second
	// wordsRemembered is the number of rounds whose answers still count.
	wordsRemembered = 8
)

// outage is what an instance knows of rosters, and the evidence that lets it
// go on while the store can't be reached.
type outage struct {
	// known is the newest roster that this instance has heard of.
	known Roster
	words map[Peer]time.Time
	// ownWord is when this instance last could not reach the store.
	ownWord time.Time
	rounds  []wordRound
	nextAsk time.Time

	acks     map[Peer]time.Time
	nextAck  time.Time
	changeAt time.Time
	writing  uint64
	wrote    time.Time
}

// wordRound is one round of asking for words.
type wordRound struct {
	sequence uint64
	asked    time.Time
}

// Members returns the starts of instances that hold seats in the roster.
func (r Roster) Members() []Peer {
	var members []Peer
	for _, s := range r.Seats {
		if !slices.Contains(members, s.Holder) {
			members = append(members, s.Holder)
		}
	}
	return members
}

// seat returns the roster's entry of a seat.
func (r Roster) seat(name string) (RosterSeat, bool) {
	i := slices.IndexFunc(r.Seats, func(s RosterSeat) bool { return s.Seat == name })
	if i < 0 {
		return RosterSeat{}, false
	}
	return r.Seats[i], true
}

// adopt takes in a roster that is newer than the known one. Words for an older
// one no longer count, and this instance no longer gives any.
func (l *Ledger) adopt(now time.Time, r Roster) {
	known := &l.outage.known
	switch {
	case r.Number > known.Number:
		*known = r
		clear(l.outage.words)
		l.outage.ownWord = time.Time{}
		clear(l.outage.acks)
		l.outage.rounds = nil
		l.outage.nextAck = now
	case r.Number == known.Number && r.Settled:
		known.Settled = true
	}
}

// acknowledgementAsked learns a roster and says so.
func (l *Ledger) acknowledgementAsked(now time.Time, msg AcknowledgementAsked) []Cmd {
	l.adopt(now, msg.Roster)
	given := AcknowledgementGiven{From: l.self, Number: l.outage.known.Number}
	return []Cmd{AnswerAcknowledgement{To: msg.From, Answer: given}}
}

func (l *Ledger) acknowledgementGiven(now time.Time, msg AcknowledgementGiven) []Cmd {
	known := l.outage.known
	if msg.Number < known.Number || !slices.Contains(known.Previous, msg.From) {
		return nil
	}
	if _, ok := l.outage.acks[msg.From]; !ok {
		l.outage.acks[msg.From] = now
	}
	return nil
}

// wordAsked gives a word only while the store can't be reached and no newer
// roster is known.
func (l *Ledger) wordAsked(now time.Time, msg VouchAsked) VouchGiven {
	granted := l.store.failing(now) && l.outage.known.Number <= msg.Number
	return VouchGiven{From: l.self, Sequence: msg.Sequence, Granted: granted}
}

// wordGiven counts a word from the time at which it was asked for.
func (l *Ledger) wordGiven(msg VouchGiven) {
	if !msg.Granted {
		return
	}
	for _, r := range l.outage.rounds {
		if r.sequence == msg.Sequence && r.asked.After(l.outage.words[msg.From]) {
			l.outage.words[msg.From] = r.asked
		}
	}
}

// askWords asks the other members for their words while the store is away.
func (l *Ledger) askWords(now time.Time) []Cmd {
	if !l.store.failing(now) || now.Before(l.outage.nextAsk) || !l.nearLapse(now) {
		return nil
	}
	l.outage.nextAsk = now.Add(wordEvery)
	l.sequence++
	l.outage.rounds = append(l.outage.rounds, wordRound{sequence: l.sequence, asked: now})
	if len(l.outage.rounds) > wordsRemembered {
		l.outage.rounds = l.outage.rounds[1:]
	}
	var cmds []Cmd
	for _, p := range l.outage.known.Members() {
		if p != l.self {
			ask := VouchAsked{From: l.self, Sequence: l.sequence, Number: l.outage.known.Number}
			cmds = append(cmds, AskVouch{To: p.Instance, Ask: ask})
		}
	}
	return cmds
}

func (l *Ledger) nearLapse(now time.Time) bool {
	for _, h := range l.held {
		if now.Add(wordLead).After(h.leaseEnd) {
			return true
		}
	}
	return false
}

// refresh sets until when each held seat may be spent.
func (l *Ledger) refresh(now time.Time) {
	if l.alone {
		return
	}
	evidence := l.evidenceUntil(now)
	for name, h := range l.held {
		entry, listed := l.outage.known.seat(name)
		mine := listed && entry.Holder == l.self && entry.Epoch == h.record.Epoch
		if h.fenced && mine && l.outage.known.Settled {
			h.fenced = false
			h.empty(now)
		}
		h.until = time.Time{}
		if (h.fenced && !l.plants.ignoreRosters) || !h.checked || h.releasing {
			continue
		}
		h.until = h.leaseEnd
		if !mine {
			continue
		}
		vouched := evidence
		if limit := h.renewed.Add(outageLimit); vouched.After(limit) {
			vouched = limit
		}
		if vouched.After(h.until) {
			h.until = vouched
		}
	}
}

// evidenceUntil returns the end of the words of more than half of the roster,
// this instance's own included, or zero. The words outlive the outage, so that
// holders can renew when the store is back.
func (l *Ledger) evidenceUntil(now time.Time) time.Time {
	if l.store.failing(now) {
		l.outage.ownWord = now
	}
	if l.outage.ownWord.IsZero() {
		return time.Time{}
	}
	members := l.outage.known.Members()
	if !slices.Contains(members, l.self) {
		return time.Time{}
	}
	times := []time.Time{l.outage.ownWord}
	for _, p := range members {
		if at, ok := l.outage.words[p]; ok && p != l.self {
			times = append(times, at)
		}
	}
	needed := len(members)/2 + 1
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1].Add(evidenceTerm)
}

// changeRoster settles the store's roster, or makes a newer one, when a seat
// of this instance needs it.
func (l *Ledger) changeRoster(now time.Time) []Cmd {
	o := &l.outage
	busy := o.writing != 0 && now.Sub(o.wrote) < storeTimeout
	if busy || l.store.failing(now) || !l.store.answered || len(l.held) == 0 {
		return nil
	}
	next, urgent := l.nextRoster()
	if next.Number == 0 {
		o.changeAt = time.Time{}
		return l.settleRoster(now)
	}
	if o.changeAt.IsZero() {
		o.changeAt = now.Add(lazyChange + time.Duration(l.rng.Int64N(int64(lazyChange))))
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

// nextRoster returns the roster that fits the records seen, or none if the
// store's does. It is urgent if a seat of this instance waits for it.
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

// settleRoster asks more than half of the members before to acknowledge the
// store's roster, waits until older words have ended, and marks it settled.
func (l *Ledger) settleRoster(now time.Time) []Cmd {
	current := l.store.roster
	if l.store.rosterVersion == 0 || current.Settled || current.Number != l.outage.known.Number {
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
	l.outage.nextAck = now.Add(ackEvery)
	var cmds []Cmd
	for _, p := range current.Previous {
		if _, ok := l.outage.acks[p]; !ok {
			ask := AcknowledgementAsked{From: l.self, Roster: current}
			cmds = append(cmds, AskAcknowledgement{To: p.Instance, Ask: ask})
		}
	}
	return cmds
}

// acknowledged reports whether more than half of the members before know the
// roster and did so for the whole wait.
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
	l.outage.wrote = now
	return []Cmd{WriteRoster{Sequence: l.sequence, Version: l.store.rosterVersion, Roster: r}}
}

// rosterWritten reads the store again: the listing shows what took effect.
func (l *Ledger) rosterWritten(_ time.Time, msg RosterWritten) []Cmd {
	if msg.Sequence == l.outage.writing {
		l.outage.writing = 0
		l.store.urgent = true
	}
	return nil
}
