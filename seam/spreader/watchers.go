package spreader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"primroseseam.org/seam/storer"
)

const (
	// minWatchersPerRegion is the least number of watchers in a region, so that
	// one of them may fail. A region with a single instance has one watcher.
	minWatchersPerRegion = 2
	// followersPerWatcher is the number of followers in a region for which the region
	// gets one more watcher. It limits the calls that a watcher holds open and the
	// bytes per second that a watcher sends.
	followersPerWatcher = 8
)

// ChooseWatchers returns the watchers of every region, chosen from the live instances
// of the platform's list. It takes instances in the order of the hashes of their ids,
// the greatest first, and spreads them evenly over the failure domains. Instances with
// the same list choose the same watchers without coordination. While the lists of
// instances differ, some more instances may watch the store, which is harmless.
func ChooseWatchers(list []storer.Instance) []Watcher {
	live := slices.DeleteFunc(slices.Clone(list), func(i storer.Instance) bool {
		return i.State != storer.InstanceLive
	})
	slices.SortFunc(live, func(a, b storer.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	want := watchersPerRegion(live)
	chosen := map[string]int{}
	var watchers []Watcher
	for len(live) > 0 {
		perDomain := map[string]int{}
		var remaining []storer.Instance
		for _, i := range live {
			domain := i.Region + "/" + i.FailureDomain
			switch {
			case chosen[i.Region] == want[i.Region]:
			case perDomain[domain] > 0:
				remaining = append(remaining, i)
			default:
				perDomain[domain]++
				chosen[i.Region]++
				watchers = append(watchers, Watcher{ID: i.ID, Region: i.Region, Address: i.PeerAddress})
			}
		}
		live = remaining
	}
	return watchers
}

// watchersPerRegion returns, by region, the number of watchers that a region with this
// many live instances should have.
func watchersPerRegion(live []storer.Instance) map[string]int {
	count := map[string]int{}
	for _, i := range live {
		count[i.Region]++
	}
	want := map[string]int{}
	for region, n := range count {
		const instancesPerWatcher = followersPerWatcher + 1
		want[region] = max(minWatchersPerRegion, (n+instancesPerWatcher-1)/instancesPerWatcher)
	}
	return want
}

// FollowerRank returns the position of an instance among the instances of its
// region that aren't watchers, sorted by id and counted from 0. It returns 0 if
// the list doesn't contain the instance.
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
