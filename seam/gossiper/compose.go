package gossiper

import (
	"cmp"
	"slices"
	"time"
)

const (
	// wordsPerHeartbeat bounds the news in one heartbeat.
	wordsPerHeartbeat = 12
	// loadsPerHeartbeat bounds the other instances' loads in one heartbeat.
	loadsPerHeartbeat = 4
	// sumsPerHeartbeat bounds the other regions' sums in one heartbeat.
	sumsPerHeartbeat = 2
	// messagesPerSecond is about how many heartbeats and answers an instance
	// sends and receives.
	messagesPerSecond = 10
	// endpointBytes is about the size of one endpoint's count.
	endpointBytes = 26
	// minEndpoints is how many counts go out even if the budget is used up.
	minEndpoints = 4
	// loadBytes is about the size of another instance's load.
	loadBytes = 90
	// syncAfter is how long two instances must differ about a region before
	// one sends the other the whole of it.
	syncAfter = 5 * time.Second
)

// compose fills a heartbeat to a member within the byte budget: news first,
// then sums, then loads.
func (m *Model) compose(now time.Time, to *member) Heartbeat {
	h := Heartbeat{Sender: m.self, Load: m.load, Introduce: to.PeerAddress == ""}
	if to.introduced {
		h.Sender = brief(m.self)
	}
	if to.Status != Alive {
		h.Words = append(h.Words, brief(to.Member))
	}
	h.Words = append(h.Words, m.news(to.ID)...)
	h.Digests = m.digests()
	if to.Region != m.self.Region {
		h.Load.Services = nil
		h.Load.Endpoints = nil
		h.Regions = []RegionSum{m.ownSum(now)}
		return h
	}
	h.Regions = m.freshSums(now)
	h.Heard = m.ages(now)
	h.Load.Endpoints = nil
	room := m.allowance() - h.Size()
	h.Load.Endpoints = busiest(m.load.Endpoints, room/endpointBytes)
	h.Loads = m.freshLoads(now, to.ID)
	h.Loads = h.Loads[:max(0, min(len(h.Loads), room/loadBytes))]
	return h
}

// busiest returns the endpoints that matter most to peers: those that drain,
// then those with the most requests of this instance.
func busiest(endpoints []EndpointLoad, limit int) []EndpointLoad {
	limit = max(limit, minEndpoints)
	if len(endpoints) <= limit {
		return endpoints
	}
	sorted := slices.Clone(endpoints)
	slices.SortStableFunc(sorted, func(a, b EndpointLoad) int {
		if a.Draining != b.Draining {
			return compareDraining(a)
		}
		return cmp.Compare(b.InFlight, a.InFlight)
	})
	return sorted[:limit]
}

// compareDraining orders an endpoint that drains before one that doesn't.
func compareDraining(first EndpointLoad) int {
	if first.Draining {
		return -1
	}
	return 1
}

// allowance is the size that a heartbeat should have, so that the budget lasts.
// An instance in debt says just what it must.
func (m *Model) allowance() int {
	if m.budget.left < 0 {
		return 0
	}
	return int(m.budget.perSecond) / messagesPerSecond
}

// brief leaves out what a receiver should know already.
func brief(m Member) Member {
	return Member{ID: m.ID, Incarnation: m.Incarnation, Revision: m.Revision, Status: m.Status}
}

// news returns the words that still have to be passed on, the newest first.
func (m *Model) news(to string) []Member {
	var fresh []*member
	for _, id := range m.ids() {
		if p := m.members[id]; p.sends > 0 && id != to {
			fresh = append(fresh, p)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *member) int { return cmp.Compare(b.sends, a.sends) })
	words := make([]Member, 0, min(wordsPerHeartbeat, len(fresh)))
	for _, p := range fresh[:min(wordsPerHeartbeat, len(fresh))] {
		p.sends--
		words = append(words, word(p.Member))
	}
	return words
}

// word is brief unless the member may be new to the receiver.
func word(m Member) Member {
	if m.Status == Alive && m.Revision == 0 {
		return m
	}
	return brief(m)
}

// allWords returns what is known about a region, or about all for "".
func (m *Model) allWords(region string) []Member {
	var words []Member
	for _, id := range m.ids() {
		if p := m.members[id]; region == "" || p.Region == region {
			words = append(words, p.Member)
		}
	}
	return words
}

// freshSums returns the newest sums of other regions.
func (m *Model) freshSums(now time.Time) []RegionSum {
	var sums []RegionSum
	for _, s := range m.sums {
		s.Age = now.Sub(s.at)
		if s.heard() && s.Age < loadFresh {
			sums = append(sums, s.RegionSum)
		}
	}
	slices.SortFunc(sums, func(a, b RegionSum) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Region, b.Region))
	})
	return sums[:min(sumsPerHeartbeat, len(sums))]
}

// freshLoads returns the newest loads of others of the region. Their counts at
// endpoints are passed on first hand only.
func (m *Model) freshLoads(now time.Time, to string) []MemberLoad {
	loads := slices.DeleteFunc(m.Loads(now), func(l MemberLoad) bool { return l.ID == to })
	slices.SortStableFunc(loads, func(a, b MemberLoad) int { return cmp.Compare(a.Age, b.Age) })
	loads = loads[:min(loadsPerHeartbeat, len(loads))]
	for i := range loads {
		loads[i].Load.Endpoints = nil
	}
	return loads
}

// digests returns the digest of the own region and, in turn, of another.
func (m *Model) digests() []RegionDigest {
	digests := []RegionDigest{{Region: m.self.Region, Digest: m.digest(m.self.Region)}}
	others := m.otherRegions()
	if len(others) == 0 {
		return digests
	}
	m.digestTurn++
	other := others[m.digestTurn%len(others)].region
	return append(digests, RegionDigest{Region: other, Digest: m.digest(other)})
}

func digestOf(m Member) uint64 {
	return weight(m.ID, string([]byte{
		byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24),
		byte(m.Incarnation >> 32), byte(m.Incarnation >> 40), byte(m.Incarnation >> 48), byte(m.Incarnation >> 56),
	}))
}

// wordsFor returns the whole of a region about which a peer has differed for
// some time.
func (m *Model) wordsFor(now time.Time, digests []RegionDigest) []Member {
	var words []Member
	for _, d := range digests {
		since, differed := m.synced[d.Region]
		switch {
		case d.Digest == m.digest(d.Region):
			delete(m.synced, d.Region)
		case !differed:
			m.synced[d.Region] = now
		case now.Sub(since) >= syncAfter:
			m.synced[d.Region] = now
			m.stats.Syncs++
			words = append(words, m.allWords(d.Region)...)
		}
	}
	return words
}
