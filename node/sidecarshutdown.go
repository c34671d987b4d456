package node

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Times of a planned shutdown, which starts with SIGTERM.
const (
	// shutdownNoticeTime is the time in which callers and other nodes notice the shutdown: two readiness checks a second
	// apart.
	shutdownNoticeTime = 2300 * time.Millisecond
	// requiredIdleTime is the time without requests in flight after which the node stops.
	requiredIdleTime = 300 * time.Millisecond
	// killMargin is the time between the end of the shutdown and the platform's kill of the process.
	killMargin = 600 * time.Millisecond
	// drainPollPeriod is the time between two checks for requests in flight.
	drainPollPeriod = 50 * time.Millisecond
)

// Shutdown announces the shutdown to callers and other nodes, continues to serve until they have noticed and all requests
// are answered, and closes the node. It takes less time than the grace period of the settings. It returns the number of
// requests that were aborted.
func (n *Sidecar) Shutdown() (aborted int) {
	begun := n.clock.Now()
	n.lifecycle.transition(eventDrain)
	n.log.Info().Str("kind", "stopping").Int("active", n.callerServer.ActiveRequests()).Msg("node is stopping")
	if b, ok := n.owner.Backend(); ok {
		n.queue.post(message.NewServerUpdate(b.Server().WithState(member.ServerDraining)))
	}
	deadline := begun.Add(n.settings.Load().GracePeriod() - killMargin)
	n.ingress.BeginShutdown(deadline)
	n.owner.BeginShutdown(deadline)
	sleep(n.clock, shutdownNoticeTime)
	n.callerServer.Drain()
	n.peerServer.Drain()
	n.awaitIdle(deadline, requiredIdleTime)
	n.ingress.RefuseRequests()
	n.owner.RefuseRequests()
	n.awaitIdle(deadline, 0) // a request may have arrived just before RefuseRequests
	aborted = n.callerServer.ActiveRequests()
	n.queue.post(message.LeaveRequest{})
	sleep(n.clock, leaveNoticeTime/3)
	n.log.Info().Str("kind", "stopped").Int("cut", aborted).Dur("took", n.clock.Now().Sub(begun)).Msg("node stopped")
	n.Close()
	return aborted
}

// awaitIdle waits until no request has been in flight for the given time, or until the deadline.
func (n *Sidecar) awaitIdle(deadline time.Time, idle time.Duration) {
	idleSince := n.clock.Now()
	for now := idleSince; now.Before(deadline); now = n.clock.Now() {
		if n.callerServer.ActiveRequests() > 0 || n.peerServer.ActiveRequests() > 0 {
			idleSince = now
		} else if now.Sub(idleSince) >= idle {
			return
		}
		sleep(n.clock, drainPollPeriod)
	}
}
