package node

import (
	"context"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/timer"
)

// Drain refuses new work for the backend server as not run, and tells the fleet. It returns at once.
func (n *Node) Drain() {
	n.drain.Do(func() {
		n.stages.fire(eventDrain)
		n.owner.Drain()
		n.server.drain()
	})
}

// Shutdown drains the node, waits for the calls in flight, leaves the fleet and closes. The error says
// that calls were still in flight at the drain timeout.
func (n *Node) Shutdown() error {
	n.Drain()
	wait(n.clock, hearTime)
	err := n.callers.drain(n.settings.Node().DrainTimeout())
	n.ingress.Close()
	n.owner.Close()
	n.handOver()
	n.queue.post(message.LeaveRequest{})
	wait(n.clock, leaveTime)
	n.Close()
	return err
}

// handOver sends the final export of the ledger to other nodes. A failure leaves keys of this process
// unknown, as after a crash.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	copies, err := n.owner.Handover(ctx, n.forward)
	n.log.Info().Int("copies", copies).Err(err).Msg("handed the ledger over")
}

// wait returns after a time.
func wait(clock *timer.Service, d time.Duration) {
	over := make(chan struct{})
	sub := clock.After(d, func(time.Time) { close(over) })
	<-over
	sub.Close()
}

// Close ends the node at once and waits for its goroutines.
func (n *Node) Close() {
	n.close.Do(func() {
		for _, e := range []*httpEdge{n.callers, n.announce, n.observe, n.operators} {
			e.Close()
		}
		n.gauges.Close()
		n.server.Close()
		n.thread.Close()
		n.logs.Close()
		n.peers.Close()
		_ = n.calls.Close()
		_ = n.forward.Close()
		n.stages.fire(eventStopped)
		_ = n.metrics.Close()
	})
}
