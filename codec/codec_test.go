package codec

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/record"
)

func sampleChange() record.ChangeSet {
	puts := []record.Record{
		record.NewService(record.Schema1, "narudzbe", 18),
		record.NewResource(record.Schema2, "db", 12.5, 3),
		record.NewRoute("orders", "/orders", "narudzbe", false),
		record.NewRoute2("status", "/status", "narudzbe", true, time.Second, []string{"db"}, record.NewObjective(0.999, time.Second/5)),
	}
	removes := []record.ID{record.NewID(record.KindRoute, "old")}
	return record.NewChangeSet(record.PublishID{7, 15: 9}, "ana", 41, puts, removes).WithLevel(3)
}

func sampleCheckpoint() Checkpoint {
	stamp := Stamp{Version: 4, PublishID: record.PublishID{1}}
	fault := record.NewFault(record.ReasonDangling, record.NewID(record.KindRoute, "r"), "service", "x")
	c := Checkpoint{Head: 9, Chain: 77, Version: 4, Level: 2, LevelStamp: stamp, Horizon: 3}
	for _, r := range sampleChange().Puts() {
		c.Records = append(c.Records, StampedRecord{Record: r, Stamp: stamp})
	}
	c.Tombstones = []Tombstone{{ID: record.NewID(record.KindRoute, "old"), Stamp: stamp}}
	c.Outcomes = []EntryOutcome{
		{Offset: 3, Outcome: record.Accepted(record.PublishID{1}, 4)},
		{Offset: 5, Outcome: record.Refused(record.PublishID{2}, 4, []record.Fault{fault})},
	}
	c.Pinned = c.Outcomes[1:]
	return c
}

func TestChangeRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := sampleChange()
	data, err := EncodeChange(want)
	c.Assert(err, qt.IsNil)
	item, err := Decode(data)
	c.Assert(err, qt.IsNil)
	got, ok := item.Change()
	c.Assert(ok, qt.IsTrue)
	c.Assert(fmt.Sprint(got), qt.Equals, fmt.Sprint(want))
}

func TestEncodeChangeRefusesFieldsOutsideSchema(t *testing.T) {
	r := record.NewRoute2("r", "/r", "s", true, time.Second, nil, record.Objective{}).WithSchema(record.Schema1)
	_, err := EncodeChange(record.NewChangeSet(record.PublishID{1}, "ana", 0, []record.Record{r}, nil))
	qt.Assert(t, err, qt.ErrorMatches, "encode route/r: the schema has no place .*")
}

func TestDecodeAboveLevel(t *testing.T) {
	c := qt.New(t)
	r := record.NewRoute2("r", "/r", "s", true, time.Second, nil, record.Objective{}).WithSchema(3)
	data, err := EncodeChange(record.NewChangeSet(record.PublishID{1}, "ana", 0, []record.Record{r}, nil))
	c.Assert(err, qt.IsNil)
	item, err := Decode(data)
	c.Assert(err, qt.IsNil)
	change, _ := item.Change()
	c.Assert(change.Puts()[0] == record.Record(NewPlaceholder(r.ID(), 3)), qt.IsTrue)
	item, err = DecodeAtLevel(data, 3)
	c.Assert(err, qt.IsNil)
	change, _ = item.Change()
	c.Assert(fmt.Sprint(change.Puts()[0]), qt.Equals, fmt.Sprint(r))
}

func TestDecodeFaults(t *testing.T) {
	publishID := record.PublishID{5}
	header := append([]byte{entryTypeChange}, publishID[:]...)
	entry := func(w wireChange) []byte {
		body, err := encMode.Marshal(w)
		qt.Assert(t, err, qt.IsNil)
		return append(bytes.Clone(header), compress(body)...)
	}
	unknownField, err := encMode.Marshal(map[int]any{1: "/r", 2: "s", 9: true})
	qt.Assert(t, err, qt.IsNil)
	extraField := wireRecord{Kind: uint8(record.KindRoute), Name: "r", Schema: 2, Body: unknownField}
	unknownKind := wireRecord{Kind: 9, Name: "k", Schema: 2, Body: []byte{0xa0}}
	tooLarge := wireRecord{Kind: uint8(record.KindService), Name: strings.Repeat("n", MaxRecord), Schema: 2, Body: []byte{0xa0}}
	for _, test := range []struct {
		name      string
		data      []byte
		publishID record.PublishID
		want      string
	}{
		{"empty", nil, record.PublishID{}, "[malformed unknown/]"},
		{"unknown entry type", []byte{77}, record.PublishID{}, "[malformed unknown/]"},
		{"truncated publish ID", header[:9], record.PublishID{}, "[malformed unknown/]"},
		{"no body", header, publishID, "[malformed unknown/]"},
		{"not zstd", append(bytes.Clone(header), 1, 2, 3), publishID, "[malformed unknown/]"},
		{"not CBOR", append(bytes.Clone(header), compress([]byte{0xff})...), publishID, "[malformed unknown/]"},
		{"large entry", append(bytes.Clone(header), make([]byte, MaxEntry)...), publishID, "[too-large unknown/]"},
		{"large body", append(bytes.Clone(header), compress(make([]byte, MaxChange+1))...), publishID, "[too-large unknown/]"},
		{"invalid records", entry(wireChange{Puts: []wireRecord{extraField, unknownKind, tooLarge}}), publishID, "[malformed route/r malformed unknown/k too-large service/" + strings.Repeat("n", maxFaultNameBytes) + "]"},
		{"empty chunk", []byte{entryTypeChunk}, record.PublishID{}, "[malformed unknown/]"},
		{"large chunk", append([]byte{entryTypeChunk}, make([]byte, MaxEntry)...), record.PublishID{}, "[too-large unknown/]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode(test.data)
			var entryErr *EntryError
			qt.Assert(t, err, qt.ErrorAs, &entryErr)
			var got []string
			for _, f := range entryErr.Faults() {
				got = append(got, f.Reason().String(), f.Record().String())
			}
			qt.Assert(t, fmt.Sprint(got), qt.Equals, test.want)
			qt.Assert(t, entryErr.PublishID(), qt.Equals, test.publishID)
		})
	}
}

func TestCheckpointRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := sampleCheckpoint()
	data, err := EncodeCheckpoint(want)
	c.Assert(err, qt.IsNil)
	got, err := DecodeCheckpoint(data)
	c.Assert(err, qt.IsNil)
	c.Assert(fmt.Sprint(got), qt.Equals, fmt.Sprint(want))
	for i := range data {
		damaged := bytes.Clone(data)
		damaged[i] ^= 0x10
		var checkpointErr *CheckpointError
		_, err := DecodeCheckpoint(damaged)
		c.Assert(err, qt.ErrorAs, &checkpointErr)
		_, err = DecodeCheckpoint(data[:i])
		c.Assert(err, qt.ErrorAs, &checkpointErr)
	}
}

func TestChunkRoundTrip(t *testing.T) {
	c := qt.New(t)
	checkpoint := make([]byte, 3*maxChunkData-5)
	for i := range checkpoint {
		checkpoint[i] = byte(i * i >> 3)
	}
	entries, err := EncodeChunks(5, 9, 77, checkpoint)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 3)
	var reassembled []byte
	for i, data := range entries {
		c.Assert(len(data) <= MaxEntry, qt.IsTrue)
		item, err := Decode(data)
		c.Assert(err, qt.IsNil)
		chunk, ok := item.Chunk()
		c.Assert(ok, qt.IsTrue)
		c.Assert(chunk.Index() == i && chunk.Count() == 3 && chunk.Checksum() == Checksum(checkpoint), qt.IsTrue)
		reassembled = append(reassembled, chunk.Data()...)
	}
	c.Assert(bytes.Equal(reassembled, checkpoint), qt.IsTrue)
	_, err = EncodeChunks(5, 9, 77, nil)
	c.Assert(err, qt.IsNotNil)
}

func FuzzDecode(f *testing.F) {
	change, err := EncodeChange(sampleChange())
	qt.Assert(f, err, qt.IsNil)
	chunks, err := EncodeChunks(1, 2, 3, []byte("checkpoint"))
	qt.Assert(f, err, qt.IsNil)
	f.Add(change, uint16(2))
	f.Add(change, uint16(3))
	f.Add(chunks[0], uint16(2))
	f.Fuzz(func(t *testing.T, data []byte, level uint16) {
		_, err := DecodeAtLevel(data, record.Schema(level))
		var entryErr *EntryError
		if err != nil && !errors.As(err, &entryErr) {
			t.Fatalf("unexpected error type %T", err)
		}
	})
}

// FuzzDecodeBody compresses the fuzzed input, so that it reaches the CBOR decoder.
func FuzzDecodeBody(f *testing.F) {
	change, err := EncodeChange(sampleChange())
	qt.Assert(f, err, qt.IsNil)
	body, err := changeDecoder().DecodeAll(change[changeHeaderSize:], nil)
	qt.Assert(f, err, qt.IsNil)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		data := append(bytes.Clone(change[:changeHeaderSize]), compress(body)...)
		item, err := Decode(data)
		if err != nil {
			return
		}
		c, _ := item.Change()
		again, err := EncodeChange(c)
		if err != nil {
			t.Fatal(err)
		}
		item, err = Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := item.Change(); fmt.Sprint(got) != fmt.Sprint(c) {
			t.Fatalf("change set %v decodes as %v after encoding", c, got)
		}
	})
}

func FuzzDecodeCheckpoint(f *testing.F) {
	data, err := EncodeCheckpoint(sampleCheckpoint())
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(checkDecodeCheckpoint)
}

// FuzzCheckpointBody compresses the fuzzed input and adds a valid header, so that it reaches the CBOR decoder.
func FuzzCheckpointBody(f *testing.F) {
	data, err := EncodeCheckpoint(sampleCheckpoint())
	qt.Assert(f, err, qt.IsNil)
	body, err := checkpointDecoder().DecodeAll(data[checkpointHeaderSize:], nil)
	qt.Assert(f, err, qt.IsNil)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) { checkDecodeCheckpoint(t, withCheckpointHeader(2, compress(body))) })
}

// checkDecodeCheckpoint checks that DecodeCheckpoint does not panic and returns only errors of type *CheckpointError.
func checkDecodeCheckpoint(t *testing.T, data []byte) {
	_, err := DecodeCheckpoint(data)
	var checkpointErr *CheckpointError
	if err != nil && !errors.As(err, &checkpointErr) {
		t.Fatalf("unexpected error type %T", err)
	}
}
