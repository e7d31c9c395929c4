package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/forwarder"
)

// fixedStore holds one object of each kind and never changes.
type fixedStore struct {
	downStore
	objects map[storer.Kind]storer.Object
}

func (s fixedStore) List(_ context.Context, kind storer.Kind) (storer.Events, error) {
	return storer.Events{Position: 1, Objects: []storer.Object{s.objects[kind]}}, nil
}

func (s fixedStore) Watch(ctx context.Context, _ storer.Kind, after int64, wait time.Duration) (storer.Events, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return storer.Events{Position: after}, ctx.Err()
}

func encoded(t *testing.T, kind storer.Kind, name string, value any) storer.Object {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return storer.Object{Kind: kind, Name: name, Version: 1, Value: data}
}

func TestNewInstanceServesWhileTheStoreIsDown(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarder.HeaderRequestID, r.Header.Get(forwarder.HeaderRequestID))
		_, _ = w.Write([]byte("done"))
	}))
	defer upstream.Close()
	secret, record, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	document := configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 2,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services: []configurer.Service{{Name: "index", Timeout: configurer.Duration(time.Second), Endpoints: []configurer.Endpoint{
			{Address: upstream.Listener.Addr().String(), Region: "west", FailureDomain: "west-a", Slots: 3, MaxConnections: 10},
		}}},
		Routes: []configurer.Route{{PathPrefix: "/index/", Service: "index", Idempotent: true, OpenToAll: true}},
		Teams:  []configurer.Team{{Name: "crew", RatePerSecond: 1000, Burst: 1000, Weight: 1}},
	}}
	store := fixedStore{objects: map[storer.Kind]storer.Object{
		storer.KindConfig: encoded(t, storer.KindConfig, storer.ConfigName, document),
		storer.KindKey:    encoded(t, storer.KindKey, record.Digest.String(), record),
	}}
	old := start(t, "i0", daemon.WithStore(store))
	waitForAnswer(t, old, secret, 5*time.Second)
	fresh := startWithoutStore(t, "i1", old.PeerAddress())
	waitForAnswer(t, fresh, secret, 5*time.Second)
}

// waitForAnswer sends requests until one is answered by the upstream.
func waitForAnswer(t *testing.T, r *running, secret string, limit time.Duration) {
	t.Helper()
	started := time.Now()
	status := 0
	for time.Since(started) < limit {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.CallerAddress()+"/index/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
			if status == http.StatusOK {
				t.Logf("%s serves after %v", r.id, time.Since(started).Round(time.Millisecond))
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s doesn't serve after %v: status %d", r.id, limit, status)
}
