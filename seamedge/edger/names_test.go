package edger_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/seam/labeler"
)

// metricsPage returns the page of an instance's metrics, each line after a line end.
func (r *runningEdge) metricsPage() string {
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return "\n" + string(data)
}

// Guards against LOST: requests of a team must be answered whatever characters its name
// holds. The team's metrics must be readable, and go when the team goes.
func TestTeamsOfAnyNameGetTheirAnswers(t *testing.T) {
	r := newTestEnv(t)
	served := r.endpoint("i-1", "s", nil)
	r.configure("key", "s")
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	before := ""
	for _, name := range []string{`Sen and Sons "Court Bundles"`, `ends in \`, `\"`, `{a="b",c}`, "Ünïcode \u200b", "a\tb", strings.Repeat("long", 750)} {
		r.team = name
		r.configure("key", "s")
		run.waitFor(5*time.Second, "the team "+name, func() bool {
			a := run.post("/x/", "key", "")
			return a.err == nil && a.status == http.StatusOK && a.header.Get("Team") == name
		})
		ran := served.Load()
		if a := run.post("/x/", "key", ""); a.err != nil || a.status != http.StatusOK || served.Load() != ran+1 {
			t.Errorf("%q: got status %d, %v after %d runs", name, a.status, a.err, served.Load()-ran)
		}
		page := run.metricsPage()
		series := labeler.Name("seam_edge_team_requests_total", labeler.Label{Name: "team", Value: name}) + " "
		left := labeler.Name("seam_edge_team_left", labeler.Label{Name: "team", Value: name}) + " "
		if !strings.Contains(page, "\n"+series) || !strings.Contains(page, "\n"+left) {
			t.Errorf("%q: no metrics of the team", name)
		}
		if before != "" && strings.Contains(page, before) {
			t.Errorf("%q: the metrics still hold the team before", name)
		}
		before = series
	}
}

// Guards against UNASKED and LOST: a team's name must not add header fields to the requests
// at endpoints or end them. A version with such a name is refused as a whole: callers are
// served as before, and by the next version.
func TestNamesThatNoHeaderCanHoldAreRefused(t *testing.T) {
	r := newTestEnv(t)
	var forged atomic.Int32
	r.endpoint("i-1", "s", func(_ http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Evil") != "" || q.Header.Get("X-Tenant") != "team-1" {
			forged.Add(1)
		}
	})
	r.configure("key", "s")
	logs := &logSink{}
	run := r.start("one", logs)
	run.waitFor(5*time.Second, "ready", run.ready)
	for n, name := range []string{"a\r\nX-Evil: 1", "a\nX-Evil: 1", "a\x00", "a\x7f", "a ", "a\r\n\r\nGET /x/ HTTP/1.1"} {
		r.team = name
		r.configure("new", "s")
		refused := fmt.Sprintf("\nseam_edge_configs_refused_total %d\n", n+1)
		run.waitFor(5*time.Second, "the refusal", func() bool { return strings.Contains(run.metricsPage(), refused) })
		if a := run.post("/x/", "new", ""); a.status != http.StatusUnauthorized {
			t.Errorf("%q: the new key got status %d, %v", name, a.status, a.err)
		}
		if a := run.post("/x/", "key", ""); a.status != http.StatusOK {
			t.Errorf("%q: the key in force got status %d, %v", name, a.status, a.err)
		}
	}
	r.putEndpoint("i-2\r\nX-Evil: 1", "s", r.addresses["i-1"], "ready")
	run.waitFor(5*time.Second, "the entry", func() bool { return strings.Contains(run.metricsPage(), "\nseam_edge_invalid_entries_total 1\n") })
	r.team = "team-1"
	r.configure("new", "s")
	run.waitFor(5*time.Second, "the next version", func() bool { return run.post("/x/", "new", "").status == http.StatusOK })
	if forged.Load() > 0 || !logs.contains("refused as a whole") {
		t.Errorf("%d requests arrived with another header; or the log has no line of the refusals", forged.Load())
	}
}
