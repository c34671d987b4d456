package catalog

import (
	"errors"
	"maps"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// InitialLevel is the schema level before any change set raises it. It is the newest schema of the first
// release and never follows record.SchemaNewest, because later binaries must fold old entries alike.
const InitialLevel = record.Schema2

// State is the result of folding a prefix of the configuration stream. It is not safe for concurrent use;
// its Snapshots are.
type State struct {
	policy     policy
	newest     record.Schema
	level      record.Schema
	levelStamp codec.Stamp
	head       record.Offset
	chain      uint64
	version    record.Version
	horizon    record.Version
	index      index
	graves     graves
	decisions  decisions
	trail      trail
	snapshot   *Snapshot
}

// New returns the state before the first entry, for a binary that understands record.SchemaNewest.
func New() *State { return NewWithSchema(record.SchemaNewest) }

// NewWithSchema returns the state before the first entry, for a binary whose newest schema is given.
func NewWithSchema(newest record.Schema) *State { return newState(newest, defaultPolicy()) }

func newState(newest record.Schema, p policy) *State {
	return &State{
		policy:    p,
		newest:    newest,
		level:     InitialLevel,
		index:     newIndex(),
		graves:    newGraves(p.tombstones),
		decisions: newDecisions(p.outcomes),
	}
}

// Head returns the first offset that is not folded yet.
func (s *State) Head() record.Offset { return s.head }

// Chain returns the hash over all entries before the head.
func (s *State) Chain() uint64 { return s.chain }

// Version returns the version in force.
func (s *State) Version() record.Version { return s.version }

// Level returns the newest record schema that the fleet accepts.
func (s *State) Level() record.Schema { return s.level }

// Horizon returns the oldest base version that is accepted from a change set whose base is not the
// version in force.
func (s *State) Horizon() record.Version { return s.horizon }

// Len returns the number of records in force.
func (s *State) Len() int { return len(s.index.records) }

// Outcome returns the decision on a publish, and false when it is undecided or no longer remembered.
func (s *State) Outcome(id record.PublishID) (record.Outcome, bool) { return s.decisions.get(id) }

// Snapshot returns the configuration in force. It stays the same until the version changes.
func (s *State) Snapshot() *Snapshot {
	if s.snapshot == nil {
		s.snapshot = &Snapshot{
			version: s.version, level: s.level,
			records: maps.Clone(s.index.records), paths: maps.Clone(s.index.paths),
		}
	}
	return s.snapshot
}

// Apply folds the entry at the head. An entry below the head changes nothing. The error is a *GapError or
// a *LevelError, and then nothing has changed.
func (s *State) Apply(e record.Entry) (Result, error) {
	skip, err := s.policy.order(s, e.Offset())
	if skip || err != nil {
		return Result{}, err
	}
	result, err := s.fold(e)
	if err != nil {
		return Result{}, err
	}
	s.trail.add(s.head, s.chain)
	s.chain = s.policy.link(s.chain, e)
	s.head = e.Offset() + 1
	return result, nil
}

func (s *State) checkOrder(offset record.Offset) (bool, error) {
	if offset < s.head {
		return true, nil
	}
	if offset > s.head {
		return false, &GapError{want: s.head, got: offset}
	}
	return false, nil
}

func (s *State) fold(e record.Entry) (Result, error) {
	item, err := s.policy.decode(s, e.Data())
	var entryErr *codec.EntryError
	if errors.As(err, &entryErr) {
		return s.refuse(e.Offset(), entryErr.Publish(), entryErr.Faults()), nil
	}
	if chunk, ok := item.Chunk(); ok {
		return s.verify(chunk), nil
	}
	change, _ := item.Change()
	return s.decide(e.Offset(), change)
}

func (s *State) decide(offset record.Offset, c record.ChangeSet) (Result, error) {
	if outcome, ok := s.policy.recall(s, c.PublishID()); ok {
		return Result{kind: ResultDuplicate, outcome: outcome}, nil
	}
	if stamp, ok := s.trace(c); ok {
		return Result{kind: ResultDuplicate, outcome: record.Accepted(c.PublishID(), stamp.Version)}, nil
	}
	if faults := s.review(c); len(faults) > 0 {
		return s.refuse(offset, c.PublishID(), faults), nil
	}
	if c.Level() > s.newest {
		return Result{}, &LevelError{level: c.Level()}
	}
	version := record.Version(offset + 1)
	s.policy.commit(s, c, codec.Stamp{Version: version, Publish: c.PublishID()})
	outcome := record.Accepted(c.PublishID(), version)
	s.remember(offset, outcome)
	return Result{kind: ResultAccepted, outcome: outcome}, nil
}

// trace finds a publish whose outcome is forgotten by what it left: a record or tombstone that still bears its
// stamp shows that it was accepted.
func (s *State) trace(c record.ChangeSet) (codec.Stamp, bool) {
	for _, r := range c.Puts() {
		if stamp := s.index.stamps[r.ID()]; stamp.Version > 0 && stamp.Publish == c.PublishID() {
			return stamp, true
		}
	}
	for _, id := range c.Removes() {
		if stamp := s.graves.byID[id]; stamp.Version > 0 && stamp.Publish == c.PublishID() {
			return stamp, true
		}
	}
	return codec.Stamp{}, false
}

// refuse returns the outcome of a refusal. A publish that was decided before keeps its first outcome.
func (s *State) refuse(offset record.Offset, id record.PublishID, faults []record.Fault) Result {
	if id == (record.PublishID{}) {
		return Result{kind: ResultMalformed}
	}
	if outcome, ok := s.policy.recall(s, id); ok {
		return Result{kind: ResultDuplicate, outcome: outcome}
	}
	outcome := record.Refused(id, s.version, boundFaults(faults))
	s.remember(offset, outcome)
	return Result{kind: ResultRefused, outcome: outcome}
}

func (s *State) remember(offset record.Offset, outcome record.Outcome) {
	s.policy.forget(s, s.decisions.add(codec.StampedResult{Offset: offset, Outcome: outcome}))
}

// forget notes that something decided up to version v is no longer remembered.
func (s *State) forget(v record.Version) { s.horizon = max(s.horizon, v) }

func (s *State) decode(data []byte) (codec.Item, error) { return codec.DecodeAt(data, s.level) }

func (s *State) commit(c record.ChangeSet, stamp codec.Stamp) {
	for _, id := range c.Removes() {
		s.index.remove(id)
		s.policy.forget(s, s.graves.add(codec.Tombstone{ID: id, Stamp: stamp}))
	}
	s.index.putAll(c.Puts(), stamp)
	if c.Level() > s.level {
		s.level = c.Level()
		s.levelStamp = stamp
	}
	s.version = stamp.Version
	s.snapshot = nil
}
