package node

import (
	"context"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Bridge abandons the entries of a gap in the log, which ends before first, and waits until the checkpoint that continues
// from first is appended.
func (n *Node) Bridge(ctx context.Context, first record.Offset) message.BridgeReceipt {
	receipts := make(chan message.BridgeReceipt, 1)
	request := message.NewBridgeRequest(first, func(r message.BridgeReceipt) { receipts <- r })
	if !n.queue.post(request) {
		return message.NewBridgeReceipt(message.BridgeNotAppended, context.Canceled)
	}
	select {
	case r := <-receipts:
		return r
	case <-ctx.Done():
		return message.NewBridgeReceipt(message.BridgeUnknown, ctx.Err())
	case <-n.queue.done:
		return message.NewBridgeReceipt(message.BridgeUnknown, context.Canceled)
	}
}
