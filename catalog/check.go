package catalog

import "github.com/bambooknot/bambooknot/record"

// CheckRecord returns the faults in the fields of a record that can be detected without the rest of the
// configuration. It assumes that the fleet accepts the schema of the record.
func CheckRecord(r record.Record) []record.Fault {
	v := &validator{
		state:  &State{level: r.Schema()},
		change: record.NewChangeSet(record.PublishID{}, "", 0, []record.Record{r}, nil),
	}
	v.checkFields()
	return v.faults
}
