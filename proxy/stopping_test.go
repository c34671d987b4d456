package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStopAdmits holds the rule against the times of a stop with a grace of 6 s: callers that may go on sending are
// refused once their answer could come after the end, and not before they can have noticed.
func TestStopAdmits(t *testing.T) {
	begun := time.Unix(1000, 0)
	s := stop{begun: begun, ends: begun.Add(5400 * time.Millisecond)}
	for _, test := range []struct {
		after, limit time.Duration
		want         bool
	}{
		{0, 1200 * time.Millisecond, true},
		{2 * time.Second, 4 * time.Second, true},
		{3 * time.Second, 1200 * time.Millisecond, true},
		{4200 * time.Millisecond, 1200 * time.Millisecond, true},
		{4201 * time.Millisecond, 1200 * time.Millisecond, false},
		{3 * time.Second, 4 * time.Second, false},
		{5 * time.Second, 100 * time.Millisecond, true},
	} {
		qt.Check(t, s.admits(begun.Add(test.after), test.limit), qt.Equals, test.want, qt.Commentf("%v after SIGTERM with %v left", test.after, test.limit))
	}
	qt.Check(t, s.back(begun.Add(5*time.Second)), qt.Equals, 1400*time.Millisecond)
}

func TestSealedStopAdmitsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	sealed := stop{ends: now}
	qt.Check(t, sealed.admits(now, time.Millisecond), qt.IsFalse)
}
