package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// maxRatio is the ratio to the baseline above which a value counts as worse.
const maxRatio = 1.25

// machineIndependent reports whether values in a unit do not depend on the machine's speed or load, as bytes, counts and
// virtual time do not. Other values are compared for information only.
func machineIndependent(unit string) bool {
	switch unit {
	case "ns/op", "µs/s/node-rest", "%core/node", "MB/node", "MB/node-max", "MB/s":
		return false
	}
	return !strings.Contains(unit, "-us") && !strings.Contains(unit, "added")
}

// Compare prints the values that differ from the baseline and returns how many machine-independent ones are worse.
func Compare(out io.Writer, baseline, now Results) int {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	worse := 0
	for _, m := range now.MetricIDs() {
		baselineValue, ok := baseline.Value(m.pkg, m.name, m.unit)
		value, _ := now.Value(m.pkg, m.name, m.unit)
		if !ok || baselineValue == 0 || value == baselineValue {
			continue
		}
		verdict := ""
		if ratio := value / baselineValue; ratio > maxRatio {
			verdict = "worse; depends on the machine"
			if machineIndependent(m.unit) {
				verdict = "WORSE"
				worse++
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t->\t%.4g\t%s\t%s\n", m.pkg, m.name, baselineValue, value, m.unit, verdict)
	}
	return worse
}
