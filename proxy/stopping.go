package proxy

import "time"

// stoppingGrace is the time after the begin of a planned stop in which every request is still taken: callers need
// it to notice, and a request that they send in it may be cut off by the end of the process if its server is
// that slow.
const stoppingGrace = 2300 * time.Millisecond

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
