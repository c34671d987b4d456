package catalog

import "github.com/bambooknot/bambooknot/record"

// ResultKind classifies the effect of an entry.
type ResultKind uint8

// Kinds of results.
const (
	// ResultIgnored means that the entry is below the head.
	ResultIgnored ResultKind = iota
	// ResultAccepted means that the change set was accepted.
	ResultAccepted
	// ResultRefused means that the change set was refused because of faults.
	ResultRefused
	// ResultDuplicate means that an earlier entry decided the publish. Its outcome stays valid.
	ResultDuplicate
	// ResultMalformed means that the entry can't be decoded and has no readable publish ID.
	ResultMalformed
	// ResultCheckpoint means that the entry is a chunk of a checkpoint that does not contradict the state.
	ResultCheckpoint
	// ResultMismatch means that the entry is a chunk of a checkpoint that contradicts the state.
	ResultMismatch
)

// String returns the name of the kind as used in metrics.
func (k ResultKind) String() string {
	names := [...]string{"ignored", "accepted", "refused", "duplicate", "malformed", "checkpoint", "mismatch"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Result is the effect of applying one entry.
type Result struct {
	kind           ResultKind
	outcome        record.Outcome
	checkpointHead record.Offset
	isLastChunk    bool
}

// Kind returns the classification of the effect.
func (r Result) Kind() ResultKind { return r.kind }

// Outcome returns the decision on the change set in the entry, and false if the entry has no decided change set.
func (r Result) Outcome() (record.Outcome, bool) {
	decided := r.kind == ResultAccepted || r.kind == ResultRefused || r.kind == ResultDuplicate
	return r.outcome, decided
}

// Covered returns the head of a checkpoint, below which the checkpoint covers the stream. It returns true only if
// the entry is the last chunk of a checkpoint that does not contradict the state.
func (r Result) Covered() (record.Offset, bool) {
	return r.checkpointHead, r.kind == ResultCheckpoint && r.isLastChunk
}
