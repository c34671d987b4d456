package message

import "github.com/bambooknot/bambooknot/record"

// Gap says that the log has trimmed entries which the node lacks and which no checkpoint in the log covers.
// The zero Gap stands for none.
type Gap struct {
	head  record.Offset
	first record.Offset
}

// NewGap returns the gap from head up to first, the first offset that the node can go on from.
func NewGap(head, first record.Offset) Gap { return Gap{head: head, first: first} }

// Head returns the offset that the node would have to fold next.
func (g Gap) Head() record.Offset { return g.head }

// First returns the first offset that is retained.
func (g Gap) First() record.Offset { return g.first }

// Exists tells whether there is a gap.
func (g Gap) Exists() bool { return g.first > g.head }

// BridgeState says what became of a request to bridge a gap.
type BridgeState uint8

// States of a bridge.
const (
	// BridgeWritten: the checkpoint is in the log.
	BridgeWritten BridgeState = iota + 1
	// BridgeRefused: the node did not try; nothing was appended.
	BridgeRefused
	// BridgeNotAppended: the log did not take the checkpoint.
	BridgeNotAppended
	// BridgeUnknown: the checkpoint may be in the log. The same request may be repeated.
	BridgeUnknown
)

// BridgeReceipt answers a request to bridge a gap.
type BridgeReceipt struct {
	state BridgeState
	err   error
}

// NewBridgeReceipt returns a receipt. The error is nil if the state is BridgeWritten.
func NewBridgeReceipt(state BridgeState, err error) BridgeReceipt {
	return BridgeReceipt{state: state, err: err}
}

// State returns what is known.
func (r BridgeReceipt) State() BridgeState { return r.state }

// Err returns why the checkpoint is not known to be in the log.
func (r BridgeReceipt) Err() error { return r.err }

// BridgeAsked says that an operator gives up the entries of a gap.
type BridgeAsked struct {
	first record.Offset
	reply func(BridgeReceipt)
}

// NewBridgeAsked returns the event. The control thread calls reply once, and reply must not block.
func NewBridgeAsked(first record.Offset, reply func(BridgeReceipt)) BridgeAsked {
	return BridgeAsked{first: first, reply: reply}
}

// Event implements Event.
func (BridgeAsked) Event() {}

// First returns the offset up to which the operator gives up entries.
func (b BridgeAsked) First() record.Offset { return b.first }

// Reply answers the operator.
func (b BridgeAsked) Reply(r BridgeReceipt) { b.reply(r) }
