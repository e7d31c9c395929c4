// Package labeler builds the names of metrics with labels in the Prometheus text format.
// The values of labels may be any text, such as the names of teams. The daemons seamedge
// and seamd use it.
//
// # Usage
//
//	name := labeler.Name("seam_edge_team_requests_total", labeler.Label{Name: "team", Value: team})
//	set.GetOrCreateCounter(name).Inc()
package labeler

import "strings"

// Label is a label of a metric. Name consists of letters, digits and underscores.
type Label struct{ Name, Value string }

// escaper escapes the value of a label. The format knows no other escape sequences.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Name returns the name of a metric with labels, such as metric{team="crew"}. Bytes of a
// value that aren't valid UTF-8 are replaced.
func Name(metric string, labels ...Label) string {
	var b strings.Builder
	b.WriteString(metric)
	separator := byte('{')
	for _, l := range labels {
		b.WriteByte(separator)
		b.WriteString(l.Name)
		b.WriteString(`="`)
		b.WriteString(escaper.Replace(strings.ToValidUTF8(l.Value, "\uFFFD")))
		b.WriteByte('"')
		separator = ','
	}
	if len(labels) > 0 {
		b.WriteByte('}')
	}
	return b.String()
}
