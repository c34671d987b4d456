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

// NoGapError says that a node sees no gap to bridge.
type NoGapError struct{}

// Error implements error.
func (*NoGapError) Error() string {
	return "this node sees no gap in the log; ask a node whose status shows one"
}

// GapEndError says that a bridge was asked for up to another offset than the node sees.
type GapEndError struct{ requested, gapEnd record.Offset }

// GapEnd returns the first retained offset that the node sees.
func (e *GapEndError) GapEnd() record.Offset { return e.gapEnd }

// Error implements error.
func (e *GapEndError) Error() string {
	return fmt.Sprintf("the gap ends at offset %d, not at %d", e.gapEnd, e.requested)
}

// PeerAheadError says that a member has folded more than the node that was asked to bridge.
type PeerAheadError struct {
	peer          netip.AddrPort
	head, ownHead record.Offset
}

// Peer returns the member.
func (e *PeerAheadError) Peer() netip.AddrPort { return e.peer }

// Error implements error.
func (e *PeerAheadError) Error() string {
	return fmt.Sprintf("member %s has folded up to offset %d, this node only up to %d", e.peer, e.head, e.ownHead)
}

// BridgeInProgressError says that a bridge is under way.
type BridgeInProgressError struct{}

// Error implements error.
func (*BridgeInProgressError) Error() string { return "this node is writing a bridge already" }

// peerHead is a peer that has said that it has folded more than this node.
type peerHead struct {
	peer netip.AddrPort
	head record.Offset
}

// trackPeerHead remembers how far a peer has folded while that is further than this node.
func (m *Machine) trackPeerHead(peer netip.AddrPort, head record.Offset) {
	own := m.replica.state.Head()
	m.peersAhead = slices.DeleteFunc(m.peersAhead, func(f peerHead) bool { return f.peer == peer || f.head <= own })
	if head > own {
		m.peersAhead = append(m.peersAhead, peerHead{peer: peer, head: head})
	}
}

// Gap returns the gap that this node has found by searching the log to its end, or that a log reader has reported
// lately, and the zero Gap if none. A node that is still joining has nothing to go on from.
func (m *Machine) Gap() message.Gap {
	head, first := m.replica.state.Head(), m.ownGapEnd()
	if first == 0 && m.logHealth.lastEventAt.Sub(m.logHealth.gapReportedAt) <= m.settings.MaxLogStatusAge {
		first = m.logHealth.reportedGapEnd
	}
	if first <= head || !m.join.joined {
		return message.Gap{}
	}
	return message.NewGap(head, first)
}

// ownGapEnd returns the offset after the gap that this node has found itself, or zero.
func (m *Machine) ownGapEnd() record.Offset {
	var lost *catalog.NoCheckpointError
	if !m.reader.behindTrim || !errors.As(m.reader.lastErr, &lost) {
		return 0
	}
	return lost.First()
}

// clearClosedGap forgets a gap that a peer's state has closed.
func (m *Machine) clearClosedGap() {
	if m.reader.behindTrim && m.replica.state.Head() >= m.reader.gapEnd {
		m.closeGap()
	}
}

// Bridge gives up the entries from the head to first and appends the checkpoint that goes on from there. It
// calls done exactly once. isMember tells whether a peer still counts as a member, dead or alive.
// A refusal is a *NoGapError, *FirstError, *FurtherError or *BusyError.
func (m *Machine) Bridge(now time.Time, first record.Offset, isMember func(netip.AddrPort) bool, done func(message.BridgeReceipt)) []message.Action {
	if err := m.checkBridge(first, isMember); err != nil {
		done(message.NewBridgeReceipt(message.BridgeRefused, err))
		return nil
	}
	chunks, err := m.bridgeChunks(first)
	if err != nil {
		done(message.NewBridgeReceipt(message.BridgeRefused, err))
		return nil
	}
	m.writer.startBridge(chunks, done)
	m.writeCheckpoint(now)
	return m.takeActions()
}

func (m *Machine) checkBridge(first record.Offset, isMember func(netip.AddrPort) bool) error {
	gap := m.Gap()
	if !gap.Exists() {
		return &NoGapError{}
	}
	if gap.End() != first {
		return &GapEndError{requested: first, gapEnd: gap.End()}
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

func (m *Machine) bridgeChunks(first record.Offset) ([][]byte, error) {
	state, err := m.replica.state.Bridge(first)
	if err != nil {
		return nil, err
	}
	return state.CheckpointEntries(uint64(m.self.Key().Incarnation()))
}

// startBridge puts the parts of a bridged state in place of whatever is being written. The new token makes the
// answer to an append under way count for nothing.
func (w *checkpointWriter) startBridge(chunks [][]byte, done func(message.BridgeReceipt)) {
	w.token++
	w.chunks, w.appendPending, w.onBridgeDone = chunks, false, done
}

// finishBridge answers the operator, if a bridge was being written.
func (w *checkpointWriter) finishBridge(state message.BridgeState, err error) {
	done := w.onBridgeDone
	if done == nil {
		return
	}
	w.onBridgeDone = nil
	done(message.NewBridgeReceipt(state, err))
}

// failBridge tells what a failed append leaves of a bridge. Once a part is in doubt, so are all later attempts.
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
