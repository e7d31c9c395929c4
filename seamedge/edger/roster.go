package edger

import (
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/router"
)

// returnGrace is how long endpoints have to come back to the list after the
// store answered again. Until then a missing entry may be one that expired while
// the store was away.
const returnGrace = 2 * time.Second

// roster decides which endpoints of the store's list count.
type roster struct {
	endpoints map[string]router.Endpoint
	// gone holds endpoints that went missing around an outage of the store, and
	// until when they still count.
	gone   map[string]time.Time
	failed map[string]bool
}

func newRoster() *roster {
	return &roster{endpoints: map[string]router.Endpoint{}, gone: map[string]time.Time{}, failed: map[string]bool{}}
}

// take takes a view of the store's list. It returns entries that can't be used
// and were not reported before.
func (r *roster) take(v follower.View, now time.Time) (unreadable []error) {
	next := make(map[string]router.Endpoint, len(v.Objects))
	for name, o := range v.Objects {
		endpoint, err := platform.DecodeEndpoint(name, o.Spec)
		if err != nil {
			if !r.failed[name] {
				r.failed[name] = true
				unreadable = append(unreadable, err)
			}
			continue
		}
		next[name] = endpoint
		delete(r.gone, name)
	}
	for _, name := range v.Removed {
		old, ok := r.endpoints[name]
		if !ok || old.Draining || next[name].ID != "" {
			continue
		}
		if !v.StoreRecoveredAt.IsZero() && now.Sub(v.StoreRecoveredAt) < returnGrace {
			r.gone[name] = v.StoreRecoveredAt.Add(returnGrace)
		}
	}
	for name := range r.gone {
		if old, ok := r.endpoints[name]; ok {
			next[name] = old
		}
	}
	r.endpoints = next
	return unreadable
}

// release drops endpoints that did not come back. It reports whether any did.
func (r *roster) release(now time.Time) bool {
	changed := false
	for name, until := range r.gone {
		if now.After(until) {
			delete(r.gone, name)
			delete(r.endpoints, name)
			changed = true
		}
	}
	return changed
}

func (r *roster) list() []router.Endpoint {
	list := make([]router.Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		list = append(list, e)
	}
	return list
}
