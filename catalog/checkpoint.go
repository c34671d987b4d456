package catalog

import (
	"errors"
	"fmt"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Checkpoint returns the encoded state, compressed and protected by a checksum. Equal states give equal bytes.
func (s *State) Checkpoint() ([]byte, error) {
	return codec.EncodeCheckpoint(s.policy.export(s))
}

// CheckpointEntries returns a checkpoint as the data of log entries, to be appended in order. Concurrent writers
// should use different IDs.
func (s *State) CheckpointEntries(writerID uint64) ([][]byte, error) {
	data, err := s.Checkpoint()
	if err != nil {
		return nil, err
	}
	return codec.EncodeChunks(writerID, s.head, s.chain, data)
}

// bridgeMarker is hashed into the chain of a bridged state, so that it differs from the chain of any state that was
// built by applying entries only.
const bridgeMarker = "bridge"

// Bridge returns a copy of the state whose head is first, as if the entries from the current head to first did not
// exist. Its only use is an operator's decision to give up entries that were trimmed before any node had read
// them: all nodes behind the gap load the checkpoint of the result once it is in the log. The error is a
// *GapError if first is not above the head.
func (s *State) Bridge(first record.Offset) (*State, error) {
	if first <= s.head {
		return nil, &GapError{want: s.head, got: first}
	}
	data, err := s.Checkpoint()
	if err != nil {
		return nil, err
	}
	b, err := restore(data, s.newestSchema, s.policy)
	if err != nil {
		return nil, err
	}
	b.chain = chainHash(s.chain, record.NewEntry(first, []byte(bridgeMarker)))
	b.head = first
	return b, nil
}

// ConsistentWith reports whether later can be a successor of this state: its version is not lower, and it still
// has the newest outcome of this state, unless its horizon is above that outcome. A bridged state that omits
// entries which this state has applied is not consistent with it. A state whose head is not above the head of
// this one always counts as consistent.
func (s *State) ConsistentWith(later *State) bool {
	if later.head <= s.head {
		return true
	}
	if later.version < s.version {
		return false
	}
	list := s.decisions.queue.list
	if len(list) == 0 {
		return true
	}
	newest := list[len(list)-1]
	if uint64(later.horizon) > uint64(newest.Offset) {
		return true
	}
	o, ok := later.Outcome(newest.Outcome.PublishID())
	return ok && o.Accepted() == newest.Outcome.Accepted() && o.Version() == newest.Outcome.Version()
}

func (s *State) export() codec.Checkpoint {
	return codec.Checkpoint{
		Head: s.head, Chain: s.chain, Version: s.version,
		Level: s.level, LevelStamp: s.levelStamp, Horizon: s.horizon,
		Records: s.index.sorted(), Tombstones: s.tombstones.queue, Outcomes: s.decisions.queue.list,
		Pinned: s.decisions.pinned.list,
	}
}

// Restore decodes a checkpoint for a binary that understands schemas up to record.SchemaNewest. The error is a
// *codec.CheckpointError or a *LevelError.
func Restore(data []byte) (*State, error) { return RestoreWithSchema(data, record.SchemaNewest) }

// RestoreWithSchema is like Restore, for a binary that understands schemas up to newest.
func RestoreWithSchema(data []byte, newest record.Schema) (*State, error) {
	return restore(data, newest, defaultPolicy())
}

func restore(data []byte, newest record.Schema, p policy) (*State, error) {
	level, err := codec.CheckpointLevel(data)
	if err != nil {
		return nil, err
	}
	if level > newest {
		return nil, &LevelError{level: level}
	}
	c, err := codec.DecodeCheckpoint(data)
	if err != nil {
		return nil, err
	}
	s := newState(newest, p)
	s.importCheckpoint(c)
	if err := s.audit(c); err != nil {
		return nil, codec.NewCheckpointError("audit", err)
	}
	return s, nil
}

func (s *State) importCheckpoint(c codec.Checkpoint) {
	s.head, s.chain, s.version = c.Head, c.Chain, c.Version
	s.level, s.levelStamp, s.horizon = c.Level, c.LevelStamp, c.Horizon
	for _, r := range c.Records {
		s.index.put(r)
	}
	for _, t := range c.Tombstones {
		s.tombstones.add(t)
	}
	for _, r := range c.Pinned {
		s.decisions.pin(r)
	}
	for _, r := range c.Outcomes {
		s.decisions.add(r)
	}
}

// audit checks the invariants that hold for every state built by applying entries, so that a damaged or forged
// checkpoint can't yield a configuration that would not have been accepted.
func (s *State) audit(c codec.Checkpoint) error {
	if uint64(s.version) > uint64(s.head) || uint64(s.horizon) > uint64(s.head) {
		return fmt.Errorf("version %d or horizon %d is above head %d", s.version, s.horizon, s.head)
	}
	if s.level < InitialLevel {
		return fmt.Errorf("level %d is below %d", s.level, InitialLevel)
	}
	if len(c.Records) > MaxRecords || len(c.Tombstones) > s.tombstones.max || len(c.Outcomes) > s.decisions.max || len(c.Pinned) > MaxPinnedOutcomes {
		return errors.New("there are more records, tombstones or outcomes than a state keeps")
	}
	for i, r := range c.Records {
		if i > 0 && c.Records[i-1].Record.ID().Compare(r.Record.ID()) >= 0 {
			return fmt.Errorf("%s is duplicated or out of order", r.Record.ID())
		}
		if err := s.auditRecord(r); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) auditRecord(r codec.StampedRecord) error {
	id := r.Record.ID()
	if r.Stamp.Version > s.version {
		return fmt.Errorf("the stamp of %s is above version %d", id, s.version)
	}
	if route, ok := r.Record.(record.Route); ok && s.index.paths[route.Path()] != id {
		return fmt.Errorf("%s has the same path as another route", id)
	}
	for _, ref := range r.Record.References() {
		if _, ok := s.index.records[ref]; !ok {
			return fmt.Errorf("%s refers to missing %s", id, ref)
		}
	}
	return nil
}
