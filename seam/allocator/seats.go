package allocator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimJitter spreads instances that may claim the same seat.
	claimJitter = 500 * time.Millisecond
	// absentDelay is how long an instance leaves a seat that never had a holder
	// to the instances of its failure domain.
	absentDelay = 3 * time.Second
	// distanceDelay is added for each step away: same region, other region.
	distanceDelay = time.Second
	// homeAfter is how long an instance must be known before a seat of its
	// failure domain is handed to it.
	homeAfter = 20 * time.Second
	// rewriteAfter is the least time between two writes of a seat.
	rewriteAfter = listEvery / 4
	// storeTimeout is when a call to the store counts as lost.
	storeTimeout = 4 * time.Second
	// outageGap is the time without a listing after which waiting for a lapse
	// starts again.
	outageGap = 3 * time.Second
	// slowStore is when a listing that is still open counts as failed.
	slowStore = 600 * time.Millisecond
)

// storeView is what the store showed last.
type storeView struct {
	seats         map[string]*seenSeat
	rosterVersion int64
	roster        Roster
	// asked is when the newest listing that was answered was sent.
	asked    time.Time
	answered bool
	open     bool
	sequence uint64
	sent     time.Time
	failed   bool
	urgent   bool
}

// seenSeat is a seat and since when its record has not changed.
type seenSeat struct {
	Seat
	since time.Time
}

// failing reports whether the store doesn't answer.
func (v *storeView) failing(now time.Time) bool {
	return v.failed || (v.open && now.Sub(v.sent) > slowStore)
}

// heldSeat is a seat whose record names this start of this instance.
type heldSeat struct {
	name    string
	record  Record
	version int64
	// leaseEnd counts from the sending of the last renewal that took effect.
	leaseEnd time.Time
	renewed  time.Time
	claimed  time.Time
	// until is when spending must stop, the store's outage considered.
	until time.Time
	// fenced means that the holder before may still spend until a roster
	// without it is settled.
	fenced bool
	// checked means that a listing sent after the claim was seen.
	checked   bool
	closing   time.Time
	successor string
	releasing bool
	accounts  map[Resource]*account
	sequences map[Peer]uint64
}

// write is a conditional update that is under way or whose outcome is open.
type write struct {
	sequence uint64
	record   Record
	sent     time.Time
	// before is the record that the update replaces.
	before Record
	open   bool
}

func (h *heldSeat) seat() Seat {
	return Seat{Name: h.name, Version: h.version, Record: h.record}
}

func (h *heldSeat) account(r Resource, now time.Time) *account {
	a, ok := h.accounts[r]
	if !ok {
		a = newAccount(r.Kind == RegionSlots, now)
		h.accounts[r] = a
	}
	return a
}

// list reads the store now and then, more often when an outcome is open.
func (l *Ledger) list(now time.Time) []Cmd {
	every := max(listEvery, time.Duration(len(l.members))*time.Second/listsPerSecond)
	if l.store.urgent {
		every = listEvery / 4
	}
	if l.store.open && now.Sub(l.store.sent) < storeTimeout {
		return nil
	}
	if !l.store.sent.IsZero() && now.Sub(l.store.sent) < every {
		return nil
	}
	l.store.open = true
	l.store.sent = now
	l.store.urgent = false
	l.sequence++
	l.store.sequence = l.sequence
	return []Cmd{ListSeats{Sequence: l.sequence}}
}

func (l *Ledger) seatsListed(now time.Time, msg SeatsListed) []Cmd {
	if !l.store.open || msg.Sequence != l.store.sequence {
		return nil
	}
	l.store.open = false
	l.store.failed = msg.Failed
	if msg.Failed {
		return nil
	}
	if l.store.sent.Sub(l.store.asked) > outageGap {
		// Holders could not renew either.
		for _, seen := range l.store.seats {
			seen.since = now
		}
	}
	l.store.asked = l.store.sent
	l.store.answered = true
	for _, s := range msg.Seats {
		l.see(now, s)
	}
	if msg.RosterVersion > l.store.rosterVersion {
		l.store.rosterVersion = msg.RosterVersion
		l.store.roster = msg.Roster
		l.adopt(now, msg.Roster)
	}
	l.confirmPlans(now, msg.Seats)
	for _, h := range l.held {
		l.check(h)
	}
	return nil
}

// check lets a seat be used once a listing sent after the claim shows that no
// holder follows a plan that this instance doesn't know.
func (l *Ledger) check(h *heldSeat) {
	if h.checked || l.store.asked.Before(h.claimed) || len(l.plans) == 0 {
		return
	}
	for _, s := range l.store.seats {
		known := s.Record.Plan >= l.plans[0].version && s.Record.Plan <= l.plan().version
		if s.Version > 0 && !known {
			return
		}
	}
	h.checked = true
}

// see takes in a record unless a newer one was seen.
func (l *Ledger) see(now time.Time, s Seat) {
	seen, ok := l.store.seats[s.Name]
	if !ok {
		seen = &seenSeat{}
		l.store.seats[s.Name] = seen
	}
	if s.Version > seen.Version {
		seen.Seat = s
		seen.since = now
	}
	if s.Version < seen.Version {
		return
	}
	h, held := l.held[s.Name]
	if s.Record.Holder != l.self {
		if held && s.Record.Epoch >= h.record.Epoch {
			delete(l.held, s.Name)
		}
		return
	}
	if !held {
		h = l.take(now, s, s.Record.Epoch > 1)
	}
	if s.Version > h.version {
		h.version = s.Version
		w := l.writes[s.Name]
		if w != nil && w.record.Renewal == s.Record.Renewal && w.record.Epoch == s.Record.Epoch {
			h.lease(w.sent)
		}
		h.record = s.Record
	}
}

// lease starts a lease at the sending of the write that took effect.
func (h *heldSeat) lease(sent time.Time) {
	if sent.After(h.renewed) {
		h.renewed = sent
		h.leaseEnd = sent.Add(leaseTerm)
	}
}

// take starts to hold a seat. Its buckets hold what was handed over, else none.
func (l *Ledger) take(now time.Time, s Seat, fenced bool) *heldSeat {
	h := &heldSeat{
		name: s.Name, record: s.Record, version: s.Version, claimed: now, fenced: fenced,
		accounts: map[Resource]*account{}, sequences: map[Peer]uint64{},
	}
	l.held[s.Name] = h
	delete(l.lenders, s.Name)
	l.resize(now)
	return h
}

// empty drops what the buckets gained while the holder before could still spend.
func (h *heldSeat) empty(now time.Time) {
	for _, a := range h.accounts {
		a.fill(now)
		if !a.counted {
			a.tokens = 0
		}
	}
}

func (l *Ledger) seatWritten(now time.Time, msg SeatWritten) []Cmd {
	w, ok := l.writes[msg.Seat]
	if !ok || !w.open || w.sequence != msg.Sequence {
		return nil
	}
	w.open = false
	seen := l.store.seats[msg.Seat]
	stale := seen != nil && seen.Version > msg.Version
	if msg.Result != WriteApplied || stale {
		l.store.urgent = true
		l.store.failed = l.store.failed || msg.Result == WriteUnknown
		return nil
	}
	s := Seat{Name: msg.Seat, Version: msg.Version, Record: w.record}
	l.store.seats[msg.Seat] = &seenSeat{Seat: s, since: now}
	if w.record.Holder != l.self {
		delete(l.held, msg.Seat)
		return nil
	}
	h, held := l.held[msg.Seat]
	if !held {
		h = l.take(now, s, w.before.Holder != Peer{})
		l.handOver(now, h, w.before.Handed)
		l.store.urgent = true
	}
	h.version, h.record = s.Version, s.Record
	h.lease(w.sent)
	return nil
}

// handOver fills the buckets with the tokens that came with the seat.
func (l *Ledger) handOver(now time.Time, h *heldSeat, handed []Handed) {
	for _, t := range handed {
		a := h.account(t.Resource, now)
		a.tokens = t.Tokens
		a.clip(0)
	}
	if l.plants.mintAtTakeover {
		for _, a := range h.accounts {
			a.tokens = a.burst
		}
	}
}

// write sends a conditional update; one may be under way for each seat.
func (l *Ledger) write(now time.Time, before Seat, r Record) []Cmd {
	l.sequence++
	// Each write has its own number: a lease must not count from the sending of
	// a write that repeats one whose answer was lost.
	r.Renewal = int64(l.sequence)
	l.writes[before.Name] = &write{sequence: l.sequence, record: r, sent: now, before: before.Record, open: true}
	return []Cmd{WriteSeat{Sequence: l.sequence, Seat: Seat{Name: before.Name, Version: before.Version, Record: r}}}
}

// writing reports whether a write is under way or has just ended.
func (l *Ledger) writing(now time.Time, name string) bool {
	w, ok := l.writes[name]
	if !ok {
		return false
	}
	return now.Sub(w.sent) < rewriteAfter || (w.open && now.Sub(w.sent) < storeTimeout)
}

// renew renews, closes and releases held seats.
func (l *Ledger) renew(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range l.plan().seats {
		h, ok := l.held[name]
		if !ok || l.writing(now, name) {
			continue
		}
		l.close(now, h)
		w := l.writes[name]
		switch {
		case !h.closing.IsZero() && now.Sub(h.closing) > guard:
			h.releasing = true
			cmds = append(cmds, l.write(now, h.seat(), l.released(now, h))...)
		case w == nil || now.Sub(w.sent) >= renewEvery:
			r := h.record
			r.Plan = l.confirmable(h)
			r.Handed = nil
			cmds = append(cmds, l.write(now, h.seat(), r)...)
		}
	}
	return cmds
}

// confirmable returns the plan version to which the seat has shrunk.
func (l *Ledger) confirmable(h *heldSeat) int64 {
	for r, a := range h.accounts {
		if !a.fits(l.share(r, h.name)) {
			return h.record.Plan
		}
	}
	return max(h.record.Plan, l.plan().version)
}

// close starts the release of a seat when the instance stops or when the
// seat's own failure domain has an instance again. Loans end first.
func (l *Ledger) close(now time.Time, h *heldSeat) {
	if !h.closing.IsZero() {
		return
	}
	successor, ok := l.home(now, h.name)
	if !l.stop && !ok {
		return
	}
	h.closing = now
	h.successor = successor
}

// home returns the instance of the seat's failure domain that should hold it.
func (l *Ledger) home(now time.Time, seat string) (string, bool) {
	if seat == l.domain && !l.stop {
		return "", false
	}
	var near []string
	for _, m := range l.members {
		known := now.Sub(l.memberSince[m.Instance]) >= homeAfter
		if m.FailureDomain == seat && m.Instance != l.self.Instance && known {
			near = append(near, m.Instance)
		}
	}
	if len(near) == 0 {
		return "", false
	}
	return rank(seat, near)[0], true
}

// released is the record of a seat without a holder and the tokens it passes on.
func (l *Ledger) released(now time.Time, h *heldSeat) Record {
	r := Record{Epoch: h.record.Epoch, Plan: h.record.Plan, Successor: h.successor}
	for _, c := range l.plan().capacities {
		if a, ok := h.accounts[c.Resource]; ok && !a.counted {
			a.fill(now)
			r.Handed = append(r.Handed, Handed{Resource: c.Resource, Tokens: a.tokens})
		}
	}
	return r
}

// claim takes over seats that nobody holds.
func (l *Ledger) claim(now time.Time) []Cmd {
	if l.stop || !l.store.answered || l.store.failing(now) {
		return nil
	}
	var cmds []Cmd
	for _, name := range l.plan().seats {
		_, held := l.held[name]
		if held || l.writing(now, name) {
			continue
		}
		seen, ok := l.store.seats[name]
		if !ok {
			seen = &seenSeat{Seat: Seat{Name: name}, since: now}
			l.store.seats[name] = seen
		}
		if now.Sub(seen.since) < l.claimDelay(name, seen.Seat) || l.plan().version < seen.Record.Plan {
			continue
		}
		r := Record{Holder: l.self, Epoch: seen.Record.Epoch + 1, Plan: seen.Record.Plan}
		if seen.Version == 0 {
			r.Plan = l.plan().version
		}
		cmds = append(cmds, l.write(now, seen.Seat, r)...)
	}
	return cmds
}

// claimDelay is how long a record must not have changed before this instance
// claims the seat.
func (l *Ledger) claimDelay(seat string, s Seat) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(l.self.Instance+"/"+seat) % uint64(claimJitter))
	distance := 2 * distanceDelay
	switch {
	case seat == l.domain:
		distance = 0
	case l.plan().regions[seat] == l.region:
		distance = distanceDelay
	}
	delay := distance + jitter
	switch {
	case s.Version == 0 && distance > 0:
		return absentDelay + delay
	case s.Version == 0:
		return 0
	case s.Record.Holder == Peer{} && s.Record.Successor == l.self.Instance:
		return 0
	case s.Record.Holder == Peer{}:
		return distanceDelay + delay
	case l.plants.claimWithoutGuard:
		return leaseTerm / 2
	}
	return leaseTerm + leaseTerm/driftPart + guard + delay
}

// heldNames returns the names of held seats in order.
func (l *Ledger) heldNames() []string {
	names := make([]string, 0, len(l.held))
	for name := range l.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
