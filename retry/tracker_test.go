package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/retry"
)

func TestTrackerMatchesRetries(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := retry.NewTracker()
	c.Assert(tracker.Empty(), qt.IsTrue)
	tracker.RecordFailure(at(10), 1, at(0), at(2000))
	tracker.RecordFailure(at(20), 1, at(5), at(2000))
	tracker.RecordFailure(at(20), 2, at(15), at(100))
	_, ok := tracker.Match(at(50), 3)
	c.Assert(ok, qt.IsFalse)
	for _, want := range []int{0, 5} {
		first, ok := tracker.Match(at(50), 1)
		c.Assert(ok, qt.IsTrue)
		c.Assert(first, qt.Equals, at(want))
	}
	_, ok = tracker.Match(at(50), 1)
	c.Assert(ok, qt.IsFalse, qt.Commentf("each failure is matched once"))
	_, ok = tracker.Match(at(100), 2)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the caller does not wait any longer"))
	c.Assert(tracker.Empty(), qt.IsTrue)
}

// TestTrackerIsBounded records more failures than a tracker keeps. Once these expire, there is room again.
func TestTrackerIsBounded(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	tracker := retry.NewTracker()
	const many = 20000
	for i := range uint64(many) {
		tracker.RecordFailure(start, i%(many/2), start, start.Add(time.Second))
	}
	matched := 0
	for i := range uint64(many) {
		if _, ok := tracker.Match(start, i%(many/2)); ok {
			matched++
		}
	}
	c.Assert(matched > 0 && matched < many/2, qt.IsTrue, qt.Commentf("%d matched", matched))
	for i := range uint64(many) {
		tracker.RecordFailure(start, i, start, start.Add(time.Second))
	}
	later := start.Add(2 * time.Second)
	tracker.RecordFailure(later, 1, later, later.Add(time.Second))
	_, ok := tracker.Match(later, 1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(tracker.Empty(), qt.IsTrue)
}
