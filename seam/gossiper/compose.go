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
	// sends and receives. It divides the byte budget among them.
	messagesPerSecond = 10
	// endpointBytes is the approximate size of one EndpointLoad.
	endpointBytes = 26
	// minEndpoints is how many EndpointLoads are sent even if the byte budget is used up.
	minEndpoints = 4
	// loadBytes is the approximate size of one MemberLoad.
	loadBytes = 90
	// syncDelay is how long received digests of a region must differ from this instance's,
	// without a matching one in between, before an instance answers with all members of
	// that region.
	syncDelay = 5 * time.Second
)

// compose builds a heartbeat to a member. Every member gets queued updates and digests, and
// one that isn't held alive gets that status, so that it can refute it. A member of another
// region also gets the load sum of the local region. A member of the local region gets
// other regions' sums and ages, and as many endpoint counts and other instances' loads as
// the target size allows.
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

// topEndpoints returns the endpoints that matter most to peers, at most limit but not
// fewer than minEndpoints: draining ones first, then those with the most requests of this
// instance.
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

// drainingFirst compares two endpoints of which exactly one is draining: it returns -1 if
// that is the first.
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

// withoutAddresses leaves out the region, failure domain and addresses, which the receiver
// should already know.
func withoutAddresses(m Member) Member {
	return Member{ID: m.ID, Incarnation: m.Incarnation, Revision: m.Revision, Status: m.Status}
}

// pendingUpdates returns the member updates that are still to be passed on, those sent the
// fewest times first, and counts them as sent.
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

// updateFor returns the update about a member. It has addresses if the member may be new
// to the receiver, that is if it is alive and hasn't refuted anything since it started.
func updateFor(m Member) Member {
	if m.Status == Alive && m.Revision == 0 {
		return m
	}
	return withoutAddresses(m)
}

// knownMembers returns all known members of a region, or of all regions for "".
func (m *Model) knownMembers(region string) []Member {
	var updates []Member
	for _, id := range m.ids() {
		if p := m.members[id]; region == "" || p.Region == region {
			updates = append(updates, p.Member)
		}
	}
	return updates
}

// freshSums returns the newest load sums of other regions, at most sumsPerHeartbeat.
func (m *Model) freshSums(now time.Time) []RegionSum {
	var sums []RegionSum
	for _, s := range m.sums {
		s.Age = now.Sub(s.asOf)
		if s.reported() && s.Age < loadMaxAge {
			sums = append(sums, s.RegionSum)
		}
	}
	slices.SortFunc(sums, func(a, b RegionSum) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Region, b.Region))
	})
	return sums[:min(sumsPerHeartbeat, len(sums))]
}

// freshLoads returns the newest loads of other instances of the local region, at most
// loadsPerHeartbeat. It omits their endpoint loads, which each instance sends only itself.
func (m *Model) freshLoads(now time.Time, to string) []MemberLoad {
	loads := slices.DeleteFunc(m.Loads(now), func(l MemberLoad) bool { return l.ID == to })
	slices.SortStableFunc(loads, func(a, b MemberLoad) int { return cmp.Compare(a.Age, b.Age) })
	loads = loads[:min(loadsPerHeartbeat, len(loads))]
	for i := range loads {
		loads[i].Load.Endpoints = nil
	}
	return loads
}

// digests returns the digest of the local region and of one other region, a different one
// each time.
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

// updatesForDigests compares received digests with this instance's. It returns all
// members of each region whose digests have differed for syncDelay, and does so at most
// once per syncDelay.
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
