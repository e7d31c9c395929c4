package edger

import (
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/router"
)

// reappearGrace is how long endpoints that went missing around an outage have to
// reappear in the list after the store answers again. Their entries may have expired
// only because they couldn't be renewed during the outage.
const reappearGrace = 2 * time.Second

// endpointTable holds the endpoints that may be used: those in the store's list, and
// those that went missing around an outage of the store until reappearGrace has
// passed.
type endpointTable struct {
	endpoints map[string]router.Endpoint
	// missing maps the endpoints that went missing around an outage to the time until
	// which they are still used.
	missing map[string]time.Time
	// reported holds the names of invalid entries that have been reported.
	reported map[string]bool
}

func newEndpointTable() *endpointTable {
	return &endpointTable{endpoints: map[string]router.Endpoint{}, missing: map[string]time.Time{}, reported: map[string]bool{}}
}

// update applies a view of the store's list. It returns errors about invalid entries
// that were not reported before.
func (t *endpointTable) update(v follower.View, now time.Time) (invalid []error) {
	next := make(map[string]router.Endpoint, len(v.Objects))
	for name, o := range v.Objects {
		endpoint, err := platform.DecodeEndpoint(name, o.Spec)
		if err != nil {
			if !t.reported[name] {
				t.reported[name] = true
				invalid = append(invalid, err)
			}
			continue
		}
		next[name] = endpoint
		delete(t.missing, name)
	}
	for _, name := range v.Removed {
		old, ok := t.endpoints[name]
		if !ok || old.Draining || next[name].ID != "" {
			continue
		}
		if !v.StoreRecoveredAt.IsZero() && now.Sub(v.StoreRecoveredAt) < reappearGrace {
			t.missing[name] = v.StoreRecoveredAt.Add(reappearGrace)
		}
	}
	for name := range t.missing {
		if old, ok := t.endpoints[name]; ok {
			next[name] = old
		}
	}
	t.endpoints = next
	return invalid
}

// removeMissing removes endpoints that didn't reappear in time. It reports whether
// there were any.
func (t *endpointTable) removeMissing(now time.Time) bool {
	changed := false
	for name, until := range t.missing {
		if now.After(until) {
			delete(t.missing, name)
			delete(t.endpoints, name)
			changed = true
		}
	}
	return changed
}

func (t *endpointTable) list() []router.Endpoint {
	list := make([]router.Endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		list = append(list, e)
	}
	return list
}
