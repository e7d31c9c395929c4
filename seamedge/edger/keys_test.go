package edger_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/standin/objectkeeper"
)

// awaitVersion waits until the configuration that was written last is in force.
func (r *runningEdge) awaitVersion(env *testEnv) {
	r.t.Helper()
	inForce := fmt.Sprintf("\nseam_edge_config_version %d\n", env.version)
	r.waitFor(5*time.Second, inForce, func() bool { return strings.Contains(r.metricsPage(), inForce) })
}

// expectStatus sends a request with each key and compares the statuses of the answers.
func (r *runningEdge) expectStatus(description string, status int, keys ...string) {
	r.t.Helper()
	for _, key := range keys {
		if a := r.post("/x/", key, ""); a.status != status {
			r.t.Errorf("%s, key %q: got status %d, want %d", description, key, a.status, status)
		}
	}
}

// Guards against ROUTE: when the last team or its last key goes, its key and all others stop
// working. Only a configuration without a table of teams opens its routes, and only to
// requests without a key.
func TestNoKeyIsAcceptedWithoutTeams(t *testing.T) {
	r := newTestEnv(t)
	r.endpoint("i-1", "s", nil)
	run := (*runningEdge)(nil)
	for _, c := range []struct {
		table         string
		statusWithout int
	}{
		{`,"tenants":{}`, http.StatusUnauthorized},
		{`,"tenants":null`, http.StatusUnauthorized},
		{`,"tenants":[]`, http.StatusUnauthorized},
		{`,"tenants":{"team-1":{"api-keys":[]}}`, http.StatusUnauthorized},
		{`,"tenants":{"team-1":{}}`, http.StatusUnauthorized},
		{`,"tenants":{"team-1":null}`, http.StatusUnauthorized},
		{`,"tenants":{"team-1":{"api-keys":[""]}}`, http.StatusUnauthorized},
		{``, http.StatusOK},
	} {
		r.configure("key", "s")
		if run == nil {
			run = r.start("one", &logSink{})
			run.waitFor(5*time.Second, "ready", run.ready)
		}
		run.awaitVersion(r)
		run.expectStatus("with a team", http.StatusOK, "key")
		run.expectStatus("with a team", http.StatusUnauthorized, "other", "")
		r.configureTable(c.table, "s")
		run.awaitVersion(r)
		run.expectStatus(c.table, http.StatusUnauthorized, "key", "never")
		run.expectStatus(c.table, c.statusWithout, "")
	}
}

// Guards against ROUTE and CONFIG: a version without teams must hold however it arrives: from
// the store, from another instance while the store is down, and when an older version with the
// key is read afterwards.
func TestKeysStayWithdrawnHoweverTheVersionArrives(t *testing.T) {
	r := newTestEnv(t)
	r.endpoint("i-1", "s", nil)
	r.configure("key", "s")
	first := r.start("one", &logSink{})
	first.waitFor(5*time.Second, "ready", first.ready)
	first.expectStatus("the first version", http.StatusOK, "key")
	r.configureTable(`,"tenants":{}`, "s")
	first.awaitVersion(r)
	first.expectStatus("from the store", http.StatusUnauthorized, "key", "never", "")

	r.store.SetFault(objectkeeper.FaultUnavailable)
	second := r.start("two", &logSink{})
	second.waitFor(5*time.Second, "the second to be ready", second.ready)
	second.expectStatus("from another instance", http.StatusUnauthorized, "key", "never", "")
	r.store.SetFault(objectkeeper.FaultNone)

	// The store is given the first version again.
	older := r.version - 1
	r.version = older - 1
	r.configure("key", "s")
	r.version = older + 1
	time.Sleep(time.Second)
	for _, run := range []*runningEdge{first, second} {
		run.awaitVersion(r)
		run.expectStatus("after an older version", http.StatusUnauthorized, "key", "never", "")
	}

	// A team without keys gains one.
	r.configureTable(`,"tenants":{"team-1":{"api-keys":[]}}`, "s")
	first.awaitVersion(r)
	first.expectStatus("a team without keys", http.StatusUnauthorized, "key", "never", "")
	r.configure("new", "s")
	for _, run := range []*runningEdge{first, second} {
		run.awaitVersion(r)
		run.expectStatus("a team that gained a key", http.StatusOK, "new")
		run.expectStatus("a team that gained a key", http.StatusUnauthorized, "key", "never", "")
	}
}
