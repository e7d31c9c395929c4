package allocator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimJitter is the range over which the claims of different instances for
	// one seat are spread.
	claimJitter = 500 * time.Millisecond
	// unclaimedDelay is how long an instance of another failure domain waits before
	// it claims a seat that never had a holder.
	unclaimedDelay = 3 * time.Second
	// distanceDelay is added to the wait before a claim from another failure domain
	// of the seat's region, and twice from another region.
	distanceDelay = time.Second
	// minMemberAge is how long an instance must have been a member before another
	// one releases the seat of its failure domain to it.
	minMemberAge = 20 * time.Second
	// minWriteInterval is the least time between two writes of a seat.
	minWriteInterval = listInterval / 4
	// storeTimeout is the time after which a call to the store counts as lost.
	storeTimeout = 4 * time.Second
	// listingGap is the time between two successful listings from which the waits
	// for other holders' leases to expire start anew.
	listingGap = 3 * time.Second
	// slowListing is the time after which the store counts as unreachable while a
	// listing isn't answered.
	slowListing = 600 * time.Millisecond
)

// storeView is the content of the store as last read, and the state of listing it.
type storeView struct {
	seats         map[string]*seenSeat
	rosterVersion int64
	roster        Roster
	// lastListSent is when the last successful listing was sent.
	lastListSent time.Time
	// answered means that some listing has succeeded.
	answered bool
	inFlight bool
	sequence uint64
	sent     time.Time
	// failed means that the last listing failed, or that a later write of a seat
	// got no answer.
	failed bool
	// urgent means that the next listing is due early.
	urgent bool
}

// seenSeat is a seat as last seen and since when it has been unchanged.
type seenSeat struct {
	Seat
	unchangedSince time.Time
}

// failing reports whether the store counts as unreachable.
func (v *storeView) failing(now time.Time) bool {
	return v.failed || (v.inFlight && now.Sub(v.sent) > slowListing)
}

// heldSeat is a seat whose record names this run of this instance as its holder.
type heldSeat struct {
	name    string
	record  Record
	version int64
	// leaseEnd is leaseTerm after renewalSent, when the last renewal that took
	// effect was sent.
	leaseEnd    time.Time
	renewalSent time.Time
	claimedAt   time.Time
	// usableUntil is when spending must stop. See Ledger.refreshUsableUntil.
	usableUntil time.Time
	// fenced means that the previous holder may still spend from the seat because
	// of vouches, until a roster that names this holder is settled.
	fenced bool
	// checked means that a listing sent after the claim showed that this instance
	// has the plans that holders follow.
	checked bool
	// closingSince is when the release of the seat began, or zero.
	closingSince time.Time
	successor    string
	// releasing means that the write that releases the seat was sent. Nothing is
	// spent from the seat any more.
	releasing bool
	accounts  map[Resource]*account
	// sequences are the numbers of the borrowers' newest loan requests.
	sequences map[Peer]uint64
}

// write is the last compare-and-swap write of a seat.
type write struct {
	sequence uint64
	record   Record
	sent     time.Time
	// before is the record that the write replaces.
	before   Record
	inFlight bool
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

// listStore reads the store at intervals that limit the load of the whole fleet, or
// four times as fast if a write makes it urgent.
func (l *Ledger) listStore(now time.Time) []Cmd {
	every := max(listInterval, time.Duration(len(l.members))*time.Second/maxListsPerSecond)
	if l.store.urgent {
		every = listInterval / 4
	}
	if l.store.inFlight && now.Sub(l.store.sent) < storeTimeout {
		return nil
	}
	if !l.store.sent.IsZero() && now.Sub(l.store.sent) < every {
		return nil
	}
	l.store.inFlight = true
	l.store.sent = now
	l.store.urgent = false
	l.sequence++
	l.store.sequence = l.sequence
	return []Cmd{ListSeats{Sequence: l.sequence}}
}

// seatsListed applies the seats and the roster in the store.
func (l *Ledger) seatsListed(now time.Time, msg SeatsListed) []Cmd {
	if !l.store.inFlight || msg.Sequence != l.store.sequence {
		return nil
	}
	l.store.inFlight = false
	l.store.failed = msg.Failed
	if msg.Failed {
		return nil
	}
	if l.store.sent.Sub(l.store.lastListSent) > listingGap {
		// Holders may have been unable to renew as well, so an unchanged record
		// doesn't show that the holder's lease has expired.
		for _, seen := range l.store.seats {
			seen.unchangedSince = now
		}
	}
	l.store.lastListSent = l.store.sent
	l.store.answered = true
	for _, s := range msg.Seats {
		l.observe(now, s)
	}
	if msg.RosterVersion > l.store.rosterVersion {
		l.store.rosterVersion = msg.RosterVersion
		l.store.roster = msg.Roster
		l.adoptRoster(now, msg.Roster)
	}
	l.confirmPlans(now, msg.Seats)
	for _, h := range l.held {
		l.checkPlans(h)
	}
	return nil
}

// checkPlans makes a seat usable once a listing sent after the claim shows that
// every holder follows one of the plans in l.plans.
func (l *Ledger) checkPlans(h *heldSeat) {
	if h.checked || l.store.lastListSent.Before(h.claimedAt) || len(l.plans) == 0 {
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

// observe applies the record of a seat unless a newer one was seen. A seat that
// has another holder is no longer held. One that names this instance is held even
// if the answer to the claim was lost. A renewal whose answer was lost extends
// the lease.
func (l *Ledger) observe(now time.Time, s Seat) {
	seen, ok := l.store.seats[s.Name]
	if !ok {
		seen = &seenSeat{}
		l.store.seats[s.Name] = seen
	}
	if s.Version > seen.Version {
		seen.Seat = s
		seen.unchangedSince = now
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
		h = l.holdSeat(now, s, s.Record.Epoch > 1)
	}
	if s.Version > h.version {
		h.version = s.Version
		w := l.writes[s.Name]
		if w != nil && w.record.Renewal == s.Record.Renewal && w.record.Epoch == s.Record.Epoch {
			h.extendLease(w.sent)
		}
		h.record = s.Record
	}
}

// extendLease starts a new lease term at the time at which the write that took
// effect was sent.
func (h *heldSeat) extendLease(sent time.Time) {
	if sent.After(h.renewalSent) {
		h.renewalSent = sent
		h.leaseEnd = sent.Add(leaseTerm)
	}
}

// holdSeat adds a held seat with empty buckets. The caller adds the tokens that
// the previous holder passed on.
func (l *Ledger) holdSeat(now time.Time, s Seat, fenced bool) *heldSeat {
	h := &heldSeat{
		name: s.Name, record: s.Record, version: s.Version, claimedAt: now, fenced: fenced,
		accounts: map[Resource]*account{}, sequences: map[Peer]uint64{},
	}
	l.held[s.Name] = h
	delete(l.lenders, s.Name)
	l.resize(now)
	return h
}

// dropTokens drops the tokens that accrued while the previous holder could still
// spend the same rate.
func (h *heldSeat) dropTokens(now time.Time) {
	for _, a := range h.accounts {
		a.refill(now)
		if !a.isSlots {
			a.tokens = 0
		}
	}
}

// seatWritten applies the outcome of a write. If it is unknown or a conflict, the
// next listing shows what is in the store.
func (l *Ledger) seatWritten(now time.Time, msg SeatWritten) []Cmd {
	w, ok := l.writes[msg.Seat]
	if !ok || !w.inFlight || w.sequence != msg.Sequence {
		return nil
	}
	w.inFlight = false
	seen := l.store.seats[msg.Seat]
	stale := seen != nil && seen.Version > msg.Version
	if msg.Result != WriteApplied || stale {
		l.store.urgent = true
		l.store.failed = l.store.failed || msg.Result == WriteUnknown
		return nil
	}
	s := Seat{Name: msg.Seat, Version: msg.Version, Record: w.record}
	l.store.seats[msg.Seat] = &seenSeat{Seat: s, unchangedSince: now}
	if w.record.Holder != l.self {
		delete(l.held, msg.Seat)
		return nil
	}
	h, held := l.held[msg.Seat]
	if !held {
		h = l.holdSeat(now, s, w.before.Holder != Peer{})
		l.handOver(now, h, w.before.Handover)
		l.store.urgent = true
	}
	h.version, h.record = s.Version, s.Record
	h.extendLease(w.sent)
	return nil
}

// handOver fills the buckets with the tokens passed on by the previous holder.
func (l *Ledger) handOver(now time.Time, h *heldSeat, handed []Handover) {
	for _, t := range handed {
		a := h.account(t.Resource, now)
		a.tokens = t.Tokens
		a.clipTokens(0)
	}
	if l.injectedFaults.fillAtTakeover {
		for _, a := range h.accounts {
			a.tokens = a.burst
		}
	}
}

// write returns a compare-and-swap write of a seat. The caller makes sure that
// none is in flight for the seat.
func (l *Ledger) write(now time.Time, before Seat, r Record) []Cmd {
	l.sequence++
	// Each write has a number of its own. If a write repeated the number of one
	// that took effect but whose answer was lost, the lease would count from the
	// sending of the repetition and end too late.
	r.Renewal = int64(l.sequence)
	l.writes[before.Name] = &write{sequence: l.sequence, record: r, sent: now, before: before.Record, inFlight: true}
	return []Cmd{WriteSeat{Sequence: l.sequence, Seat: Seat{Name: before.Name, Version: before.Version, Record: r}}}
}

// writing reports whether a write of a seat is in flight, or was sent less than
// minWriteInterval ago.
func (l *Ledger) writing(now time.Time, name string) bool {
	w, ok := l.writes[name]
	if !ok {
		return false
	}
	return now.Sub(w.sent) < minWriteInterval || (w.inFlight && now.Sub(w.sent) < storeTimeout)
}

// renew renews the leases of held seats, and releases seats that have been closing
// for longer than loans from them last.
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
		case !h.closingSince.IsZero() && now.Sub(h.closingSince) > takeoverGuard:
			h.releasing = true
			cmds = append(cmds, l.write(now, h.seat(), l.releaseRecord(now, h))...)
		case w == nil || now.Sub(w.sent) >= renewInterval:
			r := h.record
			r.Plan = l.confirmablePlan(h)
			r.Handover = nil
			cmds = append(cmds, l.write(now, h.seat(), r)...)
		}
	}
	return cmds
}

// confirmablePlan returns the plan version for the seat's record: the newest plan
// if the loans and occupied slots fit into the share, else the one in the record.
func (l *Ledger) confirmablePlan(h *heldSeat) int64 {
	for r, a := range h.accounts {
		if !a.fits(l.share(r, h.name)) {
			return h.record.Plan
		}
	}
	return max(h.record.Plan, l.plan().version)
}

// close starts the release of a seat when this instance stops, or when the seat
// belongs to another failure domain that has an instance again. From then on
// nothing is lent, so that all loans expire before the release.
func (l *Ledger) close(now time.Time, h *heldSeat) {
	if !h.closingSince.IsZero() {
		return
	}
	successor, ok := l.homeInstance(now, h.name)
	if !l.stopping && !ok {
		return
	}
	h.closingSince = now
	h.successor = successor
}

// homeInstance returns the instance of the seat's failure domain that should hold
// the seat in place of this one, if there is one.
func (l *Ledger) homeInstance(now time.Time, seat string) (string, bool) {
	if seat == l.domain && !l.stopping {
		return "", false
	}
	var candidates []string
	for _, m := range l.members {
		known := now.Sub(l.memberSince[m.Instance]) >= minMemberAge
		if m.FailureDomain == seat && m.Instance != l.self.Instance && known {
			candidates = append(candidates, m.Instance)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return rank(seat, candidates)[0], true
}

// releaseRecord returns the record that releases a seat: without a holder, and
// with the tokens for the next one.
func (l *Ledger) releaseRecord(now time.Time, h *heldSeat) Record {
	r := Record{Epoch: h.record.Epoch, Plan: h.record.Plan, Successor: h.successor}
	for _, c := range l.plan().capacities {
		if a, ok := h.accounts[c.Resource]; ok && !a.isSlots {
			a.refill(now)
			r.Handover = append(r.Handover, Handover{Resource: c.Resource, Tokens: a.tokens})
		}
	}
	return r
}

// claim returns the writes that claim seats without a holder or with a holder whose
// lease has expired.
func (l *Ledger) claim(now time.Time) []Cmd {
	if l.stopping || !l.store.answered || l.store.failing(now) {
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
			seen = &seenSeat{Seat: Seat{Name: name}, unchangedSince: now}
			l.store.seats[name] = seen
		}
		if now.Sub(seen.unchangedSince) < l.claimDelay(name, seen.Seat) || l.plan().version < seen.Record.Plan {
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

// claimDelay is how long a seat's record must have been unchanged before this
// instance claims the seat. Closer instances and the successor of a released
// seat wait less than others.
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
		return unclaimedDelay + delay
	case s.Version == 0:
		return 0
	case s.Record.Holder == Peer{} && s.Record.Successor == l.self.Instance:
		return 0
	case s.Record.Holder == Peer{}:
		return distanceDelay + delay
	case l.injectedFaults.claimWithoutGuard:
		return leaseTerm / 2
	}
	return leaseTerm + leaseTerm/driftDivisor + takeoverGuard + delay
}

// heldNames returns the sorted names of the held seats.
func (l *Ledger) heldNames() []string {
	names := make([]string, 0, len(l.held))
	for name := range l.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
