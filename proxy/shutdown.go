package proxy

import (
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// shutdownGrace is the time after the start of a planned shutdown during which every request is still accepted, because
// callers need it to notice the shutdown. A request accepted in this time may be cut off by the end of the process if its
// server is slow.
const shutdownGrace = 2300 * time.Millisecond

// shutdownState holds the planned shutdown of the process, if any. It is safe for concurrent use.
type shutdownState struct {
	timers          *timer.Service
	plannedShutdown atomic.Pointer[shutdown] // nil until a shutdown starts
}

// BeginShutdown starts a planned shutdown, in which requests that might not be answered in time are refused. The process
// exits at endsAt at the latest.
func (s *shutdownState) BeginShutdown(endsAt time.Time) {
	s.plannedShutdown.Store(&shutdown{startedAt: s.timers.Now(), endsAt: endsAt})
}

// RefuseRequests makes the node refuse all further requests, because the process is about to exit.
func (s *shutdownState) RefuseRequests() { s.plannedShutdown.Store(&shutdown{endsAt: s.timers.Now()}) }

// shutdown is a planned exit of the process. Callers may keep sending requests until then.
type shutdown struct {
	startedAt time.Time
	endsAt    time.Time // latest time at which the process exits
}

// admits reports whether a request with the given timeout is accepted. Callers keep sending while too few other nodes of
// the failure domain are ready. A request that is not certain to be answered before the process exits is refused
// immediately, with the guarantee that it has not run.
func (s shutdown) admits(now time.Time, timeout time.Duration) bool {
	return now.Sub(s.startedAt) < shutdownGrace || !now.Add(timeout).After(s.endsAt)
}

// restartTime is the time from the exit of the process until its restart serves requests.
const restartTime = time.Second

// retryAfter returns the delay after which a refused caller can expect the node to serve again.
func (s shutdown) retryAfter(now time.Time) time.Duration { return s.endsAt.Sub(now) + restartTime }
