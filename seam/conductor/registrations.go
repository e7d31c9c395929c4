package conductor

import (
	"slices"
	"time"

	"primroseseam.org/seam/placer"
)

// RegistrationInterval is the time between two renewals of an instance's entry in the store, or two
// lists of all entries, while instances are missing.
const RegistrationInterval = 2 * time.Second

// oldestListInterval is the time between two lists of the oldest instance while none is missing. New
// or returning instances wait for absentAfter until they take the others for absent; by then, the
// oldest has noticed them and renewed its entry.
const oldestListInterval = 5 * time.Second

// Registration is the entry of an instance in the store. Revision is that of its last change. Live
// holds the hashes of the IDs of the instances that were live, as seen by this one, when it renewed
// the entry.
type Registration struct {
	ID       string
	Revision uint64
	Live     []uint32
}

// RemoveRegistration is the command to delete the entry of an instance that is gone, if it still has
// the given revision.
type RemoveRegistration struct{ Registration }

func (RemoveRegistration) isCmd() {}

// registration is what this instance knows of another one's entry in the store. unchangedSince is
// when the revision was first seen, and firstSeenAt when the entry was; it is zero if that was when
// this instance was young.
type registration struct {
	revision                    uint64
	unchangedSince, firstSeenAt time.Time
}

// instancesReceived applies a list of the instances that are registered in the store. It returns
// commands to delete the entries of those that are gone.
func (m *Model) instancesReceived(now time.Time, msg InstancesReceived) []Cmd {
	before := m.registrations
	m.registrations = make(map[string]registration, len(msg.Registrations))
	m.registered = slices.ContainsFunc(msg.Registrations, func(r Registration) bool { return r.ID == m.id })
	// Others may not have noticed this instance yet, and then have no reason to renew their entries.
	unnoticed := !m.registered || !m.storeLostAt.IsZero()
	for _, r := range msg.Registrations {
		if r.ID == m.id {
			continue
		}
		known, ok := before[r.ID]
		if !ok && !m.isYoung() {
			known.firstSeenAt = now
		}
		m.noteReturn(now, r.ID)
		if !ok || r.Revision > known.revision {
			known.revision, known.unchangedSince = r.Revision, now
			m.recordLiveInStore(now, r)
		}
		if unnoticed {
			known.unchangedSince = now
		}
		m.registrations[r.ID] = known
	}
	m.hasList = true
	m.forgetUnregistered(before)
	m.countKnownInstances()
	var cmds []Cmd
	if msg.Current {
		m.currentListAt = now
		cmds = m.removeGone(now)
	}
	m.refreshLive()
	m.refreshReportedFleetSize(now)
	return cmds
}

// recordLiveInStore notes the instances that a renewed entry states as live.
func (m *Model) recordLiveInStore(now time.Time, r Registration) {
	for _, hash := range r.Live {
		m.liveInStoreAt[hash] = now
	}
}

// forgetUnregistered forgets the silent instances whose entries have been deleted: by themselves when
// they stopped, by an instance that found them gone, or by an operator.
func (m *Model) forgetUnregistered(before map[string]registration) {
	for id := range before {
		if _, listed := m.registrations[id]; listed {
			continue
		}
		p, isPeer := m.peers[id]
		if isPeer && !p.silent {
			continue
		}
		if !isPeer || !p.lastHeartbeat.Leaving {
			m.removedAt[id] = m.lastUpdate
		}
		if isPeer {
			m.forgetPeer(id, p)
		}
	}
}

// RegistrationDuties states what an instance has to do with the entries in the store.
type RegistrationDuties struct {
	// Renew means to write the instance's own entry again, and List to read all of them as they
	// are now.
	Renew, List bool
}

// RegistrationDuties returns what is due now. While instances are missing, one instance shows the
// others that this part of the fleet is running and has the store. It also finds out who is gone; without a
// majority, each instance does.
func (m *Model) RegistrationDuties(now time.Time) RegistrationDuties {
	var d RegistrationDuties
	d.Renew = m.hasList && !m.registered
	isOldest := m.isOldestWithStore()
	if m.missingCount() == 0 {
		d.List = isOldest && now.Sub(m.currentListAt) >= oldestListInterval
		return d
	}
	d.Renew = d.Renew || isOldest
	d.List = isOldest || !m.fleet().HasMajority()
	return d
}

// LiveHashes returns the hashes of the IDs of the live instances, for the renewal of this instance's
// entry.
func (m *Model) LiveHashes() []uint32 {
	var hashes []uint32
	for _, ids := range m.live {
		for _, id := range ids {
			hashes = append(hashes, placer.Hash32(id))
		}
	}
	slices.Sort(hashes)
	return hashes
}

// isOldestWithStore reports whether no live instance that can reach the store started before this
// one. The oldest knows of the most others.
func (m *Model) isOldestWithStore() bool {
	for id, p := range m.peers {
		hb := p.lastHeartbeat
		if p.silent || hb.Leaving || hb.StoreUnreachable {
			continue
		}
		if hb.StartedAtMs < m.startedAtMs || hb.StartedAtMs == m.startedAtMs && id < m.id {
			return false
		}
	}
	return true
}
