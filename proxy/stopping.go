package proxy

import (
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// stoppingGrace is the time after the begin of a planned stop in which every request is still taken: callers need
// it to notice, and a request that they send in it may be cut off by the end of the process if its server is
// that slow.
const stoppingGrace = 2300 * time.Millisecond

// stopper says whether the process is about to end. It is safe for concurrent use.
type stopper struct {
	timers *timer.Service
	held   atomic.Pointer[stop] // nil until a planned end begins
}

// BeginShutdown begins a planned end: the process ends at ends at the latest.
func (s *stopper) BeginShutdown(ends time.Time) {
	s.held.Store(&stop{begun: s.timers.Now(), ends: ends})
}

// RefuseRequests refuses every further request, as the process is about to end.
func (s *stopper) RefuseRequests() { s.held.Store(&stop{ends: s.timers.Now()}) }

// stop is a planned end of the process, during which callers may go on sending.
type stop struct {
	begun time.Time
	ends  time.Time // when the process ends at the latest
}

// admits tells whether a request that may take up to limit is taken. It answers the load that goes on coming while
// too few other nodes of the failure domain are ready: who can't be answered for certain before the end is told at
// once that nothing was run.
func (s stop) admits(now time.Time, limit time.Duration) bool {
	return now.Sub(s.begun) < stoppingGrace || !now.Add(limit).After(s.ends)
}

// restartTime is how long a process that is stopped and started again takes to serve.
const restartTime = time.Second

// back returns the time after which a refused caller may find the node again.
func (s stop) back(now time.Time) time.Duration { return s.ends.Sub(now) + restartTime }
