package relay

import (
	"errors"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// kept is a recent entry with the chain before it.
type kept struct {
	entry record.Entry
	chain uint64
}

// holding is the folded state with the recent entries behind it.
type holding struct {
	state     *catalog.State
	newest    record.Schema
	window    []kept
	bytes     int
	maxItems  int
	maxBytes  int
	needLevel record.Schema
	replaces  func(held, offered message.Digest) bool
	continued func(held, later *catalog.State) bool
	forks     int // states refused because they contradict what is held

	cached     []byte
	cachedHead record.Offset
}

func newHolding(state *catalog.State, newest record.Schema, settings Settings) *holding {
	if state == nil {
		state = catalog.NewWithSchema(newest)
	}
	return &holding{state: state, newest: newest, maxItems: settings.MaxWindowEntries, maxBytes: settings.MaxWindowBytes}
}

func (h *holding) digest() message.Digest { return digestOf(h.state) }

func digestOf(s *catalog.State) message.Digest {
	return message.NewDigest(s.Version(), s.Head(), s.Chain())
}

// apply folds the entry at the head. The error is that of catalog.State.Apply.
func (h *holding) apply(e record.Entry) (catalog.Result, error) {
	chain := h.state.Chain()
	result, err := h.state.Apply(e)
	h.noteLevel(err)
	if err != nil {
		return result, err
	}
	h.needLevel = 0
	h.keep(kept{entry: e, chain: chain})
	return result, nil
}

// noteLevel notes that a newer binary is needed, if err says so.
func (h *holding) noteLevel(err error) bool {
	var level *catalog.LevelError
	if !errors.As(err, &level) {
		return false
	}
	h.needLevel = level.Level()
	return true
}

func (h *holding) keep(k kept) {
	h.window = append(h.window, k)
	h.bytes += len(k.entry.Data())
	for len(h.window) > 0 && (len(h.window) > h.maxItems || h.bytes > h.maxBytes) {
		h.bytes -= len(h.window[0].entry.Data())
		h.window[0] = kept{}
		h.window = h.window[1:]
	}
}

// restore takes over a whole state that is ahead. It tells whether it did. The error is that of
// catalog.Restore.
func (h *holding) restore(data []byte) (bool, error) {
	state, err := catalog.RestoreWithSchema(data, h.newest)
	if h.noteLevel(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return h.replace(state), nil
}

// replace takes over a whole state that is ahead. It tells whether it did: neither head nor version
// ever fall, and nothing that was folded is left out.
func (h *holding) replace(state *catalog.State) bool {
	if !h.continued(h.state, state) {
		h.forks++
		return false
	}
	if !h.replaces(h.digest(), digestOf(state)) {
		return false
	}
	h.state = state
	h.window = nil
	h.bytes = 0
	h.needLevel = 0
	return true
}

// chainAt returns the chain before an offset, if it is known.
func (h *holding) chainAt(offset record.Offset) (uint64, bool) {
	if offset == h.state.Head() {
		return h.state.Chain(), true
	}
	i, ok := h.index(offset)
	if !ok {
		return 0, false
	}
	return h.window[i].chain, true
}

func (h *holding) index(offset record.Offset) (int, bool) {
	if len(h.window) == 0 {
		return 0, false
	}
	first := h.window[0].entry.Offset()
	if offset < first || offset >= first+record.Offset(len(h.window)) {
		return 0, false
	}
	return int(offset - first), true
}

// since returns the kept entries from an offset on, up to a number of bytes but at least one.
func (h *holding) since(offset record.Offset, limit int) []record.Entry {
	i, ok := h.index(offset)
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

// whole returns the state as a checkpoint, made once per head.
func (h *holding) whole() ([]byte, error) {
	if h.cached != nil && h.cachedHead == h.state.Head() {
		return h.cached, nil
	}
	data, err := h.state.Checkpoint()
	if err != nil {
		return nil, err
	}
	h.cached, h.cachedHead = data, h.state.Head()
	return data, nil
}
