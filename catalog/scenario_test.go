package catalog

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

const (
	testSeed      = "20261203"
	testScenarios = "150"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", testSeed)
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", testScenarios)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// smallPolicy evicts outcomes and tombstones early, so that short logs raise the horizon.
func smallPolicy() policy {
	p := defaultPolicy()
	p.maxOutcomes, p.maxTombstones = 5, 3
	return p
}

// schema3 stands for a schema of a later release.
const schema3 = record.SchemaNewest + 1

// scenario is a random log with concurrent, retried and faulty publishes, and the change sets behind its entries.
type scenario struct {
	entries []record.Entry
	changes map[record.Offset]record.ChangeSet // as published; absent for other entries
	choices []int                              // random numbers for choices that a property makes
}

func (sc scenario) choice(i, n int) int { return sc.choices[i%len(sc.choices)] % n }

// scenarioBuilder applies the entries that it appends, so that it can choose plausible base versions.
type scenarioBuilder struct {
	t                 *rapid.T
	state             *State
	scenario          scenario
	published         []record.ChangeSet
	delayedCheckpoint [][]byte // checkpoint of a writer that was paused before it appended
}

func drawScenario(t *rapid.T) scenario {
	b := &scenarioBuilder{t: t, state: newState(schema3, smallPolicy())}
	b.scenario.changes = make(map[record.Offset]record.ChangeSet)
	steps := rapid.IntRange(4, 40).Draw(t, "steps")
	for range steps {
		b.step()
	}
	b.scenario.choices = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 16, 16).Draw(t, "cuts")
	return b.scenario
}

func (b *scenarioBuilder) step() {
	switch n := rapid.IntRange(0, 20).Draw(b.t, "kind"); {
	case n < 12:
		b.publish(b.newChange())
	case n < 16 && len(b.published) > 0:
		recent := b.published[max(0, len(b.published)-9):]
		b.publish(rapid.SampledFrom(recent).Draw(b.t, "retry"))
	case n == 16:
		b.add(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(b.t, "garbage"))
	case n == 17, n == 18:
		b.checkpoint()
	case n == 19:
		b.publish(b.newLevelChange())
	default:
		b.publishConflict()
	}
}

func (b *scenarioBuilder) add(data []byte) {
	e := record.NewEntry(b.state.Head(), data)
	if _, err := b.state.Apply(e); err != nil {
		return // the level would rise above schema3, which no binary in the tests understands
	}
	b.scenario.entries = append(b.scenario.entries, e)
}

func (b *scenarioBuilder) publish(c record.ChangeSet) {
	data, err := codec.EncodeChange(c)
	if err != nil {
		b.t.Fatal(err)
	}
	offset := b.state.Head()
	b.add(data)
	if b.state.Head() > offset {
		b.scenario.changes[offset] = c
		b.published = append(b.published, c)
	}
}

func (b *scenarioBuilder) publishID() record.PublishID {
	return uuid.UUID{0: 1, 14: byte(len(b.published) >> 8), 15: byte(len(b.published) + 1)}
}

func (b *scenarioBuilder) base() record.Version {
	v := b.state.Version()
	if rapid.IntRange(0, 2).Draw(b.t, "stale") > 0 {
		return v
	}
	return record.Version(rapid.Uint64Range(0, uint64(v)+1).Draw(b.t, "base"))
}

func (b *scenarioBuilder) newLevelChange() record.ChangeSet {
	level := record.Schema(rapid.IntRange(1, 4).Draw(b.t, "level"))
	return record.NewChangeSet(b.publishID(), "ana", b.base(), nil, nil).WithLevel(level)
}

func (b *scenarioBuilder) newChange() record.ChangeSet {
	var records []record.Record
	for range rapid.IntRange(0, 4).Draw(b.t, "puts") {
		records = append(records, drawRecord(b.t))
	}
	var removes []record.ID
	for range rapid.IntRange(0, 1).Draw(b.t, "removes") {
		removes = append(removes, drawRecord(b.t).ID())
	}
	return record.NewChangeSet(b.publishID(), "ana", b.base(), records, removes)
}

// publishConflict publishes two change sets that change the same record and have the same base version.
func (b *scenarioBuilder) publishConflict() {
	base := b.state.Version()
	for _, slots := range []int{1, 2} {
		puts := []record.Record{record.NewService(record.Schema2, "s0", slots)}
		b.publish(record.NewChangeSet(b.publishID(), "ana", base, puts, nil))
	}
}

func (b *scenarioBuilder) checkpoint() {
	entries, err := b.state.CheckpointEntries(uint64(rapid.IntRange(1, 2).Draw(b.t, "writer")))
	if err != nil {
		b.t.Fatal(err)
	}
	if rapid.Bool().Draw(b.t, "paused") {
		entries, b.delayedCheckpoint = b.delayedCheckpoint, entries
	}
	for _, data := range entries {
		b.add(data)
	}
}

// drawRecord returns one of a few records, so that change sets conflict, and occasionally a faulty one.
func drawRecord(t *rapid.T) record.Record {
	n := rapid.IntRange(0, 2).Draw(t, "number")
	faulty := rapid.IntRange(0, 9).Draw(t, "faulty") == 9
	schema := record.Schema(rapid.IntRange(1, 2).Draw(t, "schema"))
	if faulty && rapid.Bool().Draw(t, "new") {
		schema = schema3
	}
	switch rapid.IntRange(0, 5).Draw(t, "record") {
	case 0, 1:
		return record.NewService(schema, fmt.Sprint("s", n), int(pick(faulty, -1, 8)))
	case 2:
		return record.NewResource(schema, fmt.Sprint("x", n), pick(faulty, math.NaN(), 2.5), 1)
	case 3:
		if faulty {
			return codec.NewPlaceholder(record.NewID(record.KindRoute, fmt.Sprint("r", n)), schema3)
		}
	}
	return drawRoute(t, fmt.Sprint("r", n), schema, faulty)
}

func drawRoute(t *rapid.T, name string, schema record.Schema, faulty bool) record.Record {
	path := fmt.Sprint("/", rapid.IntRange(0, 4).Draw(t, "path"))
	service := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))
	if schema == record.Schema1 {
		return record.NewRoute(name, path, service, true)
	}
	var resources []string
	if rapid.IntRange(0, 2).Draw(t, "limited") == 2 {
		resources = []string{fmt.Sprint("x", rapid.IntRange(0, 2).Draw(t, "resource"))}
	}
	objective := record.NewObjective(pick(faulty, 1.5, 0.99), time.Second)
	return record.NewRoute2(name, path, service, true, time.Second, resources, objective).WithSchema(schema)
}

func pick(faulty bool, bad, good float64) float64 {
	if faulty {
		return bad
	}
	return good
}
