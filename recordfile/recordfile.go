// Package recordfile reads and writes change sets as TOML files, the format in which operators store and
// publish configuration records. A file may contain records of different schemas.
package recordfile

import (
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// MaxRecords is the largest number of records that a file may put and remove together.
const MaxRecords = catalog.MaxRecords

// File is the content of a record file. Optional values that it lacks are filled in at publishing.
type File struct {
	publishID record.PublishID
	operator  string
	base      record.Version
	hasBase   bool
	level     record.Schema
	puts      []record.Record
	removes   []record.ID
}

// Load reads and checks the record file at path. The error is a *tomldoc.FaultsError with all faults of
// the file.
func Load(path string) (File, error) {
	doc, err := tomldoc.Load(path)
	if err != nil {
		return File{}, err
	}
	return readFile(doc)
}

// Parse reads and checks the content of a record file. Faults give file as its name.
func Parse(file string, data []byte) (File, error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return File{}, err
	}
	return readFile(doc)
}

// FromChangeSet returns a file with everything in a change set.
func FromChangeSet(c record.ChangeSet) File {
	return File{
		publishID: c.PublishID(), operator: c.Operator(), base: c.Base(), hasBase: true,
		level: c.Level(), puts: c.Puts(), removes: c.Removes(),
	}
}

// FromRecords returns a file that puts records prepared against version base.
func FromRecords(base record.Version, records []record.Record) File {
	return File{base: base, hasBase: true, puts: records}
}

// PublishID returns the publish ID, or false if the file has none.
func (f File) PublishID() (record.PublishID, bool) { return f.publishID, f.publishID != uuid.Nil }

// Operator returns the name of the publishing operator, empty if the file has none.
func (f File) Operator() string { return f.operator }

// Base returns the version that the change was prepared against, or false if the file has none.
func (f File) Base() (record.Version, bool) { return f.base, f.hasBase }

// Level returns the schema level to raise the fleet to, or zero.
func (f File) Level() record.Schema { return f.level }

// Puts returns the records to create or replace. The caller must not modify the slice.
func (f File) Puts() []record.Record { return f.puts }

// Removes returns the IDs of the records to remove. The caller must not modify the slice.
func (f File) Removes() []record.ID { return f.removes }

// ChangeSet returns the change set of the file with the given publish ID, operator and base version.
func (f File) ChangeSet(publishID record.PublishID, operator string, base record.Version) record.ChangeSet {
	return record.NewChangeSet(publishID, operator, base, f.puts, f.removes).WithLevel(f.level)
}
