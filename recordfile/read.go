package recordfile

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// Bounds of the fields of records.
const (
	maxNameLength = 128 // bytes
	maxPathLength = 1024
	maxSlots      = 1 << 20
	maxRate       = 1e9 // calls per second
	maxBurst      = 1 << 30
	maxTimeout    = time.Hour
	maxResources  = 64
	minTarget     = 0.0001 // share of good calls
	maxTarget     = 0.999999
)

func read(doc *tomldoc.Document) (File, error) {
	root := doc.Root()
	f := File{
		publish:  readPublish(root),
		operator: root.Text("operator", ""),
		hasBase:  root.Has("base"),
		base:     record.Version(root.Int("base", 0, 0, math.MaxInt64)),
		level:    record.Schema(root.Int("level", 0, 1, math.MaxUint16)),
	}
	r := reader{seen: make(map[record.ID]string)}
	for _, t := range root.Tables("service") {
		r.put(t, readService(t))
	}
	for _, t := range root.Tables("resource") {
		r.put(t, readResource(t))
	}
	for _, t := range root.Tables("route") {
		r.put(t, readRoute(t))
	}
	for _, t := range root.Tables("remove") {
		r.remove(t)
	}
	if n := len(r.puts) + len(r.removes); n > MaxRecords {
		root.Fault("", "%d records; allowed are %d", n, MaxRecords)
	}
	if err := doc.Err(); err != nil {
		return File{}, err
	}
	f.puts, f.removes = r.puts, r.removes
	return f, nil
}

type reader struct {
	puts    []record.Record
	removes []record.ID
	seen    map[record.ID]string
}

func (r *reader) put(t *tomldoc.Table, rec record.Record) {
	r.note(t, rec.ID())
	r.puts = append(r.puts, rec)
}

func (r *reader) remove(t *tomldoc.Table) {
	name := t.Choice("kind", "", record.KindService.String(), record.KindResource.String(), record.KindRoute.String())
	t.Require("kind", "service, resource or route")
	kind, _ := record.ParseKind(name)
	id := record.NewID(kind, readName(t, "name"))
	r.note(t, id)
	r.removes = append(r.removes, id)
}

// note faults a record that the file mentions twice.
func (r *reader) note(t *tomldoc.Table, id record.ID) {
	if id.Name() == "" {
		return
	}
	if other, ok := r.seen[id]; ok {
		t.Fault("name", "%q; allowed is each record once, but %s has it already", id.Name(), other)
		return
	}
	r.seen[id] = t.Path()
}

func readPublish(t *tomldoc.Table) record.PublishID {
	text := t.Match("publish_id", validPublish, "a UUID other than the nil UUID")
	id, err := uuid.Parse(text)
	if err != nil {
		return uuid.Nil
	}
	return id
}

func validPublish(text string) bool {
	id, err := uuid.Parse(text)
	return err == nil && id != uuid.Nil
}

// readName reads a name of a record: visible ASCII without slashes.
func readName(t *tomldoc.Table, key string) string {
	allowed := fmt.Sprintf("a name of 1 to %d visible ASCII characters without slashes", maxNameLength)
	t.Require(key, allowed)
	return t.Match(key, validName, allowed)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' })
}

func readSchema(t *tomldoc.Table) record.Schema {
	t.Require("schema", fmt.Sprintf("the format of the record, 1 to %d", record.SchemaNewest))
	return record.Schema(t.Int("schema", int64(record.SchemaNewest), int64(record.Schema1), int64(record.SchemaNewest)))
}

func readService(t *tomldoc.Table) record.Service {
	return record.NewService(readSchema(t), readName(t, "name"), int(t.Int("slots", 0, 0, maxSlots)))
}

func readResource(t *tomldoc.Table) record.Resource {
	t.Require("rate", "calls per second and node")
	t.Require("burst", "a number of calls")
	schema, name := readSchema(t), readName(t, "name")
	rate := t.Float("rate", 0, 0, maxRate)
	burst := t.Int("burst", 0, 1, maxBurst)
	return record.NewResource(schema, name, rate, int(burst))
}

func readRoute(t *tomldoc.Table) record.Route {
	schema, name := readSchema(t), readName(t, "name")
	path, service := readPath(t), readName(t, "service")
	t.Require("idempotent", "true or false")
	idempotent := t.Bool("idempotent", false)
	if schema == record.Schema1 {
		return record.NewRoute(name, path, service, idempotent)
	}
	timeout := t.Duration("timeout", record.DefaultTimeout, time.Millisecond, maxTimeout)
	resources := readResources(t)
	return record.NewRoute2(name, path, service, idempotent, timeout, resources, readObjective(t))
}

func readPath(t *tomldoc.Table) string {
	allowed := fmt.Sprintf("a path that starts with a slash, of up to %d bytes", maxPathLength)
	t.Require("path", allowed)
	return t.Match("path", validPath, allowed)
}

func validPath(path string) bool { return strings.HasPrefix(path, "/") && len(path) <= maxPathLength }

func readResources(t *tomldoc.Table) []string {
	names := t.Texts("resources", maxResources)
	for i, name := range names {
		if !validName(name) {
			t.Fault(fmt.Sprintf("resources[%d]", i), "%q; allowed is the name of a resource", name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return names
}

// readObjective reads the table "objective". Its target stays below 1, as a budget of no bad call at
// all cannot be burnt.
func readObjective(t *tomldoc.Table) record.Objective {
	set := t.Has("objective")
	o := t.Table("objective")
	if !set {
		return record.Objective{}
	}
	o.Require("target", "a share of good calls, such as 0.999")
	o.Require("latency", "a duration, such as \"250ms\"")
	target := o.Float("target", minTarget, minTarget, maxTarget)
	return record.NewObjective(target, o.Duration("latency", 0, time.Millisecond, maxTimeout))
}
