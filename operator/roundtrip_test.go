package operator_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/recordfile"
)

var (
	names   = rapid.StringMatching(`[a-zA-Z0-9._-]{1,12}`)
	schemas = rapid.SampledFrom([]record.Schema{record.Schema1, record.Schema2})
)

func drawRecord(t *rapid.T, kind record.Kind, name string) record.Record {
	switch kind {
	case record.KindService:
		return record.NewService(schemas.Draw(t, "schema"), name, rapid.IntRange(0, 1000).Draw(t, "slots"))
	case record.KindResource:
		rate := rapid.Float64Range(1e-9, 1e6).Draw(t, "rate")
		return record.NewResource(schemas.Draw(t, "schema"), name, rate, rapid.IntRange(0, 1000).Draw(t, "burst"))
	}
	path, service := "/"+rapid.StringMatching(`[a-zčž"\\]{0,8}`).Draw(t, "path"), names.Draw(t, "service")
	idempotent := rapid.Bool().Draw(t, "idempotent")
	if schemas.Draw(t, "schema") == record.Schema1 {
		return record.NewRoute(name, path, service, idempotent)
	}
	timeout := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(10*time.Minute)).Draw(t, "timeout"))
	objective := record.Objective{}
	if rapid.Bool().Draw(t, "has objective") {
		latency := rapid.Int64Range(int64(time.Millisecond), int64(10*time.Minute)).Draw(t, "latency")
		objective = record.NewObjective(rapid.Float64Range(1e-9, 1-1e-9).Draw(t, "target"), time.Duration(latency))
	}
	var resources []string
	resources = append(resources, rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string]).Draw(t, "resources")...)
	return record.NewRoute2(name, path, service, idempotent, timeout, resources, objective)
}

// changeSets draws change sets whose puts are ordered by kind, as in record files.
var changeSets = rapid.Custom(func(t *rapid.T) record.ChangeSet {
	var puts []record.Record
	var removes []record.ID
	for _, kind := range []record.Kind{record.KindService, record.KindResource, record.KindRoute} {
		for i, name := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID[string]).Draw(t, kind.String()) {
			if i == 3 {
				removes = append(removes, record.NewID(kind, name))
				continue
			}
			puts = append(puts, drawRecord(t, kind, name))
		}
	}
	publish := uuid.UUID(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "publish"))
	publish[0] |= 1 // never the nil UUID
	base := record.Version(rapid.Uint64Range(0, 1<<62).Draw(t, "base"))
	level := record.Schema(rapid.Uint16Range(1, 9).Draw(t, "level"))
	return record.NewChangeSet(publish, rapid.String().Draw(t, "operator"), base, puts, removes).WithLevel(level)
})

type roundTripFunc func(record.ChangeSet) (record.ChangeSet, error)

func jsonRoundTrip(c record.ChangeSet) (record.ChangeSet, error) {
	data, err := operator.EncodeChangeSet(c)
	if err != nil {
		return record.ChangeSet{}, err
	}
	return operator.DecodeChangeSet(data)
}

func tomlRoundTrip(c record.ChangeSet) (record.ChangeSet, error) {
	data, err := recordfile.Format(recordfile.FromChangeSet(c))
	if err != nil {
		return record.ChangeSet{}, err
	}
	f, err := recordfile.Parse("change.toml", data)
	if err != nil {
		return record.ChangeSet{}, err
	}
	publish, _ := f.PublishID()
	base, _ := f.Base()
	return f.ChangeSet(publish, f.Operator(), base), nil
}

func TestChangeSetRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name  string
		codec roundTripFunc
	}{{"JSON", jsonRoundTrip}, {"TOML", tomlRoundTrip}} {
		t.Run(test.name, rapid.MakeCheck(func(t *rapid.T) {
			c := changeSets.Draw(t, "change")
			got, err := test.codec(c)
			if err != nil {
				t.Fatalf("%v", err)
			}
			if !reflect.DeepEqual(got, c) {
				t.Fatalf("\ngot  %+v\nwant %+v", got, c)
			}
		}))
	}
}

func TestChangeSetRoundTripDetectsBrokenCodec(t *testing.T) {
	dropsRemoves := func(c record.ChangeSet) (record.ChangeSet, error) {
		got, err := jsonRoundTrip(c)
		return record.NewChangeSet(got.PublishID(), got.Operator(), got.Base(), got.Puts(), nil).WithLevel(got.Level()), err
	}
	detected := false
	for seed := range 50 {
		c := changeSets.Example(seed)
		got, err := dropsRemoves(c)
		qt.Assert(t, err, qt.IsNil)
		detected = detected || !reflect.DeepEqual(got, c)
	}
	qt.Assert(t, detected, qt.IsTrue)
}

// TestDecodeRejectsUnrepresentableRouteFields checks that a route with fields that its schema cannot represent
// is rejected, as they would be lost.
func TestDecodeRejectsUnrepresentableRouteFields(t *testing.T) {
	const changeSet = `{"publish_id":"00000000-0000-0000-0000-000000000001","base":1,"puts":[{"route":{"name":"r","path":"/r","service":"s","idempotent":true,%s}}]}`
	for _, test := range []struct{ fields, want string }{
		{`"schema":1`, ``},
		{`"schema":2,"timeout":"1s","resources":["a"],"objective":{"target":0.9,"latency":"1s"}`, ``},
		{`"schema":1,"timeout":"1s"`, `.*schema 1 has no timeout.*`},
		{`"schema":1,"resources":["a"]`, `.*schema 1 has no timeout.*`},
		{`"schema":1,"objective":{"target":0.9,"latency":"1s"}`, `.*schema 1 has no timeout.*`},
		{`"schema":2,"timeout":"0s"`, `.*timeout 0s is not above 0`},
		{`"schema":2,"timeout":"-1s"`, `.*timeout -1s is not above 0`},
		{`"schema":2,"timeout":"soon"`, `.*invalid duration.*`},
		{`"schema":2,"objective":{"target":0,"latency":"0s"}`, `.*promises nothing`},
		{`"schema":2,"objective":{"target":0.9}`, `.*invalid duration.*`},
	} {
		_, err := operator.DecodeChangeSet(fmt.Appendf(nil, changeSet, test.fields))
		if test.want == "" {
			qt.Check(t, err, qt.IsNil)
			continue
		}
		qt.Check(t, err, qt.ErrorMatches, test.want, qt.Commentf("%s", test.fields))
	}
}

func FuzzDecodeChangeSet(f *testing.F) {
	for seed := range 5 {
		data, err := operator.EncodeChangeSet(changeSets.Example(seed))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := operator.DecodeChangeSet(data)
		if err != nil {
			return
		}
		again, err := jsonRoundTrip(c)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reflect.DeepEqual(again, c), qt.IsTrue, qt.Commentf("%+v\n%+v", again, c))
	})
}
