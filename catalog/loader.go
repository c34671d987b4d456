package catalog

import (
	"errors"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Loader builds a State from a stream whose oldest entries were trimmed. It reads entries from the first
// retained one on until it finds a checkpoint that covers at least all trimmed entries, restores the checkpoint
// and applies the entries that follow it.
type Loader struct {
	newestSchema  record.Schema
	policy        policy
	start         record.Offset
	minVersion    record.Version
	state         *State
	entries       []record.Entry // from start on; empty once there is a state
	entryBytes    int            // total size of entries
	maxEntryBytes int            // limit of entryBytes
	assembler     chunkAssembler
	rejected      int
	mismatches    int
}

// maxLoaderBytes limits the entries that a Loader buffers while it searches for a checkpoint. Beyond the limit it
// discards the oldest entries and treats them as trimmed, so that only a later checkpoint can be used.
const maxLoaderBytes = 16 << 20

// NewLoader returns a Loader for a binary that understands schemas up to record.SchemaNewest. Start is the first
// offset that the log retains. If it is zero, no checkpoint is needed and the Loader starts with an empty state.
func NewLoader(start record.Offset) *Loader {
	return NewLoaderWithMinVersion(start, 0, record.SchemaNewest)
}

// NewLoaderWithMinVersion returns a Loader that rejects checkpoints of a version below minVersion, for a node that
// already has that version. The binary understands schemas up to newest.
func NewLoaderWithMinVersion(start record.Offset, minVersion record.Version, newest record.Schema) *Loader {
	return newLoader(start, minVersion, newest, defaultPolicy())
}

func newLoader(start record.Offset, minVersion record.Version, newest record.Schema, p policy) *Loader {
	l := &Loader{newestSchema: newest, policy: p, start: start, minVersion: minVersion, maxEntryBytes: maxLoaderBytes}
	if start == 0 {
		l.state = newState(newest, p)
	}
	return l
}

// State returns the state, or nil if no usable checkpoint has been found yet.
func (l *Loader) State() *State { return l.state }

// Next returns the offset of the entry that the Loader needs next.
func (l *Loader) Next() record.Offset {
	if l.state != nil {
		return l.state.Head()
	}
	return l.start + record.Offset(len(l.entries))
}

// Rejected returns the number of complete checkpoints that were stale, invalid or below the minimum version. It
// does not count checkpoints whose data does not match the checksum in their chunks.
func (l *Loader) Rejected() int { return l.rejected }

// Mismatches returns the number of entries with checkpoint chunks that contradict the state built from the
// restored checkpoint. One of the two checkpoints must be wrong.
func (l *Loader) Mismatches() int { return l.mismatches }

// Add adds the next entries. It ignores entries that were added before. The error is a *LevelError or a *GapError.
// The latter means that entries are missing, and the caller must start over with a new Loader.
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
			l.mismatches++
		}
		return err
	}
	if e.Offset() < l.Next() {
		return nil
	}
	if e.Offset() > l.Next() {
		return &GapError{want: l.Next(), got: e.Offset()}
	}
	l.bufferEntry(e)
	item, err := codec.DecodeAtLevel(e.Data(), l.newestSchema)
	if err != nil {
		return nil // State.Apply reports malformed entries
	}
	chunk, ok := item.Chunk()
	if !ok {
		return nil
	}
	return l.addChunk(chunk)
}

func (l *Loader) bufferEntry(e record.Entry) {
	l.entries = append(l.entries, e)
	l.entryBytes += len(e.Data())
	for l.entryBytes > l.maxEntryBytes && len(l.entries) > 1 {
		l.entryBytes -= len(l.entries[0].Data())
		l.entries[0] = record.Entry{} // frees the data
		l.entries = l.entries[1:]
		l.start++
	}
}

func (l *Loader) addChunk(c codec.Chunk) error {
	data, complete := l.assembler.add(c)
	if !complete {
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

// restore returns nil and no error if the checkpoint is valid but can't be used.
func (l *Loader) restore(c codec.Chunk, data []byte) (*State, error) {
	if !l.policy.isUsable(l, c) {
		return nil, nil
	}
	s, err := restore(data, l.newestSchema, l.policy)
	if err != nil {
		return nil, err
	}
	if s.head != c.Head() || s.chain != c.Chain() || s.version < l.minVersion {
		return nil, nil
	}
	return s, nil
}

// isUsable reports whether the buffered entries start at or before the head of the checkpoint. A checkpoint can't
// cover its own entries, so its head must also be below Next.
func (l *Loader) isUsable(c codec.Chunk) bool { return c.Head() >= l.start && c.Head() < l.Next() }

func (l *Loader) resume(s *State) error {
	entries := l.entries
	l.state, l.entries, l.assembler = s, nil, chunkAssembler{}
	return l.Add(entries)
}

// End tells the Loader that the log has no entries from Next on. It returns a *NoCheckpointError if there is no state.
func (l *Loader) End() error {
	if l.state != nil {
		return nil
	}
	return &NoCheckpointError{first: l.start, next: l.Next()}
}
