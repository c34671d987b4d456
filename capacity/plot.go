package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth      = 16 * vg.Centimeter
	plotHeight     = 10 * vg.Centimeter
	legendHeadroom = 1.3 // ratio of the axis height to the greatest value; leaves room for the legend above the curves
)

// curve is one line of a plot: the values in unit of the benchmarks whose names match pattern.
type curve struct {
	label   string
	pattern string
	unit    string
}

// chart is one plot over the number of nodes.
type chart struct {
	file   string
	title  string
	yLabel string
	curves []curve
}

// Patterns of benchmark names for the system and for two baselines: every node polls, and push of the whole state.
const (
	changePattern = `Change/nodes=(\d+)`
	pollPattern   = `Change/nodes=(\d+)/baseline=poll`
	statePattern  = `Change/nodes=(\d+)/baseline=state`
)

var charts = []chart{
	{"convergence.svg", "From acceptance to in force on every node", "ms (virtual time)", []curve{
		{"bambooknot, 99th percentile", changePattern, "ms-p99"},
		{"bambooknot, slowest", changePattern, "ms-max"},
		{"every node polls, 99th percentile", pollPattern, "ms-p99"},
		{"push of whole state, slowest", statePattern, "ms-max"},
	}},
	{"bytes-at-rest.svg", "Control bytes of a node at rest", "bytes a second", []curve{
		{"bambooknot", changePattern, "B/s/node-rest"},
		{"bambooknot, busiest node", changePattern, "B/s/node-rest-max"},
		{"every node polls", pollPattern, "B/s/node-rest"},
	}},
	{"bytes-across.svg", "Bytes between the regions for one change", "bytes", []curve{
		{"bambooknot", changePattern, "B-far/change"},
		{"every node polls", pollPattern, "B-far/change"},
		{"push of whole state", statePattern, "B-far/change"},
	}},
}

// WritePlots writes one SVG file per chart into a folder.
func WritePlots(folder string, r Results) error {
	for _, c := range charts {
		if err := c.write(folder, r); err != nil {
			return err
		}
	}
	return nil
}

func (c chart) write(folder string, r Results) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "nodes", c.yLabel
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for i, curve := range c.curves {
		points, err := r.Series("control", curve.pattern, curve.unit)
		if err != nil {
			return err
		}
		line, marks, err := plotter.NewLinePoints(plotterXYs(points))
		if err != nil {
			return err
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(curve.label, line, marks)
	}
	p.Y.Max *= legendHeadroom
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, c.file))
}

func plotterXYs(points []Point) plotter.XYs {
	out := make(plotter.XYs, len(points))
	for i, p := range points {
		out[i].X, out[i].Y = float64(p.size), p.value
	}
	return out
}
