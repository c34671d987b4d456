package burn

import (
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Window is a time range up to now over which the burn rate is averaged.
type Window int

// Windows of a report.
const (
	Window5m Window = iota
	Window30m
	Window1h
	Window6h
	Window3d
	windowCount
)

// BudgetWindow is the window over which the error budget is computed.
const BudgetWindow = Window3d

var windows = [windowCount]struct {
	name   string
	length time.Duration
	ring   int // index in resolutions
}{
	{"5m", 5 * time.Minute, 0},
	{"30m", 30 * time.Minute, 0},
	{"1h", time.Hour, 0},
	{"6h", 6 * time.Hour, 1},
	{"3d", 72 * time.Hour, 2},
}

// Windows returns all windows, shortest first.
func Windows() []Window { return []Window{Window5m, Window30m, Window1h, Window6h, Window3d} }

// String returns the length of the window, such as "5m".
func (w Window) String() string { return windows[w].name }

// Length returns the length of the window. The incomplete newest bucket is counted in addition.
func (w Window) Length() time.Duration { return windows[w].length }

// oldestBucketStart returns the start in Unix seconds of the oldest bucket in the window that ends at end.
func (w Window) oldestBucketStart(end time.Time) int64 {
	width := int64(resolutions[windows[w].ring].bucketWidth / time.Second)
	return end.Unix() - end.Unix()%width - int64(w.Length()/time.Second)
}

// Alert is the urgency of a burn rate.
type Alert uint8

// Alerts, least urgent first.
const (
	AlertNone Alert = iota
	AlertTicket
	AlertPage
)

// String returns the name of the alert as printed in reports.
func (a Alert) String() string {
	return [...]string{"none", "ticket", "page"}[a]
}

// alertRules are multiwindow burn rate alerts. The long window shows that the burn is significant, the short
// one that it is still going on. The rates are those of the Google SRE Workbook, chapter 5, for a budget of
// 30 days.
var alertRules = [...]struct {
	short, long Window
	minBurnRate float64
	alert       Alert
}{
	{Window5m, Window1h, 14.4, AlertPage},
	{Window30m, Window6h, 6, AlertPage},
	{Window6h, Window3d, 1, AlertTicket},
}

// callTotals sums calls, bad calls and the error budget.
type callTotals struct {
	calls           uint64
	badCalls        uint64
	allowedBadCalls float64 // the error budget
}

func (s *callTotals) add(calls, bad uint64, o record.Objective) {
	s.calls += calls
	s.badCalls += bad
	s.allowedBadCalls += float64(calls) * (1 - o.Target())
}

// burnRate returns the ratio of bad calls to allowed bad calls, 0 without calls.
func (s callTotals) burnRate() float64 {
	if s.allowedBadCalls == 0 {
		return 0
	}
	return float64(s.badCalls) / s.allowedBadCalls
}

// sumWindow counts the calls of a window: those in its complete buckets and in the incomplete newest one.
func sumWindow(s series, w Window, end time.Time) (calls, bad uint64) {
	oldest := w.oldestBucketStart(end)
	for _, b := range s.rings[windows[w].ring] {
		if b.start >= oldest {
			calls += b.calls
			bad += b.badCalls
		}
	}
	return calls, bad
}
