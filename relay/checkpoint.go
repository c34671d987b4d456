package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// checkpointWriter writes the state into the log as checkpoint entries, one append at a time.
type checkpointWriter struct {
	token         uint64
	appendPending bool
	chunks        [][]byte
	onBridgeDone  func(message.BridgeReceipt) // of the bridge that is written, or nil
	mayBePartial  bool                        // a part of a bridge may be in the log

	entriesSince  int           // change sets folded since the newest whole checkpoint
	lastSeenAt    time.Time     // when a whole checkpoint was seen last
	nextAttemptAt time.Time     // pause after a failure
	coveredHead   record.Offset // head that the newest whole checkpoint covers
	logStart      record.Offset // oldest offset that the log keeps
}

// checkpointTokenBit sets the tokens of checkpoints apart from those of publishes.
const checkpointTokenBit = uint64(1) << 63

// observe notes what one folded entry means for the next checkpoint. Only the last part makes a checkpoint
// that can be loaded, and only one that covers more than those before can replace them.
func (w *checkpointWriter) observe(now time.Time, result catalog.Result) {
	covered, whole := result.Covered()
	switch {
	case whole && covered > w.coveredHead:
		w.entriesSince, w.lastSeenAt, w.coveredHead = 0, now, covered
	case result.Kind() != catalog.ResultCheckpoint:
		w.entriesSince++
	}
}

// writeCheckpoint starts to write a writeCheckpoint when enough has changed since the newest one, or when that
// is old and anything has changed. Only the first-ranked reader writes; two writers are harmless.
func (m *Machine) writeCheckpoint(now time.Time) {
	w := &m.writer
	if w.appendPending || w.onBridgeDone == nil && !m.canWriteCheckpoint(now) {
		return
	}
	if len(w.chunks) == 0 && !m.needsCheckpoint(now) {
		return
	}
	if len(w.chunks) == 0 {
		chunks, err := m.replica.state.CheckpointEntries(uint64(m.self.Key().Incarnation()))
		if err != nil {
			m.counts.InvalidStates++
			w.nextAttemptAt = now.Add(m.settings.CheckpointRetryInterval)
			return
		}
		w.chunks = chunks
	}
	w.token++
	w.appendPending = true
	m.actions = append(m.actions, message.NewAppendLog(message.StreamConfig, checkpointTokenBit|w.token, w.chunks[0]))
}

// canWriteCheckpoint tells whether the node may write a checkpoint of its own accord.
func (m *Machine) canWriteCheckpoint(now time.Time) bool {
	return m.reader.active && m.join.joined && m.reader.lastErr == nil && !now.Before(m.writer.nextAttemptAt)
}

func (m *Machine) needsCheckpoint(now time.Time) bool {
	w := &m.writer
	if w.entriesSince >= m.settings.EntriesPerCheckpoint {
		return true
	}
	if w.logStart > w.coveredHead {
		return true // the log holds no checkpoint that it can be read from
	}
	return w.entriesSince > 0 && now.Sub(w.lastSeenAt) >= m.settings.MaxCheckpointAge
}

func (w *checkpointWriter) setLogStart(first record.Offset) { w.logStart = first }

// OwnsAppend tells whether the answer to an append belongs to this machine.
func OwnsAppend(a message.AppendResult) bool {
	return a.Stream() == message.StreamConfig && a.Token()&checkpointTokenBit != 0
}

// ReceiveAppendResult takes the answer to the append of a part of a checkpoint. A part that is in doubt makes
// the whole checkpoint worthless, so it is begun anew later. notApplied says of an error that the log never takes the
// part.
func (m *Machine) ReceiveAppendResult(now time.Time, a message.AppendResult, notApplied func(error) bool) []message.Action {
	w := &m.writer
	if !OwnsAppend(a) || !w.appendPending || a.Token() != checkpointTokenBit|w.token {
		return nil
	}
	w.appendPending = false
	if a.Err() != nil {
		w.chunks = nil
		w.nextAttemptAt = now.Add(m.settings.CheckpointRetryInterval)
		w.failBridge(a.Err(), notApplied(a.Err()))
		return nil
	}
	w.chunks = w.chunks[1:]
	if len(w.chunks) == 0 {
		m.counts.Checkpoints++
		w.finishBridge(message.BridgeWritten, nil)
		w.nextAttemptAt = now.Add(m.settings.CheckpointRetryInterval)
	}
	return nil
}
