package record

// Reason classes why a change set was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonConflict: a record was changed by another publish after the base version.
	ReasonConflict Reason = iota + 1
	// ReasonDangling: a route would refer to a service or resource that is missing.
	ReasonDangling
	// ReasonInvalid: a field holds a value that is not allowed.
	ReasonInvalid
	// ReasonSchema: a record's schema is newer than the fleet accepts.
	ReasonSchema
	// ReasonTooLarge: the change set or a record exceeds the size limit.
	ReasonTooLarge
	// ReasonMissing: a record to be removed does not exist.
	ReasonMissing
	// ReasonMalformed: the entry could not be decoded.
	ReasonMalformed
)

// String returns the word that operators see.
func (r Reason) String() string {
	names := [...]string{"none", "conflict", "dangling", "invalid", "schema", "too-large", "missing", "malformed"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Fault is one cause of a refusal.
type Fault struct {
	reason Reason
	record ID
	field  string
	detail string
}

// NewFault returns a fault in a field of a record. The field is empty when the record as a whole is
// at fault, and the record is zero when the change set is.
func NewFault(reason Reason, record ID, field, detail string) Fault {
	return Fault{reason: reason, record: record, field: field, detail: detail}
}

// Reason returns the class of the fault.
func (f Fault) Reason() Reason { return f.reason }

// Record returns the record at fault.
func (f Fault) Record() ID { return f.record }

// Field returns the field at fault.
func (f Fault) Field() string { return f.field }

// Detail says what is wrong and what is allowed.
func (f Fault) Detail() string { return f.detail }

// Outcome is the decision on one change set.
type Outcome struct {
	publish PublishID
	version Version
	faults  []Fault
}

// Accepted returns the outcome of a change set that made up version.
func Accepted(publish PublishID, version Version) Outcome {
	return Outcome{publish: publish, version: version}
}

// Refused returns the outcome of a change set with faults. The outcome keeps the slice.
func Refused(publish PublishID, version Version, faults []Fault) Outcome {
	return Outcome{publish: publish, version: version, faults: faults}
}

// PublishID returns the identity of the publish.
func (o Outcome) PublishID() PublishID { return o.publish }

// Accepted tells whether the change set is part of the configuration.
func (o Outcome) Accepted() bool { return len(o.faults) == 0 }

// Version returns the version that the change set made, or, when refused, the version in force when
// it was decided.
func (o Outcome) Version() Version { return o.version }

// Faults returns every cause of the refusal. The caller must not change it.
func (o Outcome) Faults() []Fault { return o.faults }
