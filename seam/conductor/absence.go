package conductor

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/placer"
)

// Known instances that aren't live are missing: they may be running and cut off, or gone for good. The
// rules are those of docs/design/lost-instances.md.

const (
	// absentAfter is the time without a sign of life after which a missing instance counts as
	// absent, beyond the time in which its heartbeats may be late. It is longer than
	// storeContactLimit and RegistrationInterval together: an instance that is running then
	// knows that it has lost the store.
	absentAfter = 10 * time.Second
	// listLifetime is how long a list of the registered instances shows that the others are
	// absent.
	listLifetime = 5 * time.Second
)

// removedMemory is how long an instance that was taken for gone may come back, as far as it matters
// for who else counts as gone.
const removedMemory = 10 * time.Minute

// countKnownInstances counts knownInstances anew. It is called after each change of the
// peers and of the store's list. Instances that are leaving end soon and don't count.
func (m *Model) countKnownInstances() {
	m.knownInstances = 1
	for _, p := range m.peers {
		if !p.lastHeartbeat.Leaving {
			m.knownInstances++
		}
	}
	for id := range m.registrations {
		if _, isPeer := m.peers[id]; !isPeer {
			m.knownInstances++
		}
	}
	m.knownInstances += len(m.suspected())
}

// noteReturn notes that an instance is there. If it was taken for gone, it was cut off instead.
func (m *Model) noteReturn(now time.Time, id string) {
	if _, removed := m.removedAt[id]; removed {
		delete(m.removedAt, id)
		m.returnedAt = now
	}
}

// suspected returns the instances that were taken for gone and haven't come back, if another one has:
// then they may have been cut off together, and be running too.
func (m *Model) suspected() map[string]time.Time {
	if m.returnedAt.IsZero() || m.lastUpdate.Sub(m.returnedAt) > removedMemory {
		return nil
	}
	return m.removedAt
}

// missingCount returns the number of known instances that aren't live.
func (m *Model) missingCount() int { return m.knownInstances - m.liveCount }

// missing returns the IDs of the known instances that aren't live.
func (m *Model) missing() []string {
	if m.missingCount() == 0 {
		return nil
	}
	var ids []string
	for id, p := range m.peers {
		if p.silent && !p.lastHeartbeat.Leaving {
			ids = append(ids, id)
		}
	}
	for id := range m.registrations {
		if _, isPeer := m.peers[id]; !isPeer {
			ids = append(ids, id)
		}
	}
	ids = slices.AppendSeq(ids, maps.Keys(m.suspected()))
	slices.Sort(ids)
	return ids
}

// absent reports whether a missing instance had shown no sign of life for absentAfter at the time of
// the last list that was current.
func (m *Model) absent(id string) bool {
	lastSign, lateness := later(m.registrations[id].unchangedSince, m.liveInStoreAt[placer.Hash32(id)]), minSilence
	if p, isPeer := m.peers[id]; isPeer {
		lastSign, lateness = later(lastSign, p.seenAt), m.silentAfter(p)
	}
	if _, removed := m.removedAt[id]; removed {
		lastSign = later(lastSign, m.returnedAt)
	}
	return m.currentListAt.Sub(lastSign) >= absentAfter+lateness
}

// othersAbsent reports whether instances are missing and all of them are absent, as far as a list
// shows that is still valid.
func (m *Model) othersAbsent(now time.Time) bool {
	if m.missingCount() == 0 || m.currentListAt.IsZero() || now.Sub(m.currentListAt) > listLifetime {
		return false
	}
	return !slices.ContainsFunc(m.missing(), func(id string) bool { return !m.absent(id) })
}

// removeGone forgets the absent instances if those that are missing can't be a majority, not even with
// those that were removed lately, and returns commands to delete their entries. They can't if at least
// as many live instances had heartbeats from all missing ones: each of these then knows of that
// many others.
func (m *Model) removeGone(now time.Time) []Cmd {
	isOld := func(at time.Time) bool { return now.Sub(at) > removedMemory }
	maps.DeleteFunc(m.removedAt, func(_ string, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(m.liveInStoreAt, func(_ uint32, at time.Time) bool { return isOld(at) })
	missing := m.missing()
	if len(missing) == 0 || m.divided(now) || m.witnesses(missing) < len(missing)+len(m.removedAt) {
		return nil
	}
	var cmds []Cmd
	for _, id := range missing {
		if !m.absent(id) {
			continue
		}
		if r, listed := m.registrations[id]; listed {
			cmds = append(cmds, RemoveRegistration{Registration{ID: id, Revision: r.revision}})
			delete(m.registrations, id)
		}
		m.removedAt[id] = now
		m.forgetPeer(id, m.peers[id])
	}
	return cmds
}

// witnesses returns how many live instances, this one included, had heartbeats from all of the given
// missing ones. It counts those whose heartbeats this instance received while all of the missing ones
// were live.
func (m *Model) witnesses(missing []string) int {
	firstLost := m.lastUpdate
	for _, id := range missing {
		p, isPeer := m.peers[id]
		if !isPeer {
			return 0
		}
		if p.seenAt.Before(firstLost) {
			firstLost = p.seenAt
		}
	}
	count := 1
	for _, p := range m.peers {
		if !p.silent && !p.lastHeartbeat.Leaving && p.firstHeartbeatAt.Before(firstLost) {
			count++
		}
	}
	return count
}
