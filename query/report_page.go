package query

import (
	"bytes"
	"fmt"
	"html/template"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/bambooknot/bambooknot/burn"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Shares of the height of a plot that are reserved for its legend.
const (
	legendLineShare = 0.06 // per line of the legend
	maxLegendShare  = 0.6
)

// maxPlotLines is the maximum number of services and regions in one plot, as more lines can't be distinguished.
const maxPlotLines = 12

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"route":     routeName,
	"objective": objectiveText,
	"percent":   percent,
	"runsOut":   exhaustionText,
	"rate":      func(r burn.Row, w burn.Window) string { return fmt.Sprintf("%.2f", r.BurnRate(w)) },
	"calls":     func(r burn.Row) uint64 { return r.Calls(burn.BudgetWindow) },
	"bad":       func(r burn.Row) uint64 { return r.BadCalls(burn.BudgetWindow) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 75em; }
table { border-collapse: collapse; }
th, td { padding: 0.2em 0.6em; border-bottom: 1px solid #ccc; text-align: right; }
th:nth-child(-n+4), td:nth-child(-n+4) { text-align: left; }
tr.total { font-weight: bold; }
td.page { background: #f4b6b0; }
td.ticket { background: #f6e3a1; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Up to {{.TakenAt.UTC.Format "2006-01-02 15:04:05"}} UTC; {{.Coverage}}.</p>
{{range .Failures}}<p>{{.}}</p>
{{end}}<table>
<tr><th>service</th><th>region</th><th>route</th><th>objective</th><th>calls, 3d</th><th>bad, 3d</th>
{{range .Windows}}<th>burn, {{.}}</th>{{end}}<th>budget left</th><th>runs out</th><th>alert</th></tr>
{{range $row := .Rows}}<tr{{if not $row.Route}} class="total"{{end}}><td>{{$row.Service}}</td><td>{{$row.Region}}</td>
<td>{{route $row}}</td><td>{{objective $row}}</td><td>{{calls $row}}</td><td>{{bad $row}}</td>
{{range $.Windows}}<td>{{rate $row .}}</td>{{end}}<td>{{percent $row.BudgetLeft}}</td><td>{{runsOut $row}}</td>
<td class="{{$row.Alert}}">{{$row.Alert}}</td></tr>
{{end}}</table>
<p>A burn rate of 1 uses up the error budget exactly; 0 means no bad call.</p>
{{range .Plots}}{{.}}
{{end}}</body>
</html>
`))

// page holds the data of pageTemplate.
type page struct {
	TakenAt  time.Time
	Coverage coverage
	Failures []string
	Windows  []burn.Window
	Rows     []burn.Row
	Plots    []template.HTML
}

// renderPage returns the report as a self-contained HTML page without scripts.
func renderPage(report burn.Report, cover coverage) ([]byte, error) {
	p := page{TakenAt: report.Counts().TakenAt(), Coverage: cover, Windows: burn.Windows(), Rows: report.Rows()}
	for _, f := range cover.failures {
		p.Failures = append(p.Failures, fmt.Sprintf("%s has not answered: %v", f.address, f.err))
	}
	for _, window := range []burn.Window{burn.Window1h, burn.Window6h, burn.Window3d} {
		svg, err := renderPlot(report, window)
		if err != nil {
			return nil, err
		}
		p.Plots = append(p.Plots, template.HTML(svg))
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, p)
	return out.Bytes(), err
}

// renderPlot returns the burn rate over a window as an SVG element.
func renderPlot(report burn.Report, window burn.Window) (string, error) {
	p, err := newPlot(report, window)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return svgElement(out.String()), nil
}

// newPlot returns the plot of the burn rate over a window, with one line per service and region.
func newPlot(report burn.Report, window burn.Window) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Burn rate, last " + window.String()
	p.Y.Label.Text = "times the budget"
	p.Y.Min = 0
	p.X.Max = float64(report.Counts().TakenAt().Unix())
	p.X.Min = p.X.Max - window.Length().Seconds()
	p.X.Tick.Marker = plot.TickerFunc(timeTicks(window))
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	lines := report.TimeSeries(window)
	for i, line := range lines[:min(len(lines), maxPlotLines)] {
		if err := addLine(p, i, line); err != nil {
			return nil, err
		}
	}
	if len(lines) > maxPlotLines {
		p.Title.Text += fmt.Sprintf(" (the first %d of %d services and regions)", maxPlotLines, len(lines))
	}
	legend := float64(min(len(lines), maxPlotLines)) * legendLineShare
	p.Y.Max = max(p.Y.Max, 1) / (1 - min(legend, maxLegendShare))
	return p, nil
}

// timeTicks returns a function that places the ticks of a window's time axis at round UTC times.
func timeTicks(window burn.Window) func(from, to float64) []plot.Tick {
	step, format := 10*time.Minute, "15:04"
	switch window {
	case burn.Window6h:
		step = time.Hour
	case burn.Window3d:
		step, format = 12*time.Hour, "Jan 2 15:04"
	}
	return func(from, to float64) []plot.Tick {
		var ticks []plot.Tick
		last := time.Unix(int64(to), 0)
		for at := time.Unix(int64(from), 0).UTC().Truncate(step).Add(step); !at.After(last); at = at.Add(step) {
			ticks = append(ticks, plot.Tick{Value: float64(at.Unix()), Label: at.Format(format)})
		}
		return ticks
	}
}

func addLine(p *plot.Plot, i int, line burn.TimeSeries) error {
	points := make(plotter.XYs, 0, len(line.Points()))
	for _, point := range line.Points() {
		points = append(points, plotter.XY{X: float64(point.Start().Unix()), Y: point.BurnRate()})
	}
	if len(points) == 0 {
		return nil
	}
	l, s, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
	s.Color, s.Shape = plotutil.Color(i), plotutil.Shape(i)
	p.Add(l, s)
	p.Legend.Add(line.Service()+" "+string(line.Region()), l, s)
	return nil
}

// svgElement removes everything before the svg element, because HTML must not contain an XML declaration.
func svgElement(document string) string {
	if i := bytes.Index([]byte(document), []byte("<svg")); i >= 0 {
		return document[i:]
	}
	return document
}
