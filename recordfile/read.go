package recordfile

import (
	"fmt"
	"math"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// maxArrayItems is the number of items above which an array in a record is not read.
const maxArrayItems = 1000

func readFile(doc *tomldoc.Document) (File, error) {
	root := doc.Root()
	f := File{
		publishID: readPublishID(root),
		operator:  root.Text("operator", ""),
		hasBase:   root.Has("base"),
		base:      record.Version(root.Int("base", 0, 0, math.MaxInt64)),
		level:     record.Schema(root.Int("level", 0, 1, math.MaxUint16)),
	}
	r := reader{paths: make(map[record.ID]string)}
	for _, t := range root.Tables("service") {
		r.addPut(t, readService(t))
	}
	for _, t := range root.Tables("resource") {
		r.addPut(t, readResource(t))
	}
	for _, t := range root.Tables("route") {
		r.addPut(t, readRoute(t))
	}
	for _, t := range root.Tables("remove") {
		r.addRemove(t)
	}
	n := len(r.puts) + len(r.removes)
	if n > MaxRecords {
		root.AddFault("", "%d records; allowed are %d", n, MaxRecords)
	}
	if n == 0 && !root.Has("level") {
		root.AddFault("", "changes nothing; a record, a removal or a level is required")
	}
	if err := doc.Err(); err != nil {
		return File{}, err
	}
	f.puts, f.removes = r.puts, r.removes
	return f, nil
}

// reader collects the changes of a file.
type reader struct {
	puts    []record.Record
	removes []record.ID
	paths   map[record.ID]string // dotted key of the table of each record
}

// addPut adds a record and reports those of its fields that the fleet would refuse. A key that has a fault
// already gets no second one.
func (r *reader) addPut(t *tomldoc.Table, rec record.Record) {
	r.checkDuplicate(t, rec.ID())
	r.puts = append(r.puts, rec)
	for _, f := range catalog.CheckRecord(rec) {
		if key := faultKey(f.Field()); !t.HasFault(key) {
			t.AddFault(key, "%s", f.Detail())
		}
	}
}

// faultKey returns the key in a record's table for the field of a fault.
func faultKey(field string) string {
	if field == "target" || field == "latency" {
		return "objective." + field
	}
	return field
}

// addRemove adds a removal from a [[remove]] table.
func (r *reader) addRemove(t *tomldoc.Table) {
	name := t.Choice("kind", "", record.KindService.String(), record.KindResource.String(), record.KindRoute.String())
	t.Require("kind", "service, resource or route")
	kind, _ := record.ParseKind(name)
	t.Require("name", "the name of the record")
	id := record.NewID(kind, t.Text("name", ""))
	r.checkDuplicate(t, id)
	r.removes = append(r.removes, id)
}

// checkDuplicate reports a record that occurs more than once in the file.
func (r *reader) checkDuplicate(t *tomldoc.Table, id record.ID) {
	if id.Name() == "" {
		return
	}
	if other, ok := r.paths[id]; ok {
		t.AddFault("name", "%q; allowed is each record once, but %s has it already", id.Name(), other)
		return
	}
	r.paths[id] = t.Path()
}

func readPublishID(t *tomldoc.Table) record.PublishID {
	text := t.Match("publish_id", isValidPublishID, "a UUID other than the nil UUID")
	id, err := uuid.Parse(text)
	if err != nil {
		return uuid.Nil
	}
	return id
}

func isValidPublishID(text string) bool {
	id, err := uuid.Parse(text)
	return err == nil && id != uuid.Nil
}

func readSchema(t *tomldoc.Table) record.Schema {
	t.Require("schema", fmt.Sprintf("the format of the record, 1 to %d", record.SchemaNewest))
	return record.Schema(t.Int("schema", int64(record.SchemaNewest), int64(record.Schema1), int64(record.SchemaNewest)))
}

func readName(t *tomldoc.Table) string {
	t.Require("name", "a name without spaces and slashes")
	return t.Text("name", "")
}

func readService(t *tomldoc.Table) record.Service {
	return record.NewService(readSchema(t), readName(t), t.AnyInt("slots", 0))
}

func readResource(t *tomldoc.Table) record.Resource {
	schema, name := readSchema(t), readName(t)
	t.Require("rate", "calls per second and node")
	t.Require("burst", "a number of calls")
	return record.NewResource(schema, name, t.AnyFloat("rate", 0), t.AnyInt("burst", 0))
}

func readRoute(t *tomldoc.Table) record.Route {
	schema, name := readSchema(t), readName(t)
	t.Require("path", "a path that starts with a slash")
	t.Require("service", "the name of a service")
	t.Require("idempotent", "true or false")
	path, service, idempotent := t.Text("path", ""), t.Text("service", ""), t.Bool("idempotent", false)
	if schema == record.Schema1 {
		return record.NewRoute(name, path, service, idempotent)
	}
	timeout := readTimeout(t)
	resources := t.Texts("resources", maxArrayItems)
	if len(resources) == 0 {
		resources = nil
	}
	return record.NewRoute2(name, path, service, idempotent, timeout, resources, readObjective(t))
}

// readTimeout reports a timeout that is not positive, as the route would treat it as not set.
func readTimeout(t *tomldoc.Table) time.Duration {
	timeout := t.AnyDuration("timeout", record.DefaultTimeout)
	if timeout <= 0 {
		t.AddFault("timeout", "%q; allowed is a duration above 0", timeout)
	}
	return timeout
}

// readObjective reports an objective with zero values, as it would be treated as not set.
func readObjective(t *tomldoc.Table) record.Objective {
	isSet := t.Has("objective")
	o := t.Table("objective")
	if !isSet {
		return record.Objective{}
	}
	o.Require("target", "a share of good calls, such as 0.999")
	o.Require("latency", "a duration, such as \"250ms\"")
	objective := record.NewObjective(o.AnyFloat("target", 0), o.AnyDuration("latency", 0))
	if objective.IsZero() && !o.HasFault("target") && !o.HasFault("latency") {
		t.AddFault("objective", "promises nothing; allowed is a target between 0 and 1 and a latency above 0")
	}
	return objective
}
