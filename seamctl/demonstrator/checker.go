package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"primroseseam.org/standin/responder"
)

// outcome is what a caller saw of one request.
type outcome struct {
	team    string
	path    string
	latency time.Duration
	right   bool
	refused bool
	notRun  bool
	failed  bool
}

// checker compares what callers and upstreams saw. It is safe for concurrent
// use.
type checker struct {
	mu       sync.Mutex
	outcomes []outcome
	runs     map[string]int
	seen     int
	wrongFor int
	keysSeen int
}

func newChecker() *checker { return &checker{runs: map[string]int{}} }

func (c *checker) callerSaw(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *checker) upstreamSaw(s responder.Seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen++
	if s.Ran {
		c.runs[s.Path]++
	}
	if !strings.Contains(s.Path, "/"+s.Team+"/") {
		c.wrongFor++
	}
	if carriesKey(s) {
		c.keysSeen++
	}
}

// carriesKey looks for a key in any header.
func carriesKey(s responder.Seen) bool {
	for _, values := range s.Headers {
		for _, v := range values {
			if strings.Contains(v, "seam_") {
				return true
			}
		}
	}
	return false
}

// Promise counts the checks of one promise.
type Promise struct {
	Name       string `json:"name"`
	Checked    int    `json:"checked"`
	Violations int    `json:"violations"`
}

// Report is the result of a run.
type Report struct {
	Deployment string             `json:"deployment"`
	Seed       uint64             `json:"seed"`
	Promises   []Promise          `json:"promises"`
	Measures   map[string]float64 `json:"measures"`
}

// Holds reports whether every promise was checked and none was violated.
func (r Report) Holds() bool {
	for _, p := range r.Promises {
		if p.Checked == 0 || p.Violations > 0 {
			return false
		}
	}
	return true
}

// WriteTable prints the report for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "deployment\t%s\nseed\t%d\n\npromise\tchecked\tviolations\n", r.Deployment, r.Seed)
	for _, p := range r.Promises {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", p.Name, p.Checked, p.Violations)
	}
	_, _ = fmt.Fprintf(t, "\nmeasure\tvalue\n")
	names := make([]string, 0, len(r.Measures))
	for name := range r.Measures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(t, "%s\t%.2f\n", name, r.Measures[name])
	}
	return t.Flush()
}

// WriteJSON prints the report for programs.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

func (c *checker) report(deployment string, seed uint64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := Promise{Name: "wholeAnswers"}
	notRun := Promise{Name: "notRunIsTrue"}
	var latencies []time.Duration
	var refused, failed int
	for _, o := range c.outcomes {
		switch {
		case o.failed:
			failed++
		case o.refused:
			refused++
			notRun.Checked++
			if o.notRun && c.runs[o.path] > 0 {
				notRun.Violations++
			}
		default:
			whole.Checked++
			latencies = append(latencies, o.latency)
			if !o.right {
				whole.Violations++
			}
		}
	}
	slices.Sort(latencies)
	promises := []Promise{
		whole,
		{Name: "runsForItsTeam", Checked: c.seen, Violations: c.wrongFor},
		{Name: "noKeyUpstream", Checked: c.seen, Violations: c.keysSeen},
	}
	if notRun.Checked > 0 {
		promises = append(promises, notRun)
	}
	return Report{
		Deployment: deployment,
		Seed:       seed,
		Promises:   promises,
		Measures: map[string]float64{
			"requests":     float64(len(c.outcomes)),
			"refused":      float64(refused),
			"failed":       float64(failed),
			"latencyP50Ms": quantileMS(latencies, 0.50),
			"latencyP99Ms": quantileMS(latencies, 0.99),
		},
	}
}

func quantileMS(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)-1))
	return float64(sorted[i]) / float64(time.Millisecond)
}
