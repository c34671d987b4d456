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
	text := fmt.Sprintf("covers %d of %d nodes asked", c.asked-len(c.silent), c.asked)
	if c.alive > 0 {
		text += fmt.Sprintf("; %d nodes of the fleet are alive", c.alive)
	}
	return text
}

func writeReportTable(out io.Writer, report burn.Report, cover coverage) error {
	fmt.Fprintln(out, cover)
	if len(cover.silent) == cover.asked {
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
		fmt.Fprintf(w, "\t%s\t%s\t%s\n", percent(r.BudgetLeft()), runsOutText(r), r.Alert())
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

// percent prints a share with up to four decimals, as 99.95%.
func percent(share float64) string {
	return fmt.Sprintf("%v%%", math.Round(share*1e6)/1e4)
}

func runsOutText(r burn.Row) string {
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
	At       time.Time    `json:"at"`
	Coverage wireCoverage `json:"coverage"`
	Rows     []wireRow    `json:"rows"`
}

type wireCoverage struct {
	Asked    int          `json:"nodes_asked"`
	Answered int          `json:"nodes_answered"`
	Alive    int          `json:"fleet_alive"`
	Silent   []wireSilent `json:"silent,omitempty"`
}

type wireSilent struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

type wireRow struct {
	Service        string       `json:"service"`
	Region         string       `json:"region"`
	Route          string       `json:"route,omitempty"`
	Target         float64      `json:"target,omitempty"`
	Latency        string       `json:"latency,omitempty"`
	Windows        []wireWindow `json:"windows"`
	Left           float64      `json:"budget_left"`
	RunsOutSeconds *float64     `json:"runs_out_seconds,omitempty"`
	Alert          string       `json:"alert"`
}

type wireWindow struct {
	Window string  `json:"window"`
	Calls  uint64  `json:"calls"`
	Bad    uint64  `json:"bad"`
	Rate   float64 `json:"burn_rate"`
}

func writeReportJSON(out io.Writer, report burn.Report, cover coverage) error {
	w := wireReport{At: report.Counts().TakenAt(), Rows: []wireRow{}}
	w.Coverage = wireCoverage{Asked: cover.asked, Answered: cover.asked - len(cover.silent), Alive: cover.alive}
	for _, s := range cover.silent {
		w.Coverage.Silent = append(w.Coverage.Silent, wireSilent{Node: s.address, Error: s.err.Error()})
	}
	for _, r := range report.Rows() {
		w.Rows = append(w.Rows, newWireRow(r))
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(w)
}

func newWireRow(r burn.Row) wireRow {
	w := wireRow{Service: r.Service(), Region: string(r.Region()), Route: r.Route(), Left: r.BudgetLeft(), Alert: r.Alert().String()}
	if o := r.Objective(); !o.IsZero() {
		w.Target, w.Latency = o.Target(), o.Latency().String()
	}
	for _, window := range burn.Windows() {
		w.Windows = append(w.Windows, wireWindow{
			Window: window.String(), Calls: r.Calls(window), Bad: r.BadCalls(window), Rate: r.BurnRate(window),
		})
	}
	if d, ok := r.TimeToExhaustion(); ok {
		seconds := d.Seconds()
		w.RunsOutSeconds = &seconds
	}
	return w
}
