package query

import (
	"fmt"
	"math"
	"text/tabwriter"

	"github.com/bambooknot/bambooknot/command"
)

// Distances of an attempt, nearest first.
var distances = []string{"same VM", "same domain", "same region", "other region", "(unknown)"}

// attemptCount counts the attempts at one distance.
type attemptCount struct {
	answered   int
	turnedBack int
}

// vmPlace is where a node runs.
type vmPlace struct {
	vm, region, domain string
}

// countAttempts returns the attempts by distance between the node of the caller and the one that was asked.
func countAttempts(lines []logLine) map[string]attemptCount {
	byAddress, byVM := make(map[string]vmPlace), make(map[string]vmPlace)
	for _, l := range lines {
		if l.text("kind") == "started" {
			p := vmPlace{vm: l.text("vm"), region: l.text("region"), domain: l.text("failure_domain")}
			byAddress[l.text("peer")], byVM[p.vm] = p, p
		}
	}
	counts := make(map[string]attemptCount)
	for _, l := range lines {
		answered, turnedBack := 0, 0
		switch kind := l.text("kind"); {
		case kind == "request_answered":
			answered = 1
		case kind == "request_retried" && l.text("ending") == "not_run":
			turnedBack = 1
		default:
			continue
		}
		d := distanceOf(byVM[l.text("vm")], byAddress[l.text("node")])
		c := counts[d]
		counts[d] = attemptCount{answered: c.answered + answered, turnedBack: c.turnedBack + turnedBack}
	}
	return counts
}

func distanceOf(from, to vmPlace) string {
	switch {
	case from == vmPlace{} || to == vmPlace{}:
		return distances[4]
	case from.vm == to.vm:
		return distances[0]
	case from.region != to.region:
		return distances[3]
	case from.domain != to.domain:
		return distances[2]
	}
	return distances[1]
}

func writeAttempts(env command.Env, counts map[string]attemptCount) error {
	if len(counts) == 0 {
		return nil
	}
	fmt.Fprintln(env.Out)
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DISTANCE\tANSWERED\tTURNED BACK\tSHARE")
	for _, d := range distances {
		if c, ok := counts[d]; ok {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", d, c.answered, c.turnedBack, percent(math.Round(float64(c.turnedBack)/float64(c.answered+c.turnedBack)*1000)/1000))
		}
	}
	return w.Flush()
}
