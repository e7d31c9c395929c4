package allocator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimJitter is the upper limit of a time that is added to the wait before a
	// claim. This added time differs between instances, so that they don't claim a seat
	// at the same time.
	claimJitter = 500 * time.Millisecond
	// unclaimedDelay is the least time that an instance of another failure domain waits
	// before it claims a seat that never had a holder.
	unclaimedDelay = 3 * time.Second
	// distanceDelay is added to the wait of an instance that claims the seat of another
	// failure domain in its own region. An instance of another region waits longer by
	// twice distanceDelay. For a released seat, all instances except the named
	// successor wait for another distanceDelay.
	distanceDelay = time.Second
	// minMemberAge is how long an instance must have been a member of the fleet before
	// the holder of a seat may name it as successor and release the seat to it.
	minMemberAge = 20 * time.Second
	// minWriteInterval is the least time between two writes of a seat.
	minWriteInterval = listInterval / 4
	// storeTimeout is the time after which a call to the store counts as lost.
	storeTimeout = 4 * time.Second
	// listingGap is a threshold: if more time lies between two successful listings,
	// other holders may have been unable to renew too, so this instance restarts its
	// wait for their leases to expire.
	listingGap = 3 * time.Second
	// slowListing is how long a listing may be unanswered before the store counts as
	// unreachable.
	slowListing = 600 * time.Millisecond
)

// storeView is the content of the store as last read or written by this instance, and
// the state of the listing calls.
type storeView struct {
	seats         map[string]*seenSeat
	rosterVersion int64
	roster        Roster
	// successfulListSent is when the last listing that succeeded was sent.
	successfulListSent time.Time
	// everListed means that at least one listing has succeeded.
	everListed   bool
	listInFlight bool
	// sequence is the sequence number of the last listing, sent at listSent.
	sequence uint64
	listSent time.Time
	// lastCallFailed means that the last listing failed, or that a write of a seat has
	// got no answer since the last listing succeeded.
	lastCallFailed bool
	// listSoon means that the next listing is due early: after a quarter of
	// listInterval.
	listSoon bool
}

// seenSeat is a seat as last read from or written to the store. Its record is known to
// be unchanged since unchangedSince; a gap in the listings resets that time.
type seenSeat struct {
	Seat
	unchangedSince time.Time
}

// failing reports whether the store counts as unreachable: the last call failed, or a
// listing has been unanswered for longer than slowListing.
func (v *storeView) failing(now time.Time) bool {
	return v.lastCallFailed || (v.listInFlight && now.Sub(v.listSent) > slowListing)
}

// heldSeat is a seat whose record in the store names this incarnation of this instance
// as its holder.
type heldSeat struct {
	name    string
	record  Record
	version int64
	// leaseEnd is leaseTerm after renewalSent. renewalSent is when the last write that
	// took effect, the claim or a renewal, was sent.
	leaseEnd    time.Time
	renewalSent time.Time
	claimedAt   time.Time
	// usableUntil is when spending must stop: the end of the lease or of the vouches,
	// whichever is later. It is zero while the seat is unusable.
	usableUntil time.Time
	// fenced means that the previous holder may still spend from the seat on vouches.
	// Fencing ends when a roster that names this holder is settled.
	fenced bool
	// plansChecked means that a listing sent after the claim showed that every holder
	// follows one of the plans that this instance has.
	plansChecked bool
	// closingSince is when this instance stopped lending from the seat in order to
	// release it, or zero.
	closingSince time.Time
	successor    string
	// releaseSent means that the write that releases the seat was sent. Nothing is
	// spent from the seat any more.
	releaseSent bool
	accounts    map[Resource]*account
	// sequences holds the highest sequence number of the loan requests of each
	// borrower.
	sequences map[Peer]uint64
}

// write is the last compare-and-swap write of a seat by this instance.
type write struct {
	sequence uint64
	record   Record
	sent     time.Time
	// previous is the record that the write replaces.
	previous Record
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

// listStore returns the command that lists the store, if a listing is due. The interval
// between listings grows with the number of members, which limits the load of the store
// by the whole fleet. If listSoon is set, the interval is a quarter of listInterval.
func (l *Ledger) listStore(now time.Time) []Cmd {
	every := max(listInterval, time.Duration(len(l.members))*time.Second/maxListsPerSecond)
	if l.store.listSoon {
		every = listInterval / 4
	}
	if l.store.listInFlight && now.Sub(l.store.listSent) < storeTimeout {
		return nil
	}
	if !l.store.listSent.IsZero() && now.Sub(l.store.listSent) < every {
		return nil
	}
	l.store.listInFlight = true
	l.store.listSent = now
	l.store.listSoon = false
	l.sequence++
	l.store.sequence = l.sequence
	return []Cmd{ListSeats{Sequence: l.sequence}}
}

// seatsListed applies the result of a listing: the seats and the roster in the store.
func (l *Ledger) seatsListed(now time.Time, msg SeatsListed) []Cmd {
	if !l.store.listInFlight || msg.Sequence != l.store.sequence {
		return nil
	}
	l.store.listInFlight = false
	l.store.lastCallFailed = msg.Failed
	if msg.Failed {
		return nil
	}
	if l.store.listSent.Sub(l.store.successfulListSent) > listingGap {
		// Holders may have been unable to renew as well, so an unchanged record
		// doesn't show that the holder's lease has expired.
		for _, seen := range l.store.seats {
			seen.unchangedSince = now
		}
	}
	l.store.successfulListSent = l.store.listSent
	l.store.everListed = true
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

// checkPlans sets plansChecked of a seat once a listing sent after the claim shows that
// every holder follows one of the plans in l.plans.
func (l *Ledger) checkPlans(h *heldSeat) {
	if h.plansChecked || l.store.successfulListSent.Before(h.claimedAt) || len(l.plans) == 0 {
		return
	}
	for _, s := range l.store.seats {
		planKnown := s.Record.Plan >= l.plans[0].version && s.Record.Plan <= l.plan().version
		if s.Version > 0 && !planKnown {
			return
		}
	}
	h.plansChecked = true
}

// observe applies a seat's record that was read from the store, unless a newer record
// is already known. If the record names another holder, this instance no longer holds
// the seat. If it names this instance, the instance holds the seat, even if the answer
// to the claim was lost. A renewal that took effect extends the lease, even if its
// answer was lost.
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

// holdSeat adds a held seat with empty buckets and returns it. The caller adds the
// tokens that the previous holder passed on.
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

// dropTokens empties the token buckets of a seat whose fencing ends. Their tokens
// accrued while the previous holder could still spend the same rate.
func (h *heldSeat) dropTokens(now time.Time) {
	for _, a := range h.accounts {
		a.refill(now)
		if !a.isSlots {
			a.tokens = 0
		}
	}
}

// seatWritten applies the outcome of a write of a seat. After a conflict or an unknown
// outcome, or if a newer record is already known, it only makes the next listing due
// early, to read the record in the store. An unknown outcome also counts as a failed
// call to the store.
func (l *Ledger) seatWritten(now time.Time, msg SeatWritten) []Cmd {
	w, ok := l.writes[msg.Seat]
	if !ok || !w.inFlight || w.sequence != msg.Sequence {
		return nil
	}
	w.inFlight = false
	seen := l.store.seats[msg.Seat]
	stale := seen != nil && seen.Version > msg.Version
	if msg.Result != WriteApplied || stale {
		l.store.listSoon = true
		l.store.lastCallFailed = l.store.lastCallFailed || msg.Result == WriteUnknown
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
		h = l.holdSeat(now, s, w.previous.Holder != Peer{})
		l.handOver(now, h, w.previous.Handover)
		l.store.listSoon = true
	}
	h.version, h.record = s.Version, s.Record
	h.extendLease(w.sent)
	return nil
}

// handOver sets the token buckets of a newly held seat to the tokens that the previous
// holder passed on.
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

// write returns the command for a compare-and-swap write of a seat. The caller ensures
// that no other write of the seat is in flight.
func (l *Ledger) write(now time.Time, previous Seat, r Record) []Cmd {
	l.sequence++
	// Each write has a number of its own. If a write repeated the number of one
	// that took effect but whose answer was lost, the lease would count from the
	// sending of the repetition and end too late.
	r.Renewal = int64(l.sequence)
	l.writes[previous.Name] = &write{sequence: l.sequence, record: r, sent: now, previous: previous.Record, inFlight: true}
	return []Cmd{WriteSeat{Sequence: l.sequence, Seat: Seat{Name: previous.Name, Version: previous.Version, Record: r}}}
}

// writeBlocked reports whether a seat must not be written now, because a write of it is
// in flight or was sent less than minWriteInterval ago.
func (l *Ledger) writeBlocked(now time.Time, name string) bool {
	w, ok := l.writes[name]
	if !ok {
		return false
	}
	return now.Sub(w.sent) < minWriteInterval || (w.inFlight && now.Sub(w.sent) < storeTimeout)
}

// renew returns the writes that renew the leases of held seats. A seat that has been
// closing for longer than takeoverGuard, so that all loans from it have expired, is
// released instead.
func (l *Ledger) renew(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range l.plan().seats {
		h, ok := l.held[name]
		if !ok || l.writeBlocked(now, name) {
			continue
		}
		l.close(now, h)
		w := l.writes[name]
		switch {
		case !h.closingSince.IsZero() && now.Sub(h.closingSince) > takeoverGuard:
			h.releaseSent = true
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

// confirmablePlan returns the plan version to write into the seat's record. It is the
// version of the newest plan if the loans and occupied slots fit into the seat's
// shares, otherwise the version in the present record.
func (l *Ledger) confirmablePlan(h *heldSeat) int64 {
	for r, a := range h.accounts {
		if !a.fits(l.share(r, h.name)) {
			return h.record.Plan
		}
	}
	return max(h.record.Plan, l.plan().version)
}

// close starts the release of a seat when this instance stops, or when the seat belongs
// to another failure domain that has an instance to hold it. From then on nothing is
// lent from the seat, so that all loans expire before the release.
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

// homeInstance returns the instance of the seat's failure domain that should hold the
// seat in place of this instance. It returns false if there is no such instance, or if
// the seat belongs to this instance's failure domain and this instance isn't stopping.
func (l *Ledger) homeInstance(now time.Time, seat string) (string, bool) {
	if seat == l.domain && !l.stopping {
		return "", false
	}
	var candidates []string
	for _, m := range l.members {
		oldEnough := now.Sub(l.memberSince[m.Instance]) >= minMemberAge
		if m.FailureDomain == seat && m.Instance != l.self.Instance && oldEnough {
			candidates = append(candidates, m.Instance)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return rank(seat, candidates)[0], true
}

// releaseRecord returns the record that releases a seat. It has no holder and lists the
// tokens for the next holder.
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

// claim returns the writes that claim seats without a holder and seats with a holder
// whose lease has expired.
func (l *Ledger) claim(now time.Time) []Cmd {
	if l.stopping || !l.store.everListed || l.store.failing(now) {
		return nil
	}
	var cmds []Cmd
	for _, name := range l.plan().seats {
		_, held := l.held[name]
		if held || l.writeBlocked(now, name) {
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

// claimDelay returns how long a seat's record must have been unchanged before this
// instance claims the seat. The successor named by a released seat and instances closer
// to the seat wait less than others.
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
