package catalog

import (
	"errors"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Loader builds a State from a stream whose oldest entries were trimmed. It takes entries from the first
// retained one on, finds a checkpoint that covers at least all entries before, restores it and folds the rest.
type Loader struct {
	newest   record.Schema
	policy   policy
	start    record.Offset
	floor    record.Version
	state    *State
	entries  []record.Entry // from start on, until there is a state
	bytes    int            // of entries
	limit    int            // of bytes
	parts    assembly
	rejected int
	mismatch int
}

// maxLoaderBytes bounds the entries that a Loader keeps while it waits for a checkpoint. Beyond it the oldest ones
// count as trimmed: a later checkpoint will do without them.
const maxLoaderBytes = 16 << 20

// NewLoader returns a Loader for a binary that understands record.SchemaNewest. Start is the first offset that
// the log keeps; the fold starts from nothing if it is zero.
func NewLoader(start record.Offset) *Loader {
	return NewLoaderWithMinVersion(start, 0, record.SchemaNewest)
}

// NewLoaderWithMinVersion returns a Loader for a binary that holds version floor already and therefore takes no
// checkpoint below it.
func NewLoaderWithMinVersion(start record.Offset, floor record.Version, newest record.Schema) *Loader {
	return newLoader(start, floor, newest, defaultPolicy())
}

func newLoader(start record.Offset, floor record.Version, newest record.Schema, p policy) *Loader {
	l := &Loader{newest: newest, policy: p, start: start, floor: floor, limit: maxLoaderBytes}
	if start == 0 {
		l.state = newState(newest, p)
	}
	return l
}

// State returns the state, or nil while no usable checkpoint has been found.
func (l *Loader) State() *State { return l.state }

// Next returns the offset of the entry that the Loader needs next.
func (l *Loader) Next() record.Offset {
	if l.state != nil {
		return l.state.Head()
	}
	return l.start + record.Offset(len(l.entries))
}

// Rejected returns the number of whole checkpoints that were stale, damaged or below the floor.
func (l *Loader) Rejected() int { return l.rejected }

// Mismatches returns the number of entries whose checkpoints contradict the one restored: one of them is wrong.
func (l *Loader) Mismatches() int { return l.mismatch }

// Add takes the entries that follow. Entries seen before change nothing. The error is a *GapError when entries
// are missing, and the caller then starts over with a new Loader; or a *LevelError.
func (l *Loader) Add(entries []record.Entry) error {
	for _, e := range entries {
		if err := l.add(e); err != nil {
			return err
		}
	}
	return nil
}

func (l *Loader) add(e record.Entry) error {
	if l.state != nil {
		result, err := l.state.Apply(e)
		if result.Kind() == ResultMismatch {
			l.mismatch++
		}
		return err
	}
	if e.Offset() < l.Next() {
		return nil
	}
	if e.Offset() > l.Next() {
		return &GapError{want: l.Next(), got: e.Offset()}
	}
	l.keep(e)
	item, err := codec.DecodeAt(e.Data(), l.newest)
	if err != nil {
		return nil // the fold will count it
	}
	chunk, ok := item.Chunk()
	if !ok {
		return nil
	}
	return l.take(chunk)
}

func (l *Loader) keep(e record.Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data())
	for l.bytes > l.limit && len(l.entries) > 1 {
		l.bytes -= len(l.entries[0].Data())
		l.entries[0] = record.Entry{} // frees the data
		l.entries = l.entries[1:]
		l.start++
	}
}

func (l *Loader) take(c codec.Chunk) error {
	data, whole := l.parts.add(c)
	if !whole {
		return nil
	}
	s, err := l.restore(c, data)
	var levelErr *LevelError
	if errors.As(err, &levelErr) {
		return err
	}
	if err != nil || s == nil {
		l.rejected++
		return nil
	}
	return l.resume(s)
}

// restore returns nil when the checkpoint is sound but useless.
func (l *Loader) restore(c codec.Chunk, data []byte) (*State, error) {
	if !l.policy.usable(l, c) {
		return nil, nil
	}
	s, err := restore(data, l.newest, l.policy)
	if err != nil {
		return nil, err
	}
	if s.head != c.Head() || s.chain != c.Chain() || s.version < l.floor {
		return nil, nil
	}
	return s, nil
}

// usable tells whether the entries from start on continue the checkpoint, which can't cover itself.
func (l *Loader) usable(c codec.Chunk) bool { return c.Head() >= l.start && c.Head() < l.Next() }

func (l *Loader) resume(s *State) error {
	entries := l.entries
	l.state, l.entries, l.parts = s, nil, assembly{}
	return l.Add(entries)
}

// End tells the Loader that there are no entries from Next on. It returns a *NoCheckpointError if there is no state.
func (l *Loader) End() error {
	if l.state != nil {
		return nil
	}
	return &NoCheckpointError{first: l.start, next: l.Next()}
}
