// Package reporter formats the results of replays for people: as a text table or
// as a self-contained HTML page with plots.
//
// # Usage
//
//	err := reporter.WriteTable(tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0), results, nil)
//	err = reporter.WritePage(file, results)
package reporter

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"primroseseam.org/seam/replayer"
	"primroseseam.org/seam/tracer"
)

// WriteTable prints the outcomes of each result: the bound that the trace sets, the
// measured figure, whether it is within the bound and, if earlier has a result of the
// same trace, the figure of the outcome at the same position there.
func WriteTable(w *tabwriter.Writer, results, earlier []replayer.Result) error {
	for _, r := range results {
		previous, compared := findResult(earlier, r.Trace)
		_, _ = fmt.Fprintf(w, "%s\tseed %d\t%d sent\t%d answered\t%d refused\t%d failed\n",
			r.Trace, r.Seed, r.Requests.Sent, r.Requests.Answered, r.Requests.Refused, r.Requests.Failed)
		_, _ = fmt.Fprint(w, "outcome\tbound\tfigure\tholds")
		if compared {
			_, _ = fmt.Fprint(w, "\tbefore")
		}
		_, _ = fmt.Fprintln(w)
		for i, o := range r.Outcomes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%v", OutcomeName(o.Outcome), boundText(o.Outcome), o.Figure, o.Holds)
			if compared && i < len(previous.Outcomes) {
				_, _ = fmt.Fprintf(w, "\t%.4g", previous.Outcomes[i].Figure)
			}
			_, _ = fmt.Fprintln(w)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

func findResult(results []replayer.Result, trace string) (replayer.Result, bool) {
	for _, r := range results {
		if r.Trace == trace {
			return r, true
		}
	}
	return replayer.Result{}, false
}

// OutcomeName returns a short description of an outcome, such as a measure with its
// team, service and quantile.
func OutcomeName(o tracer.Outcome) string {
	parts := []string{string(o.Measure)}
	for _, part := range []string{string(o.Promise), o.Team, o.Service, o.From, o.To} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if o.Quantile > 0 {
		parts = append(parts, fmt.Sprintf("p%g", o.Quantile*100))
	}
	return strings.Join(parts, " ")
}

func boundText(o tracer.Outcome) string {
	switch {
	case o.Max != nil && o.Min != nil:
		return fmt.Sprintf("%.4g to %.4g", *o.Min, *o.Max)
	case o.Max != nil:
		return fmt.Sprintf("at most %.4g", *o.Max)
	case o.Min != nil:
		return fmt.Sprintf("at least %.4g", *o.Min)
	}
	return "none"
}
