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
	// listInterval is the least time between a successful read of the instance
	// list and the next read. A failed read is repeated in the next round.
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
	// KeyVersion is the version that the instance uses of the key named in the
	// request.
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

// Awaiter polls the status of the instances until every instance uses a change. It can
// also send the change directly to the instances.
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

// WaitForConfig waits until every live instance uses a configuration that is at
// least as new as the object. It calls progress once for each instance that does.
// If ctx ends before, WaitForConfig returns an error with the code ConfigNotInForce
// and the ids of the other instances.
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

// waitUntil polls the live instances until isUpToDate has been true once for the status
// of each of them. While the store doesn't answer, it uses the last list of instances.
// It doesn't return nil while that list is empty. If key isn't empty, each status
// includes the instance's version of that key.
func (w *Awaiter) waitUntil(ctx context.Context, key string, isUpToDate func(InstanceStatus) bool, progress func(Progress)) error {
	list := w.instances
	var lastListed time.Time
	upToDateIDs := map[string]bool{}
	for {
		if time.Since(lastListed) >= listInterval {
			if newList, err := w.store.Instances(ctx); err == nil {
				list, lastListed = liveInstances(newList), time.Now()
			}
		}
		var outdatedIDs []string
		for _, p := range w.fetchStatuses(ctx, excluding(list, upToDateIDs), key) {
			p.InForce = p.Err == nil && isUpToDate(p.Status)
			if !p.InForce {
				outdatedIDs = append(outdatedIDs, p.Instance.ID)
				continue
			}
			upToDateIDs[p.Instance.ID] = true
			progress(p)
		}
		if len(list) > 0 && len(outdatedIDs) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return coder.Errorf(coder.ConfigNotInForce, strings.Join(outdatedIDs, ","), "%d of %d instances are not known to be up to date", len(outdatedIDs), len(list))
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

// excluding returns the instances in list whose ids aren't in excluded.
func excluding(list []storer.Instance, excluded map[string]bool) []storer.Instance {
	var remaining []storer.Instance
	for _, i := range list {
		if !excluded[i.ID] {
			remaining = append(remaining, i)
		}
	}
	return remaining
}

// fetchStatuses requests the status of each instance in list and returns the results in
// the order of the list. It makes up to maxConcurrentRequests requests at a time.
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

// fetchStatus requests the status of one instance. If key isn't empty, the status
// includes the instance's version of that key.
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
