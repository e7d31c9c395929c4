package spreader_test

import (
	"fmt"
	"testing"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

// The loss of one failure domain must not take out more than its share of a
// region's watchers, and instances that are leaving must not be chosen.
func TestWatchersSpreadOverFailureDomainsAndGrowWithTheRegion(t *testing.T) {
	for _, c := range []struct{ instances, want int }{{1, 1}, {2, 2}, {10, 2}, {55, 7}} {
		var list []storer.Instance
		for i := range c.instances {
			list = append(list, storer.Instance{
				ID: fmt.Sprintf("i%d", i), Region: "west", FailureDomain: fmt.Sprintf("west-%d", i%3), State: storer.InstanceLive,
			})
		}
		list = append(list, storer.Instance{ID: "leaving", Region: "west", FailureDomain: "west-9", State: storer.InstanceLeaving})
		domains := map[string]int{}
		watchers := spreader.ChooseWatchers(list)
		for _, w := range watchers {
			for _, i := range list {
				if i.ID == w.ID {
					domains[i.FailureDomain]++
				}
			}
		}
		if len(watchers) != c.want || domains["west-9"] != 0 {
			t.Errorf("%d watchers for %d instances, by failure domain: %v", len(watchers), c.instances, domains)
		}
		for domain, n := range domains {
			if n > (c.want+len(domains)-1)/len(domains) {
				t.Errorf("%d of %d watchers are in %s", n, c.want, domain)
			}
		}
	}
}

// Followers that all start at the same watcher would overload it.
func TestFollowersShareTheWatchersEvenly(t *testing.T) {
	var list []storer.Instance
	for i := range 55 {
		list = append(list, storer.Instance{ID: fmt.Sprintf("i%02d", i), Region: "west", State: storer.InstanceLive})
	}
	watchers := spreader.ChooseWatchers(list)
	followers := map[string]int{}
	for i, instance := range list {
		m := spreader.New(spreader.WithSelf(instance.ID, "west"), spreader.WithSeed(uint64(i)))
		rank := spreader.FollowerRank(instance.ID, list, watchers)
		for _, cmd := range m.Update(faker.Epoch, spreader.WatchersChanged{Watchers: watchers, Rank: rank}) {
			if f, ok := cmd.(spreader.Follow); ok && !f.Probe {
				followers[f.Peer.ID]++
			}
		}
	}
	for id, n := range followers {
		if n > 7 { // 48 followers of 7 watchers
			t.Errorf("%s has %d followers", id, n)
		}
	}
	if len(followers) != len(watchers) {
		t.Errorf("%d of %d watchers have followers", len(followers), len(watchers))
	}
}
