package codec

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// EntryError says why an entry of the log is not a change set that could be decided on.
type EntryError struct {
	publish record.PublishID
	faults  []record.Fault
}

func newEntryError(publish record.PublishID, reason record.Reason, detail string) *EntryError {
	return &EntryError{publish: publish, faults: []record.Fault{record.NewFault(reason, record.ID{}, "", detail)}}
}

// PublishID returns the identity of the publish, or the zero ID when the entry does not tell it.
func (e *EntryError) PublishID() record.PublishID { return e.publish }

// Faults returns what is wrong with the entry: ReasonMalformed or ReasonTooLarge.
func (e *EntryError) Faults() []record.Fault { return e.faults }

// Error implements error.
func (e *EntryError) Error() string {
	f := e.faults[0]
	return fmt.Sprintf("entry of publish %s is %s: %s %s", e.publish, f.Reason(), f.Record(), f.Detail())
}

// CheckpointError says why bytes are not a whole state.
type CheckpointError struct {
	step string
	err  error
}

// Error implements error.
func (e *CheckpointError) Error() string {
	return fmt.Sprintf("checkpoint: %s: %v", e.step, e.err)
}

// Unwrap returns the cause.
func (e *CheckpointError) Unwrap() error { return e.err }

// NewCheckpointError returns the error of a step that failed for a cause.
func NewCheckpointError(step string, err error) *CheckpointError {
	return &CheckpointError{step: step, err: err}
}
