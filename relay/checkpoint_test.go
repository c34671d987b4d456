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

// A writer that was paused may append an old checkpoint, which covers less than the log has trimmed and so cannot be
// loaded. Such a checkpoint must not delay the next one.
func TestStaleCheckpointIsNotRecorded(t *testing.T) {
	c := quicktest.New(t)
	entries := testEntries(t, 20, "stale")
	old := newTestMachine(0, entries[:5], Defaults())
	chunks, err := old.replica.state.CheckpointEntries(1)
	c.Assert(err, quicktest.IsNil)
	c.Assert(chunks, quicktest.HasLen, 1)

	m := newTestMachine(0, entries, Defaults())
	m.applyEntries(epoch, []record.Entry{record.NewEntry(20, chunks[0])})
	m.writer.setLogStart(10)
	c.Assert(m.needsCheckpoint(epoch), quicktest.IsTrue)
}

// A writer that crashes after the first chunk leaves a checkpoint that cannot be loaded. Such a checkpoint must not
// delay the next one.
func TestPartialCheckpointIsNotRecorded(t *testing.T) {
	c := quicktest.New(t)
	chunks, entries := largeCheckpoint(c)
	m := newTestMachine(0, entries, Defaults())
	items := m.writer.entriesSinceCheckpoint
	m.applyEntries(epoch.Add(time.Hour), []record.Entry{record.NewEntry(m.replica.state.Head(), chunks[0])})
	c.Assert(m.writer.entriesSinceCheckpoint, quicktest.Equals, items)
	c.Assert(m.writer.lastCheckpointAt.After(epoch), quicktest.IsFalse)

	for _, chunk := range chunks[1:] {
		m.applyEntries(epoch.Add(time.Hour), []record.Entry{record.NewEntry(m.replica.state.Head(), chunk)})
	}
	c.Assert(m.writer.entriesSinceCheckpoint, quicktest.Equals, 0)
}

// largeCheckpoint returns the chunks of a checkpoint that has more than one, and the entries that it covers.
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
		if chunks, err := state.CheckpointEntries(1); err == nil && len(chunks) > 1 {
			return chunks, entries
		}
	}
	c.Fatal("no checkpoint has more than one chunk")
	return nil, nil
}
