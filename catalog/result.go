package catalog

import "github.com/bambooknot/bambooknot/record"

// ResultKind says what an entry did.
type ResultKind uint8

// Kinds of results.
const (
	// ResultIgnored: the entry lies below the head.
	ResultIgnored ResultKind = iota
	// ResultAccepted: the change set is part of the configuration.
	ResultAccepted
	// ResultRefused: the change set has faults.
	ResultRefused
	// ResultDuplicate: the publish was decided by an earlier entry, whose outcome stands.
	ResultDuplicate
	// ResultMalformed: the entry does not even tell a publish ID.
	ResultMalformed
	// ResultCheckpoint: the entry is part of a checkpoint that agrees with the fold, as far as known.
	ResultCheckpoint
	// ResultMismatch: the entry is part of a checkpoint that contradicts the fold.
	ResultMismatch
)

// String returns the word that counters use.
func (k ResultKind) String() string {
	names := [...]string{"ignored", "accepted", "refused", "duplicate", "malformed", "checkpoint", "mismatch"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Result is what became of one entry.
type Result struct {
	kind           ResultKind
	outcome        record.Outcome
	checkpointHead record.Offset
	lastChunk      bool
}

// Kind returns what the entry did.
func (r Result) Kind() ResultKind { return r.kind }

// Outcome returns the decision on the change set in the entry, and false when it holds none.
func (r Result) Outcome() (record.Outcome, bool) {
	decided := r.kind == ResultAccepted || r.kind == ResultRefused || r.kind == ResultDuplicate
	return r.outcome, decided
}

// Covered returns the offset up to which a checkpoint covers the stream, if the entry is the last part of one
// that agrees with the fold, and false for any other entry.
func (r Result) Covered() (record.Offset, bool) {
	return r.checkpointHead, r.kind == ResultCheckpoint && r.lastChunk
}
