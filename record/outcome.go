package record

// Reason classifies why a change set was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonConflict means that another publish changed a record or the schema level after the base version, or
	// that the base version is too old to detect this.
	ReasonConflict Reason = iota + 1
	// ReasonDangling means that a route would refer to a service or resource that does not exist.
	ReasonDangling
	// ReasonInvalid means that the value of a field is not allowed.
	ReasonInvalid
	// ReasonSchema means that the schema of a record is newer than the schema level of the fleet.
	ReasonSchema
	// ReasonTooLarge means that the entry, the change set, a record or the resulting configuration exceeds a
	// size limit.
	ReasonTooLarge
	// ReasonMissing means that a record to be removed does not exist.
	ReasonMissing
	// ReasonMalformed means that the entry or one of its records could not be decoded.
	ReasonMalformed
)

// String returns the name of the reason as shown to operators.
func (r Reason) String() string {
	names := [...]string{"none", "conflict", "dangling", "invalid", "schema", "too-large", "missing", "malformed"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Fault is one of the causes for which a change set was refused.
type Fault struct {
	reason Reason
	record ID
	field  string
	detail string
}

// NewFault returns a fault in a field of a record. The record is zero if the fault concerns the change set
// itself. The field is empty if the fault concerns the whole record or the whole change set.
func NewFault(reason Reason, record ID, field, detail string) Fault {
	return Fault{reason: reason, record: record, field: field, detail: detail}
}

// Reason returns the classification of the fault.
func (f Fault) Reason() Reason { return f.reason }

// Record returns the ID of the faulty record, which is zero if the fault concerns the change set.
func (f Fault) Record() ID { return f.record }

// Field returns the name of the faulty field of the record or, if Record is zero, of the change set. It is
// empty if the fault concerns the whole.
func (f Fault) Field() string { return f.field }

// Detail returns a description of what is wrong and what is allowed.
func (f Fault) Detail() string { return f.detail }

// Outcome is the decision on one change set.
type Outcome struct {
	publishID PublishID
	version   Version
	faults    []Fault
}

// Accepted returns the outcome of an accepted change set that produced version.
func Accepted(publishID PublishID, version Version) Outcome {
	return Outcome{publishID: publishID, version: version}
}

// Refused returns the outcome of a change set that was refused for faults while version was in force. It
// retains the slice, so the caller must not modify it afterwards.
func Refused(publishID PublishID, version Version, faults []Fault) Outcome {
	return Outcome{publishID: publishID, version: version, faults: faults}
}

// PublishID returns the ID of the publish operation.
func (o Outcome) PublishID() PublishID { return o.publishID }

// Accepted reports whether the change set was accepted.
func (o Outcome) Accepted() bool { return len(o.faults) == 0 }

// Version returns the version that the change set produced or, if it was refused, the version in force at
// the time of the decision.
func (o Outcome) Version() Version { return o.version }

// Faults returns the causes of the refusal. The caller must not modify the slice.
func (o Outcome) Faults() []Fault { return o.faults }
