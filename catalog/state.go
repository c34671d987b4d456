package catalog

import (
	"errors"
	"maps"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// InitialLevel is the schema level before any change set raises it. It is the newest schema of the first release
// and does not change with record.SchemaNewest, because later binaries must decide on old entries alike.
const InitialLevel = record.Schema2

// State is the result of applying a prefix of the configuration stream. It is not safe for concurrent use, but
// its Snapshots are.
type State struct {
	policy       policy
	newestSchema record.Schema
	level        record.Schema
	levelStamp   codec.Stamp
	head         record.Offset
	chain        uint64
	version      record.Version
	horizon      record.Version
	index        index
	tombstones   tombstones
	decisions    decisions
	chainHistory chainHistory
	snapshot     *Snapshot
}

// New returns the state before the first entry, for a binary that understands schemas up to record.SchemaNewest.
func New() *State { return NewWithSchema(record.SchemaNewest) }

// NewWithSchema is like New, for a binary that understands schemas up to newest.
func NewWithSchema(newest record.Schema) *State { return newState(newest, defaultPolicy()) }

func newState(newest record.Schema, p policy) *State {
	return &State{
		policy:       p,
		newestSchema: newest,
		level:        InitialLevel,
		index:        newIndex(),
		tombstones:   newTombstones(p.maxTombstones),
		decisions:    newDecisions(p.maxOutcomes),
	}
}

// Head returns the offset of the next entry to apply.
func (s *State) Head() record.Offset { return s.head }

// Chain returns the hash chain value over all entries before the head.
func (s *State) Chain() uint64 { return s.chain }

// Version returns the version in force.
func (s *State) Version() record.Version { return s.version }

// Level returns the schema level of the fleet, the newest record schema that it accepts.
func (s *State) Level() record.Schema { return s.level }

// Horizon returns the oldest base version that is accepted. The version in force is always accepted as a base,
// even if it is below the horizon.
func (s *State) Horizon() record.Version { return s.horizon }

// Len returns the number of records in force.
func (s *State) Len() int { return len(s.index.records) }

// Outcome returns the decision on a publish, and false if it is undecided or its outcome was evicted.
func (s *State) Outcome(id record.PublishID) (record.Outcome, bool) { return s.decisions.get(id) }

// Snapshot returns the configuration in force. It returns the same pointer until the version changes.
func (s *State) Snapshot() *Snapshot {
	if s.snapshot == nil {
		s.snapshot = &Snapshot{
			version: s.version, level: s.level,
			records: maps.Clone(s.index.records), paths: maps.Clone(s.index.paths),
		}
	}
	return s.snapshot
}

// Apply applies the entry at the head and advances the head. It ignores an entry below the head. The error is a
// *GapError or a *LevelError; the state is unchanged in both cases.
func (s *State) Apply(e record.Entry) (Result, error) {
	skip, err := s.policy.checkOrder(s, e.Offset())
	if skip || err != nil {
		return Result{}, err
	}
	result, err := s.applyEntry(e)
	if err != nil {
		return Result{}, err
	}
	s.chainHistory.add(s.head, s.chain)
	s.chain = s.policy.chainHash(s.chain, e)
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

func (s *State) applyEntry(e record.Entry) (Result, error) {
	item, err := s.policy.decode(s, e.Data())
	var entryErr *codec.EntryError
	if errors.As(err, &entryErr) {
		return s.refuse(e.Offset(), entryErr.PublishID(), entryErr.Faults()), nil
	}
	if chunk, ok := item.Chunk(); ok {
		return s.verifyChunk(chunk), nil
	}
	change, _ := item.Change()
	return s.decide(e.Offset(), change)
}

func (s *State) decide(offset record.Offset, c record.ChangeSet) (Result, error) {
	if outcome, ok := s.policy.findOutcome(s, c.PublishID()); ok {
		return Result{kind: ResultDuplicate, outcome: outcome}, nil
	}
	if stamp, ok := s.acceptedStamp(c); ok {
		return Result{kind: ResultDuplicate, outcome: record.Accepted(c.PublishID(), stamp.Version)}, nil
	}
	if faults := s.validate(c); len(faults) > 0 {
		return s.refuse(offset, c.PublishID(), faults), nil
	}
	if c.Level() > s.newestSchema {
		return Result{}, &LevelError{level: c.Level()}
	}
	version := record.Version(offset + 1)
	s.policy.commit(s, c, codec.Stamp{Version: version, PublishID: c.PublishID()})
	outcome := record.Accepted(c.PublishID(), version)
	s.addOutcome(offset, outcome)
	return Result{kind: ResultAccepted, outcome: outcome}, nil
}

// acceptedStamp detects a retry of an accepted publish whose outcome was evicted. A record or tombstone that still
// has the stamp of the publish shows that it was accepted.
func (s *State) acceptedStamp(c record.ChangeSet) (codec.Stamp, bool) {
	for _, r := range c.Puts() {
		if stamp := s.index.stamps[r.ID()]; stamp.Version > 0 && stamp.PublishID == c.PublishID() {
			return stamp, true
		}
	}
	for _, id := range c.Removes() {
		if stamp := s.tombstones.byID[id]; stamp.Version > 0 && stamp.PublishID == c.PublishID() {
			return stamp, true
		}
	}
	return codec.Stamp{}, false
}

// refuse refuses a change set for faults. A publish that was decided before keeps its first outcome.
func (s *State) refuse(offset record.Offset, id record.PublishID, faults []record.Fault) Result {
	if id == (record.PublishID{}) {
		return Result{kind: ResultMalformed}
	}
	if outcome, ok := s.policy.findOutcome(s, id); ok {
		return Result{kind: ResultDuplicate, outcome: outcome}
	}
	outcome := record.Refused(id, s.version, limitFaults(faults))
	s.addOutcome(offset, outcome)
	return Result{kind: ResultRefused, outcome: outcome}
}

func (s *State) addOutcome(offset record.Offset, outcome record.Outcome) {
	s.policy.raiseHorizon(s, s.decisions.add(codec.EntryOutcome{Offset: offset, Outcome: outcome}))
}

// raiseHorizon records that an outcome or a tombstone of version v or below was evicted.
func (s *State) raiseHorizon(v record.Version) { s.horizon = max(s.horizon, v) }

func (s *State) decode(data []byte) (codec.DecodedEntry, error) {
	return codec.DecodeAtLevel(data, s.level)
}

func (s *State) commit(c record.ChangeSet, stamp codec.Stamp) {
	for _, id := range c.Removes() {
		s.index.remove(id)
		s.policy.raiseHorizon(s, s.tombstones.add(codec.Tombstone{ID: id, Stamp: stamp}))
	}
	s.index.putAll(c.Puts(), stamp)
	if c.Level() > s.level {
		s.level = c.Level()
		s.levelStamp = stamp
	}
	s.version = stamp.Version
	s.snapshot = nil
}
