package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// Row holds the burn rates of one service in one region, or of one of its routes.
type Row struct {
	service   string
	region    member.Region
	route     string
	objective record.Objective
	totals    [windowCount]callTotals
}

// Service returns the service.
func (r Row) Service() string { return r.service }

// Region returns the region of the nodes that counted the calls.
func (r Row) Region() member.Region { return r.region }

// Route returns the route, or an empty string for all routes of the service.
func (r Row) Route() string { return r.route }

// Objective returns the objective of the route, or the zero objective for all routes of the service.
func (r Row) Objective() record.Objective { return r.objective }

// Calls returns the calls within a window.
func (r Row) Calls(w Window) uint64 { return r.totals[w].calls }

// BadCalls returns the bad calls within a window.
func (r Row) BadCalls(w Window) uint64 { return r.totals[w].badCalls }

// BurnRate returns the burn rate within a window: 1 uses up the budget exactly, 0 means no bad call.
func (r Row) BurnRate(w Window) float64 { return r.totals[w].burnRate() }

// BudgetLeft returns the share of the budget of BudgetWindow that is left. It is negative when overspent.
func (r Row) BudgetLeft() float64 { return 1 - r.BurnRate(BudgetWindow) }

// TimeToExhaustion returns the time until the budget is exhausted at the burn rate of the last hour, and false
// if that rate is 0. It does not account for old calls leaving the window.
func (r Row) TimeToExhaustion() (time.Duration, bool) {
	if r.BudgetLeft() <= 0 {
		return 0, true
	}
	rate := r.BurnRate(Window1h)
	if rate == 0 {
		return 0, false
	}
	return time.Duration(r.BudgetLeft() / rate * float64(BudgetWindow.Length())), true
}

// Alert returns the most urgent alert whose burn rate is reached in both of its windows.
func (r Row) Alert() Alert {
	worst := AlertNone
	for _, rule := range alertRules {
		if r.BurnRate(rule.short) >= rule.minBurnRate && r.BurnRate(rule.long) >= rule.minBurnRate {
			worst = max(worst, rule.alert)
		}
	}
	return worst
}

func (r *Row) add(s series, takenAt time.Time) {
	for _, w := range Windows() {
		calls, bad := sumWindow(s, w, takenAt)
		r.totals[w].add(calls, bad, s.objective)
	}
}

// Report holds the burn rates computed from counts.
type Report struct {
	counts Counts
	rows   []Row
}

// NewReport computes the burn rates of all services, regions and routes in counts.
func NewReport(c Counts) Report {
	r := Report{counts: c}
	for _, group := range groupByServiceAndRegion(c.series) {
		total := Row{service: group[0].service, region: group[0].region}
		details := make([]Row, 0, len(group))
		for _, s := range group {
			detail := Row{service: s.service, region: s.region, route: s.route, objective: s.objective}
			detail.add(s, c.takenAt)
			total.add(s, c.takenAt)
			details = append(details, detail)
		}
		r.rows = append(append(r.rows, total), details...)
	}
	return r
}

// groupByServiceAndRegion splits sorted series by service and region.
func groupByServiceAndRegion(sorted []series) [][]series {
	var out [][]series
	for len(sorted) > 0 {
		n := 1
		for n < len(sorted) && sorted[n].service == sorted[0].service && sorted[n].region == sorted[0].region {
			n++
		}
		out, sorted = append(out, sorted[:n]), sorted[n:]
	}
	return out
}

// Counts returns the counts from which the report is computed.
func (r Report) Counts() Counts { return r.counts }

// Rows returns the rows ordered by service and region, each service before its routes. The caller
// must not change the slice.
func (r Report) Rows() []Row { return r.rows }

// WorstAlert returns the most urgent alert of all rows.
func (r Report) WorstAlert() Alert {
	worst := AlertNone
	for _, row := range r.rows {
		worst = max(worst, row.Alert())
	}
	return worst
}

// Point is the burn rate of one bucket.
type Point struct {
	start    time.Time
	burnRate float64
}

// Start returns the start of the bucket.
func (p Point) Start() time.Time { return p.start }

// BurnRate returns the burn rate within the bucket.
func (p Point) BurnRate() float64 { return p.burnRate }

// TimeSeries is the burn rate of one service in one region over time.
type TimeSeries struct {
	service string
	region  member.Region
	points  []Point
}

// Service returns the service.
func (s TimeSeries) Service() string { return s.service }

// Region returns the region.
func (s TimeSeries) Region() member.Region { return s.region }

// Points returns the burn rate of each bucket with calls, oldest first.
func (s TimeSeries) Points() []Point { return s.points }

// TimeSeries returns the burn rates over the length of a window, one point for each bucket of the ring that
// serves the window.
func (r Report) TimeSeries(w Window) []TimeSeries {
	var all []TimeSeries
	for _, group := range groupByServiceAndRegion(r.counts.series) {
		all = append(all, newTimeSeries(group, w, r.counts.takenAt))
	}
	return all
}

func newTimeSeries(group []series, w Window, takenAt time.Time) TimeSeries {
	totals := make(map[int64]*callTotals)
	oldest := w.oldestBucketStart(takenAt)
	for _, s := range group {
		for _, b := range s.rings[windows[w].ring] {
			if b.start < oldest {
				continue
			}
			if totals[b.start] == nil {
				totals[b.start] = &callTotals{}
			}
			totals[b.start].add(b.calls, b.badCalls, s.objective)
		}
	}
	out := TimeSeries{service: group[0].service, region: group[0].region}
	for start, s := range totals {
		out.points = append(out.points, Point{start: time.Unix(start, 0).UTC(), burnRate: s.burnRate()})
	}
	slices.SortFunc(out.points, func(a, b Point) int { return cmp.Compare(a.start.Unix(), b.start.Unix()) })
	return out
}
