package spreader

import (
	"maps"
	"time"
)

// unknownAge is the evidence age reported by an instance without key evidence.
const unknownAge = 24 * time.Hour

// keyEvidence records up to which time an instance's keys are proven complete. A
// withdrawn key must soon be refused everywhere, so an instance needs proof that it
// has missed no withdrawal up to a recent time.
type keyEvidence struct {
	// completeAt is the latest time at which the keys held are known to have
	// included every change that the store had accepted.
	completeAt time.Time
	// storeDown means that the last read of the keys at the store failed.
	storeDown bool
	// outageReports holds, for each region whose watcher last reported the store
	// as unreachable, the time of that report.
	outageReports map[string]time.Time
	// regions holds every region that was ever configured or had a watcher. It
	// never shrinks, because a region without contact to this instance may still
	// reach the store.
	regions map[string]bool
	// lastProbes is when the last round of probes was sent.
	lastProbes time.Time
}

func newKeyEvidence() keyEvidence {
	return keyEvidence{outageReports: map[string]time.Time{}, regions: map[string]bool{}}
}

// addRegions adds regions that must report an outage before the store counts as
// unreachable from everywhere.
func (e *keyEvidence) addRegions(msg WatchersChanged) {
	for _, region := range msg.Regions {
		e.regions[region] = true
	}
	for _, w := range msg.Watchers {
		e.regions[w.Region] = true
	}
}

// confirm records that the keys held included every accepted change at completeAt. It
// does nothing if a later time is already recorded.
func (e *keyEvidence) confirm(completeAt time.Time) {
	if completeAt.After(e.completeAt) {
		e.completeAt = completeAt
	}
}

// age returns the time since completeAt, or unknownAge if there is no evidence.
func (e *keyEvidence) age(now time.Time) time.Duration {
	if e.completeAt.IsZero() {
		return unknownAge
	}
	return now.Sub(e.completeAt)
}

// storeAnswered confirms the keys as of the time at which the read was sent. If a
// watch ended without changes after its whole wait, storeAnswered confirms the keys
// as of the end of the wait, because the store checked for changes until then.
func (e *keyEvidence) storeAnswered(now time.Time, msg StoreAnswered) {
	e.storeDown = false
	clear(e.outageReports)
	confirmedAt := msg.Sent
	if msg.Call.Position >= 0 && len(msg.Events.Objects) == 0 && now.Sub(msg.Sent) >= msg.Call.Wait {
		confirmedAt = msg.Sent.Add(msg.Call.Wait)
	}
	e.confirm(confirmedAt)
}

func (e *keyEvidence) storeFailed() { e.storeDown = true }

// peerAnswered records a peer's key evidence and the peer's report whether it can
// reach the store. It computes the time of the answer as if the request had reached
// the peer without delay, so that the evidence may look too old, but never too fresh.
func (e *keyEvidence) peerAnswered(now time.Time, msg PeerAnswered) {
	answeredAt := msg.Sent.Add(msg.Answer.Waited)
	if answeredAt.After(now) {
		answeredAt = now
	}
	e.confirm(answeredAt.Add(-msg.Answer.EvidenceAge))
	if msg.Answer.StoreUnreachable {
		e.outageReports[msg.Call.Peer.Region] = answeredAt
	} else {
		delete(e.outageReports, msg.Call.Peer.Region)
	}
}

// probeWatchers returns the commands to probe one random other watcher of each region:
// to request its key evidence and its report whether it can reach the store. It
// returns commands only while this instance's key evidence is at least
// probeEvidenceAge old or its last read of the keys failed. Only watchers use it.
func (m *Model) probeWatchers(now time.Time) []Cmd {
	m.confirmDuringOutage(now)
	if m.keyEvidence.age(now) < probeEvidenceAge && !m.keyEvidence.storeDown || now.Sub(m.keyEvidence.lastProbes) < probeInterval {
		return nil
	}
	m.keyEvidence.lastProbes = now
	var cmds []Cmd
	probedRegions := map[string]bool{}
	for _, i := range m.rng.Perm(len(m.watchers)) {
		w := m.watchers[i]
		if probedRegions[w.Region] || w.ID == m.self {
			continue
		}
		probedRegions[w.Region] = true
		cmds = append(cmds, Follow{Peer: w, Request: m.followRequest(w, 0), Probe: true})
	}
	return cmds
}

// confirmDuringOutage confirms the keys while the store is unreachable from every
// region, because no withdrawal can be accepted then. It needs a recent outage report
// from every required region, because the store may still accept changes from a
// region without contact to this instance. It confirms the keys as of the time of the
// oldest of these reports.
func (m *Model) confirmDuringOutage(now time.Time) {
	if !m.keyEvidence.storeDown {
		return
	}
	oldest := now
	for region := range m.requiredRegions() {
		at, ok := m.keyEvidence.outageReports[region]
		if !ok || now.Sub(at) > outageReportTTL {
			return
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	m.keyEvidence.confirm(oldest)
}

// requiredRegions returns the regions that must report an outage: every other region,
// and this region too if it has another watcher.
func (m *Model) requiredRegions() map[string]bool {
	regions := maps.Clone(m.keyEvidence.regions)
	delete(regions, m.region)
	for _, w := range m.watchers {
		if w.ID != m.self {
			regions[w.Region] = true
		}
	}
	return regions
}

// KeyEvidenceTime returns the latest time at which the keys held are known to have
// included every accepted change, or the zero time if there is no evidence.
func (m *Model) KeyEvidenceTime() time.Time { return m.keyEvidence.completeAt }

// StoreReachable reports whether the last read of the keys at the store succeeded. It
// returns true before the first read. A read that fails because of a compacted
// position doesn't count.
func (m *Model) StoreReachable() bool { return !m.keyEvidence.storeDown }

// EvidenceAge returns the time since KeyEvidenceTime, or 24 hours if there is no
// evidence.
func (m *Model) EvidenceAge(now time.Time) time.Duration { return m.keyEvidence.age(now) }
