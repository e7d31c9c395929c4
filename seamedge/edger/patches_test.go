package edger_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/patcher"
	"primroseseam.org/seamedge/heartbeater"
)

// largeConfig returns a version of a configuration with many routes.
func largeConfig(version, routes int) json.RawMessage {
	table := map[string]any{}
	for n := range routes {
		table[fmt.Sprint("route-", n)] = map[string]any{
			"host": fmt.Sprint("host-", n), "path-prefix": "/", "route-type": "idempotent", "timeout-s": 1, "target-latency-s": 1, "service": "s",
		}
	}
	table["changed"] = map[string]any{
		"host": fmt.Sprint("version-", version), "path-prefix": "/", "route-type": "idempotent", "timeout-s": 1, "target-latency-s": 1, "service": "s",
	}
	text, _ := json.Marshal(map[string]any{
		"version": fmt.Sprint("r", version), "routes": table, "services": map[string]any{"s": map[string]any{"health-path": "/health"}}, "limits": map[string]any{},
	})
	return text
}

// Guards against DRAIN on days of large changes: an instance must take only the changed parts of a
// configuration from another instance, and have the same routes then.
func TestConfigurationChangesAreFetchedInParts(t *testing.T) {
	const routes, versions = 300, 6
	r := newTestEnv(t)
	r.endpoint("e-1", "s", nil)
	r.store.Put("config", "main", largeConfig(1, routes))
	runs := []*runningEdge{r.start("one", &logSink{}), r.start("two", &logSink{})}
	for _, run := range runs {
		run.waitFor(5*time.Second, "ready", run.ready)
	}
	for version := 1; version <= versions; version++ {
		r.store.Put("config", "main", largeConfig(version, routes))
		for _, run := range runs {
			run.waitFor(5*time.Second, "the version in force", func() bool { return run.gauge("seam_edge_config_version") == version })
			for _, host := range []string{fmt.Sprint("version-", version), "host-7"} {
				id := fmt.Sprint(run.settings.Instance.ID, host, version)
				if status, text, _ := run.request("GET", host, "/", id, ""); status != 200 {
					t.Errorf("%s: status %d: %s", id, status, text)
				}
			}
		}
	}
	if n := runs[0].gauge("seam_edge_copy_patches_total") + runs[1].gauge("seam_edge_copy_patches_total"); n < versions/2 {
		t.Errorf("%d of %d versions were fetched in parts", n, versions)
	}
}

// A patch that doesn't fit must be refused, and the whole configuration fetched instead.
func TestPatchOfAnotherVersionIsRefused(t *testing.T) {
	r := newTestEnv(t)
	r.endpoint("e-1", "s", nil)
	r.store.Put("config", "main", largeConfig(1, 100))
	logs := &logSink{}
	run := r.start("one", logs)
	run.waitFor(5*time.Second, "ready", run.ready)
	position, err := follower.NewPosition(1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	// The versions that were named in each call are received from asked.
	asked := make(chan map[string]uint64, 8)
	peer := serveCopies(t, func(q heartbeater.CopyRequest) heartbeater.CopyResponse {
		versions := q.Versions[platform.KindConfig]
		asked <- versions
		d := follower.Delta{Kind: platform.KindConfig, Position: position, Changed: position, Whole: true, Complete: true}
		if base, ok := versions[platform.ConfigName]; ok {
			patch := patcher.Patch{Base: base, Result: base + 1, Set: map[string]json.RawMessage{"/version": json.RawMessage(`"r9"`)}}
			d.Patches = []follower.ObjectPatch{{Name: platform.ConfigName, Revision: position, Patch: patch}}
		} else {
			d.Objects = []follower.Object{{Name: platform.ConfigName, Revision: position, Spec: largeConfig(2, 100)}}
		}
		return heartbeater.CopyResponse{Deltas: []follower.Delta{d}}
	})
	newHeartbeatSender(t, run.settings.Listen.Peers).send(heartbeatAt(1, peer, platform.KindConfig, position))
	if versions := <-asked; len(versions) != 1 {
		t.Errorf("the first call named the versions %v", versions)
	}
	if versions := <-asked; len(versions) != 0 {
		t.Errorf("the second call named the versions %v", versions)
	}
	run.waitFor(5*time.Second, "the whole copy", func() bool { return run.gauge("seam_edge_config_version") == 2 })
	run.waitFor(5*time.Second, "the refusal in the log", func() bool { return logs.contains("copy: changes refused") })
}

// A refused fetch must be repeated: the instance that reported the change may be the only one with it.
func TestRefusedFetchIsRepeated(t *testing.T) {
	const refusals = 3
	r := newTestEnv(t)
	r.endpoint("e-1", "s", nil)
	r.store.Put("config", "main", largeConfig(1, 100))
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	position, err := follower.NewPosition(1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	path, handler := heartbeater.Handler(func(heartbeater.CopyRequest) heartbeater.CopyResponse {
		o := follower.Object{Name: platform.ConfigName, Revision: position, Spec: largeConfig(2, 100)}
		return heartbeater.CopyResponse{Deltas: []follower.Delta{{
			Kind: platform.KindConfig, Position: position, Changed: position, Whole: true, Objects: []follower.Object{o},
		}}}
	})
	var calls atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
		if calls.Add(1) > refusals {
			handler.ServeHTTP(w, q)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"code":"resource_exhausted"}`)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	newHeartbeatSender(t, run.settings.Listen.Peers).send(heartbeatAt(1, address, platform.KindConfig, position))
	run.waitFor(3*time.Second, "the version of the other instance", func() bool { return run.gauge("seam_edge_config_version") == 2 })
	if n := calls.Load(); n != refusals+1 {
		t.Errorf("%d calls, want %d", n, refusals+1)
	}
}
