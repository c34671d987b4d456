package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// publishServices publishes n services.
func (f *fixture) publishServices(from, n int) {
	for i := range n {
		id := record.PublishID{0: 3, 1: byte((from + i) >> 8), 2: byte(from + i)}
		f.apply(record.NewChangeSet(id, "ana", f.state.Version(), puts(service(fmt.Sprint("s", from+i))), nil))
	}
}

func (f *fixture) checkpoint(writer uint64) [][]byte {
	entries, err := f.state.CheckpointEntries(writer)
	f.c.Assert(err, qt.IsNil)
	return entries
}

// load loads the entries from start on and compares the result with the state of the fixture.
func (f *fixture) load(start record.Offset) *Loader {
	l := NewLoader(start)
	f.c.Assert(l.Add(f.log[start:]), qt.IsNil)
	if l.End() == nil {
		f.c.Assert(sameState(f.state, l.State()), qt.IsNil)
	}
	return l
}

func TestLoadFromCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 5)
	f.applyData(f.checkpoint(1)[0])
	f.publishServices(5, 5)
	f.c.Assert(f.load(0).End(), qt.IsNil)
	f.c.Assert(f.load(5).End(), qt.IsNil)
	f.c.Assert(f.load(3).End(), qt.IsNil)

	var lost *NoCheckpointError
	f.c.Assert(f.load(6).End(), qt.ErrorAs, &lost)
	f.c.Assert(lost.First(), qt.Equals, record.Offset(6))
	f.c.Assert(lost.Next(), qt.Equals, record.Offset(11))
}

// TestLoadInterleaved loads a log in which two writers append the chunks of large checkpoints alternately, one of
// them stale, and a third writer crashes after its first chunk.
func TestLoadInterleaved(t *testing.T) {
	f := newFixture(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var big []record.Record
	for i := range 4000 {
		name := fmt.Sprintf("%x%x-%d", rnd.Uint64(), rnd.Uint64(), i)
		f.state.index.put(codec.StampedRecord{Record: service(name)})
		big = append(big, service(name))
	}
	f.publishServices(0, 1)
	stale := f.checkpoint(1)
	f.publishServices(1, 9)
	good, crashed := f.checkpoint(2), f.checkpoint(3)
	f.c.Assert(len(big) == 4000 && len(good) > 1, qt.IsTrue)
	f.applyData(crashed[0])
	for i := range good {
		f.applyData(stale[i])
		f.applyData(good[i])
	}
	f.publishServices(10, 3)
	l := f.load(5)
	f.c.Assert(l.End(), qt.IsNil)
	f.c.Assert(l.Rejected(), qt.Equals, 1)
}

func TestLoadRejects(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 5)
	sound, err := f.state.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	damaged := append([]byte(nil), sound...)
	damaged[len(damaged)-1] ^= 1
	for _, test := range []struct {
		name  string
		head  record.Offset
		chain uint64
		data  []byte
	}{
		{"damaged", 5, f.state.Chain(), damaged},
		{"other head", 6, f.state.Chain(), sound},
		{"other chain", 5, f.state.Chain() + 1, sound},
		{"head not reached", 99, f.state.Chain(), sound},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			chunks, err := codec.EncodeChunks(7, test.head, test.chain, test.data)
			c.Assert(err, qt.IsNil)
			l := NewLoader(5)
			c.Assert(l.Add([]record.Entry{record.NewEntry(5, chunks[0]), record.NewEntry(6, chunks[0])}), qt.IsNil)
			c.Assert(l.State(), qt.IsNil)
			c.Assert(l.Rejected(), qt.Equals, 2)
		})
	}
}

// TestLoadCountsMismatches loads a well-formed checkpoint of another log, which a later checkpoint contradicts.
func TestLoadCountsMismatches(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	f.publishServices(0, 5)
	other.publishServices(50, 5)
	f.applyData(other.checkpoint(1)[0])
	f.applyData(f.checkpoint(2)[0])
	l := NewLoader(5)
	f.c.Assert(l.Add(f.log[5:]), qt.IsNil)
	f.c.Assert(l.Mismatches(), qt.Equals, 1)
}

func TestLoadGap(t *testing.T) {
	c := qt.New(t)
	l := NewLoader(5)
	c.Assert(l.Add([]record.Entry{record.NewEntry(5, nil)}), qt.IsNil)
	var gap *GapError
	c.Assert(l.Add([]record.Entry{record.NewEntry(9, nil)}), qt.ErrorAs, &gap)
	c.Assert(gap.Want(), qt.Equals, record.Offset(6))
}

func TestLoadRejectsVersionBelowMin(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 5)
	f.applyData(f.checkpoint(1)[0])
	l := NewLoaderWithMinVersion(5, 6, record.SchemaNewest)
	f.c.Assert(l.Add(f.log[5:]), qt.IsNil)
	f.c.Assert(l.State(), qt.IsNil)
	f.c.Assert(l.Rejected(), qt.Equals, 1)
}

// TestForgedCheckpoint checks that a checkpoint that contradicts the state is reported as a mismatch and does not
// change the state.
func TestForgedCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 5)
	data, err := f.state.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	for _, test := range []struct {
		head  record.Offset
		chain uint64
		want  ResultKind
	}{
		{5, f.state.Chain(), ResultCheckpoint},
		{5, f.state.Chain() + 1, ResultMismatch},
		{2, 77, ResultMismatch},
		{99, 77, ResultMismatch},
	} {
		chunks, err := codec.EncodeChunks(1, test.head, test.chain, data)
		f.c.Assert(err, qt.IsNil)
		version, records := f.state.Version(), f.state.Len()
		result, err := f.state.Apply(record.NewEntry(f.state.Head(), chunks[0]))
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(result.Kind(), qt.Equals, test.want)
		f.c.Assert(f.state.Version() == version && f.state.Len() == records, qt.IsTrue)
	}
}

// TestBridge gives up entries that no node has read. Nodes with different heads below the gap must reach the same
// state again.
func TestBridge(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 5)
	behind := f.state
	f.state, _ = applyAll(New(), f.log)
	f.publishServices(5, 2)
	_, err := behind.Bridge(5)
	f.c.Assert(err, qt.ErrorMatches, "entry 5 does not follow head 5")
	bridged, err := f.state.Bridge(20)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(bridged.Version(), qt.Equals, f.state.Version())

	entries, err := bridged.CheckpointEntries(1)
	f.c.Assert(err, qt.IsNil)
	f.state = bridged
	f.log = append(f.log, make([]record.Entry, 13)...)
	f.applyData(entries[0])
	f.publishServices(30, 1)
	for _, old := range []*State{behind, New()} {
		l := NewLoaderWithMinVersion(20, old.Version(), record.SchemaNewest)
		f.c.Assert(l.Add(f.log[20:]), qt.IsNil)
		f.c.Assert(sameState(l.State(), f.state), qt.IsNil)
	}
}

func TestLevelRises(t *testing.T) {
	f := newFixture(t)
	f.state = NewWithSchema(schema3)
	older := NewWithSchema(record.SchemaNewest)
	level := record.NewID(0, "")
	newer := route("r", "/r", "a").WithSchema(schema3)
	for _, test := range []struct {
		change record.ChangeSet
		want   []string
	}{
		{f.change(0, puts(service("a"), newer)), []string{"schema route/r schema"}},
		{f.change(0, puts(newer)).WithLevel(schema3), []string{"schema route/r schema"}},
		{f.change(0, nil).WithLevel(schema3 + 1), []string{"invalid " + level.String() + " level"}},
		{f.change(0, nil).WithLevel(record.Schema1), []string{"invalid " + level.String() + " level"}},
		{f.change(0, puts(service("a"))).WithLevel(schema3), nil},
		{f.change(0, nil).WithLevel(schema3), []string{"conflict " + level.String() + " level"}},
		{f.change(5, puts(newer)), nil},
	} {
		f.c.Assert(describeFaults(f.apply(test.change)), qt.DeepEquals, test.want)
		_, err := older.Apply(f.log[len(f.log)-1])
		if f.state.Level() < schema3 {
			f.c.Assert(err, qt.IsNil)
			continue
		}
		if len(f.log) == 5 {
			var levelErr *LevelError
			f.c.Assert(err, qt.ErrorAs, &levelErr)
			f.c.Assert(levelErr.Level(), qt.Equals, schema3)
		}
	}
	f.c.Assert(older.Head(), qt.Equals, record.Offset(4))
	f.c.Assert(older.Version(), qt.Equals, record.Version(0))

	data, err := f.state.Checkpoint()
	f.c.Assert(err, qt.IsNil)
	_, err = Restore(data)
	f.c.Assert(err, qt.ErrorMatches, "schema 3 is needed, .*")
	l := NewLoader(7)
	f.c.Assert(l.Add([]record.Entry{record.NewEntry(7, f.checkpoint(1)[0])}), qt.ErrorMatches, "schema 3 is needed, .*")
	restored, err := RestoreWithSchema(data, schema3)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(sameState(restored, f.state), qt.IsNil)
}

func TestResultCovered(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 5)
	data := make([]byte, codec.MaxEntry)
	chunks, err := codec.EncodeChunks(1, 3, chainAt(f, 3), data)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(chunks, qt.HasLen, 2)
	for i, last := range []bool{false, true} {
		result, err := f.state.Apply(record.NewEntry(f.state.Head(), chunks[i]))
		f.c.Assert(err, qt.IsNil)
		head, ok := result.Covered()
		f.c.Assert(ok, qt.Equals, last)
		f.c.Assert(head, qt.Equals, record.Offset(3))
	}
	_, ok := Result{}.Covered()
	f.c.Assert(ok, qt.IsFalse)
}

func chainAt(f *fixture, head record.Offset) uint64 {
	s, err := applyAll(New(), f.log[:head])
	f.c.Assert(err, qt.IsNil)
	return s.Chain()
}

// TestLoaderEvictsOldEntries checks that the buffered entries of a Loader are limited while it searches for a
// checkpoint, and that only a checkpoint that covers the evicted entries is used.
func TestLoaderEvictsOldEntries(t *testing.T) {
	f := newFixture(t)
	f.publishServices(0, 40)
	early := f.checkpoint(1)[0]
	f.publishServices(40, 40)
	late := f.checkpoint(1)[0]
	l := NewLoader(10)
	l.maxEntryBytes = 4 * len(f.log[10].Data())
	f.c.Assert(l.Add(f.log[10:]), qt.IsNil)
	f.c.Assert(len(l.entries) <= 4, qt.IsTrue)
	f.c.Assert(l.Next(), qt.Equals, record.Offset(80))
	f.applyData(early)
	f.c.Assert(l.Add(f.log[80:]), qt.IsNil)
	f.c.Assert(l.State(), qt.IsNil)
	f.c.Assert(l.Rejected(), qt.Equals, 1)
	f.applyData(late)
	f.applyData(f.checkpoint(1)[0])
	f.c.Assert(l.Add(f.log[81:]), qt.IsNil)
	f.c.Assert(sameState(l.State(), f.state), qt.IsNil)
}
