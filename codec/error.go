package codec

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// EntryError reports why a log entry cannot be decoded or exceeds a size limit.
type EntryError struct {
	publishID record.PublishID
	faults    []record.Fault
}

func newEntryError(publishID record.PublishID, reason record.Reason, detail string) *EntryError {
	return &EntryError{publishID: publishID, faults: []record.Fault{record.NewFault(reason, record.ID{}, "", detail)}}
}

// PublishID returns the ID of the publish. It is zero if the entry ends before its publish ID or is not a change set.
func (e *EntryError) PublishID() record.PublishID { return e.publishID }

// Faults returns the faults of the entry, at least one. Their reasons are ReasonMalformed and ReasonTooLarge.
func (e *EntryError) Faults() []record.Fault { return e.faults }

// Error implements error.
func (e *EntryError) Error() string {
	f := e.faults[0]
	return fmt.Sprintf("entry of publish %s is %s: %s %s", e.publishID, f.Reason(), f.Record(), f.Detail())
}

// CheckpointError reports the step at which restoring a checkpoint failed, and why.
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

// NewCheckpointError returns an error for a checkpoint that fails a step outside this package, such as an audit.
func NewCheckpointError(step string, err error) *CheckpointError {
	return &CheckpointError{step: step, err: err}
}
