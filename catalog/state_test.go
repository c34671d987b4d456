package catalog

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// fixture appends entries to a log and applies them to a state.
type fixture struct {
	c     *qt.C
	state *State
	log   []record.Entry
	seq   byte
}

func newFixture(t testing.TB) *fixture { return &fixture{c: qt.New(t), state: New()} }

func (f *fixture) id() record.PublishID {
	f.seq++
	return uuid.UUID{15: f.seq, 0: 1}
}

func (f *fixture) change(base record.Version, puts []record.Record, removes ...record.ID) record.ChangeSet {
	return record.NewChangeSet(f.id(), "ana", base, puts, removes)
}

func (f *fixture) apply(change record.ChangeSet) record.Outcome {
	data, err := codec.EncodeChange(change)
	f.c.Assert(err, qt.IsNil)
	return f.applyData(data)
}

func (f *fixture) applyData(data []byte) record.Outcome {
	e := record.NewEntry(f.state.Head(), data)
	f.log = append(f.log, e)
	result, err := f.state.Apply(e)
	f.c.Assert(err, qt.IsNil)
	outcome, _ := result.Outcome()
	return outcome
}

// put publishes records based on the version in force and requires that they are accepted.
func (f *fixture) put(puts ...record.Record) record.Outcome {
	o := f.apply(f.change(f.state.Version(), puts))
	f.c.Assert(o.Faults(), qt.HasLen, 0)
	return o
}

func puts(records ...record.Record) []record.Record { return records }

func service(name string) record.Service { return record.NewService(record.Schema2, name, 18) }

func route(name, path, service string) record.Route {
	return record.NewRoute2(name, path, service, true, time.Second, nil, record.Objective{})
}

func describeFaults(o record.Outcome) []string {
	var all []string
	for _, f := range o.Faults() {
		all = append(all, f.Reason().String()+" "+f.Record().String()+" "+f.Field())
	}
	return all
}

func TestAcceptedChangeSetMakesVersion(t *testing.T) {
	f := newFixture(t)
	o := f.put(service("narudzbe"), route("orders", "/orders", "narudzbe"))
	f.c.Assert(o.Version(), qt.Equals, record.Version(1))
	f.c.Assert(f.state.Head(), qt.Equals, record.Offset(1))
	s := f.state.Snapshot()
	r, ok := s.Match("/orders/7")
	f.c.Assert(ok, qt.IsTrue)
	f.c.Assert(r.Timeout(), qt.Equals, time.Second)
	f.c.Assert(f.state.Snapshot(), qt.Equals, s)
	f.put(service("radionica"))
	f.c.Assert(f.state.Snapshot().Version(), qt.Equals, record.Version(2))
	f.c.Assert(s.Records(), qt.HasLen, 2)
}

func TestApplyOrder(t *testing.T) {
	f := newFixture(t)
	f.put(service("a"))
	chain := f.state.Chain()
	result, err := f.state.Apply(f.log[0])
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(result.Kind(), qt.Equals, ResultIgnored)
	_, err = f.state.Apply(record.NewEntry(2, f.log[0].Data()))
	var gap *GapError
	f.c.Assert(err, qt.ErrorAs, &gap)
	f.c.Assert(gap.Want(), qt.Equals, record.Offset(1))
	f.c.Assert(f.state.Chain(), qt.Equals, chain)
}

func TestCheckpointRoundTrip(t *testing.T) {
	f := newFixture(t)
	f.put(service("a"), record.NewResource(record.Schema1, "db", 3.5, 2), record.NewRoute("r1", "/r1", "a", false))
	f.put(record.NewRoute2("r2", "/r2", "a", true, time.Minute, []string{"db"}, record.NewObjective(0.99, time.Second)))
	f.apply(f.change(0, puts(service("a"))))
	f.apply(f.change(2, nil, record.NewID(record.KindRoute, "r1")))
	data, err := f.state.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	restored, err := Restore(data)
	f.c.Assert(err, qt.IsNil)
	again, err := restored.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(again, qt.DeepEquals, data)
	f.c.Assert(reflect.DeepEqual(restored.Snapshot().Records(), f.state.Snapshot().Records()), qt.IsTrue)
}
