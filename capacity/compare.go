package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// maxRatio is the growth over the baseline from which on a figure counts as worse.
const maxRatio = 1.25

// steady tells the units that do not depend on the machine's speed or load: bytes, counts and virtual
// time. Other units are printed and decide nothing.
func steady(unit string) bool {
	switch unit {
	case "ns/op", "µs/s/node-rest", "%core/node", "MB/node", "MB/node-max", "MB/s":
		return false
	}
	return !strings.Contains(unit, "-us") && !strings.Contains(unit, "added")
}

// Compare prints the figures that differ from the baseline and returns how many steady ones are worse.
func Compare(out io.Writer, baseline, now Results) int {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	worse := 0
	for _, m := range now.Measures() {
		held, ok := baseline.Value(m.pkg, m.name, m.unit)
		value, _ := now.Value(m.pkg, m.name, m.unit)
		if !ok || held == 0 || value == held {
			continue
		}
		verdict := ""
		if ratio := value / held; ratio > maxRatio {
			verdict = "slower here"
			if steady(m.unit) {
				verdict = "WORSE"
				worse++
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t->\t%.4g\t%s\t%s\n", m.pkg, m.name, held, value, m.unit, verdict)
	}
	return worse
}
