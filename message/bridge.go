package message

import "github.com/bambooknot/bambooknot/record"

// Gap is a range of log entries that the log has trimmed, that the node has not applied and that no checkpoint
// in the log covers. The zero Gap means that there is none.
type Gap struct {
	start record.Offset
	end   record.Offset
}

// NewGap returns the gap of the offsets from start, included, to end, excluded.
func NewGap(start, end record.Offset) Gap { return Gap{start: start, end: end} }

// Start returns the offset that the node has to apply next.
func (g Gap) Start() record.Offset { return g.start }

// End returns the first offset that the log still retains, from which the node can continue.
func (g Gap) End() record.Offset { return g.end }

// Exists reports whether any entries are missing.
func (g Gap) Exists() bool { return g.end > g.start }

// BridgeState is the result of a request to bridge a gap.
type BridgeState uint8

// Results of a request to bridge a gap.
const (
	// BridgeWritten: the checkpoint is in the log.
	BridgeWritten BridgeState = iota + 1
	// BridgeRefused: the node rejected the request and appended nothing.
	BridgeRefused
	// BridgeNotAppended: the append of the checkpoint failed.
	BridgeNotAppended
	// BridgeUnknown: the checkpoint may or may not be in the log. The same request may be repeated.
	BridgeUnknown
)

// BridgeReceipt answers a request to bridge a gap.
type BridgeReceipt struct {
	state BridgeState
	err   error
}

// NewBridgeReceipt returns a receipt. err is nil if the state is BridgeWritten.
func NewBridgeReceipt(state BridgeState, err error) BridgeReceipt {
	return BridgeReceipt{state: state, err: err}
}

// State returns the result of the request.
func (r BridgeReceipt) State() BridgeState { return r.state }

// Err returns why the checkpoint is not known to be in the log.
func (r BridgeReceipt) Err() error { return r.err }

// BridgeRequest is the event that an operator accepts the loss of the entries in a gap. The node bridges the gap: it
// appends a checkpoint of its state that continues the stream after the gap.
type BridgeRequest struct {
	gapEnd record.Offset
	reply  func(BridgeReceipt)
}

// NewBridgeRequest returns the event. The control loop calls reply once, and reply must not block.
func NewBridgeRequest(gapEnd record.Offset, reply func(BridgeReceipt)) BridgeRequest {
	return BridgeRequest{gapEnd: gapEnd, reply: reply}
}

// Event implements Event.
func (BridgeRequest) Event() {}

// GapEnd returns the first offset after the entries whose loss the operator accepts.
func (b BridgeRequest) GapEnd() record.Offset { return b.gapEnd }

// Reply sends the receipt to the operator.
func (b BridgeRequest) Reply(r BridgeReceipt) { b.reply(r) }
