package reporter

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"primroseseam.org/seam/replayer"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	plotFormat = "svg"
)

// page is the data that pageTemplate is executed with.
type page struct {
	Replays []pageReplay
}

// pageReplay is the part of the page about one replay: its result, the rows of its table of
// outcomes, the events of its trace and its plots as SVG elements.
type pageReplay struct {
	Result   replayer.Result
	Outcomes []pageOutcome
	Marks    []replayer.Mark
	Plots    []template.HTML
}

// pageOutcome is one row of the table of a replay's outcomes.
type pageOutcome struct {
	Name   string
	Bound  string
	Figure string
	Holds  bool
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Replays</title><style>
body{font-family:sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse}td,th{text-align:left;padding:.2em .8em;border-bottom:1px solid #ccc}
.missed{background:#fdd}svg{max-width:100%;height:auto}
</style></head><body>
{{range .Replays}}<h1>{{.Result.Trace}}</h1>
<p>Seed {{.Result.Seed}}: {{.Result.Requests.Sent}} requests, {{.Result.Requests.Answered}} answered,
{{.Result.Requests.Refused}} refused, {{.Result.Requests.Failed}} failed.</p>
<table><tr><th>Outcome</th><th>Bound</th><th>Figure</th><th>Holds</th></tr>
{{range .Outcomes}}<tr{{if not .Holds}} class="missed"{{end}}><td>{{.Name}}</td><td>{{.Bound}}</td><td>{{.Figure}}</td><td>{{if .Holds}}yes{{else}}no{{end}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}
{{if .Marks}}<h2>Events</h2><ul>{{range .Marks}}<li>{{.At}}: {{.Text}}</li>{{end}}</ul>{{end}}
{{end}}</body></html>
`))

// WritePage writes the results as one HTML page. Plots and styles are part of the page, so
// that it needs no other files.
func WritePage(w io.Writer, results []replayer.Result) error {
	var p page
	for _, r := range results {
		replay, err := newPageReplay(r)
		if err != nil {
			return err
		}
		p.Replays = append(p.Replays, replay)
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func newPageReplay(r replayer.Result) (pageReplay, error) {
	replay := pageReplay{Result: r, Marks: r.Marks()}
	for _, o := range r.Outcomes {
		replay.Outcomes = append(replay.Outcomes, pageOutcome{
			Name: OutcomeName(o.Outcome), Bound: boundText(o.Outcome),
			Figure: fmt.Sprintf("%.4g", o.Figure), Holds: o.Holds,
		})
	}
	for _, c := range charts() {
		if len(c.lineNames(r)) == 0 {
			continue
		}
		svg, err := c.draw(r)
		if err != nil {
			return replay, err
		}
		replay.Plots = append(replay.Plots, svg)
	}
	return replay, nil
}

// chart describes a plot of values over the time of a replay. Every replay is drawn with
// the same charts.
type chart struct {
	title string
	unit  string
	// values returns, for one sample, the value of each line by the name of the line.
	values func(replayer.Sample) map[string]float64
}

func charts() []chart {
	return []chart{
		{"Latency by team, 99th percentile", "ms", func(s replayer.Sample) map[string]float64 { return s.TeamP99 }},
		{"Free slots by region", "part", func(s replayer.Sample) map[string]float64 { return s.Headroom }},
		{"Link use relative to the cap", "part", func(s replayer.Sample) map[string]float64 { return s.Links }},
		{"Refusals within the team's rate", "per second", func(s replayer.Sample) map[string]float64 {
			return map[string]float64{"all teams": float64(s.Refused)}
		}},
	}
}

func (c chart) draw(r replayer.Result) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	for i, name := range c.lineNames(r) {
		line, err := plotter.NewLine(c.points(r, name))
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", c.title, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Legend.Top = true
	if err := addMarks(p, r.Marks()); err != nil {
		return "", err
	}
	image, err := p.WriterTo(plotWidth, plotHeight, plotFormat)
	if err != nil {
		return "", fmt.Errorf("draw %s: %w", c.title, err)
	}
	var svg bytes.Buffer
	if _, err := image.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("draw %s: %w", c.title, err)
	}
	return template.HTML(trimProlog(svg.Bytes())), nil
}

// lineNames returns the sorted names of the lines that the chart has for the result. It is
// empty if no sample has a value for the chart.
func (c chart) lineNames(r replayer.Result) []string {
	names := map[string]bool{}
	for _, s := range r.Samples() {
		for name := range c.values(s) {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func (c chart) points(r replayer.Result, name string) plotter.XYs {
	var points plotter.XYs
	for _, s := range r.Samples() {
		if y, ok := c.values(s)[name]; ok {
			points = append(points, plotter.XY{X: s.At.Seconds(), Y: y})
		}
	}
	return points
}

// addMarks adds a dashed vertical line to the plot at the time of each event of the trace.
func addMarks(p *plot.Plot, marks []replayer.Mark) error {
	for _, m := range marks {
		x := m.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("plot event: %w", err)
		}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(line)
	}
	return nil
}

// trimProlog returns the SVG image without the XML prolog before the svg element, since an
// XML prolog isn't allowed within HTML.
func trimProlog(svg []byte) []byte {
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		return svg[i:]
	}
	return svg
}
