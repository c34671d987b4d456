package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShutdownAdmits checks a shutdown of 5.4 s, as with a grace period of the platform of 6 s: requests are refused once
// their response could come after the exit of the process, but not before callers have had time to notice the shutdown.
func TestShutdownAdmits(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	s := shutdown{startedAt: startedAt, endsAt: startedAt.Add(5400 * time.Millisecond)}
	for _, test := range []struct {
		after, timeout time.Duration
		want           bool
	}{
		{0, 1200 * time.Millisecond, true},
		{2 * time.Second, 4 * time.Second, true},
		{3 * time.Second, 1200 * time.Millisecond, true},
		{4200 * time.Millisecond, 1200 * time.Millisecond, true},
		{4201 * time.Millisecond, 1200 * time.Millisecond, false},
		{3 * time.Second, 4 * time.Second, false},
		{5 * time.Second, 100 * time.Millisecond, true},
	} {
		qt.Check(t, s.admits(startedAt.Add(test.after), test.timeout), qt.Equals, test.want, qt.Commentf("%v after SIGTERM, timeout %v", test.after, test.timeout))
	}
	qt.Check(t, s.retryAfter(startedAt.Add(5*time.Second)), qt.Equals, 1400*time.Millisecond)
}

func TestRefusingShutdownAdmitsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	refusing := shutdown{endsAt: now}
	qt.Check(t, refusing.admits(now, time.Millisecond), qt.IsFalse)
}
