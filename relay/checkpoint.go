package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// writer writes the state into the log as checkpoint entries, one append at a time.
type writer struct {
	token   uint64
	waiting bool
	chunks  [][]byte
	done    func(message.BridgeReceipt) // of the bridge that is written, or nil
	doubt   bool                        // a part of a bridge may be in the log

	items     int           // change sets folded since the newest whole checkpoint
	at        time.Time     // when a whole checkpoint was seen last
	notBefore time.Time     // pause after a failure
	covered   record.Offset // head that the newest whole checkpoint covers
	first     record.Offset // oldest offset that the log keeps
}

// tokenBase sets the tokens of checkpoints apart from those of publishes.
const tokenBase = uint64(1) << 63

// seen notes what one folded entry means for the next checkpoint. Only the last part makes a checkpoint
// that can be loaded, and only one that covers more than those before can replace them.
func (w *writer) seen(now time.Time, result catalog.Result) {
	covered, whole := result.Covered()
	switch {
	case whole && covered > w.covered:
		w.items, w.at, w.covered = 0, now, covered
	case result.Kind() != catalog.ResultCheckpoint:
		w.items++
	}
}

// checkpoint starts to write a checkpoint when enough has changed since the newest one, or when that
// is old and anything has changed. Only the first-ranked reader writes; two writers are harmless.
func (m *Machine) checkpoint(now time.Time) {
	w := &m.writer
	if w.waiting || w.done == nil && !m.mayWrite(now) {
		return
	}
	if len(w.chunks) == 0 && !m.wantsCheckpoint(now) {
		return
	}
	if len(w.chunks) == 0 {
		chunks, err := m.holding.state.CheckpointEntries(uint64(m.self.Key().Incarnation()))
		if err != nil {
			m.counts.InvalidStates++
			w.notBefore = now.Add(m.settings.CheckpointRetryInterval)
			return
		}
		w.chunks = chunks
	}
	w.token++
	w.waiting = true
	m.out = append(m.out, message.NewAppendLog(message.StreamConfig, tokenBase|w.token, w.chunks[0]))
}

// mayWrite tells whether the node may write a checkpoint of its own accord.
func (m *Machine) mayWrite(now time.Time) bool {
	return m.log.active && m.join.done && m.log.fault == nil && !now.Before(m.writer.notBefore)
}

func (m *Machine) wantsCheckpoint(now time.Time) bool {
	w := &m.writer
	if w.items >= m.settings.EntriesPerCheckpoint {
		return true
	}
	if w.first > w.covered {
		return true // the log holds no checkpoint that it can be read from
	}
	return w.items > 0 && now.Sub(w.at) >= m.settings.MaxCheckpointAge
}

func (w *writer) noteFirst(first record.Offset) { w.first = first }

// OwnsAppend tells whether the answer to an append belongs to this machine.
func OwnsAppend(a message.AppendResult) bool {
	return a.Stream() == message.StreamConfig && a.Token()&tokenBase != 0
}

// ReceiveAppendResult takes the answer to the append of a part of a checkpoint. A part that is in doubt makes
// the whole checkpoint worthless, so it is begun anew later. notApplied says of an error that the log never takes the
// part.
func (m *Machine) ReceiveAppendResult(now time.Time, a message.AppendResult, notApplied func(error) bool) []message.Action {
	w := &m.writer
	if !OwnsAppend(a) || !w.waiting || a.Token() != tokenBase|w.token {
		return nil
	}
	w.waiting = false
	if a.Err() != nil {
		w.chunks = nil
		w.notBefore = now.Add(m.settings.CheckpointRetryInterval)
		w.bridgeFailed(a.Err(), notApplied(a.Err()))
		return nil
	}
	w.chunks = w.chunks[1:]
	if len(w.chunks) == 0 {
		m.counts.Checkpoints++
		w.bridged(message.BridgeWritten, nil)
		w.notBefore = now.Add(m.settings.CheckpointRetryInterval)
	}
	return nil
}
