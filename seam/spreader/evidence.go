package spreader

import (
	"maps"
	"time"
)

// unknownAge is the age of evidence that there never was.
const unknownAge = 24 * time.Hour

// evidence is what an instance knows of how new its keys are.
type evidence struct {
	// at is a time at which the keys held were all that had been accepted.
	at        time.Time
	storeDown bool
	// claims holds the regions whose watchers can't reach the store.
	claims map[string]time.Time
	// regions holds every region that was configured or had a watcher. It never
	// shrinks: a region that is not heard may still reach the store.
	regions map[string]bool
	asked   time.Time
}

func newEvidence() evidence {
	return evidence{claims: map[string]time.Time{}, regions: map[string]bool{}}
}

// know adds regions that must be heard before the store counts as unreachable.
func (e *evidence) know(msg WatchersChanged) {
	for _, region := range msg.Regions {
		e.regions[region] = true
	}
	for _, w := range msg.Watchers {
		e.regions[w.Region] = true
	}
}

func (e *evidence) prove(at time.Time) {
	if at.After(e.at) {
		e.at = at
	}
}

func (e *evidence) age(now time.Time) time.Duration {
	if e.at.IsZero() {
		return unknownAge
	}
	return now.Sub(e.at)
}

// storeAnswered proves the time of sending. A watch that waited in full proves
// the end of its wait, since the store looked again then.
func (e *evidence) storeAnswered(now time.Time, msg StoreAnswered) {
	e.storeDown = false
	clear(e.claims)
	proven := msg.Sent
	if msg.Call.Position >= 0 && len(msg.Events.Objects) == 0 && now.Sub(msg.Sent) >= msg.Call.Wait {
		proven = msg.Sent.Add(msg.Call.Wait)
	}
	e.prove(proven)
}

func (e *evidence) storeFailed() { e.storeDown = true }

// peerAnswered takes over a peer's evidence, aged by the unknown part of the
// way, and its word on the store.
func (e *evidence) peerAnswered(now time.Time, msg PeerAnswered) {
	made := msg.Sent.Add(msg.Answer.Waited)
	if made.After(now) {
		made = now
	}
	e.prove(made.Add(-msg.Answer.EvidenceAge))
	if msg.Answer.StoreUnreachable {
		e.claims[msg.Call.Peer.Region] = made
	} else {
		delete(e.claims, msg.Call.Peer.Region)
	}
}

// askOthers lets a watcher without fresh evidence ask one other watcher of each
// region whether the store is unreachable for it too.
func (m *Model) askOthers(now time.Time) []Cmd {
	m.concludeOutage(now)
	if m.evidence.age(now) < askAfter && !m.evidence.storeDown || now.Sub(m.evidence.asked) < askEvery {
		return nil
	}
	m.evidence.asked = now
	var cmds []Cmd
	asked := map[string]bool{}
	for _, i := range m.rng.Perm(len(m.watchers)) {
		w := m.watchers[i]
		if asked[w.Region] || w.ID == m.self {
			continue
		}
		asked[w.Region] = true
		cmds = append(cmds, Follow{Peer: w, Request: m.request(w, 0), Ask: true})
	}
	return cmds
}

// concludeOutage proves the keys while the store is unreachable for all: it
// accepts no withdrawal then. All regions have to say so, since the store may
// still answer in a region that is not heard.
func (m *Model) concludeOutage(now time.Time) {
	if !m.evidence.storeDown {
		return
	}
	oldest := now
	for region := range m.mustHear() {
		at, ok := m.evidence.claims[region]
		if !ok || now.Sub(at) > claimLife {
			return
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	m.evidence.prove(oldest)
}

// mustHear returns the regions whose word an outage needs: all others, and the
// own one while it has another watcher.
func (m *Model) mustHear() map[string]bool {
	regions := maps.Clone(m.evidence.regions)
	delete(regions, m.region)
	for _, w := range m.watchers {
		if w.ID != m.self {
			regions[w.Region] = true
		}
	}
	return regions
}

// KeyEvidenceTime returns a time at which the keys held were all that had been
// accepted, or the zero time.
func (m *Model) KeyEvidenceTime() time.Time { return m.evidence.at }

// StoreReachable reports whether the last call to the store had an answer.
func (m *Model) StoreReachable() bool { return !m.evidence.storeDown }

// EvidenceAge returns how old the evidence for the keys is; a day if there
// never was any.
func (m *Model) EvidenceAge(now time.Time) time.Duration { return m.evidence.age(now) }
