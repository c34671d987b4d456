package catalog

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// routeR2 returns a route named "r2" to service "a" with the given fields.
func routeR2(path string, timeout time.Duration, resources []string, o record.Objective) record.Route {
	return record.NewRoute2("r2", path, "a", true, timeout, resources, o)
}

func TestFaults(t *testing.T) {
	resource := record.NewID(record.KindResource, "db")
	serviceA := record.NewID(record.KindService, "a")
	good := record.NewObjective(0.99, time.Second)
	for _, test := range []struct {
		name    string
		puts    []record.Record
		removes []record.ID
		want    []string // reason, record and field; none if accepted
	}{
		{"good", puts(routeR2("/r2", time.Second, []string{"db"}, good)), nil, nil},
		{"default timeout", puts(routeR2("/r2", 0, nil, good)), nil, nil},
		{"empty", nil, nil, []string{"invalid unknown/ "}},
		{"missing service", puts(route("r2", "/r2", "b")), nil, []string{"dangling route/r2 service"}},
		{"missing resource", puts(routeR2("/r2", 0, []string{"ram"}, good)), nil, []string{"dangling route/r2 resource"}},
		{"service in use", nil, []record.ID{serviceA}, []string{"dangling service/a "}},
		{"service replaced for its user", puts(service("b"), route("r1", "/r1", "b")), []record.ID{serviceA}, nil},
		{"service with its user", nil, []record.ID{serviceA, record.NewID(record.KindRoute, "r1")}, nil},
		{"resource unused", nil, []record.ID{resource}, nil},
		{"remove missing", nil, []record.ID{record.NewID(record.KindRoute, "r9")}, []string{"missing route/r9 "}},
		{"put and remove", puts(service("c")), []record.ID{record.NewID(record.KindService, "c")}, []string{"invalid service/c ", "missing service/c "}},
		{"path taken", puts(route("r2", "/r1", "a")), nil, []string{"invalid route/r2 path"}},
		{"path twice", puts(route("r2", "/r2", "a"), route("r3", "/r2", "a")), nil, []string{"invalid route/r3 path"}},
		{"path moves", puts(route("r2", "/r1", "a"), route("r1", "/r3", "a")), nil, nil},
		{"path relative", puts(routeR2("r2", 0, nil, good)), nil, []string{"invalid route/r2 path"}},
		{"path unclean", puts(routeR2("/a//b", 0, nil, good)), nil, []string{"invalid route/r2 path"}},
		{"path with dots", puts(routeR2("/a/../b", 0, nil, good)), nil, []string{"invalid route/r2 path"}},
		{"path with query", puts(routeR2("/a?b", 0, nil, good)), nil, []string{"invalid route/r2 path"}},
		{"path long", puts(routeR2("/"+strings.Repeat("a", maxPathBytes), 0, nil, good)), nil, []string{"invalid route/r2 path"}},
		{"timeout long", puts(routeR2("/r2", maxTimeout+1, nil, good)), nil, []string{"invalid route/r2 timeout"}},
		{"timeout short", puts(routeR2("/r2", 1, nil, good)), nil, []string{"invalid route/r2 timeout"}},
		{"resource twice", puts(routeR2("/r2", 0, []string{"db", "db"}, good)), nil, []string{"invalid route/r2 resources"}},
		{"target 1", puts(routeR2("/r2", 0, nil, record.NewObjective(1, time.Second))), nil, []string{"invalid route/r2 target"}},
		{"target NaN", puts(routeR2("/r2", 0, nil, record.NewObjective(math.NaN(), time.Second))), nil, []string{"invalid route/r2 target"}},
		{"latency 0", puts(routeR2("/r2", 0, nil, record.NewObjective(0.5, 0))), nil, []string{"invalid route/r2 latency"}},
		{"name empty", puts(service("")), nil, []string{"invalid service/ name"}},
		{"name blank", puts(service("a b")), nil, []string{"invalid service/a b name"}},
		{"slots negative", puts(record.NewService(2, "c", -1)), nil, []string{"invalid service/c slots"}},
		{"rate 0", puts(record.NewResource(2, "db", 0, 1)), nil, []string{"invalid resource/db rate"}},
		{"rate infinite", puts(record.NewResource(2, "db", math.Inf(1), 1)), nil, []string{"invalid resource/db rate"}},
		{"burst negative", puts(record.NewResource(2, "db", 1, -1)), nil, []string{"invalid resource/db burst"}},
		{"schema 0", puts(record.NewService(0, "c", 1)), nil, []string{"invalid service/c schema"}},
		{"schema new", puts(route("r2", "/r2", "b").WithSchema(schema3)), nil, []string{"schema route/r2 schema"}},
		{
			"all at once", puts(service(""), route("r1", "/r1", "b")),
			[]record.ID{resource, record.NewID(record.KindRoute, "r9")},
			[]string{"invalid service/ name", "missing route/r9 ", "dangling route/r1 service"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.put(service("a"), record.NewResource(record.Schema2, "db", 5, 1), route("r1", "/r1", "a"))
			change := f.change(1, test.puts, test.removes...)
			checked := f.state.Check(change)
			before := f.state.Snapshot()
			o := f.apply(change)
			f.c.Assert(describeFaults(o), qt.DeepEquals, test.want)
			f.c.Assert(fmt.Sprint(checked), qt.Equals, fmt.Sprint(o.Faults()))
			if len(test.want) > 0 {
				f.c.Assert(f.state.Snapshot(), qt.Equals, before)
				f.c.Assert(o.Version(), qt.Equals, record.Version(1))
			}
		})
	}
}

func TestConflictNamesWinningPublish(t *testing.T) {
	f := newFixture(t)
	f.put(service("a"), service("b"))
	winner := f.put(service("a"))
	o := f.apply(f.change(1, puts(service("a"), service("b"))))
	f.c.Assert(describeFaults(o), qt.DeepEquals, []string{"conflict service/a "})
	f.c.Assert(o.Faults()[0].Detail(), qt.Equals, fmt.Sprintf("changed in version 2 by publish %s, after base version 1", winner.PublishID()))

	remover := f.apply(f.change(2, nil, record.NewID(record.KindService, "b")))
	o = f.apply(f.change(2, puts(service("b")), record.NewID(record.KindService, "b")))
	f.c.Assert(o.Faults()[1].Detail(), qt.Equals, fmt.Sprintf("removed in version 4 by publish %s, after base version 2", remover.PublishID()))

	f.put(service("new"))
	o = f.apply(f.change(4, puts(service("new"))))
	f.c.Assert(describeFaults(o), qt.DeepEquals, []string{"conflict service/new "})
}

func TestBaseAboveVersion(t *testing.T) {
	f := newFixture(t)
	f.put(service("a"))
	o := f.apply(f.change(2, puts(service("a"))))
	f.c.Assert(describeFaults(o), qt.DeepEquals, []string{"invalid unknown/ base"})
}

func TestRetryIsDeduplicated(t *testing.T) {
	f := newFixture(t)
	change := f.change(0, puts(service("a")))
	first := f.apply(change)
	f.put(service("b"))
	f.c.Assert(f.state.Check(change), qt.HasLen, 0)
	f.c.Assert(fmt.Sprint(f.apply(change)), qt.Equals, fmt.Sprint(first))
	f.c.Assert(f.state.Version(), qt.Equals, record.Version(2))
}

// TestRetryAfterOutcomeEviction retries publishes whose outcomes were evicted: an accepted one whose record is
// unchanged, an accepted one whose record was changed since, and a refused one. None may take effect.
func TestRetryAfterOutcomeEviction(t *testing.T) {
	f := newFixture(t)
	kept := f.change(0, puts(service("kept")))
	first := f.apply(kept)
	changed := f.change(1, puts(service("changed")))
	f.apply(changed)
	refused := f.change(2, puts(route("r", "/r", "later")))
	f.c.Assert(f.apply(refused).Accepted(), qt.IsFalse)
	f.put(service("changed"), service("later"))
	for i := range MaxOutcomes {
		id := record.PublishID{0: 2, 1: byte(i >> 8), 2: byte(i)}
		f.apply(record.NewChangeSet(id, "ana", f.state.Version(), puts(service("x")), nil))
	}
	_, remembered := f.state.Outcome(kept.PublishID())
	f.c.Assert(remembered, qt.IsFalse)
	f.c.Assert(fmt.Sprint(f.apply(kept)), qt.Equals, fmt.Sprint(first))
	f.c.Assert(describeFaults(f.apply(changed)), qt.DeepEquals, []string{"conflict unknown/ base", "conflict service/changed "})
	f.c.Assert(describeFaults(f.apply(refused)), qt.DeepEquals, []string{"conflict unknown/ base"})
	f.put(service("later"))
}

// TestFutureBaseRefusalIsPinned retries a publish that was refused for a base above the version in force, after the
// version has passed the base and other outcomes were evicted. It must stay refused. The pinned outcomes must stay
// limited.
func TestFutureBaseRefusalIsPinned(t *testing.T) {
	f := newFixture(t)
	f.state = newState(record.SchemaNewest, smallPolicy())
	ahead := f.change(30, puts(service("ahead")))
	refused := f.apply(ahead)
	f.publishServices(0, 40)
	f.c.Assert(f.state.Horizon() > 0 && f.state.Version() > 30, qt.IsTrue)
	f.c.Assert(fmt.Sprint(f.apply(ahead)), qt.Equals, fmt.Sprint(refused))
	for i := range 2 * MaxPinnedOutcomes {
		id := record.PublishID{8, byte(i >> 8), byte(i)}
		f.apply(record.NewChangeSet(id, "ana", 1<<40, puts(service("ahead")), nil))
	}
	f.c.Assert(f.state.decisions.pinned.list, qt.HasLen, MaxPinnedOutcomes)
	f.c.Assert(f.state.decisions.byID, qt.HasLen, MaxPinnedOutcomes+smallPolicy().maxOutcomes)
}

func TestTombstoneHorizon(t *testing.T) {
	f := newFixture(t)
	f.state = newState(record.SchemaNewest, smallPolicy())
	for i := range 4 {
		name := fmt.Sprint("s", i)
		f.put(service(name))
		f.apply(f.change(f.state.Version(), nil, record.NewID(record.KindService, name)))
	}
	f.c.Assert(f.state.Horizon(), qt.Equals, record.Version(3))
	o := f.apply(f.change(1, puts(service("s0"))))
	f.c.Assert(describeFaults(o), qt.DeepEquals, []string{"conflict unknown/ base"})
	f.put(service("s0"))
}

func TestTooLarge(t *testing.T) {
	var many []record.Record
	for i := range 300 {
		many = append(many, route(fmt.Sprint("r", i), "/"+strings.Repeat("a", 1000)+fmt.Sprint(i), "a"))
	}
	long := service(strings.Repeat("é", MaxRecords))
	for _, test := range []struct {
		name string
		puts []record.Record
		want []string
	}{
		{"change set", many, []string{"too-large unknown/ "}},
		{"record", puts(long), []string{"too-large service/" + strings.Repeat("é", 32) + " "}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			change := f.change(0, test.puts)
			f.c.Assert(f.state.Check(change), qt.HasLen, 1)
			f.c.Assert(describeFaults(f.apply(change)), qt.DeepEquals, test.want)
			f.c.Assert(describeFaults(f.apply(change)), qt.DeepEquals, test.want)
			f.c.Assert(f.state.Version(), qt.Equals, record.Version(0))
		})
	}
}

func TestTooManyRecords(t *testing.T) {
	f := newFixture(t)
	stamp := codec.Stamp{Version: 1}
	for i := range MaxRecords {
		f.state.index.put(codec.StampedRecord{Record: service(fmt.Sprint(i)), Stamp: stamp})
	}
	f.state.version, f.state.head = 1, 1
	o := f.apply(f.change(1, puts(service("one-more"))))
	f.c.Assert(describeFaults(o), qt.DeepEquals, []string{"too-large unknown/ "})
	f.apply(f.change(1, puts(service("7"), service("one-more")), record.NewID(record.KindService, "8")))
	f.c.Assert(f.state.Len(), qt.Equals, MaxRecords)
}

// TestLargestStateFitsCheckpoint fills a state up to its limits and checks that its checkpoint can still be encoded.
func TestLargestStateFitsCheckpoint(t *testing.T) {
	f := newFixture(t)
	resources := make([]string, maxResources)
	for i := range resources {
		resources[i] = fmt.Sprint(i, strings.Repeat("d", maxNameBytes-2))
		f.state.index.put(codec.StampedRecord{Record: record.NewResource(2, resources[i], 0.1, maxBurst), Stamp: codec.Stamp{Version: 1}})
	}
	heavy := func(i int) record.Route {
		path := fmt.Sprint("/", i, strings.Repeat("p", maxPathBytes-9))
		return record.NewRoute2(fmt.Sprint("r", i), path, "a", true, maxTimeout, resources, record.NewObjective(0.999, maxTimeout))
	}
	f.state.index.put(codec.StampedRecord{Record: service("a"), Stamp: codec.Stamp{Version: 1}})
	n := 0
	for f.state.index.size+maxEncodedSize(heavy(n)) <= MaxConfigurationBytes {
		f.state.index.put(codec.StampedRecord{Record: heavy(n), Stamp: codec.Stamp{Version: 1}})
		n++
	}
	f.state.version, f.state.head = 1, 1
	for i := range MaxOutcomes {
		fault := record.NewFault(record.ReasonInvalid, record.NewID(record.KindRoute, "r"), "path", strings.Repeat("d", 240))
		f.state.addOutcome(record.Offset(i), record.Refused(record.PublishID{1, byte(i >> 8), byte(i)}, 1, []record.Fault{fault}))
		f.state.tombstones.add(codec.Tombstone{ID: record.NewID(record.KindRoute, fmt.Sprint(i, strings.Repeat("n", maxNameBytes-4)))})
	}
	o := f.apply(f.change(1, puts(heavy(n))))
	f.c.Assert(describeFaults(o), qt.DeepEquals, []string{"too-large unknown/ "})
	f.c.Assert(f.apply(f.change(1, puts(heavy(n)), heavy(0).ID())).Accepted(), qt.IsTrue)
	data, err := f.state.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	restored, err := Restore(data)
	f.c.Assert(err, qt.IsNil)
	again, err := restored.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(bytes.Equal(again, data), qt.IsTrue)
}

func TestFaultsAreBounded(t *testing.T) {
	f := newFixture(t)
	var bad []record.Record
	for i := range 1000 {
		bad = append(bad, record.NewService(2, fmt.Sprint("s", i), -1))
	}
	o := f.apply(f.change(0, bad))
	f.c.Assert(o.Faults(), qt.HasLen, maxFaults+1)
	f.c.Assert(o.Faults()[maxFaults].Detail(), qt.Equals, "744 more faults")
	for range 60 {
		f.apply(f.change(0, bad))
	}
	f.c.Assert(f.state.decisions.queue.bytes <= MaxOutcomeBytes, qt.IsTrue)
	f.c.Assert(len(f.state.decisions.queue.list) < 60, qt.IsTrue)
}

func TestMalformed(t *testing.T) {
	f := newFixture(t)
	publish := f.id()
	for _, test := range []struct {
		data []byte
		kind ResultKind
	}{
		{nil, ResultMalformed},
		{[]byte{9, 1, 2}, ResultMalformed},
		{[]byte{1, 2, 3}, ResultMalformed},
		{[]byte{2, 0xff}, ResultMalformed},
		{append([]byte{1}, publish[:]...), ResultRefused},
		{append(append([]byte{1}, publish[:]...), "not zstd"...), ResultDuplicate},
	} {
		chain := f.state.Chain()
		result, err := f.state.Apply(record.NewEntry(f.state.Head(), test.data))
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(result.Kind(), qt.Equals, test.kind, qt.Commentf("%x", test.data))
		f.c.Assert(f.state.Chain(), qt.Not(qt.Equals), chain)
		f.c.Assert(f.state.Version(), qt.Equals, record.Version(0))
	}
}
