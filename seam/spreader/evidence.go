package spreader

import (
	"maps"
	"time"
)

// unknownAge is the evidence age reported by an instance without key evidence.
const unknownAge = 24 * time.Hour

// keyEvidence records up to which time an instance's keys are proven complete. Callers
// must not be let in with withdrawn keys for long, so an instance needs proof
// that it has missed no withdrawal up to a recent time.
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
	// probed is when the last round of probes was sent.
	probed time.Time
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

// confirm records that the keys held included every accepted change at a time.
func (e *keyEvidence) confirm(completeAt time.Time) {
	if completeAt.After(e.completeAt) {
		e.completeAt = completeAt
	}
}

// age returns the time since completeAt, or unknownAge.
func (e *keyEvidence) age(now time.Time) time.Duration {
	if e.completeAt.IsZero() {
		return unknownAge
	}
	return now.Sub(e.completeAt)
}

// storeAnswered confirms the keys as of the time at which the read was sent. A
// watch that ended without changes after its whole wait confirms them as of the
// end of that wait, since the store checked for changes until then.
func (e *keyEvidence) storeAnswered(now time.Time, msg StoreAnswered) {
	e.storeDown = false
	clear(e.outageReports)
	confirmed := msg.Sent
	if msg.Call.Position >= 0 && len(msg.Events.Objects) == 0 && now.Sub(msg.Sent) >= msg.Call.Wait {
		confirmed = msg.Sent.Add(msg.Call.Wait)
	}
	e.confirm(confirmed)
}

func (e *keyEvidence) storeFailed() { e.storeDown = true }

// peerAnswered records a peer's key evidence and its report on the store. It
// dates the answer as if the request had taken no time on the way, so that the
// evidence can only look too old, never too fresh.
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

// probeWatchers requests from one other watcher of each region, at random, whether it
// can reach the store. Only a watcher calls it; it probes while its key evidence is
// old or its last read of the keys failed.
func (m *Model) probeWatchers(now time.Time) []Cmd {
	m.confirmDuringOutage(now)
	if m.keyEvidence.age(now) < probeEvidenceAge && !m.keyEvidence.storeDown || now.Sub(m.keyEvidence.probed) < probeInterval {
		return nil
	}
	m.keyEvidence.probed = now
	var cmds []Cmd
	probed := map[string]bool{}
	for _, i := range m.rng.Perm(len(m.watchers)) {
		w := m.watchers[i]
		if probed[w.Region] || w.ID == m.self {
			continue
		}
		probed[w.Region] = true
		cmds = append(cmds, Follow{Peer: w, Request: m.followRequest(w, 0), Probe: true})
	}
	return cmds
}

// confirmDuringOutage confirms the keys while the store is unreachable from every
// region, because no withdrawal can be accepted then. A recent report from every
// required region is necessary, since the store may still accept changes from a
// region without contact to this instance. The oldest report sets the time.
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

// requiredRegions returns the regions that must report an outage: all others, and
// this region if it has another watcher.
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

// StoreReachable reports whether the last read of the keys at the store succeeded.
// It is true before the first read, and a compacted position doesn't change it.
func (m *Model) StoreReachable() bool { return !m.keyEvidence.storeDown }

// EvidenceAge returns the time since KeyEvidenceTime, or 24 hours if there is no
// evidence.
func (m *Model) EvidenceAge(now time.Time) time.Duration { return m.keyEvidence.age(now) }
