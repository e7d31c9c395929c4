package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// watchersPerRegion is how many instances of a region watch the store.
const watchersPerRegion = 2

// Role says what part an instance has in passing changes of the store on.
type Role struct {
	watcher bool
	relays  []string
}

// Watcher reports whether the instance watches the store for its region.
func (r Role) Watcher() bool { return r.watcher }

// Relays returns the ids of the instances to ask for changes, the best first.
// A watcher's list holds the other watchers.
func (r Role) Relays() []string { return slices.Clone(r.relays) }

// RoleOf returns the role of self among the live members. The members of a
// region that rank highest by rendezvous hashing watch the store, so a change
// of one member moves at most one role. Members elsewhere are ignored: while a
// region has a live member it has a watcher.
func RoleOf(self Member, live []Member) Role {
	ranked := rank(self, live)
	watchers := ranked[:min(watchersPerRegion, len(ranked))]
	role := Role{}
	for _, id := range watchers {
		if id == self.ID {
			role.watcher = true
			continue
		}
		role.relays = append(role.relays, id)
	}
	return role
}

// rank orders the ids of self's region by their rendezvous weight.
func rank(self Member, live []Member) []string {
	ids := []string{self.ID}
	for _, m := range live {
		if m.Region == self.Region && m.ID != self.ID {
			ids = append(ids, m.ID)
		}
	}
	return rendezvous("watch/"+self.Region, ids)
}

// rendezvous orders ids by their weight for a key, the highest first.
func rendezvous(key string, ids []string) []string {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ids
}

func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
