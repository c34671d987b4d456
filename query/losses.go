package query

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/command"
)

const lossesLong = `Counts, from the logs of sidecars, the requests that were not answered successfully within the target of their
route, by route and cause, and ranks the causes by their total weight. Each attempt of a caller counts, and so does each call made by a server.
--worth sets the weight of a lost request of a route; the default is 1. Log lines that a node dropped under load are not counted; its
metric bambooknot_requests_lost is complete. Without FILE, lines are read from standard input.

With --runs, shows instead for what the servers' slots were used: by service, the time for which requests held a slot, by how the caller's
request ended in the end. A call that a server makes counts as the request that it belongs to. COULD is the number of requests that would have
been answered within the target if all that slot time had gone to such requests. It is an upper bound: it takes every other run for
avoidable. Slots that stood idle are not counted. --every splits the time. Then it shows the attempts by distance between the nodes, and how many of them were
turned back.

Exit codes: 0 counted; 1 a file could not be read; 2 bad arguments.`

type lossesQuery struct {
	Runs    bool          `long:"runs" description:"show for what the servers' slots were used"`
	Every   time.Duration `long:"every" value-name:"TIME" description:"with --runs: show each span of this length, such as 2s; the default is the whole time"`
	Weights []string      `long:"worth" value-name:"ROUTE=WEIGHT" description:"weight of a lost request of a route; may be repeated"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func init() {
	command.Register("losses", "Rank the causes of lost requests", lossesLong, func() command.Runner { return &lossesQuery{} })
}

// lossRow counts the requests of one route that were lost for one cause.
type lossRow struct {
	cause        string
	route        string
	count        int
	weightedLoss float64
}

func (q *lossesQuery) Run(env command.Env, _ []string) int {
	weights, err := parseWeights(q.Weights)
	if err != nil {
		return command.FailUsage(env, err)
	}
	if q.Every < 0 || q.Every > 0 && !q.Runs {
		return command.FailUsage(env, fmt.Errorf("--every %v: must not be negative and goes with --runs", q.Every))
	}
	lines, err := readLogs(q.Args.Files)
	if err != nil {
		return command.FailRequest(env, err)
	}
	if q.Runs {
		return q.writeRuns(env, lines)
	}
	if err := writeLosses(env, countLosses(lines, weights)); err != nil {
		return command.FailRequest(env, err)
	}
	return command.ExitOK
}

func (q *lossesQuery) writeRuns(env command.Env, lines []logLine) int {
	if err := writeUses(env, countUses(lines, q.Every)); err != nil {
		return command.FailRequest(env, err)
	}
	if err := writeAttempts(env, countAttempts(lines)); err != nil {
		return command.FailRequest(env, err)
	}
	return command.ExitOK
}

func parseWeights(texts []string) (map[string]float64, error) {
	weights := make(map[string]float64)
	for _, text := range texts {
		route, number, _ := strings.Cut(text, "=")
		weight, err := strconv.ParseFloat(number, 64)
		if err != nil || route == "" || weight < 0 {
			return nil, fmt.Errorf("--worth %q: must be ROUTE=WEIGHT with a weight of at least 0", text)
		}
		weights[route] = weight
	}
	return weights, nil
}

// countLosses returns a row per cause and route, the greatest weighted loss first.
func countLosses(lines []logLine, weights map[string]float64) []lossRow {
	type key struct{ cause, route string }
	rows := make(map[key]*lossRow)
	for _, l := range lines {
		k := key{cause: l.text("loss"), route: l.text("route")}
		if k.cause == "" {
			continue
		}
		row := rows[k]
		if row == nil {
			row = &lossRow{cause: k.cause, route: k.route}
			rows[k] = row
		}
		weight, ok := weights[k.route]
		if !ok {
			weight = 1
		}
		row.count++
		row.weightedLoss += weight
	}
	ranked := make([]lossRow, 0, len(rows))
	for _, row := range rows {
		ranked = append(ranked, *row)
	}
	slices.SortFunc(ranked, func(a, b lossRow) int {
		return cmp.Or(cmp.Compare(b.weightedLoss, a.weightedLoss), cmp.Compare(a.cause, b.cause), cmp.Compare(a.route, b.route))
	})
	return ranked
}

func writeLosses(env command.Env, rows []lossRow) error {
	if len(rows) == 0 {
		fmt.Fprintln(env.Out, "no request was lost")
		return nil
	}
	total := 0.0
	for _, row := range rows {
		total += row.weightedLoss
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CAUSE\tROUTE\tREQUESTS\tWORTH\tSHARE")
	for _, row := range rows {
		route := row.route
		if route == "" {
			route = "(unknown)"
		}
		share := 0.0
		if total > 0 {
			share = row.weightedLoss / total
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%g\t%s\n", row.cause, route, row.count, row.weightedLoss, percent(share))
	}
	return w.Flush()
}
