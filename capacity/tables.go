package main

import (
	"fmt"
	"os"
	"strings"
)

// Design size of the system, as the users require it.
const (
	designNodes   = 580
	designCalls   = 210_000 // calls per second over all nodes
	designChanges = 680     // configuration changes per day
	designRecords = 500     // 16 services with their routes and limits
	secondsPerDay = 24 * 60 * 60
)

// Markers around the generated tables in the page.
const (
	tablesBegin = "<!-- tables: begin -->\n"
	tablesEnd   = "<!-- tables: end -->\n"
)

// slopeRow is a row of the table of slopes: a metric measured at several sizes.
type slopeRow struct {
	label      string
	pkg        string
	pattern    string
	unit       string
	designSize float64
}

var slopeRows = []slopeRow{
	{"membership at rest, bytes sent per node", "fleet", `AtRest/(\d+)`, "B/node/s", designNodes},
	{"membership at rest, bytes between the regions", "fleet", `AtRest/(\d+)`, "cross-B/s", designNodes},
	{"membership, memory per node", "fleet", `Memory/(\d+)`, "B/node", designNodes},
	{"all control at rest, bytes sent per node", "control", changePattern, "B/s/node-rest", designNodes},
	{"all control at rest, bytes sent by the busiest node", "control", changePattern, "B/s/node-rest-max", designNodes},
	{"all control at rest, bytes between the regions", "control", changePattern, "B/s-far-rest", designNodes},
	{"one change, bytes sent per node", "control", changePattern, "B/change/node", designNodes},
	{"one change, bytes between the regions", "control", changePattern, "B-far/change", designNodes},
	{"one change, acceptance to in force everywhere, 99th percentile", "control", changePattern, "ms-p99", designNodes},
	{"one change, slowest node", "control", changePattern, "ms-max", designNodes},
	{"all control at rest, processor time per node", "control", changePattern, "µs/s/node-rest", designNodes},
	{"one process at rest, processor", "rig", `Processes/nodes=(\d+)`, "%core/node", designNodes},
	{"one process at rest, memory", "rig", `Processes/nodes=(\d+)`, "MB/node", designNodes},
	{"one process at rest, control bytes sent", "rig", `Processes/nodes=(\d+)`, "B/s/node", designNodes},
	{"configuration, memory by records", "catalog", `Memory/records=(\d+)`, "heap-bytes", designRecords},
	{"checkpoint, size by records", "catalog", `Checkpoint/records=(\d+)`, "bytes", designRecords},
	{"checkpoint, time by records", "catalog", `Checkpoint/records=(\d+)`, "ns/op", designRecords},
	{"application of one change, time by records", "catalog", `Apply/records=(\d+)`, "ns/op", designRecords},
}

// WriteTables replaces the tables of a page with tables generated from results.
func WriteTables(page string, r Results) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	head, rest, ok := strings.Cut(string(data), tablesBegin)
	_, tail, ok2 := strings.Cut(rest, tablesEnd)
	if !ok || !ok2 {
		return fmt.Errorf("%s lacks the markers around the tables", page)
	}
	tables, err := formatTables(r)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(head+tablesBegin+tables+tablesEnd+tail), 0o644)
}

func formatTables(r Results) (string, error) {
	var b strings.Builder
	if err := writeSlopes(&b, r); err != nil {
		return "", err
	}
	roles, err := newRoles(r)
	if err != nil {
		return "", err
	}
	roles.write(&b)
	writeEvents(&b, r)
	return b.String(), nil
}

func writeSlopes(b *strings.Builder, r Results) error {
	b.WriteString("\n### Slopes\n\n| metric | measured | slope per node or record | at the design size |\n| --- | --- | --- | --- |\n")
	for _, row := range slopeRows {
		points, err := r.Series(row.pkg, row.pattern, row.unit)
		if err != nil {
			return err
		}
		line := Fit(points)
		measured := make([]string, len(points))
		for i, p := range points {
			measured[i] = fmt.Sprintf("%.4g at %d", p.value, p.size)
		}
		fmt.Fprintf(b, "| %s | %s | %.3g | %s |\n", row.label, strings.Join(measured, ", "), line.slope, formatDesignValue(points, row.designSize, row.unit))
	}
	return nil
}

// formatDesignValue returns the value measured at the design size, or an estimate that is marked as interpolated or
// extrapolated.
func formatDesignValue(points []Point, size float64, unit string) string {
	for _, p := range points {
		if float64(p.size) == size {
			return fmt.Sprintf("%.4g %s", p.value, unit)
		}
	}
	mark := "extrapolated"
	if last := points[len(points)-1]; size < float64(last.size) {
		mark = "interpolated"
	}
	return fmt.Sprintf("%.4g %s (%s)", Estimate(points, size), unit, mark)
}

func writeEvents(b *strings.Builder, r Results) {
	b.WriteString("\n### Storms and faults in virtual time\n\n| event | metric | value |\n| --- | --- | --- |\n")
	for _, m := range r.MetricIDs() {
		isEvent := m.pkg == "control" && (strings.HasPrefix(m.name, "Rejoin/") || strings.HasPrefix(m.name, "Fault/"))
		if !isEvent || m.unit == "ns/op" {
			continue
		}
		value, _ := r.Value(m.pkg, m.name, m.unit)
		fmt.Fprintf(b, "| %s | %s | %.4g |\n", m.name, m.unit, value)
	}
}
