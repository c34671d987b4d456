package catalog

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// GapError says that an entry does not follow the head: entries between them are missing.
type GapError struct {
	want record.Offset
	got  record.Offset
}

// Want returns the offset that has to be folded next.
func (e *GapError) Want() record.Offset { return e.want }

// Got returns the offset of the entry that was given.
func (e *GapError) Got() record.Offset { return e.got }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d does not follow head %d", e.got, e.want)
}

// LevelError says that the fleet accepts a schema that this binary does not understand. The binary has to
// be upgraded before it can fold further.
type LevelError struct {
	level record.Schema
}

// Level returns the schema that is needed.
func (e *LevelError) Level() record.Schema { return e.level }

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("schema %d is needed, which this binary does not understand", e.level)
}

// NoCheckpointError says that entries were trimmed which no checkpoint in the log covers.
type NoCheckpointError struct {
	first record.Offset
	next  record.Offset
}

// First returns the first offset that the log keeps.
func (e *NoCheckpointError) First() record.Offset { return e.first }

// Next returns the offset up to which no usable checkpoint was found.
func (e *NoCheckpointError) Next() record.Offset { return e.next }

// Error implements error.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("no checkpoint covers the entries before %d, searched up to %d", e.first, e.next)
}
