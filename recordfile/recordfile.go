// Package recordfile reads and writes change sets as TOML files, the form in which operators keep and
// publish configuration records. Records of the old and the new schema stand side by side in one file.
package recordfile

import (
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// MaxRecords is the number of records that one file may put and remove.
const MaxRecords = catalog.MaxRecords

// File is what a record file says. What a file leaves open is filled in when it is published.
type File struct {
	publishID record.PublishID
	operator  string
	base      record.Version
	hasBase   bool
	level     record.Schema
	puts      []record.Record
	removes   []record.ID
}

// Load reads and checks the record file at path. The error is a *tomldoc.FaultsError with every fault
// of the file.
func Load(path string) (File, error) {
	doc, err := tomldoc.Load(path)
	if err != nil {
		return File{}, err
	}
	return readFile(doc)
}

// Parse checks a record file held in memory. Faults name it as file.
func Parse(file string, data []byte) (File, error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return File{}, err
	}
	return readFile(doc)
}

// FromChangeSet returns the file that holds all of a change set.
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

// PublishID returns the publish ID, or false if the file gives none.
func (f File) PublishID() (record.PublishID, bool) { return f.publishID, f.publishID != uuid.Nil }

// Operator returns who publishes, empty if the file does not say.
func (f File) Operator() string { return f.operator }

// Base returns the version that the change was prepared against, or false if the file gives none.
func (f File) Base() (record.Version, bool) { return f.base, f.hasBase }

// Level returns the schema level to raise the fleet to, or zero.
func (f File) Level() record.Schema { return f.level }

// Puts returns the records to create or replace. The caller must not change it.
func (f File) Puts() []record.Record { return f.puts }

// Removes returns the records to remove. The caller must not change it.
func (f File) Removes() []record.ID { return f.removes }

// ChangeSet returns the change set of the file under that identity, operator and base.
func (f File) ChangeSet(publishID record.PublishID, operator string, base record.Version) record.ChangeSet {
	return record.NewChangeSet(publishID, operator, base, f.puts, f.removes).WithLevel(f.level)
}
