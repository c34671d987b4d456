package timer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/timer"
)

func TestManualRunsCallsInOrder(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	clock := timer.NewManual(start)
	s := clock.Service()
	var calls []time.Duration
	recordCall := func(now time.Time) { calls = append(calls, now.Sub(start)) }
	every := s.Every(2*time.Second, recordCall)
	s.After(3*time.Second, recordCall)
	cancelled := s.After(time.Second, recordCall)
	cancelled.Close()

	clock.Advance(5 * time.Second)
	c.Assert(calls, qt.DeepEquals, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second})

	every.Close()
	clock.Advance(10 * time.Second)
	c.Assert(calls, qt.HasLen, 3)
	c.Assert(s.Now(), qt.Equals, start.Add(15*time.Second))
}

func TestCloseWaitsForRunningCall(t *testing.T) {
	s := timer.New()
	started := make(chan struct{})
	done := false
	sub := s.After(0, func(time.Time) {
		close(started)
		time.Sleep(10 * time.Millisecond)
		done = true
	})
	<-started
	sub.Close()
	qt.Assert(t, done, qt.IsTrue)
}
