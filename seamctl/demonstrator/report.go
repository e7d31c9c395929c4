package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Promise is the result of checking one promise of the system, a property that must hold
// in every run: how often it was checked and how often it was violated.
type Promise struct {
	Name       string `json:"name"`
	Checked    int    `json:"checked"`
	Violations int    `json:"violations"`
	// required means that the run doesn't pass if the promise was never checked.
	required bool
}

// Report is the result of a run.
type Report struct {
	Deployment string    `json:"deployment"`
	Seed       uint64    `json:"seed"`
	Promises   []Promise `json:"promises"`
	Measures   Measures  `json:"measures"`
}

// Passed reports whether no promise was violated and every required promise was checked at
// least once. A promise that only a certain fault can check is required only if the run
// contained that fault.
func (r Report) Passed() bool { return len(r.Failures()) == 0 }

// Failures describes the promises because of which the run doesn't pass.
func (r Report) Failures() []string {
	var failures []string
	for _, p := range r.Promises {
		switch {
		case p.Violations > 0:
			failures = append(failures, fmt.Sprintf("%s violated %d times in %d checks", p.Name, p.Violations, p.Checked))
		case p.required && p.Checked == 0:
			failures = append(failures, p.Name+" not checked")
		}
	}
	return failures
}

// WriteTable writes the report as tables of text.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	row("deployment\t%s\nseed\t%d\n\npromise\tchecked\tviolations", r.Deployment, r.Seed)
	for _, p := range r.Promises {
		row("%s\t%d\t%d", p.Name, p.Checked, p.Violations)
	}
	m := r.Measures
	row("\nteam\tp50\tp99\tanswered within rate")
	for _, team := range m.Teams {
		row("%s\t%.1f ms\t%.1f ms\t%.1f%%", team.Team, team.P50MS, team.P99MS, 100*team.AnsweredWithinRate)
	}
	row("\nmeasure\tvalue")
	row("requests\t%d: %d answered, %d refused, %d failed", m.Requests, m.Answered, m.Refused, m.Failed)
	for _, r := range m.Refusals {
		row("refused %s\t%d", r.Name, r.Count)
	}
	row("worst-served team\t%s", m.WorstServedTeam)
	row("refused within rate\t%d of %d", m.RefusedWithinRate, m.WithinRate)
	row("headroom\tmean %.0f%%, least %.0f%%", 100*m.HeadroomMean, 100*m.HeadroomLeast)
	row("upstream drain\t%.0f ms", m.UpstreamDrainMS)
	row("instance stop\t%.0f ms", m.InstanceStopMS)
	row("withdrawn key's last use\t%.0f ms", m.KeyWithdrawalMS)
	row("configuration in force\t%.0f ms", m.ConfigInForceMS)
	row("upstreams saw\t%d across regions, %d shed, %d cancelled", m.CrossRegion, m.ShedByUpstreams, m.CancelledUpstream)
	return t.Flush()
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// report returns the report of a run, computed from everything that was recorded.
func (c *checker) report(d *Demo) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{
		Deployment: d.deployment,
		Seed:       d.seed,
		Promises:   c.promises(d.shape, d.faults),
		Measures:   c.measures(d.shape),
	}
}
