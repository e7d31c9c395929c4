package edger_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
)

// explain asks an instance where a request would go, and returns the status and the body.
func (r *runningEdge) explain(query url.Values, key string) (int, string) {
	q, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Listen.Metrics+"/v1/explain?"+query.Encode(), nil)
	if err != nil {
		r.t.Fatal(err)
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// An explanation must name the endpoint and send it nothing, and the key must not appear in it nor
// in the log.
func TestExplainSendsNothing(t *testing.T) {
	const key = "key-that-is-a-secret"
	r := newTestEnv(t)
	served := r.endpoint("i-1", "s", nil)
	r.configure(key, "s")
	log := &logSink{}
	run := r.start("one", log)
	run.waitFor(5*time.Second, "ready", run.ready)
	status, body := run.explain(url.Values{"host": {"h"}, "path": {"/x/1"}, "object": {"7"}, "timeLeftMs": {"3000"}}, key)
	var x conductor.Explanation
	if err := json.Unmarshal([]byte(body), &x); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v: %s", status, err, body)
	}
	if x.Outcome != "sent" || x.Route != "r" || len(x.Services) != 1 || len(x.Services[0].Candidates) != 1 || x.Services[0].Candidates[0].Endpoint != "i-1" {
		t.Errorf("got %s", body)
	}
	if served.Load() > 0 {
		t.Errorf("the endpoint got %d requests", served.Load())
	}
	if strings.Contains(body, key) || log.contains(key) {
		t.Error("the key is in the answer or in the log")
	}
	for _, c := range []struct {
		query  url.Values
		status int
		want   string
	}{
		{url.Values{"host": {"h"}, "path": {"x"}}, http.StatusBadRequest, "path from its first slash"},
		{url.Values{"path": {"/x/"}}, http.StatusBadRequest, "host"},
		{url.Values{"host": {"h"}, "path": {"/x/"}, "timeLeftMs": {"-1"}}, http.StatusBadRequest, "timeLeftMs"},
		{url.Values{"host": {"other"}, "path": {"/x/"}}, http.StatusOK, "RouteUnknown"},
		{url.Values{"host": {"h"}, "path": {"/x/"}, "team": {"nobody"}}, http.StatusOK, "KeyUnknown"},
	} {
		if status, body := run.explain(c.query, ""); status != c.status || !strings.Contains(body, c.want) {
			t.Errorf("%v: status %d: %s", c.query, status, body)
		}
	}
}
