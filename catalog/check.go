package catalog

import "github.com/bambooknot/bambooknot/record"

// CheckRecord returns the faults in the fields of one record, as far as they show without the records
// beside it, for a fleet that accepts the record's schema.
func CheckRecord(r record.Record) []record.Fault {
	v := &validator{
		state:  &State{level: r.Schema()},
		change: record.NewChangeSet(record.PublishID{}, "", 0, []record.Record{r}, nil),
	}
	v.checkFields()
	return v.faults
}
