package relay

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// A paused writer's checkpoint arrives late: it covers less than the log still keeps, so nobody can load
// it, and it must not put off the next one.
func TestStaleCheckpointIsNotRecorded(t *testing.T) {
	c := quicktest.New(t)
	entries := testEntries(t, 20, "stale")
	old := newTestMachine(0, entries[:5], Defaults())
	parts, err := old.replica.state.CheckpointEntries(1)
	c.Assert(err, quicktest.IsNil)
	c.Assert(parts, quicktest.HasLen, 1)

	m := newTestMachine(0, entries, Defaults())
	m.applyEntries(epoch, []record.Entry{record.NewEntry(20, parts[0])})
	m.writer.setLogStart(10)
	c.Assert(m.needsCheckpoint(epoch), quicktest.IsTrue)
}

// A writer that dies after the first part leaves a checkpoint that nobody can load.
func TestPartialCheckpointIsNotRecorded(t *testing.T) {
	c := quicktest.New(t)
	parts, entries := largeCheckpoint(c)
	m := newTestMachine(0, entries, Defaults())
	items := m.writer.entriesSince
	m.applyEntries(epoch.Add(time.Hour), []record.Entry{record.NewEntry(m.replica.state.Head(), parts[0])})
	c.Assert(m.writer.entriesSince, quicktest.Equals, items)
	c.Assert(m.writer.lastSeenAt.After(epoch), quicktest.IsFalse)

	for _, part := range parts[1:] {
		m.applyEntries(epoch.Add(time.Hour), []record.Entry{record.NewEntry(m.replica.state.Head(), part)})
	}
	c.Assert(m.writer.entriesSince, quicktest.Equals, 0)
}

// largeCheckpoint returns the parts of a checkpoint that needs more than one, and the entries it covers.
func largeCheckpoint(c *quicktest.C) ([][]byte, []record.Entry) {
	state := catalog.New()
	var entries []record.Entry
	for i := range 200 {
		var puts []record.Record
		for range 100 {
			puts = append(puts, record.NewService(record.Schema1, uuid.NewSHA1(uuid.NameSpaceOID, []byte{byte(i), byte(len(puts))}).String(), 1))
		}
		data, err := codec.EncodeChange(record.NewChangeSet(uuid.NewSHA1(uuid.NameSpaceURL, []byte{byte(i)}), "operator", record.Version(i), puts, nil))
		c.Assert(err, quicktest.IsNil)
		entries = append(entries, record.NewEntry(record.Offset(i), data))
		_, err = state.Apply(entries[i])
		c.Assert(err, quicktest.IsNil)
		if parts, err := state.CheckpointEntries(1); err == nil && len(parts) > 1 {
			return parts, entries
		}
	}
	c.Fatal("no checkpoint of two parts")
	return nil, nil
}
