package edger_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seam/labeler"
)

// metricsPage returns the page of an instance's metrics.
func (r *runningEdge) metricsPage() string {
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
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
