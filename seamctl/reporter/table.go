// Package reporter shows the results of replays to people: as a table or as
// one self-contained page with plots.
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

// WriteTable prints each stated outcome beside its figure and, where an
// earlier result of the same trace is given, beside the earlier figure.
func WriteTable(w *tabwriter.Writer, results, earlier []replayer.Result) error {
	for _, r := range results {
		before, compared := find(earlier, r.Trace)
		_, _ = fmt.Fprintf(w, "%s\tseed %d\t%d sent\t%d answered\t%d refused\t%d failed\n",
			r.Trace, r.Seed, r.Requests.Sent, r.Requests.Answered, r.Requests.Refused, r.Requests.Failed)
		_, _ = fmt.Fprint(w, "outcome\tbound\tfigure\tholds")
		if compared {
			_, _ = fmt.Fprint(w, "\tbefore")
		}
		_, _ = fmt.Fprintln(w)
		for i, o := range r.Outcomes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%v", OutcomeName(o.Outcome), boundText(o.Outcome), o.Figure, o.Holds)
			if compared && i < len(before.Outcomes) {
				_, _ = fmt.Fprintf(w, "\t%.4g", before.Outcomes[i].Figure)
			}
			_, _ = fmt.Fprintln(w)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

func find(results []replayer.Result, trace string) (replayer.Result, bool) {
	for _, r := range results {
		if r.Trace == trace {
			return r, true
		}
	}
	return replayer.Result{}, false
}

// OutcomeName names an outcome in one short line.
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
