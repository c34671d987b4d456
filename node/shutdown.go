package node

import (
	"context"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/timer"
)

// Drain makes the node refuse new calls to its backend server as not run, and announces this to the fleet. It does not
// block.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.lifecycle.transition(eventDrain)
		n.owner.Drain()
		n.announcements.drain()
	})
}

// Shutdown drains the node, waits for calls in flight, leaves the fleet and closes the node. It returns an error if calls
// were still in flight at the drain timeout.
func (n *Node) Shutdown() error {
	n.Drain()
	sleep(n.clock, drainNoticeTime)
	err := n.callerServer.drain(n.settings.Node().DrainTimeout())
	n.ingress.Close()
	n.owner.Close()
	n.handOver()
	n.queue.post(message.LeaveRequest{})
	sleep(n.clock, leaveNoticeTime)
	n.Close()
	return err
}

// handOver sends the final export of the ledger to other nodes. If it fails, the outcomes of this process's keys are
// unknown, as after a crash.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	copies, err := n.owner.Handover(ctx, n.forward)
	n.log.Info().Int("copies", copies).Err(err).Msg("finished the handover of the ledger")
}

// sleep blocks for d by the given clock.
func sleep(clock *timer.Service, d time.Duration) {
	elapsed := make(chan struct{})
	sub := clock.After(d, func(time.Time) { close(elapsed) })
	<-elapsed
	sub.Close()
}

// Close stops the node immediately and waits for its goroutines.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		for _, s := range []*httpServer{n.callerServer, n.announceServer, n.observeServer, n.operatorServer} {
			s.Close()
		}
		n.gaugeTimer.Close()
		n.announcements.Close()
		n.controller.Close()
		n.logClient.Close()
		n.peers.Close()
		_ = n.calls.Close()
		_ = n.forward.Close()
		n.lifecycle.transition(eventStopped)
		_ = n.metrics.Close()
	})
}
