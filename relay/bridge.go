package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// NoGapError is returned if the node knows of no gap to bridge.
type NoGapError struct{}

// Error implements error.
func (*NoGapError) Error() string {
	return "this node sees no gap in the log; ask a node whose status shows one"
}

// GapEndError is returned if a bridge is requested up to an offset that is not the end of the gap.
type GapEndError struct{ requested, gapEnd record.Offset }

// GapEnd returns the end of the gap as known to the node: the first offset that the log retains.
func (e *GapEndError) GapEnd() record.Offset { return e.gapEnd }

// Error implements error.
func (e *GapEndError) Error() string {
	return fmt.Sprintf("the gap ends at offset %d, not at %d", e.gapEnd, e.requested)
}

// PeerAheadError is returned if a member has applied more entries than the node that is to bridge the gap.
type PeerAheadError struct {
	peer          netip.AddrPort
	head, ownHead record.Offset
}

// Peer returns the address of the member that is ahead.
func (e *PeerAheadError) Peer() netip.AddrPort { return e.peer }

// Error implements error.
func (e *PeerAheadError) Error() string {
	return fmt.Sprintf("member %s has folded up to offset %d, this node only up to %d", e.peer, e.head, e.ownHead)
}

// BridgeInProgressError is returned if the node is already writing a bridge.
type BridgeInProgressError struct{}

// Error implements error.
func (*BridgeInProgressError) Error() string { return "this node is writing a bridge already" }

// peerHead is the head that a peer has reported.
type peerHead struct {
	peer netip.AddrPort
	head record.Offset
}

// trackPeerHead remembers the head of a peer as long as it is ahead of this node.
func (m *Machine) trackPeerHead(peer netip.AddrPort, head record.Offset) {
	own := m.replica.state.Head()
	m.peersAhead = slices.DeleteFunc(m.peersAhead, func(f peerHead) bool { return f.peer == peer || f.head <= own })
	if head > own {
		m.peersAhead = append(m.peersAhead, peerHead{peer: peer, head: head})
	}
}

// Gap returns the gap that this node has found by searching the log up to its end for a checkpoint, or one that a log
// reader has reported recently. It returns the zero Gap if there is none, or if the node is still joining and so has no
// state from which the gap could be bridged.
func (m *Machine) Gap() message.Gap {
	head, gapEnd := m.replica.state.Head(), m.ownGapEnd()
	if gapEnd == 0 && m.logHealth.lastEventAt.Sub(m.logHealth.gapReportedAt) <= m.settings.MaxLogStatusAge {
		gapEnd = m.logHealth.reportedGapEnd
	}
	if gapEnd <= head || !m.join.joined {
		return message.Gap{}
	}
	return message.NewGap(head, gapEnd)
}

// ownGapEnd returns the end of the gap that this node has found itself, or zero.
func (m *Machine) ownGapEnd() record.Offset {
	var noCheckpoint *catalog.NoCheckpointError
	if !m.reader.lacksTrimmed || !errors.As(m.reader.lastErr, &noCheckpoint) {
		return 0
	}
	return noCheckpoint.First()
}

// endNeedlessLoading ends the search for a checkpoint if the node has received the trimmed entries, or a state that covers
// them, from a peer.
func (m *Machine) endNeedlessLoading() {
	if m.reader.lacksTrimmed && m.replica.state.Head() >= m.reader.loadStart {
		m.endLoading()
	}
}

// Bridge abandons the entries from the node's head up to gapEnd and appends a checkpoint of the node's state that
// continues at gapEnd. It calls done exactly once. isMember reports whether a peer is a member that has not left, dead
// or alive. A refusal is a *NoGapError, *GapEndError, *PeerAheadError or *BridgeInProgressError, or the error of encoding
// the checkpoint.
func (m *Machine) Bridge(now time.Time, gapEnd record.Offset, isMember func(netip.AddrPort) bool, done func(message.BridgeReceipt)) []message.Action {
	if err := m.checkBridge(gapEnd, isMember); err != nil {
		done(message.NewBridgeReceipt(message.BridgeRefused, err))
		return nil
	}
	chunks, err := m.bridgeChunks(gapEnd)
	if err != nil {
		done(message.NewBridgeReceipt(message.BridgeRefused, err))
		return nil
	}
	m.writer.startBridge(chunks, done)
	m.writeCheckpoint(now)
	return m.takeActions()
}

func (m *Machine) checkBridge(gapEnd record.Offset, isMember func(netip.AddrPort) bool) error {
	gap := m.Gap()
	if !gap.Exists() {
		return &NoGapError{}
	}
	if gap.End() != gapEnd {
		return &GapEndError{requested: gapEnd, gapEnd: gap.End()}
	}
	for _, f := range m.peersAhead {
		if m.rules.RefusesBridge(uint64(gap.Start()), uint64(f.head)) && isMember(f.peer) {
			return &PeerAheadError{peer: f.peer, head: f.head, ownHead: gap.Start()}
		}
	}
	if m.writer.onBridgeDone != nil {
		return &BridgeInProgressError{}
	}
	return nil
}

func (m *Machine) bridgeChunks(gapEnd record.Offset) ([][]byte, error) {
	state, err := m.replica.state.Bridge(gapEnd)
	if err != nil {
		return nil, err
	}
	return state.CheckpointEntries(uint64(m.self.Key().Incarnation()))
}

// startBridge replaces the checkpoint that is being written, if any, by the chunks of a bridge. The new token makes the
// writer ignore the result of a pending append.
func (w *checkpointWriter) startBridge(chunks [][]byte, done func(message.BridgeReceipt)) {
	w.token++
	w.chunks, w.appendPending, w.onBridgeDone = chunks, false, done
}

// finishBridge sends the receipt of the bridge that is being written, if any.
func (w *checkpointWriter) finishBridge(state message.BridgeState, err error) {
	done := w.onBridgeDone
	if done == nil {
		return
	}
	w.onBridgeDone = nil
	done(message.NewBridgeReceipt(state, err))
}

// failBridge sends the receipt after a failed append. Once it is unknown whether a chunk was appended, the result of
// all later attempts is unknown, too.
func (w *checkpointWriter) failBridge(err error, notApplied bool) {
	if w.onBridgeDone == nil {
		return
	}
	w.mayBePartial = w.mayBePartial || !notApplied
	if w.mayBePartial {
		w.finishBridge(message.BridgeUnknown, err)
		return
	}
	w.finishBridge(message.BridgeNotAppended, err)
}
