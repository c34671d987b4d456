package message

import "github.com/bambooknot/bambooknot/record"

// Gap says that the log has trimmed entries which the node lacks and which no checkpoint in the log covers.
// The zero Gap stands for none.
type Gap struct {
	start record.Offset
	end   record.Offset
}

// NewGap returns the gap from head up to first, the first offset that the node can go on from.
func NewGap(head, first record.Offset) Gap { return Gap{start: head, end: first} }

// Start returns the offset that the node would have to fold next.
func (g Gap) Start() record.Offset { return g.start }

// End returns the first offset that is retained.
func (g Gap) End() record.Offset { return g.end }

// Exists tells whether there is a gap.
func (g Gap) Exists() bool { return g.end > g.start }

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

// BridgeRequest says that an operator gives up the entries of a gap.
type BridgeRequest struct {
	gapEnd record.Offset
	reply  func(BridgeReceipt)
}

// NewBridgeRequest returns the event. The control thread calls reply once, and reply must not block.
func NewBridgeRequest(first record.Offset, reply func(BridgeReceipt)) BridgeRequest {
	return BridgeRequest{gapEnd: first, reply: reply}
}

// Event implements Event.
func (BridgeRequest) Event() {}

// GapEnd returns the offset up to which the operator gives up entries.
func (b BridgeRequest) GapEnd() record.Offset { return b.gapEnd }

// Reply answers the operator.
func (b BridgeRequest) Reply(r BridgeReceipt) { b.reply(r) }
