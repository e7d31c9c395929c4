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
	// pollEvery is the time between two rounds of status pages.
	pollEvery = 50 * time.Millisecond
	// listEvery is the time between two reads of the instance list.
	listEvery = time.Second
	// pageTimeout bounds one status page.
	pageTimeout = time.Second
	// pagesAtOnce bounds the status pages that are read at the same time.
	pagesAtOnce = 32
)

// InstanceStatus is what an instance says of itself on /v1/status.
type InstanceStatus struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving,omitempty"`
	ConfigVersion int64  `json:"configVersion"`
	ChangeID      string `json:"changeId,omitempty"`
	Sequence      int64  `json:"sequence,omitempty"`
	Keys          int    `json:"keys"`
	// KeyVersion is the version in force of the key that the page was asked
	// about.
	KeyVersion       int64 `json:"keyVersion,omitempty"`
	KeyEvidenceAgeMS int64 `json:"keyEvidenceAgeMs"`
	StoreReachable   bool  `json:"storeReachable"`
	Watcher          bool  `json:"watcher,omitempty"`
	ClientMapVersion int64 `json:"clientMapVersion,omitempty"`
}

// Progress is what is known of one instance while waiting.
type Progress struct {
	Instance storer.Instance
	Status   InstanceStatus
	InForce  bool
	// Err says why the instance couldn't be asked.
	Err error
}

// Awaiter asks every instance for its status page.
type Awaiter struct {
	store  storer.Store
	client *http.Client
	scheme string

	peerClient *http.Client
	peerScheme string
	// known is the list that was read last.
	known []storer.Instance
}

// AwaiterOption changes an awaiter at its creation.
type AwaiterOption func(*Awaiter)

// WithTLSClient reads the status pages over TLS with a client.
func WithTLSClient(c *http.Client) AwaiterOption {
	return func(w *Awaiter) { w.client, w.scheme = c, "https" }
}

// NewAwaiter returns an awaiter that finds the instances in the store's list.
func NewAwaiter(store storer.Store, opts ...AwaiterOption) *Awaiter {
	w := &Awaiter{store: store, client: &http.Client{}, scheme: "http"}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// WaitForConfig waits until every instance runs a configuration that is at least as
// new as the object. It tells progress of each instance that gets there, and
// fails with ConfigNotInForce, naming the others, when ctx ends.
func (w *Awaiter) WaitForConfig(ctx context.Context, o storer.Object, progress func(Progress)) error {
	return w.await(ctx, "", func(s InstanceStatus) bool { return s.ConfigVersion >= o.Version }, progress)
}

// WaitForKey waits until every instance runs a key's record that is at least as new
// as the object.
func (w *Awaiter) WaitForKey(ctx context.Context, key storer.Object, progress func(Progress)) error {
	return w.await(ctx, key.Name, func(s InstanceStatus) bool { return s.KeyVersion >= key.Version }, progress)
}

// WaitForClientMap waits until every instance uses a client map that is at least as new
// as the object.
func (w *Awaiter) WaitForClientMap(ctx context.Context, o storer.Object, progress func(Progress)) error {
	return w.await(ctx, "", func(s InstanceStatus) bool { return s.ClientMapVersion >= o.Version }, progress)
}

// Status asks every listed instance once.
func (w *Awaiter) Status(ctx context.Context) ([]Progress, error) {
	list, err := w.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	return w.ask(ctx, list, ""), nil
}

func (w *Awaiter) await(ctx context.Context, key string, holds func(InstanceStatus) bool, progress func(Progress)) error {
	list := w.known
	var listed time.Time
	done := map[string]bool{}
	for {
		if time.Since(listed) >= listEvery {
			if fresh, err := w.store.Instances(ctx); err == nil {
				list, listed = serving(fresh), time.Now()
			}
		}
		var behind []string
		for _, p := range w.ask(ctx, without(list, done), key) {
			p.InForce = p.Err == nil && holds(p.Status)
			if !p.InForce {
				behind = append(behind, p.Instance.ID)
				continue
			}
			done[p.Instance.ID] = true
			progress(p)
		}
		if len(list) > 0 && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return coder.Errorf(coder.ConfigNotInForce, strings.Join(behind, ","), "%d of %d instances are behind", len(behind), len(list))
		case <-time.After(pollEvery):
		}
	}
}

// serving leaves out instances that take no new requests.
func serving(list []storer.Instance) []storer.Instance {
	var rest []storer.Instance
	for _, i := range list {
		if i.State == storer.InstanceLive {
			rest = append(rest, i)
		}
	}
	return rest
}

func without(list []storer.Instance, done map[string]bool) []storer.Instance {
	var rest []storer.Instance
	for _, i := range list {
		if !done[i.ID] {
			rest = append(rest, i)
		}
	}
	return rest
}

// ask reads the status pages of instances, a bounded number at a time.
func (w *Awaiter) ask(ctx context.Context, list []storer.Instance, key string) []Progress {
	answers := make([]Progress, len(list))
	var group errgroup.Group
	group.SetLimit(pagesAtOnce)
	for i, instance := range list {
		group.Go(func() error {
			status, err := w.page(ctx, instance.LookupAddress, key)
			answers[i] = Progress{Instance: instance, Status: status, Err: err}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func (w *Awaiter) page(ctx context.Context, address, key string) (InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
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
