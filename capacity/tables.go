package main

import (
	"fmt"
	"os"
	"strings"
)

// Size that the system is designed for, from letter 1.
const (
	designNodes   = 580
	designCalls   = 210_000 // calls a second over all nodes
	designChanges = 680     // changes of configuration a day
	designRecords = 500     // records of 16 services with their routes and limits
	secondsPerDay = 24 * 60 * 60
)

// Marks between which the tables of the page stand.
const (
	markBegin = "<!-- tables: begin -->\n"
	markEnd   = "<!-- tables: end -->\n"
)

// slopeRow is a figure measured at several sizes.
type slopeRow struct {
	label   string
	pkg     string
	pattern string
	unit    string
	at      float64 // size of the design
}

var slopeRows = []slopeRow{
	{"membership at rest, bytes sent a node", "fleet", `AtRest/(\d+)`, "B/node/s", designNodes},
	{"membership at rest, bytes between the regions", "fleet", `AtRest/(\d+)`, "cross-B/s", designNodes},
	{"membership, memory of a node", "fleet", `Memory/(\d+)`, "B/node", designNodes},
	{"all control at rest, bytes sent a node", "control", ours, "B/s/node-rest", designNodes},
	{"all control at rest, bytes sent by the busiest node", "control", ours, "B/s/node-rest-max", designNodes},
	{"all control at rest, bytes between the regions", "control", ours, "B/s-far-rest", designNodes},
	{"one change, bytes sent a node", "control", ours, "B/change/node", designNodes},
	{"one change, bytes between the regions", "control", ours, "B-far/change", designNodes},
	{"one change, acceptance to in force everywhere, 99th percentile", "control", ours, "ms-p99", designNodes},
	{"one change, slowest node", "control", ours, "ms-max", designNodes},
	{"all control at rest, processor time of a node", "control", ours, "µs/s/node-rest", designNodes},
	{"one process at rest, processor", "rig", `Processes/nodes=(\d+)`, "%core/node", designNodes},
	{"one process at rest, memory", "rig", `Processes/nodes=(\d+)`, "MB/node", designNodes},
	{"one process at rest, control bytes sent", "rig", `Processes/nodes=(\d+)`, "B/s/node", designNodes},
	{"configuration, memory by records", "catalog", `Memory/records=(\d+)`, "heap-bytes", designRecords},
	{"checkpoint, size by records", "catalog", `Checkpoint/records=(\d+)`, "bytes", designRecords},
	{"checkpoint, time by records", "catalog", `Checkpoint/records=(\d+)`, "ns/op", designRecords},
	{"fold of one change, time by records", "catalog", `Apply/records=(\d+)`, "ns/op", designRecords},
}

// WriteTables replaces the tables of a page by those worked out from results.
func WriteTables(page string, r Results) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	head, rest, ok := strings.Cut(string(data), markBegin)
	_, tail, ok2 := strings.Cut(rest, markEnd)
	if !ok || !ok2 {
		return fmt.Errorf("%s lacks the marks of the tables", page)
	}
	tables, err := tablesOf(r)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(head+markBegin+tables+markEnd+tail), 0o644)
}

func tablesOf(r Results) (string, error) {
	var b strings.Builder
	if err := writeSlopes(&b, r); err != nil {
		return "", err
	}
	roles, err := newRoles(r)
	if err != nil {
		return "", err
	}
	roles.write(&b)
	writeStorms(&b, r)
	return b.String(), nil
}

func writeSlopes(b *strings.Builder, r Results) error {
	b.WriteString("\n### Slopes\n\n| figure | measured | slope a node or record | at the design size |\n| --- | --- | --- | --- |\n")
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
		fmt.Fprintf(b, "| %s | %s | %.3g | %s |\n", row.label, strings.Join(measured, ", "), line.slope, atDesign(points, row.at, row.unit))
	}
	return nil
}

// atDesign returns the figure measured at the size of the design, or one from the line, marked so.
func atDesign(points []Point, size float64, unit string) string {
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

func writeStorms(b *strings.Builder, r Results) {
	b.WriteString("\n### Storms and faults in virtual time\n\n| event | figure | value |\n| --- | --- | --- |\n")
	for _, m := range r.Measures() {
		isStorm := m.pkg == "control" && (strings.HasPrefix(m.name, "Rejoin/") || strings.HasPrefix(m.name, "Fault/"))
		if !isStorm || m.unit == "ns/op" {
			continue
		}
		value, _ := r.Value(m.pkg, m.name, m.unit)
		fmt.Fprintf(b, "| %s | %s | %.4g |\n", m.name, m.unit, value)
	}
}
