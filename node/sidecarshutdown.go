package node

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Times of a planned end, from SIGTERM on.
const (
	// noticeTime is how long callers and other nodes have to notice: two readiness checks a second apart.
	noticeTime = 2300 * time.Millisecond
	// quietTime is how long nothing may be in flight before the node ends.
	quietTime = 300 * time.Millisecond
	// killSlack is kept before the time at which the process is killed.
	killSlack = 600 * time.Millisecond
	// drainPoll is the time between two looks for requests in flight.
	drainPoll = 50 * time.Millisecond
)

// Shutdown tells callers and other nodes, serves on until they have noticed and all requests are answered, and
// closes. It takes less than the grace of the settings. It tells whether requests were cut off.
func (n *Sidecar) Shutdown() (cut int) {
	begun := n.clock.Now()
	n.stages.fire(eventDrain)
	n.log.Info().Str("kind", "stopping").Int("active", n.callers.ActiveRequests()).Msg("node stops")
	if b, ok := n.owner.Backend(); ok {
		n.queue.post(message.NewServerUpdate(b.Server().WithState(member.ServerDraining)))
	}
	last := begun.Add(n.settings.Load().GracePeriod() - killSlack)
	n.ingress.BeginShutdown(last)
	n.owner.BeginShutdown(last)
	wait(n.clock, noticeTime)
	n.callers.Drain()
	n.inner.Drain()
	n.awaitQuiet(last, quietTime)
	n.ingress.RefuseRequests()
	n.owner.RefuseRequests()
	n.awaitQuiet(last, 0) // a request may have arrived just before
	cut = n.callers.ActiveRequests()
	n.queue.post(message.LeaveRequest{})
	wait(n.clock, leaveTime/3)
	n.log.Info().Str("kind", "stopped").Int("cut", cut).Dur("took", n.clock.Now().Sub(begun)).Msg("node stopped")
	n.Close()
	return cut
}

// awaitQuiet waits until nothing has been in flight for a time, but not beyond last.
func (n *Sidecar) awaitQuiet(last time.Time, quiet time.Duration) {
	since := n.clock.Now()
	for now := since; now.Before(last); now = n.clock.Now() {
		if n.callers.ActiveRequests() > 0 || n.inner.ActiveRequests() > 0 {
			since = now
		} else if now.Sub(since) >= quiet {
			return
		}
		wait(n.clock, drainPoll)
	}
}
