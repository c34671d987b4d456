package catalog

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// FuzzApply applies an entry of arbitrary bytes. An entry that is not accepted must not change the version or the
// records, and the checkpoint of the resulting state must be restorable.
func FuzzApply(f *testing.F) {
	fix := newFixture(f)
	data, err := codec.EncodeChange(fix.change(0, puts(service("a"), route("r", "/r", "a"))))
	qt.Assert(f, err, qt.IsNil)
	fix.put(service("b"))
	f.Add(data)
	f.Add(fix.checkpoint(1)[0])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := applyAll(New(), fix.log)
		if err != nil {
			t.Fatal(err)
		}
		before := s.Snapshot()
		result, err := s.Apply(record.NewEntry(s.Head(), data))
		var level *LevelError
		if err != nil && !errors.As(err, &level) {
			t.Fatalf("error of type %T", err)
		}
		if result.Kind() != ResultAccepted && s.Snapshot() != before {
			t.Fatalf("%s changed the configuration", result.Kind())
		}
		checkRestores(t, s)
	})
}

func checkRestores(t *testing.T, s *State) {
	data, err := s.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := sameState(s, restored); err != nil {
		t.Fatal(err)
	}
}

func FuzzRestore(f *testing.F) {
	fix := newFixture(f)
	fix.put(service("a"), route("r", "/r", "a"))
	data, err := fix.state.Checkpoint()
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		var checkpointErr *codec.CheckpointError
		var level *LevelError
		switch {
		case err == nil:
			checkRestores(t, s)
		case !errors.As(err, &checkpointErr) && !errors.As(err, &level):
			t.Fatalf("error of type %T", err)
		}
	})
}

// TestRestoreAudits restores checkpoints with a correct checksum whose content can't result from applying entries.
func TestRestoreAudits(t *testing.T) {
	stamp := codec.Stamp{Version: 1}
	stamped := func(records ...record.Record) []codec.StampedRecord {
		var all []codec.StampedRecord
		for _, r := range records {
			all = append(all, codec.StampedRecord{Record: r, Stamp: stamp})
		}
		return all
	}
	for _, test := range []struct {
		c    codec.Checkpoint
		want string
	}{
		{codec.Checkpoint{Version: 1, Level: 2}, ".*is above head 0"},
		{codec.Checkpoint{Horizon: 1, Level: 2}, ".*is above head 0"},
		{codec.Checkpoint{Level: 1}, ".*level 1 is below 2"},
		{codec.Checkpoint{Level: 2, Head: 1, Records: stamped(service("a"))}, ".*stamp of service/a is above version 0"},
		{codec.Checkpoint{Level: 2, Head: 1, Version: 1, Records: stamped(route("r", "/r", "a"))}, ".*route/r refers to missing service/a"},
		{codec.Checkpoint{Level: 2, Head: 1, Version: 1, Records: stamped(service("b"), service("a"))}, ".*service/a is duplicated or out of order"},
		{codec.Checkpoint{Level: 2, Head: 1, Version: 1, Records: stamped(service("a"), service("a"))}, ".*service/a is duplicated or out of order"},
		{codec.Checkpoint{Level: 2, Head: 1, Version: 1, Records: stamped(service("a"), route("r", "/r", "a"), route("x", "/r", "a"))}, ".*route/. has the same path as another route"},
		{codec.Checkpoint{Level: 2, Tombstones: make([]codec.Tombstone, MaxTombstones+1)}, ".*than a state keeps"},
	} {
		data, err := codec.EncodeCheckpoint(test.c)
		qt.Assert(t, err, qt.IsNil)
		_, err = Restore(data)
		qt.Check(t, err, qt.ErrorMatches, test.want)
		var checkpointErr *codec.CheckpointError
		qt.Check(t, err, qt.ErrorAs, &checkpointErr)
	}
}
