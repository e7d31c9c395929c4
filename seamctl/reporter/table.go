// Package reporter formats the results of replays as a text table or as a self-contained
// HTML page with plots. The operators' client seamctl uses it.
//
// A replay runs the requests and events of a trace. An outcome is a condition that the
// trace sets for the replay: a measure, such as a latency, and the bounds for its figure,
// which is the measured value. The outcome holds if the figure is within the bounds.
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

// WriteTable writes the number of requests of each result, and a row for each of its
// outcomes: the bounds, the measured figure, and whether the outcome holds. If earlier
// contains a result of the same trace, the row also has the figure of the outcome at the
// same position in that earlier result.
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

// OutcomeName returns the name of an outcome's measure, followed by those of its promise,
// team, service, regions and quantile that the outcome sets, separated by spaces. A quantile
// of 0.99 is written as "p99".
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
