package catalog

import (
	"fmt"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Checkpoint returns the whole state as bytes: compressed, hash-checked, equal for equal states.
func (s *State) Checkpoint() ([]byte, error) {
	return codec.EncodeCheckpoint(s.policy.export(s))
}

// CheckpointEntries returns a checkpoint as entries to append to the log, in order. The number writer should
// differ between the processes that write checkpoints.
func (s *State) CheckpointEntries(writer uint64) ([][]byte, error) {
	data, err := s.Checkpoint()
	if err != nil {
		return nil, err
	}
	return codec.EncodeChunks(writer, s.head, s.chain, data)
}

func (s *State) export() codec.Checkpoint {
	return codec.Checkpoint{
		Head: s.head, Chain: s.chain, Version: s.version,
		Level: s.level, LevelStamp: s.levelStamp, Horizon: s.horizon,
		Records: s.index.sorted(), Tombstones: s.graves.queue, Outcomes: s.decisions.queue,
	}
}

// Restore returns the state of a checkpoint, for a binary that understands record.SchemaNewest. The error is
// a *codec.CheckpointError or a *LevelError.
func Restore(data []byte) (*State, error) { return RestoreKnowing(data, record.SchemaNewest) }

// RestoreKnowing is Restore for a binary whose newest schema is given.
func RestoreKnowing(data []byte, newest record.Schema) (*State, error) {
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
	s := NewKnowing(newest)
	s.fill(c)
	if err := s.audit(); err != nil {
		return nil, codec.NewCheckpointError("audit", err)
	}
	return s, nil
}

func (s *State) fill(c codec.Checkpoint) {
	s.head, s.chain, s.version = c.Head, c.Chain, c.Version
	s.level, s.levelStamp, s.horizon = c.Level, c.LevelStamp, c.Horizon
	for _, r := range c.Records {
		s.index.put(r)
	}
	for _, t := range c.Tombstones {
		s.graves.add(t)
	}
	for _, r := range c.Outcomes {
		s.decisions.add(r)
	}
}

// audit checks what the fold guarantees, so that no damaged or forged checkpoint yields a configuration
// that could not have been accepted.
func (s *State) audit() error {
	if uint64(s.version) > uint64(s.head) || s.horizon > record.Version(s.head) {
		return fmt.Errorf("version %d or horizon %d is above head %d", s.version, s.horizon, s.head)
	}
	if s.level < InitialLevel {
		return fmt.Errorf("level %d is below %d", s.level, InitialLevel)
	}
	for id, held := range s.index.records {
		if held.Stamp.Version > s.version {
			return fmt.Errorf("%s is stamped above version %d", id, s.version)
		}
		for _, ref := range held.Record.References() {
			if _, ok := s.index.records[ref]; !ok {
				return fmt.Errorf("%s refers to missing %s", id, ref)
			}
		}
	}
	return nil
}
