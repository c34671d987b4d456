package catalog

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// GapError reports that an entry does not follow the head. As an error of State.Apply or Loader.Add it means
// that the entries between them are missing.
type GapError struct {
	want record.Offset
	got  record.Offset
}

// Want returns the offset that was expected next.
func (e *GapError) Want() record.Offset { return e.want }

// Got returns the offset of the entry that was given.
func (e *GapError) Got() record.Offset { return e.got }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d does not follow head %d", e.got, e.want)
}

// LevelError reports that the schema level of the fleet is above the newest schema that this binary understands.
// The binary can't apply further entries until it is upgraded.
type LevelError struct {
	level record.Schema
}

// Level returns the schema that the binary must understand.
func (e *LevelError) Level() record.Schema { return e.level }

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("schema %d is needed, which this binary does not understand", e.level)
}

// NoCheckpointError reports that no checkpoint in the log covers the entries that were trimmed.
type NoCheckpointError struct {
	first record.Offset
	next  record.Offset
}

// First returns the first offset that the log retains.
func (e *NoCheckpointError) First() record.Offset { return e.first }

// Next returns the offset after the last entry that was searched for a checkpoint.
func (e *NoCheckpointError) Next() record.Offset { return e.next }

// Error implements error.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("no checkpoint covers the entries before offset %d; searched up to offset %d", e.first, e.next)
}
