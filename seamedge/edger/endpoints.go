package edger

import (
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/router"
)

// reappearGrace is a period that starts when the store answers again after an outage. If
// the entry of an endpoint is removed in this period, the endpoint stays in use until the
// period ends, unless it is draining. The entry may have expired only because it couldn't
// be renewed during the outage, and may then reappear.
const reappearGrace = 2 * time.Second

// endpointTable holds the endpoints that may be used: those that have an entry in the
// store, and the missing ones. An endpoint is missing if its entry was removed in the
// reappearGrace after an outage of the store and this period has not yet ended.
type endpointTable struct {
	endpoints map[string]router.Endpoint
	// missingUntil maps the ID of each missing endpoint to the time until which the
	// endpoint may be used.
	missingUntil map[string]time.Time
	// reportedInvalid holds the names of the invalid entries of the last view. update has
	// returned an error for each of them.
	reportedInvalid map[string]bool
}

func newEndpointTable() *endpointTable {
	return &endpointTable{endpoints: map[string]router.Endpoint{}, missingUntil: map[string]time.Time{}, reportedInvalid: map[string]bool{}}
}

// update applies a view of the endpoints' entries in the store. It returns an error for
// each invalid entry that wasn't invalid in the view before.
func (t *endpointTable) update(v follower.View, now time.Time) (invalid []error) {
	next := make(map[string]router.Endpoint, len(v.Objects))
	reported := t.reportedInvalid
	t.reportedInvalid = map[string]bool{}
	for name, o := range v.Objects {
		endpoint, err := platform.DecodeEndpoint(name, o.Spec)
		if err != nil {
			t.reportedInvalid[name] = true
			if !reported[name] {
				invalid = append(invalid, err)
			}
			continue
		}
		next[name] = endpoint
		delete(t.missingUntil, name)
	}
	for _, name := range v.Removed {
		old, ok := t.endpoints[name]
		if !ok || old.Draining || next[name].ID != "" {
			continue
		}
		if !v.StoreRecoveredAt.IsZero() && now.Sub(v.StoreRecoveredAt) < reappearGrace {
			t.missingUntil[name] = v.StoreRecoveredAt.Add(reappearGrace)
		}
	}
	for name := range t.missingUntil {
		if old, ok := t.endpoints[name]; ok {
			next[name] = old
		}
	}
	t.endpoints = next
	return invalid
}

// removeMissing removes the missing endpoints whose time to reappear has passed. It
// reports whether it has removed any.
func (t *endpointTable) removeMissing(now time.Time) bool {
	changed := false
	for name, until := range t.missingUntil {
		if now.After(until) {
			delete(t.missingUntil, name)
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
