package relay

import (
	"errors"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// windowEntry is a recent entry with the chain before it.
type windowEntry struct {
	entry record.Entry
	chain uint64
}

// replica is the folded state with the recent entries behind it.
type replica struct {
	state            *catalog.State
	newestSchema     record.Schema
	window           []windowEntry
	windowBytes      int
	maxWindowEntries int
	maxWindowBytes   int
	missingLevel     record.Schema
	replacesState    func(held, offered message.Digest) bool
	consistentState  func(held, later *catalog.State) bool
	conflicts        int // states refused because they contradict what is held

	encoded     []byte
	encodedHead record.Offset
}

func newReplica(state *catalog.State, newest record.Schema, settings Settings) *replica {
	if state == nil {
		state = catalog.NewWithSchema(newest)
	}
	return &replica{state: state, newestSchema: newest, maxWindowEntries: settings.MaxWindowEntries, maxWindowBytes: settings.MaxWindowBytes}
}

func (h *replica) digest() message.Digest { return digestOf(h.state) }

func digestOf(s *catalog.State) message.Digest {
	return message.NewDigest(s.Version(), s.Head(), s.Chain())
}

// apply folds the entry at the head. The error is that of catalog.State.Apply.
func (h *replica) apply(e record.Entry) (catalog.Result, error) {
	chain := h.state.Chain()
	result, err := h.state.Apply(e)
	h.noteMissingLevel(err)
	if err != nil {
		return result, err
	}
	h.missingLevel = 0
	h.appendToWindow(windowEntry{entry: e, chain: chain})
	return result, nil
}

// noteMissingLevel notes that a newer binary is needed, if err says so.
func (h *replica) noteMissingLevel(err error) bool {
	var level *catalog.LevelError
	if !errors.As(err, &level) {
		return false
	}
	h.missingLevel = level.Level()
	return true
}

func (h *replica) appendToWindow(k windowEntry) {
	h.window = append(h.window, k)
	h.windowBytes += len(k.entry.Data())
	for len(h.window) > 0 && (len(h.window) > h.maxWindowEntries || h.windowBytes > h.maxWindowBytes) {
		h.windowBytes -= len(h.window[0].entry.Data())
		h.window[0] = windowEntry{}
		h.window = h.window[1:]
	}
}

// restore takes over a whole state that is ahead. It tells whether it did. The error is that of
// catalog.Restore.
func (h *replica) restore(data []byte) (bool, error) {
	state, err := catalog.RestoreWithSchema(data, h.newestSchema)
	if h.noteMissingLevel(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return h.replace(state), nil
}

// replace takes over a whole state that is ahead. It tells whether it did: neither head nor version
// ever fall, and nothing that was folded is left out.
func (h *replica) replace(state *catalog.State) bool {
	if !h.consistentState(h.state, state) {
		h.conflicts++
		return false
	}
	if !h.replacesState(h.digest(), digestOf(state)) {
		return false
	}
	h.state = state
	h.window = nil
	h.windowBytes = 0
	h.missingLevel = 0
	return true
}

// chainAt returns the chain before an offset, if it is known.
func (h *replica) chainAt(offset record.Offset) (uint64, bool) {
	if offset == h.state.Head() {
		return h.state.Chain(), true
	}
	i, ok := h.windowIndex(offset)
	if !ok {
		return 0, false
	}
	return h.window[i].chain, true
}

func (h *replica) windowIndex(offset record.Offset) (int, bool) {
	if len(h.window) == 0 {
		return 0, false
	}
	first := h.window[0].entry.Offset()
	if offset < first || offset >= first+record.Offset(len(h.window)) {
		return 0, false
	}
	return int(offset - first), true
}

// entriesFrom returns the kept entries from an offset on, up to a number of bytes but at least one.
func (h *replica) entriesFrom(offset record.Offset, limit int) []record.Entry {
	i, ok := h.windowIndex(offset)
	if !ok {
		return nil
	}
	var entries []record.Entry
	size := 0
	for _, k := range h.window[i:] {
		size += len(k.entry.Data())
		if len(entries) > 0 && size > limit {
			break
		}
		entries = append(entries, k.entry)
	}
	return entries
}

// encode returns the state as a checkpoint, made once per head.
func (h *replica) encode() ([]byte, error) {
	if h.encoded != nil && h.encodedHead == h.state.Head() {
		return h.encoded, nil
	}
	data, err := h.state.Checkpoint()
	if err != nil {
		return nil, err
	}
	h.encoded, h.encodedHead = data, h.state.Head()
	return data, nil
}
