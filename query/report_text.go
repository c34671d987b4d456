package query

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/burn"
)

func (c coverage) String() string {
	text := fmt.Sprintf("covers %d of %d nodes asked", c.nodesAsked-len(c.failures), c.nodesAsked)
	if c.aliveMembers > 0 {
		text += fmt.Sprintf("; %d nodes of the fleet are alive", c.aliveMembers)
	}
	return text
}

func writeReportTable(out io.Writer, report burn.Report, cover coverage) error {
	fmt.Fprintln(out, cover)
	if len(cover.failures) == cover.nodesAsked {
		return nil
	}
	if len(report.Rows()) == 0 {
		fmt.Fprintln(out, "no calls on routes with an objective")
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREGION\tROUTE\tOBJECTIVE\tCALLS\tBAD\t5m\t30m\t1h\t6h\t3d\tLEFT\tRUNS OUT\tALERT")
	for _, r := range report.Rows() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d", r.Service(), r.Region(), routeName(r), objectiveText(r), r.Calls(burn.BudgetWindow), r.BadCalls(burn.BudgetWindow))
		for _, window := range burn.Windows() {
			fmt.Fprintf(w, "\t%.2f", r.BurnRate(window))
		}
		fmt.Fprintf(w, "\t%s\t%s\t%s\n", percent(r.BudgetLeft()), exhaustionText(r), r.Alert())
	}
	return w.Flush()
}

func routeName(r burn.Row) string {
	if r.Route() == "" {
		return "(all)"
	}
	return r.Route()
}

func objectiveText(r burn.Row) string {
	o := r.Objective()
	if o.IsZero() {
		return ""
	}
	return fmt.Sprintf("%s in %s", percent(o.Target()), o.Latency())
}

// percent formats a share as a percentage with up to four decimals, such as 99.95%.
func percent(share float64) string {
	return fmt.Sprintf("%v%%", math.Round(share*1e6)/1e4)
}

func exhaustionText(r burn.Row) string {
	d, ok := r.TimeToExhaustion()
	if !ok {
		return "never"
	}
	if d == 0 {
		return "now"
	}
	return "in " + d.Round(time.Minute).String()
}

type wireReport struct {
	TakenAt  time.Time    `json:"at"`
	Coverage wireCoverage `json:"coverage"`
	Rows     []wireRow    `json:"rows"`
}

type wireCoverage struct {
	NodesAsked    int           `json:"nodes_asked"`
	NodesAnswered int           `json:"nodes_answered"`
	AliveMembers  int           `json:"fleet_alive"`
	Failures      []wireFailure `json:"silent,omitempty"`
}

type wireFailure struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

type wireRow struct {
	Service             string       `json:"service"`
	Region              string       `json:"region"`
	Route               string       `json:"route,omitempty"`
	Target              float64      `json:"target,omitempty"`
	Latency             string       `json:"latency,omitempty"`
	Windows             []wireWindow `json:"windows"`
	BudgetLeft          float64      `json:"budget_left"`
	SecondsToExhaustion *float64     `json:"runs_out_seconds,omitempty"`
	Alert               string       `json:"alert"`
}

type wireWindow struct {
	Window   string  `json:"window"`
	Calls    uint64  `json:"calls"`
	BadCalls uint64  `json:"bad"`
	BurnRate float64 `json:"burn_rate"`
}

func writeReportJSON(out io.Writer, report burn.Report, cover coverage) error {
	w := wireReport{TakenAt: report.Counts().TakenAt(), Rows: []wireRow{}}
	w.Coverage = wireCoverage{NodesAsked: cover.nodesAsked, NodesAnswered: cover.nodesAsked - len(cover.failures), AliveMembers: cover.aliveMembers}
	for _, s := range cover.failures {
		w.Coverage.Failures = append(w.Coverage.Failures, wireFailure{Node: s.address, Error: s.err.Error()})
	}
	for _, r := range report.Rows() {
		w.Rows = append(w.Rows, newWireRow(r))
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(w)
}

func newWireRow(r burn.Row) wireRow {
	w := wireRow{Service: r.Service(), Region: string(r.Region()), Route: r.Route(), BudgetLeft: r.BudgetLeft(), Alert: r.Alert().String()}
	if o := r.Objective(); !o.IsZero() {
		w.Target, w.Latency = o.Target(), o.Latency().String()
	}
	for _, window := range burn.Windows() {
		w.Windows = append(w.Windows, wireWindow{
			Window: window.String(), Calls: r.Calls(window), BadCalls: r.BadCalls(window), BurnRate: r.BurnRate(window),
		})
	}
	if d, ok := r.TimeToExhaustion(); ok {
		seconds := d.Seconds()
		w.SecondsToExhaustion = &seconds
	}
	return w
}
