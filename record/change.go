package record

import "github.com/google/uuid"

// PublishID identifies a publish operation, so that retries of it are deduplicated.
type PublishID = uuid.UUID

// ChangeSet is the unit that an operator publishes: records to create or replace, and records to remove. It
// is accepted or refused atomically.
type ChangeSet struct {
	publishID PublishID
	operator  string
	base      Version
	level     Schema
	puts      []Record
	removes   []ID
}

// NewChangeSet returns a change set that was prepared against version base. It retains the slices, so
// the caller must not modify them afterwards.
func NewChangeSet(publishID PublishID, operator string, base Version, puts []Record, removes []ID) ChangeSet {
	return ChangeSet{publishID: publishID, operator: operator, base: base, puts: puts, removes: removes}
}

// WithLevel returns a copy that also raises the schema level of the fleet, the newest schema that it accepts.
func (c ChangeSet) WithLevel(level Schema) ChangeSet {
	c.level = level
	return c
}

// PublishID returns the ID of the publish operation.
func (c ChangeSet) PublishID() PublishID { return c.publishID }

// Operator returns the name of the operator who published.
func (c ChangeSet) Operator() string { return c.operator }

// Base returns the version that the change set was prepared against.
func (c ChangeSet) Base() Version { return c.base }

// Level returns the new schema level of the fleet, or zero if it does not change.
func (c ChangeSet) Level() Schema { return c.level }

// Puts returns the records to create or replace. The caller must not modify the slice.
func (c ChangeSet) Puts() []Record { return c.puts }

// Removes returns the IDs of the records to remove. The caller must not modify the slice.
func (c ChangeSet) Removes() []ID { return c.removes }
