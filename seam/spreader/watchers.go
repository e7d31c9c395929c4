package spreader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"primroseseam.org/seam/storer"
)

// watchersPerRegion is the number of instances of a region that follow the
// store.
const watchersPerRegion = 2

// ChooseWatchers picks the watchers of every region from the platform's list:
// those with the greatest hash, from different failure domains if there are
// any. Lists that differ give more watchers for a while, never a wrong one.
func ChooseWatchers(list []storer.Instance) []Watcher {
	live := slices.DeleteFunc(slices.Clone(list), func(i storer.Instance) bool {
		return i.State != storer.InstanceLive
	})
	slices.SortFunc(live, func(a, b storer.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	chosen := map[string]int{}
	domains := map[string]bool{}
	var watchers []Watcher
	var spare []storer.Instance
	choose := func(i storer.Instance) {
		chosen[i.Region]++
		watchers = append(watchers, Watcher{ID: i.ID, Region: i.Region, Address: i.PeerAddress})
	}
	for _, i := range live {
		domain := i.Region + "/" + i.FailureDomain
		if domains[domain] || chosen[i.Region] == watchersPerRegion {
			spare = append(spare, i)
			continue
		}
		domains[domain] = true
		choose(i)
	}
	for _, i := range spare {
		if chosen[i.Region] < watchersPerRegion {
			choose(i)
		}
	}
	return watchers
}
