package spreader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"primroseseam.org/seam/storer"
)

const (
	// minWatchers is the least number of a region's instances that follow the
	// store, so that one may fail.
	minWatchers = 2
	// followersPerWatcher bounds the calls that a watcher holds open, and by
	// them its bytes a second.
	followersPerWatcher = 8
)

// ChooseWatchers picks the watchers of every region from the platform's list:
// those with the greatest hash, spread evenly over the failure domains. Lists
// that differ give more watchers for a while, never a wrong one.
func ChooseWatchers(list []storer.Instance) []Watcher {
	live := slices.DeleteFunc(slices.Clone(list), func(i storer.Instance) bool {
		return i.State != storer.InstanceLive
	})
	slices.SortFunc(live, func(a, b storer.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	want := wantedWatchers(live)
	chosen := map[string]int{}
	var watchers []Watcher
	for len(live) > 0 {
		perDomain := map[string]int{}
		var rest []storer.Instance
		for _, i := range live {
			domain := i.Region + "/" + i.FailureDomain
			switch {
			case chosen[i.Region] == want[i.Region]:
			case perDomain[domain] > 0:
				rest = append(rest, i)
			default:
				perDomain[domain]++
				chosen[i.Region]++
				watchers = append(watchers, Watcher{ID: i.ID, Region: i.Region, Address: i.PeerAddress})
			}
		}
		live = rest
	}
	return watchers
}

// wantedWatchers returns the number of watchers for each region.
func wantedWatchers(live []storer.Instance) map[string]int {
	count := map[string]int{}
	for _, i := range live {
		count[i.Region]++
	}
	want := map[string]int{}
	for region, n := range count {
		const share = followersPerWatcher + 1
		want[region] = max(minWatchers, (n+share-1)/share)
	}
	return want
}

// FollowerRank returns the place of an instance among the followers of its region.
func FollowerRank(self string, list []storer.Instance, watchers []Watcher) int {
	i := slices.IndexFunc(list, func(i storer.Instance) bool { return i.ID == self })
	if i < 0 {
		return 0
	}
	rank := 0
	for _, other := range list {
		watching := slices.ContainsFunc(watchers, func(w Watcher) bool { return w.ID == other.ID })
		if other.Region == list[i].Region && other.ID < self && !watching {
			rank++
		}
	}
	return rank
}
