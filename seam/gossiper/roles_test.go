package gossiper_test

import (
	"fmt"
	"slices"
	"testing"

	"primroseseam.org/seam/gossiper"
)

func TestEveryRegionKeepsItsWatchersAndOthersKnowWhomToAsk(t *testing.T) {
	var live []gossiper.Member
	for i := range 12 {
		live = append(live, gossiper.Member{ID: fmt.Sprintf("i%d", i), Region: []string{"west", "east"}[i%2]})
	}
	for len(live) > 0 {
		watchers := map[string]int{}
		for _, m := range live {
			role := gossiper.RoleOf(m, live)
			if role.Watcher() {
				watchers[m.Region]++
			} else if len(role.Relays()) != 2 {
				t.Fatalf("%s has nobody to ask: %v", m.ID, role.Relays())
			}
		}
		for _, m := range live {
			inRegion := len(slices.DeleteFunc(slices.Clone(live), func(o gossiper.Member) bool { return o.Region != m.Region }))
			if watchers[m.Region] != min(2, inRegion) {
				t.Fatalf("%d live: %v", len(live), watchers)
			}
		}
		live = live[1:]
	}
}
