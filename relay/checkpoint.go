package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// checkpointWriter writes the state into the log as checkpoint chunks, one append at a time.
type checkpointWriter struct {
	token         uint64                      // of the last append, to match its result
	appendPending bool                        // an append has been requested and not answered
	chunks        [][]byte                    // still to be appended
	onBridgeDone  func(message.BridgeReceipt) // receives the receipt of the bridge that is being written, or nil
	mayBePartial  bool                        // a failed append may have left a chunk of a bridge in the log

	entriesSinceCheckpoint int           // entries applied since the newest complete checkpoint, without checkpoint chunks
	lastCheckpointAt       time.Time     // when the newest complete checkpoint was applied, or the start
	nextAttemptAt          time.Time     // earliest time of the next checkpoint
	coveredHead            record.Offset // head up to which the newest complete checkpoint covers the stream
	logStart               record.Offset // first offset that the log retains
}

// checkpointTokenBit distinguishes the tokens of checkpoint appends from those of publishes.
const checkpointTokenBit = uint64(1) << 63

// observe updates the writer with an applied entry. Only the last chunk completes a checkpoint so that it can be
// loaded, and only a checkpoint that covers more than the previous ones counts as the newest.
func (w *checkpointWriter) observe(now time.Time, result catalog.Result) {
	covered, complete := result.Covered()
	switch {
	case complete && covered > w.coveredHead:
		w.entriesSinceCheckpoint, w.lastCheckpointAt, w.coveredHead = 0, now, covered
	case result.Kind() != catalog.ResultCheckpoint:
		w.entriesSinceCheckpoint++
	}
}

// writeCheckpoint appends the next chunk of a checkpoint or bridge. It starts a new checkpoint if needsCheckpoint reports
// so. Checkpoints other than bridges are written only by active log readers; two concurrent writers are harmless.
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

// canWriteCheckpoint reports whether the node may write a checkpoint without a request for a bridge.
func (m *Machine) canWriteCheckpoint(now time.Time) bool {
	return m.reader.active && m.join.joined && m.reader.lastErr == nil && !now.Before(m.writer.nextAttemptAt)
}

// needsCheckpoint reports whether enough entries were applied since the newest checkpoint, whether that is old and any
// entry was applied, or whether it does not cover the trimmed entries.
func (m *Machine) needsCheckpoint(now time.Time) bool {
	w := &m.writer
	if w.entriesSinceCheckpoint >= m.settings.EntriesPerCheckpoint {
		return true
	}
	if w.logStart > w.coveredHead {
		return true // no checkpoint covers the trimmed entries, so the log cannot be loaded from its start
	}
	return w.entriesSinceCheckpoint > 0 && now.Sub(w.lastCheckpointAt) >= m.settings.MaxCheckpointAge
}

func (w *checkpointWriter) setLogStart(first record.Offset) { w.logStart = first }

// OwnsAppend reports whether an append was requested by a Machine.
func OwnsAppend(a message.AppendResult) bool {
	return a.Stream() == message.StreamConfig && a.Token()&checkpointTokenBit != 0
}

// ReceiveAppendResult handles the result of the append of a checkpoint chunk. After an error it is unknown whether the
// chunk is in the log, so the checkpoint is abandoned and a new one is started later. notApplied reports whether an
// error means that the log will never append the chunk.
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
