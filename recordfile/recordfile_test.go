package recordfile_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/recordfile"
	"github.com/bambooknot/bambooknot/tomldoc"
)

const samplePath = "../doc/examples/records.toml"

func TestLoadSampleRecords(t *testing.T) {
	f, err := recordfile.Load(samplePath)
	qt.Assert(t, err, qt.IsNil)
	base, hasBase := f.Base()
	qt.Check(t, hasBase, qt.IsFalse)
	qt.Check(t, base, qt.Equals, record.Version(0))
	c := f.ChangeSet(record.PublishID{1}, "ana", 7)
	qt.Check(t, c.Base(), qt.Equals, record.Version(7))
	found := make(map[record.ID]record.Record)
	for _, r := range c.Puts() {
		found[r.ID()] = r
	}
	old := found[record.NewID(record.KindRoute, "status")].(record.Route)
	qt.Check(t, old.Schema(), qt.Equals, record.Schema1)
	qt.Check(t, old.Idempotent(), qt.IsTrue)
	commission := found[record.NewID(record.KindRoute, "commission")].(record.Route)
	qt.Check(t, commission.Schema(), qt.Equals, record.Schema2)
	qt.Check(t, commission.Idempotent(), qt.IsFalse)
	qt.Check(t, commission.Objective(), qt.Equals, record.NewObjective(0.999, 800*time.Millisecond))
}

func TestLoadChangeSet(t *testing.T) {
	f, err := recordfile.Load("../doc/examples/change.toml")
	qt.Assert(t, err, qt.IsNil)
	base, hasBase := f.Base()
	qt.Check(t, hasBase, qt.IsTrue)
	qt.Check(t, base, qt.Equals, record.Version(1))
	qt.Check(t, f.Removes(), qt.CmpEquals(cmp.AllowUnexported(record.ID{})), []record.ID{
		record.NewID(record.KindRoute, "commission"), record.NewID(record.KindResource, "deposits"),
	})
	raised, err := recordfile.Parse("f", []byte("level = 3"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, raised.ChangeSet(record.PublishID{1}, "ana", 7).Level(), qt.Equals, record.Schema(3))
}

func TestParseReportsFaults(t *testing.T) {
	const route = "[[route]]\nschema = 2\nname = \"r\"\npath = \"/r\"\nservice = \"s\"\nidempotent = true\n"
	for _, test := range []struct {
		name, text string
		faults     []string
	}{
		{"array of numbers", "level = 3\nservice = [1]", []string{"f: service: an array; allowed is an array of tables, written as \\[\\[service\\]\\]"}},
		{"inline tables", "service = [{schema = 1, name = 's', slots = -1}, {schema = 1, name = 't'}]", []string{"f: service\\[0\\].slots: -1 is .*"}},
		{"unknown key", "colour = 1\nlevel = 2", []string{"f: colour: unknown key; allowed are publish_id, operator, base, level, service, resource, route, remove"}},
		{"table instead of array of tables", "level = 2\n[service]\nname = 's'", []string{"f: service: a table; allowed is an array of tables, written as \\[\\[service\\]\\]"}},
		{
			"missing keys", "[[route]]",
			[]string{
				"f: route\\[0\\].schema: missing; .*1 to 2", "f: route\\[0\\].name: missing; .*", "f: route\\[0\\].path: missing; .*",
				"f: route\\[0\\].service: missing; .*", "f: route\\[0\\].idempotent: missing; .*true or false",
			},
		},
		{"key of a newer schema", "[[route]]\nschema = 1\nname = 'r'\npath = '/r'\nservice = 's'\nidempotent = true\ntimeout = '1s'", []string{"f: route\\[0\\].timeout: unknown key; .*"}},
		{"schema not understood", "[[service]]\nschema = 3\nname = 's'", []string{"f: service\\[0\\].schema: 3; allowed is a whole number from 1 to 2"}},
		{"path without slash", "[[route]]\nschema = 1\nname = 'r'\npath = 'r'\nservice = 's'\nidempotent = true", []string{"f: route\\[0\\].path: .*slash.*"}},
		{"path with dots", "[[route]]\nschema = 1\nname = 'r'\npath = '/a/../b'\nservice = 's'\nidempotent = true", []string{"f: route\\[0\\].path: .*segments"}},
		{"name with slash", "[[service]]\nschema = 1\nname = 'a/b'", []string{"f: service\\[0\\].name: .*slash.*"}},
		{"slots below zero", "[[service]]\nschema = 1\nname = 's'\nslots = -1", []string{"f: service\\[0\\].slots: -1 is not between 0 and 100000"}},
		{"slots as string", "[[service]]\nschema = 1\nname = 's'\nslots = 'x'", []string{"f: service\\[0\\].slots: \"x\"; allowed is a whole number"}},
		{"rate of zero", "[[resource]]\nschema = 2\nname = 'r'\nrate = 0\nburst = 1", []string{"f: resource\\[0\\].rate: 0 is not above 0 .*"}},
		{"timeout of zero", route + "timeout = '0s'", []string{"f: route\\[0\\].timeout: \"0s\"; allowed is a duration above 0"}},
		{"timeout too long", route + "timeout = '1h'", []string{"f: route\\[0\\].timeout: 1h0m0s is not between 1ms and 10m0s"}},
		{"timeout without unit", route + "timeout = 5", []string{"f: route\\[0\\].timeout: 5; allowed is a duration, .*"}},
		{"objective with zero values", route + "objective = {target = 0, latency = '0s'}", []string{"f: route\\[0\\].objective: promises nothing; .*"}},
		{"same record twice", "[[service]]\nschema = 1\nname = 's'\n[[remove]]\nkind = 'service'\nname = 's'", []string{"f: remove\\[0\\].name: .* service\\[0\\] has it already"}},
		{"unknown kind", "[[remove]]\nkind = 'shop'\nname = 's'", []string{"f: remove\\[0\\].kind: \"shop\"; allowed are service, resource, route"}},
		{"nil publish ID", "publish_id = '00000000-0000-0000-0000-000000000000'\nlevel = 2", []string{"f: publish_id: .*UUID.*"}},
		{"negative base", "base = -1\nlevel = 2", []string{"f: base: -1; allowed is .*"}},
		{"no changes", "operator = 'ana'", []string{"f: changes nothing; .*"}},
		{"level zero", "level = 0\n[[service]]\nschema = 1\nname = 's'", []string{"f: level: 0; allowed is .*"}},
		{"target of one", route + "objective = {target = 1.0, latency = '1s'}", []string{"f: route\\[0\\].objective.target: 1 is not between 0 and 1"}},
		{"objective without latency", route + "objective = {target = 0.9}", []string{"f: route\\[0\\].objective.latency: missing; .*"}},
		{"objective not a table", route + "objective = 5", []string{"f: route\\[0\\].objective: 5; allowed is a table", ".*target: missing.*", ".*latency: missing.*"}},
		{"empty resource name", route + "resources = ['']", []string{"f: route\\[0\\].resources: the name is empty"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := recordfile.Parse("f", []byte(test.text))
			var faults *tomldoc.FaultsError
			qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
			qt.Assert(t, faults.Faults(), qt.HasLen, len(test.faults), qt.Commentf("%v", err))
			for i, f := range faults.Faults() {
				qt.Check(t, f.String(), qt.Matches, test.faults[i])
			}
		})
	}
}

func TestFormatRefusesUnknownSchema(t *testing.T) {
	r := record.NewRoute("r", "/r", "s", true).WithSchema(9)
	_, err := recordfile.Format(recordfile.FromRecords(1, []record.Record{r}))
	qt.Assert(t, err, qt.ErrorMatches, "route/r: schema 9; understood are 1 to 2")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("base = 3\n[[service]]\nschema = 1\nname = 's'\n"))
	f.Add([]byte("[[route]]\nschema = 2\nname = 'r'\npath = '/r'\nservice = 's'\nidempotent = false\nobjective = {target = 0.9, latency = '1s'}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := recordfile.Parse("f", data)
		if err != nil {
			return
		}
		text, err := recordfile.Format(file)
		qt.Assert(t, err, qt.IsNil)
		again, err := recordfile.Parse("f", text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
		qt.Assert(t, len(again.Puts())+len(again.Removes()), qt.Equals, len(file.Puts())+len(file.Removes()))
	})
}
