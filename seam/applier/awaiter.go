package applier

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
)

const (
	// pollInterval is the wait between two rounds of status requests.
	pollInterval = 50 * time.Millisecond
	// listInterval is the least time from a successful read of the instance list
	// to the next read. A failed read is repeated after pollInterval.
	listInterval = time.Second
	// requestTimeout limits one request to an instance.
	requestTimeout = time.Second
	// maxConcurrentRequests limits the requests to instances at the same time.
	maxConcurrentRequests = 32
)

// InstanceStatus is the status that an instance reports at /v1/status.
type InstanceStatus struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving,omitempty"`
	ConfigVersion int64  `json:"configVersion"`
	ChangeID      string `json:"changeId,omitempty"`
	Sequence      int64  `json:"sequence,omitempty"`
	Keys          int    `json:"keys"`
	// KeyVersion is the version in force of the key named in the request.
	KeyVersion       int64 `json:"keyVersion,omitempty"`
	KeyEvidenceAgeMS int64 `json:"keyEvidenceAgeMs"`
	StoreReachable   bool  `json:"storeReachable"`
	Watcher          bool  `json:"watcher,omitempty"`
	ClientMapVersion int64 `json:"clientMapVersion,omitempty"`
}

// Progress is the result of one status request to an instance.
type Progress struct {
	Instance storer.Instance
	Status   InstanceStatus
	// InForce means that the instance runs the awaited object or a newer one.
	InForce bool
	// Err is the reason why the status request failed.
	Err error
}

// Awaiter waits until a change is in force on every instance, by polling their
// status, and can send them the change directly.
type Awaiter struct {
	store  storer.Store
	client *http.Client
	scheme string

	peerClient *http.Client
	peerScheme string
	// instances holds the live instances that LoadInstances read.
	instances []storer.Instance
}

// AwaiterOption configures a new Awaiter.
type AwaiterOption func(*Awaiter)

// WithTLSClient sets the client for status requests and makes them use HTTPS.
func WithTLSClient(c *http.Client) AwaiterOption {
	return func(w *Awaiter) { w.client, w.scheme = c, "https" }
}

// NewAwaiter returns an Awaiter that reads the list of instances from the store.
func NewAwaiter(store storer.Store, opts ...AwaiterOption) *Awaiter {
	w := &Awaiter{store: store, client: &http.Client{}, scheme: "http"}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// WaitForConfig waits until every live instance runs a configuration that is at
// least as new as the object. It calls progress once for each instance that does.
// When ctx ends, it fails with ConfigNotInForce and names the remaining instances.
func (w *Awaiter) WaitForConfig(ctx context.Context, o storer.Object, progress func(Progress)) error {
	return w.waitUntil(ctx, "", func(s InstanceStatus) bool { return s.ConfigVersion >= o.Version }, progress)
}

// WaitForKey waits like WaitForConfig until every live instance uses a version of
// the key that is at least as new as the object.
func (w *Awaiter) WaitForKey(ctx context.Context, key storer.Object, progress func(Progress)) error {
	return w.waitUntil(ctx, key.Name, func(s InstanceStatus) bool { return s.KeyVersion >= key.Version }, progress)
}

// WaitForClientMap waits like WaitForConfig until every live instance uses a client
// map that is at least as new as the object.
func (w *Awaiter) WaitForClientMap(ctx context.Context, o storer.Object, progress func(Progress)) error {
	return w.waitUntil(ctx, "", func(s InstanceStatus) bool { return s.ClientMapVersion >= o.Version }, progress)
}

// Status requests the status of every listed instance once, including those that
// are leaving. It doesn't set InForce.
func (w *Awaiter) Status(ctx context.Context) ([]Progress, error) {
	list, err := w.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	return w.fetchStatuses(ctx, list, ""), nil
}

// waitUntil polls the live instances until each of them was once up to date. It
// keeps the last list of instances while the store doesn't answer, and an empty
// list never counts as up to date. The key, if any, is the one whose version the
// instances report.
func (w *Awaiter) waitUntil(ctx context.Context, key string, reached func(InstanceStatus) bool, progress func(Progress)) error {
	list := w.instances
	var listed time.Time
	upToDate := map[string]bool{}
	for {
		if time.Since(listed) >= listInterval {
			if fresh, err := w.store.Instances(ctx); err == nil {
				list, listed = liveInstances(fresh), time.Now()
			}
		}
		var behind []string
		for _, p := range w.fetchStatuses(ctx, excluding(list, upToDate), key) {
			p.InForce = p.Err == nil && reached(p.Status)
			if !p.InForce {
				behind = append(behind, p.Instance.ID)
				continue
			}
			upToDate[p.Instance.ID] = true
			progress(p)
		}
		if len(list) > 0 && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return coder.Errorf(coder.ConfigNotInForce, strings.Join(behind, ","), "%d of %d instances are not known to be up to date", len(behind), len(list))
		case <-time.After(pollInterval):
		}
	}
}

// liveInstances returns the instances that are live, that is, not leaving.
func liveInstances(list []storer.Instance) []storer.Instance {
	var live []storer.Instance
	for _, i := range list {
		if i.State == storer.InstanceLive {
			live = append(live, i)
		}
	}
	return live
}

// excluding returns the instances whose ids aren't excluded.
func excluding(list []storer.Instance, excluded map[string]bool) []storer.Instance {
	var remaining []storer.Instance
	for _, i := range list {
		if !excluded[i.ID] {
			remaining = append(remaining, i)
		}
	}
	return remaining
}

// fetchStatuses requests the status of instances, a limited number at a time. The
// results are in the order of the list.
func (w *Awaiter) fetchStatuses(ctx context.Context, list []storer.Instance, key string) []Progress {
	results := make([]Progress, len(list))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, instance := range list {
		group.Go(func() error {
			status, err := w.fetchStatus(ctx, instance.LookupAddress, key)
			results[i] = Progress{Instance: instance, Status: status, Err: err}
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// fetchStatus requests the status of one instance, including the version of a key
// if one is given.
func (w *Awaiter) fetchStatus(ctx context.Context, address, key string) (InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var status InstanceStatus
	target := w.scheme + "://" + address + "/v1/status"
	if key != "" {
		target += "?key=" + url.QueryEscape(key)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return status, fmt.Errorf("make request: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}
