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
type GapEndError struct{ asked, first record.Offset }

// GapEnd returns the first retained offset that the node sees.
func (e *GapEndError) GapEnd() record.Offset { return e.first }

// Error implements error.
func (e *GapEndError) Error() string {
	return fmt.Sprintf("the gap ends at offset %d, not at %d", e.first, e.asked)
}

// PeerAheadError says that a member has folded more than the node that was asked to bridge.
type PeerAheadError struct {
	peer       netip.AddrPort
	head, held record.Offset
}

// Peer returns the member.
func (e *PeerAheadError) Peer() netip.AddrPort { return e.peer }

// Error implements error.
func (e *PeerAheadError) Error() string {
	return fmt.Sprintf("member %s has folded up to offset %d, this node only up to %d", e.peer, e.head, e.held)
}

// BridgeInProgressError says that a bridge is under way.
type BridgeInProgressError struct{}

// Error implements error.
func (*BridgeInProgressError) Error() string { return "this node is writing a bridge already" }

// further is a peer that has said that it has folded more than this node.
type further struct {
	peer netip.AddrPort
	head record.Offset
}

// noteHead remembers how far a peer has folded while that is further than this node.
func (m *Machine) noteHead(peer netip.AddrPort, head record.Offset) {
	own := m.holding.state.Head()
	m.further = slices.DeleteFunc(m.further, func(f further) bool { return f.peer == peer || f.head <= own })
	if head > own {
		m.further = append(m.further, further{peer: peer, head: head})
	}
}

// Gap returns the gap that this node has found by searching the log to its end, or that a log reader has reported
// lately, and the zero Gap if none. A node that is still joining has nothing to go on from.
func (m *Machine) Gap() message.Gap {
	head, first := m.holding.state.Head(), m.ownGap()
	if first == 0 && m.known.lastAt.Sub(m.known.gapAt) <= m.settings.MaxLogStatusAge {
		first = m.known.gap
	}
	if first <= head || !m.join.done {
		return message.Gap{}
	}
	return message.NewGap(head, first)
}

// ownGap returns the offset after the gap that this node has found itself, or zero.
func (m *Machine) ownGap() record.Offset {
	var lost *catalog.NoCheckpointError
	if !m.log.gap || !errors.As(m.log.fault, &lost) {
		return 0
	}
	return lost.First()
}

// dropGap forgets a gap that a peer's state has closed.
func (m *Machine) dropGap() {
	if m.log.gap && m.holding.state.Head() >= m.log.first {
		m.closeGap()
	}
}

// Bridge gives up the entries from the head to first and appends the checkpoint that goes on from there. It
// calls done exactly once. isMember tells whether a peer still counts as a member, dead or alive.
// A refusal is a *NoGapError, *FirstError, *FurtherError or *BusyError.
func (m *Machine) Bridge(now time.Time, first record.Offset, isMember func(netip.AddrPort) bool, done func(message.BridgeReceipt)) []message.Action {
	if err := m.refuseBridge(first, isMember); err != nil {
		done(message.NewBridgeReceipt(message.BridgeRefused, err))
		return nil
	}
	chunks, err := m.bridgeChunks(first)
	if err != nil {
		done(message.NewBridgeReceipt(message.BridgeRefused, err))
		return nil
	}
	m.writer.bridge(chunks, done)
	m.checkpoint(now)
	return m.leave()
}

func (m *Machine) refuseBridge(first record.Offset, isMember func(netip.AddrPort) bool) error {
	gap := m.Gap()
	if !gap.Exists() {
		return &NoGapError{}
	}
	if gap.End() != first {
		return &GapEndError{asked: first, first: gap.End()}
	}
	for _, f := range m.further {
		if m.rules.RefusesBridge(uint64(gap.Start()), uint64(f.head)) && isMember(f.peer) {
			return &PeerAheadError{peer: f.peer, head: f.head, held: gap.Start()}
		}
	}
	if m.writer.done != nil {
		return &BridgeInProgressError{}
	}
	return nil
}

func (m *Machine) bridgeChunks(first record.Offset) ([][]byte, error) {
	state, err := m.holding.state.Bridge(first)
	if err != nil {
		return nil, err
	}
	return state.CheckpointEntries(uint64(m.self.Key().Incarnation()))
}

// bridge puts the parts of a bridged state in place of whatever is being written. The new token makes the
// answer to an append under way count for nothing.
func (w *writer) bridge(chunks [][]byte, done func(message.BridgeReceipt)) {
	w.token++
	w.chunks, w.waiting, w.done = chunks, false, done
}

// bridged answers the operator, if a bridge was being written.
func (w *writer) bridged(state message.BridgeState, err error) {
	done := w.done
	if done == nil {
		return
	}
	w.done = nil
	done(message.NewBridgeReceipt(state, err))
}

// bridgeFailed tells what a failed append leaves of a bridge. Once a part is in doubt, so are all later attempts.
func (w *writer) bridgeFailed(err error, notApplied bool) {
	if w.done == nil {
		return
	}
	w.doubt = w.doubt || !notApplied
	if w.doubt {
		w.bridged(message.BridgeUnknown, err)
		return
	}
	w.bridged(message.BridgeNotAppended, err)
}
