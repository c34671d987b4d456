package record

import "github.com/google/uuid"

// PublishID identifies one publish, so that a retry of it counts once.
type PublishID = uuid.UUID

// ChangeSet is what an operator publishes: records to put and records to remove, accepted whole or
// refused whole.
type ChangeSet struct {
	publish  PublishID
	operator string
	base     Version
	level    Schema
	puts     []Record
	removes  []ID
}

// NewChangeSet returns a change set that was prepared against version base. It keeps the slices, so
// the caller must not change them afterwards.
func NewChangeSet(publish PublishID, operator string, base Version, puts []Record, removes []ID) ChangeSet {
	return ChangeSet{publish: publish, operator: operator, base: base, puts: puts, removes: removes}
}

// WithLevel returns a copy that also raises the newest schema which the fleet accepts.
func (c ChangeSet) WithLevel(level Schema) ChangeSet {
	c.level = level
	return c
}

// PublishID returns the identity of the publish.
func (c ChangeSet) PublishID() PublishID { return c.publish }

// Operator returns who published.
func (c ChangeSet) Operator() string { return c.operator }

// Base returns the version that the operator saw while preparing the change.
func (c ChangeSet) Base() Version { return c.base }

// Level returns the schema to which the fleet's newest accepted schema rises, or zero for no change.
func (c ChangeSet) Level() Schema { return c.level }

// Puts returns the records to create or replace. The caller must not change it.
func (c ChangeSet) Puts() []Record { return c.puts }

// Removes returns the records to remove. The caller must not change it.
func (c ChangeSet) Removes() []ID { return c.removes }
