package burn

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

var (
	startTime = time.Date(2026, 12, 3, 10, 0, 30, 0, time.UTC)
	objective = record.NewObjective(0.99, 100*time.Millisecond)
)

func route(name, service string, o record.Objective) record.Route {
	return record.NewRoute2(name, "/"+name, service, true, 0, nil, o)
}

func nodeKey(i int) member.Key {
	return member.NewKey(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)), 1)
}

func newCounter(i int, clock *timer.Manual) *Counter {
	return New(nodeKey(i), member.Region([]string{"jadran", "kontinent"}[i%2]), clock.Service(), tally.NoopScope)
}

// call is one call of the reference model, which keeps every call.
type call struct {
	at   time.Time
	good bool
}

// modelWindow counts the calls of a window by checking each call.
func modelWindow(calls []call, w Window, width time.Duration, now time.Time) (total, bad uint64) {
	oldest := now.Truncate(width).Add(-w.Length())
	for _, c := range calls {
		if c.at.Before(oldest) {
			continue
		}
		total++
		if !c.good {
			bad++
		}
	}
	return total, bad
}

type sumFunc func(series, Window, time.Time) (uint64, uint64)

// modelMismatch passes calls at random times to a counter and to the model, and describes the first window
// in which their counts differ.
func modelMismatch(t *rapid.T, sum sumFunc) string {
	clock := timer.NewManual(startTime)
	c := newCounter(0, clock)
	r := route("r", "s", objective)
	var calls []call
	for range rapid.IntRange(0, 60).Draw(t, "calls") {
		minutes := rapid.SampledFrom([]int{0, 0, 1, 4, 17, 59, 61, 300, 1441}).Draw(t, "minutes")
		clock.Advance(time.Duration(minutes)*time.Minute + time.Duration(rapid.IntRange(0, 59).Draw(t, "seconds"))*time.Second)
		ok, late := rapid.Bool().Draw(t, "ok"), rapid.Bool().Draw(t, "late")
		elapsed := objective.Latency()
		if late {
			elapsed++
		}
		c.Observe(r, ok, elapsed)
		calls = append(calls, call{at: clock.Now(), good: ok && !late})
	}
	clock.Advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "idle")) * time.Minute)
	counts := c.Counts([]record.Route{r})
	for _, w := range Windows() {
		width := resolutions[windows[w].ring].bucketWidth
		wantCalls, wantBad := modelWindow(calls, w, width, clock.Now())
		var gotCalls, gotBad uint64
		if len(counts.series) > 0 {
			gotCalls, gotBad = sum(counts.series[0], w, counts.takenAt)
		}
		if gotCalls != wantCalls || gotBad != wantBad {
			return fmt.Sprintf("window %s: %d of %d bad; want %d of %d", w, gotBad, gotCalls, wantBad, wantCalls)
		}
	}
	return ""
}

func TestWindowsAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if d := modelMismatch(t, sumWindow); d != "" {
			t.Fatal(d)
		}
	})
}

func TestWindowsAgreeWithModelDetectsBrokenSum(t *testing.T) {
	shiftedSum := func(s series, w Window, end time.Time) (uint64, uint64) {
		return sumWindow(s, w, end.Add(-w.Length()))
	}
	qt.Assert(t, failsForAnyExample(func(t *rapid.T) string { return modelMismatch(t, shiftedSum) }), qt.IsTrue)
}

// failsForAnyExample reports whether a property fails for at least one of 100 fixed examples.
func failsForAnyExample(property func(*rapid.T) string) bool {
	example := rapid.Custom(func(t *rapid.T) string { return property(t) })
	for seed := range 100 {
		if example.Example(seed) != "" {
			return true
		}
	}
	return false
}

// drawCounts draws the counts of one node.
func drawCounts(t *rapid.T, node int) Counts {
	clock := timer.NewManual(startTime.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "skew")) * time.Second))
	c := newCounter(node, clock)
	routes := []record.Route{route("a", "s", objective), route("b", "s", objective), route("c", "u", record.NewObjective(0.9, time.Second))}
	for range rapid.IntRange(0, 12).Draw(t, "calls") {
		clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "minutes")) * time.Minute)
		c.Observe(rapid.SampledFrom(routes).Draw(t, "route"), rapid.Bool().Draw(t, "ok"), time.Millisecond)
	}
	return c.Counts(routes)
}

type mergeFunc func(a, b Counts) Counts

// mergeViolation describes the first algebraic property that merge violates.
func mergeViolation(t *rapid.T, merge mergeFunc) string {
	a, b, c := drawCounts(t, 0), drawCounts(t, 2), drawCounts(t, 1) // a and b are in one region
	if !reflect.DeepEqual(merge(a, b), merge(b, a)) {
		return "not commutative"
	}
	if !reflect.DeepEqual(merge(merge(a, b), c), merge(a, merge(b, c))) {
		return "not associative"
	}
	if callTotal(merge(a, b)) != callTotal(a)+callTotal(b) {
		return "sum of calls not preserved"
	}
	if !reflect.DeepEqual(merge(a, Counts{}).series, merge(Counts{}, a).series) || callTotal(merge(a, Counts{})) != callTotal(a) {
		return "zero counts are not neutral"
	}
	return ""
}

// callTotal sums calls and bad calls of all buckets, calls in the upper 32 bits.
func callTotal(c Counts) (sum uint64) {
	for _, s := range c.series {
		for _, ring := range s.rings {
			for _, b := range ring {
				sum += b.calls<<32 + b.badCalls
			}
		}
	}
	return sum
}

func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if d := mergeViolation(t, Merge); d != "" {
			t.Fatal(d)
		}
	})
}

func TestMergeDetectsBrokenMerge(t *testing.T) {
	for _, test := range []struct {
		name  string
		merge mergeFunc
	}{
		{"keeps the first time", func(a, b Counts) Counts {
			out := Merge(a, b)
			out.takenAt = a.takenAt
			return out
		}},
		{"keeps the first of equal series", func(a, b Counts) Counts {
			out := Merge(a, b)
			for i, s := range out.series {
				for _, first := range a.series {
					if compareSeries(s, first) == 0 {
						out.series[i] = first
					}
				}
			}
			return out
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, failsForAnyExample(func(t *rapid.T) string { return mergeViolation(t, test.merge) }), qt.IsTrue)
		})
	}
}

func TestCountsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Merge(drawCounts(t, 0), drawCounts(t, 2))
		data, err := EncodeCounts(c)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeCounts(data)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(got) != fmt.Sprint(c) {
			t.Fatalf("\ngot  %v\nwant %v", got, c)
		}
	})
}

func TestDecodeCountsRejectsInvalid(t *testing.T) {
	const series = `{"nodes":[],"at":"2026-12-03T10:00:00Z","series":[{"target":0.9,"latency":"1s","minutes":%s}]}`
	for _, minutes := range []string{`[[61,1,0]]`, `[[60,1,2]]`, `[[60,1,0],[60,1,0]]`, `[[120,1,0],[60,1,0]]`, `[[18446744073709551600,1,0]]`} {
		_, err := DecodeCounts(fmt.Appendf(nil, series, minutes))
		qt.Check(t, err, qt.ErrorMatches, `route "": bucket .*`, qt.Commentf("%s", minutes))
	}
	_, err := DecodeCounts([]byte(`{"series":[{"target":1,"latency":"1s"}]}`))
	qt.Check(t, err, qt.ErrorMatches, `.*target 1; .*`)
}

// rowSumViolation describes the first row of a service and region that is not the sum of its routes.
func rowSumViolation(t *rapid.T, makeReport func(Counts) Report) string {
	c := Merge(Merge(drawCounts(t, 0), drawCounts(t, 1)), drawCounts(t, 2))
	rows := makeReport(c).Rows()
	for _, w := range Windows() {
		for i := 0; i < len(rows); {
			head := rows[i]
			var calls, bad uint64
			var budget float64
			for i++; i < len(rows) && rows[i].Route() != ""; i++ {
				r := rows[i]
				if r.Service() != head.Service() || r.Region() != head.Region() {
					return "route row under another service or region"
				}
				calls += r.Calls(w)
				bad += r.BadCalls(w)
				budget += float64(r.Calls(w)) * (1 - r.Objective().Target())
			}
			if head.Route() != "" || head.Calls(w) != calls || head.BadCalls(w) != bad {
				return "calls differ from the sum over the routes"
			}
			if math.Abs(head.BurnRate(w)*budget-float64(bad)) > 1e-9 {
				return "burn rate differs from bad calls divided by the budget"
			}
		}
	}
	return ""
}

func TestServiceRowsSumRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if d := rowSumViolation(t, NewReport); d != "" {
			t.Fatal(d)
		}
	})
}

func TestServiceRowsSumRoutesDetectsBrokenReport(t *testing.T) {
	dropsRoute := func(c Counts) Report {
		r := NewReport(c)
		if n := len(r.rows); n > 2 {
			r.rows = append(r.rows[:1:1], r.rows[2:]...)
		}
		return r
	}
	qt.Assert(t, failsForAnyExample(func(t *rapid.T) string { return rowSumViolation(t, dropsRoute) }), qt.IsTrue)
}

func TestRows(t *testing.T) {
	clock := timer.NewManual(startTime)
	c := newCounter(0, clock)
	a, b := route("a", "s", objective), route("b", "s", record.NewObjective(0.9, time.Second))
	for i := range 1000 {
		c.Observe(a, i%50 != 0, time.Millisecond) // 20 bad calls, 10 allowed
		c.Observe(b, i%20 != 0, time.Millisecond) // 50 bad calls, 100 allowed
	}
	rows := NewReport(c.Counts([]record.Route{a, b})).Rows()
	qt.Assert(t, rows, qt.HasLen, 3)
	for i, want := range []struct {
		route            string
		burnRate         float64
		budgetLeft       float64
		timeToExhaustion time.Duration
		never            bool
		alert            Alert
	}{
		{"", 70.0 / 110, 40.0 / 110, 72 * time.Hour * 4 / 7, false, AlertNone},
		{"a", 2, -1, 0, false, AlertTicket},
		{"b", 0.5, 0.5, 72 * time.Hour, false, AlertNone},
	} {
		qt.Check(t, rows[i].Route(), qt.Equals, want.route)
		for _, w := range Windows() {
			qt.Check(t, math.Abs(rows[i].BurnRate(w)-want.burnRate) < 1e-9, qt.IsTrue, qt.Commentf("%v", rows[i].BurnRate(w)))
		}
		qt.Check(t, math.Abs(rows[i].BudgetLeft()-want.budgetLeft) < 1e-9, qt.IsTrue)
		out, runsOut := rows[i].TimeToExhaustion()
		qt.Check(t, runsOut, qt.Equals, !want.never)
		qt.Check(t, (out-want.timeToExhaustion).Abs() < time.Second, qt.IsTrue, qt.Commentf("%v", out))
		qt.Check(t, rows[i].Alert(), qt.Equals, want.alert)
	}
}

func TestAlerts(t *testing.T) {
	for _, test := range []struct {
		name       string
		idleTime   time.Duration // between the bad calls and the report
		bad, calls int
		want       Alert
	}{
		{"no calls", 0, 0, 0, AlertNone},
		{"within budget", 0, 1, 101, AlertNone},
		{"slow burn", 0, 2, 100, AlertTicket},
		{"just below medium burn", 0, 599, 10000, AlertTicket},
		{"just above medium burn", 0, 601, 10000, AlertPage},
		{"fast burn", 0, 15, 100, AlertPage},
		{"fast burn over 10 minutes ago", 10 * time.Minute, 15, 100, AlertPage},
		{"fast burn over 40 minutes ago", 40 * time.Minute, 15, 100, AlertTicket},
		{"fast burn over 7 hours ago", 7 * time.Hour, 15, 100, AlertNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := timer.NewManual(startTime)
			c := newCounter(0, clock)
			r := route("r", "s", objective)
			for i := range test.calls {
				c.Observe(r, i >= test.bad, time.Millisecond)
			}
			clock.Advance(test.idleTime)
			qt.Assert(t, NewReport(c.Counts([]record.Route{r})).WorstAlert(), qt.Equals, test.want)
		})
	}
}

func TestObjectiveChangeResetsCounts(t *testing.T) {
	clock := timer.NewManual(startTime)
	c := newCounter(0, clock)
	old, changed := route("r", "s", objective), route("r", "s", record.NewObjective(0.9, time.Second))
	c.Observe(old, false, time.Millisecond)
	qt.Assert(t, c.Counts([]record.Route{changed}).series, qt.HasLen, 0)
	c.Observe(changed, true, time.Millisecond)
	series := c.Counts([]record.Route{changed}).series
	qt.Assert(t, series, qt.HasLen, 1)
	calls, bad := sumWindow(series[0], Window5m, startTime)
	qt.Assert(t, []uint64{calls, bad}, qt.DeepEquals, []uint64{1, 0})
	qt.Assert(t, c.Counts(nil).series, qt.HasLen, 0)
	qt.Assert(t, c.routeCount.Load(), qt.Equals, int64(0))
}

func TestRouteCountIsBounded(t *testing.T) {
	c := newCounter(0, timer.NewManual(startTime))
	var routes []record.Route
	for i := range MaxRoutes + 10 {
		routes = append(routes, route(fmt.Sprint("r", i), "s", objective))
		c.Observe(routes[i], true, 0)
	}
	c.Observe(route("none", "s", record.Objective{}), true, 0)
	qt.Assert(t, c.Counts(routes).series, qt.HasLen, MaxRoutes)
}

func TestConcurrentObserve(t *testing.T) {
	c := newCounter(0, timer.NewManual(startTime))
	r := route("r", "s", objective)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				c.Observe(r, true, 0)
			}
		})
	}
	wg.Wait()
	calls, _ := sumWindow(c.Counts([]record.Route{r}).series[0], Window3d, startTime)
	qt.Assert(t, calls, qt.Equals, uint64(8000))
}

func BenchmarkObserve(b *testing.B) {
	c := New(nodeKey(0), "jadran", timer.New(), tally.NoopScope)
	r := route("r", "s", objective)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Observe(r, true, time.Millisecond)
		}
	})
}

// BenchmarkNewRoute measures the memory per counted route.
func BenchmarkNewRoute(b *testing.B) {
	r := route("r", "s", objective)
	b.ReportAllocs()
	for b.Loop() {
		newRouteCounter(r, tally.NoopScope)
	}
}
