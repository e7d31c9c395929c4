package gossiper

import (
	"cmp"
	"slices"
	"time"
)

const (
	// updatesPerHeartbeat limits the queued member updates in one heartbeat.
	updatesPerHeartbeat = 12
	// loadsPerHeartbeat limits the other instances' loads in one heartbeat.
	loadsPerHeartbeat = 4
	// sumsPerHeartbeat limits the other regions' load sums in one heartbeat.
	sumsPerHeartbeat = 2
	// messagesPerSecond is roughly how many heartbeats and answers an instance
	// sends and receives per second. The byte budget divided by it is the target size of
	// a heartbeat.
	messagesPerSecond = 10
	// endpointBytes is the approximate size of one EndpointLoad.
	endpointBytes = 26
	// minEndpoints is how many EndpointLoads are sent even if the byte budget is used up.
	minEndpoints = 4
	// loadBytes is the approximate size of one MemberLoad.
	loadBytes = 90
	// syncDelay is how long the received digests of a region must differ from this
	// instance's digest before an answer carries all members of that region. A matching
	// digest in between starts the delay anew.
	syncDelay = 5 * time.Second
)

// compose returns a heartbeat to a member. Every heartbeat carries queued updates and
// digests. If this instance holds the receiver suspect, leaving or dead, the heartbeat
// carries that status, because the receiver can refute only a status that it has received.
// A heartbeat to another region also carries the load sum of the local region. A heartbeat
// within the region carries the load sums and ages of other regions, and as many endpoint
// counts and loads of other instances as the target size allows.
func (m *Model) compose(now time.Time, to *member) Heartbeat {
	h := Heartbeat{Sender: m.self, Load: m.load, WantAddresses: to.PeerAddress == ""}
	if to.hasAddresses {
		h.Sender = withoutAddresses(m.self)
	}
	if to.Status != Alive {
		h.Updates = append(h.Updates, withoutAddresses(to.Member))
	}
	h.Updates = append(h.Updates, m.pendingUpdates(to.ID)...)
	h.Digests = m.digests()
	if to.Region != m.self.Region {
		h.Load.Services = nil
		h.Load.Endpoints = nil
		h.Regions = []RegionSum{m.ownSum(now)}
		return h
	}
	h.Regions = m.freshSums(now)
	h.RegionAges = m.regionAges(now)
	h.Load.Endpoints = nil
	bytesLeft := m.targetSize() - h.Size()
	h.Load.Endpoints = topEndpoints(m.load.Endpoints, bytesLeft/endpointBytes)
	h.Loads = m.freshLoads(now, to.ID)
	h.Loads = h.Loads[:max(0, min(len(h.Loads), bytesLeft/loadBytes))]
	return h
}

// topEndpoints returns the first endpoints of an order in which draining endpoints come
// first, then those with the most requests of this instance. It returns up to limit
// endpoints, or up to minEndpoints if limit is smaller.
func topEndpoints(endpoints []EndpointLoad, limit int) []EndpointLoad {
	limit = max(limit, minEndpoints)
	if len(endpoints) <= limit {
		return endpoints
	}
	sorted := slices.Clone(endpoints)
	slices.SortStableFunc(sorted, func(a, b EndpointLoad) int {
		if a.Draining != b.Draining {
			return drainingFirst(a)
		}
		return cmp.Compare(b.InFlight, a.InFlight)
	})
	return sorted[:limit]
}

// drainingFirst compares two endpoints of which exactly one is draining. It returns -1 if
// the first of them is draining, and 1 otherwise.
func drainingFirst(first EndpointLoad) int {
	if first.Draining {
		return -1
	}
	return 1
}

// targetSize returns the size in bytes that a heartbeat should have to stay within the
// byte budget. It is 0 while the budget is in debt, which leaves out other instances'
// loads and all but minEndpoints of the endpoint counts.
func (m *Model) targetSize() int {
	if m.budget.tokens < 0 {
		return 0
	}
	return int(m.budget.perSecond) / messagesPerSecond
}

// withoutAddresses returns m without its region, failure domain and addresses, for
// receivers that should already have them.
func withoutAddresses(m Member) Member {
	return Member{ID: m.ID, Incarnation: m.Incarnation, Revision: m.Revision, Status: m.Status}
}

// pendingUpdates returns up to updatesPerHeartbeat member updates that still have to be
// sent to peers, except for the update about the receiver to. Updates with the most sends
// left come first. Each returned update counts as sent once more.
func (m *Model) pendingUpdates(to string) []Member {
	var pending []*member
	for _, id := range m.ids() {
		if p := m.members[id]; p.sendsLeft > 0 && id != to {
			pending = append(pending, p)
		}
	}
	slices.SortStableFunc(pending, func(a, b *member) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	updates := make([]Member, 0, min(updatesPerHeartbeat, len(pending)))
	for _, p := range pending[:min(updatesPerHeartbeat, len(pending))] {
		p.sendsLeft--
		updates = append(updates, updateFor(p.Member))
	}
	return updates
}

// updateFor returns the update about a member. The update has addresses only if the member
// may be new to the receiver: if the member is alive and its revision is still 0, so that
// it hasn't refuted any status since its start.
func updateFor(m Member) Member {
	if m.Status == Alive && m.Revision == 0 {
		return m
	}
	return withoutAddresses(m)
}

// knownMembers returns the known members of a region, whatever their status. For the region
// "", it returns the known members of all regions.
func (m *Model) knownMembers(region string) []Member {
	var updates []Member
	for _, id := range m.ids() {
		if p := m.members[id]; region == "" || p.Region == region {
			updates = append(updates, p.Member)
		}
	}
	return updates
}

// freshSums returns the load sums of other regions that are younger than loadMaxAge, the
// newest first, at most sumsPerHeartbeat.
func (m *Model) freshSums(now time.Time) []RegionSum {
	var sums []RegionSum
	for _, s := range m.sums {
		s.Age = now.Sub(s.asOf)
		if s.hasLoadSum() && s.Age < loadMaxAge {
			sums = append(sums, s.RegionSum)
		}
	}
	slices.SortFunc(sums, func(a, b RegionSum) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Region, b.Region))
	})
	return sums[:min(sumsPerHeartbeat, len(sums))]
}

// freshLoads returns the newest loads of other instances of the local region, at most
// loadsPerHeartbeat, without the load of the receiver to. It omits the endpoint loads,
// because each instance sends only its own.
func (m *Model) freshLoads(now time.Time, to string) []MemberLoad {
	loads := slices.DeleteFunc(m.Loads(now), func(l MemberLoad) bool { return l.ID == to })
	slices.SortStableFunc(loads, func(a, b MemberLoad) int { return cmp.Compare(a.Age, b.Age) })
	loads = loads[:min(loadsPerHeartbeat, len(loads))]
	for i := range loads {
		loads[i].Load.Endpoints = nil
	}
	return loads
}

// digests returns the digest of the local region and the digest of one other region. The
// other regions take turns from call to call.
func (m *Model) digests() []RegionDigest {
	digests := []RegionDigest{{Region: m.self.Region, Digest: m.digest(m.self.Region)}}
	others := m.otherRegions()
	if len(others) == 0 {
		return digests
	}
	m.digestIndex++
	other := others[m.digestIndex%len(others)].region
	return append(digests, RegionDigest{Region: other, Digest: m.digest(other)})
}

// digestOf hashes a member's id and incarnation.
func digestOf(m Member) uint64 {
	return hashPair(m.ID, string([]byte{
		byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24),
		byte(m.Incarnation >> 32), byte(m.Incarnation >> 40), byte(m.Incarnation >> 48), byte(m.Incarnation >> 56),
	}))
}

// updatesForDigests compares received digests with this instance's digests. It returns all
// known members of each region whose digests have differed for syncDelay. It returns the
// members of the same region at most once per syncDelay.
func (m *Model) updatesForDigests(now time.Time, digests []RegionDigest) []Member {
	var updates []Member
	for _, d := range digests {
		since, differed := m.digestDiffersSince[d.Region]
		switch {
		case d.Digest == m.digest(d.Region):
			delete(m.digestDiffersSince, d.Region)
		case !differed:
			m.digestDiffersSince[d.Region] = now
		case now.Sub(since) >= syncDelay:
			m.digestDiffersSince[d.Region] = now
			m.stats.Syncs++
			updates = append(updates, m.knownMembers(d.Region)...)
		}
	}
	return updates
}
