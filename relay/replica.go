package relay

import (
	"errors"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// windowEntry is a recent entry with the chain hash of all entries before it.
type windowEntry struct {
	entry record.Entry
	chain uint64
}

// replica is the node's state with a window of the entries applied last.
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
	conflicts        int // states refused because they contradict the node's state

	encoded     []byte // state at encodedHead as a checkpoint, or nil
	encodedHead record.Offset
}

func newReplica(state *catalog.State, newest record.Schema, settings Settings) *replica {
	if state == nil {
		state = catalog.NewWithSchema(newest)
	}
	return &replica{state: state, newestSchema: newest, maxWindowEntries: settings.MaxWindowEntries, maxWindowBytes: settings.MaxWindowBytes}
}

func (r *replica) digest() message.Digest { return digestOf(r.state) }

func digestOf(s *catalog.State) message.Digest {
	return message.NewDigest(s.Version(), s.Head(), s.Chain())
}

// apply applies the entry at the head and adds it to the window. It returns the error of catalog.State.Apply.
func (r *replica) apply(e record.Entry) (catalog.Result, error) {
	chain := r.state.Chain()
	result, err := r.state.Apply(e)
	r.noteMissingLevel(err)
	if err != nil {
		return result, err
	}
	r.missingLevel = 0
	r.appendToWindow(windowEntry{entry: e, chain: chain})
	return result, nil
}

// noteMissingLevel sets missingLevel and returns true if err is a *catalog.LevelError.
func (r *replica) noteMissingLevel(err error) bool {
	var level *catalog.LevelError
	if !errors.As(err, &level) {
		return false
	}
	r.missingLevel = level.Level()
	return true
}

func (r *replica) appendToWindow(e windowEntry) {
	r.window = append(r.window, e)
	r.windowBytes += len(e.entry.Data())
	for len(r.window) > 0 && (len(r.window) > r.maxWindowEntries || r.windowBytes > r.maxWindowBytes) {
		r.windowBytes -= len(r.window[0].entry.Data())
		r.window[0] = windowEntry{}
		r.window = r.window[1:]
	}
}

// restore decodes a state and replaces the node's state by it if it is ahead. It reports whether it did so. Apart from
// a *catalog.LevelError, which it records, it returns the error of catalog.RestoreWithSchema.
func (r *replica) restore(data []byte) (bool, error) {
	state, err := catalog.RestoreWithSchema(data, r.newestSchema)
	if r.noteMissingLevel(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return r.replace(state), nil
}

// replace replaces the node's state by one that is ahead, and reports whether it did so. It refuses a state that would
// lower head or version, or that contradicts the entries already applied.
func (r *replica) replace(state *catalog.State) bool {
	if !r.consistentState(r.state, state) {
		r.conflicts++
		return false
	}
	if !r.replacesState(r.digest(), digestOf(state)) {
		return false
	}
	r.state = state
	r.window = nil
	r.windowBytes = 0
	r.missingLevel = 0
	return true
}

// chainAt returns the chain hash of all entries before an offset, if it is known.
func (r *replica) chainAt(offset record.Offset) (uint64, bool) {
	if offset == r.state.Head() {
		return r.state.Chain(), true
	}
	i, ok := r.windowIndex(offset)
	if !ok {
		return 0, false
	}
	return r.window[i].chain, true
}

// windowIndex returns the index of an offset in the window.
func (r *replica) windowIndex(offset record.Offset) (int, bool) {
	if len(r.window) == 0 {
		return 0, false
	}
	first := r.window[0].entry.Offset()
	if offset < first || offset >= first+record.Offset(len(r.window)) {
		return 0, false
	}
	return int(offset - first), true
}

// entriesFrom returns the entries of the window from an offset on, up to a total size of limit bytes but at least one.
func (r *replica) entriesFrom(offset record.Offset, limit int) []record.Entry {
	i, ok := r.windowIndex(offset)
	if !ok {
		return nil
	}
	var entries []record.Entry
	size := 0
	for _, k := range r.window[i:] {
		size += len(k.entry.Data())
		if len(entries) > 0 && size > limit {
			break
		}
		entries = append(entries, k.entry)
	}
	return entries
}

// encode returns the state as a checkpoint. It caches the result until the head changes.
func (r *replica) encode() ([]byte, error) {
	if r.encoded != nil && r.encodedHead == r.state.Head() {
		return r.encoded, nil
	}
	data, err := r.state.Checkpoint()
	if err != nil {
		return nil, err
	}
	r.encoded, r.encodedHead = data, r.state.Head()
	return data, nil
}
