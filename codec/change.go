// Package codec turns change sets, checkpoints and their parts into the bytes that the log stores, and
// back. The bytes are compressed CBOR; private structs describe the wire format.
package codec

import (
	"errors"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"

	"github.com/bambooknot/bambooknot/record"
)

// The first byte of an entry tells its form.
const (
	formChange byte = 1 // then the publish ID, then the compressed change set
	formChunk  byte = 2 // then one part of a checkpoint
)

// changeHeader is the length of form and publish ID. They precede the compressed part, so that even a
// change set that is malformed or too large is refused under its publish ID.
const changeHeader = 1 + len(record.PublishID{})

// Entry is the content of one entry: a change set or a chunk of a checkpoint.
type Entry struct {
	change  record.ChangeSet
	chunk   Chunk
	isChunk bool
}

// Change returns the change set, and false when the entry holds none.
func (i Entry) Change() (record.ChangeSet, bool) { return i.change, !i.isChunk }

// Chunk returns the chunk of a checkpoint, and false when the entry holds none.
func (i Entry) Chunk() (Chunk, bool) { return i.chunk, i.isChunk }

// EncodeChange returns the entry for a change set. It fails if a route has fields that its schema cannot hold. It
// does not apply size limits: the fleet refuses a change set that exceeds them, and catalog.State.Check tells so
// beforehand.
func EncodeChange(c record.ChangeSet) ([]byte, error) {
	w := wireChange{
		Operator: c.Operator(), Base: uint64(c.Base()), Level: uint16(c.Level()),
		Removes: toWireIDs(c.Removes()),
	}
	for _, r := range c.Puts() {
		put, err := toWireRecord(r)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", r.ID(), err)
		}
		w.Puts = append(w.Puts, put)
	}
	body, err := encMode.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode change set: %w", err)
	}
	publish := c.PublishID()
	entry := append([]byte{formChange}, publish[:]...)
	return append(entry, compress(body)...), nil
}

// Decode returns the content of an entry with the newest schema that this binary understands.
func Decode(data []byte) (Entry, error) { return DecodeAtLevel(data, record.SchemaNewest) }

// DecodeAtLevel returns the content of an entry. Records of a schema above level become Placeholders, whatever
// else the binary understands. The error is an *EntryError.
func DecodeAtLevel(data []byte, level record.Schema) (Entry, error) {
	if len(data) == 0 {
		return Entry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the entry is empty")
	}
	switch data[0] {
	case formChange:
		return decodeChange(data, level)
	case formChunk:
		return decodeChunk(data)
	}
	return Entry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, fmt.Sprintf("form %d is unknown", data[0]))
}

func decodeChange(data []byte, level record.Schema) (Entry, error) {
	var publish record.PublishID
	if copy(publish[:], data[1:]) < len(publish) {
		return Entry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the entry ends within the publish ID")
	}
	if len(data) > MaxEntry {
		return Entry{}, newEntryError(publish, record.ReasonTooLarge, sizeDetail("the entry", MaxEntry))
	}
	body, err := changeDecoder().DecodeAll(data[changeHeader:], nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return Entry{}, newEntryError(publish, record.ReasonTooLarge, sizeDetail("the change set", MaxChange))
	}
	if err != nil {
		return Entry{}, newEntryError(publish, record.ReasonMalformed, "the change set cannot be decompressed")
	}
	var w wireChange
	if err := decMode.Unmarshal(body, &w); err != nil {
		return Entry{}, newEntryError(publish, record.ReasonMalformed, "the change set cannot be decoded")
	}
	return w.item(publish, level)
}

func sizeDetail(what string, limit int) string {
	return fmt.Sprintf("%s exceeds %d bytes", what, limit)
}

func (w wireChange) item(publish record.PublishID, level record.Schema) (Entry, error) {
	var puts []record.Record
	var faults []record.Fault
	for _, put := range w.Puts {
		if len(put.Body)+len(put.Name) > MaxRecord {
			id := record.NewID(record.Kind(put.Kind), shorten(put.Name))
			faults = append(faults, record.NewFault(record.ReasonTooLarge, id, "", sizeDetail("the record", MaxRecord)))
			continue
		}
		r, err := put.record(level)
		if err != nil {
			id := record.NewID(record.Kind(put.Kind), shorten(put.Name))
			faults = append(faults, record.NewFault(record.ReasonMalformed, id, "", "the record cannot be decoded"))
			continue
		}
		puts = append(puts, r)
	}
	if len(faults) > 0 {
		return Entry{}, &EntryError{publish: publish, faults: faults}
	}
	var removes []record.ID
	for _, id := range w.Removes {
		removes = append(removes, id.id())
	}
	c := record.NewChangeSet(publish, w.Operator, record.Version(w.Base), puts, removes)
	return Entry{change: c.WithLevel(record.Schema(w.Level))}, nil
}

// shownName bounds the part of an over-long name that a fault repeats, in bytes.
const shownName = 64

func shorten(name string) string {
	if len(name) <= shownName {
		return name
	}
	return strings.ToValidUTF8(name[:shownName], "")
}
