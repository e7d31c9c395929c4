package conductor

import (
	"slices"
	"time"
)

// lookupTimeout is the time after an instance's last sign of life from which on lookups
// no longer return its address.
const lookupTimeout = 3 * time.Second

// Lookup is a caller's question to which instances it should connect. Host is the host of its
// requests, whose paths aren't known yet; Region and Zone are the caller's.
type Lookup struct {
	Host   string
	Region string
	Zone   string
}

// LookupAnswer answers a [Lookup]. Addresses is empty if no live instance may receive the
// caller's requests.
type LookupAnswer struct {
	Addresses []string
	// Regions lists the regions of the instances that may receive the caller's requests.
	// Restricted means that only those may, and not all.
	Regions    []string
	Restricted bool
	// ConfigVersion is the version of the configuration in force, or 0 if there is none.
	ConfigVersion uint64
}

// candidate is an instance that a lookup may return.
type candidate struct {
	address string
	region  string
	zone    string
}

// LookUp returns the addresses that a caller should connect to: the instances in its zone; if
// there are none, those in its region; if there are none, all others. Of these, only instances
// in the regions that lookupRegions allows are returned. Instances that are leaving, or that
// have given no sign of life for lookupTimeout, are left out. If this leaves no instance in any
// region, this one is returned, whose address is self.
func (m *Model) LookUp(now time.Time, self string, l Lookup) LookupAnswer {
	answer := LookupAnswer{ConfigVersion: m.ConfigVersion()}
	answer.Regions, answer.Restricted = m.lookupRegions(l)
	live := m.lookupCandidates(now, self)
	if len(live) == 0 {
		live = []candidate{{self, m.region, m.zone}}
	}
	if answer.Restricted {
		live = slices.DeleteFunc(live, func(c candidate) bool { return !slices.Contains(answer.Regions, c.region) })
	}
	answer.Addresses = nearest(live, l)
	return answer
}

// lookupRegions returns the regions whose instances may receive the requests of the caller that
// asks, and whether only those may. A caller's own region always may. Others must be home to
// all routes of the host that have homes, since the caller connects before any path is known.
// Without a configuration the homes aren't known, so only the caller's region may.
func (m *Model) lookupRegions(l Lookup) (regions []string, restricted bool) {
	if m.config == nil {
		return []string{l.Region}, true
	}
	homes, restricted := m.config.HomesOf(l.Host)
	if !restricted {
		return nil, false
	}
	return append(slices.Clone(homes), l.Region), true
}

// lookupCandidates returns the instances that are neither leaving nor silent, this one included.
func (m *Model) lookupCandidates(now time.Time, self string) []candidate {
	var live []candidate
	if m.stopRequestedAt.IsZero() {
		live = append(live, candidate{self, m.region, m.zone})
	}
	for _, p := range m.peers {
		if hb := p.lastHeartbeat; !hb.Leaving && now.Sub(p.seenAt) < lookupTimeout {
			live = append(live, candidate{hb.CallerAddress, hb.Region, hb.Zone})
		}
	}
	return live
}

// nearest returns the addresses of the candidates in the caller's zone; if there are none, of
// those in its region; if there are none, of all.
func nearest(candidates []candidate, l Lookup) []string {
	var inZone, inRegion, all []string
	for _, c := range candidates {
		all = append(all, c.address)
		if c.region == l.Region {
			inRegion = append(inRegion, c.address)
		}
		if c.zone == l.Zone {
			inZone = append(inZone, c.address)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	}
	return all
}
