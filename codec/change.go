// Package codec encodes change sets, checkpoints and checkpoint chunks as the data of log entries, and decodes them.
// Change sets and checkpoints are compressed CBOR; chunks are uncompressed CBOR that carries a part of an encoded
// checkpoint. The unexported wire structs define the format.
package codec

import (
	"errors"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"

	"github.com/bambooknot/bambooknot/record"
)

// Entry types, stored in the first byte of an entry.
const (
	entryTypeChange byte = 1 // followed by the publish ID and the compressed change set
	entryTypeChunk  byte = 2 // followed by one chunk of a checkpoint
)

// changeHeaderSize is the size of the entry type and the publish ID, in bytes. The publish ID is not compressed, so that
// a change set that is malformed or too large can still be refused under its publish ID.
const changeHeaderSize = 1 + len(record.PublishID{})

// DecodedEntry is the decoded content of one log entry: a change set or a chunk of a checkpoint.
type DecodedEntry struct {
	change  record.ChangeSet
	chunk   Chunk
	isChunk bool
}

// Change returns the change set. The result is false if the entry holds a chunk.
func (e DecodedEntry) Change() (record.ChangeSet, bool) { return e.change, !e.isChunk }

// Chunk returns the chunk of a checkpoint. The result is false if the entry holds a change set.
func (e DecodedEntry) Chunk() (Chunk, bool) { return e.chunk, e.isChunk }

// EncodeChange encodes a change set as the data of a log entry. It fails if a route has fields that its schema does not
// have. It does not enforce size limits: nodes refuse a change set that exceeds them, and catalog.State.Check
// reports it in advance.
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
	publishID := c.PublishID()
	entry := append([]byte{entryTypeChange}, publishID[:]...)
	return append(entry, compress(body)...), nil
}

// Decode decodes the data of a log entry at the newest schema level that this binary supports. The error is an
// *EntryError.
func Decode(data []byte) (DecodedEntry, error) { return DecodeAtLevel(data, record.SchemaNewest) }

// DecodeAtLevel decodes the data of a log entry. Records of a schema above level become Placeholders, even if this
// binary supports that schema, so that binaries of all versions decode the entry alike. The error is an *EntryError.
func DecodeAtLevel(data []byte, level record.Schema) (DecodedEntry, error) {
	if len(data) == 0 {
		return DecodedEntry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the entry is empty")
	}
	switch data[0] {
	case entryTypeChange:
		return decodeChange(data, level)
	case entryTypeChunk:
		return decodeChunk(data)
	}
	return DecodedEntry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, fmt.Sprintf("form %d is unknown", data[0]))
}

func decodeChange(data []byte, level record.Schema) (DecodedEntry, error) {
	var publishID record.PublishID
	if copy(publishID[:], data[1:]) < len(publishID) {
		return DecodedEntry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the entry ends within the publish ID")
	}
	if len(data) > MaxEntry {
		return DecodedEntry{}, newEntryError(publishID, record.ReasonTooLarge, sizeDetail("the entry", MaxEntry))
	}
	body, err := changeDecoder().DecodeAll(data[changeHeaderSize:], nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return DecodedEntry{}, newEntryError(publishID, record.ReasonTooLarge, sizeDetail("the change set", MaxChange))
	}
	if err != nil {
		return DecodedEntry{}, newEntryError(publishID, record.ReasonMalformed, "the change set cannot be decompressed")
	}
	var w wireChange
	if err := decMode.Unmarshal(body, &w); err != nil {
		return DecodedEntry{}, newEntryError(publishID, record.ReasonMalformed, "the change set cannot be decoded")
	}
	return w.entry(publishID, level)
}

func sizeDetail(subject string, limit int) string {
	return fmt.Sprintf("%s exceeds %d bytes", subject, limit)
}

// entry decodes the records. A record that can't be decoded or is too large adds a fault, so that the error lists all
// invalid records.
func (w wireChange) entry(publishID record.PublishID, level record.Schema) (DecodedEntry, error) {
	var puts []record.Record
	var faults []record.Fault
	for _, put := range w.Puts {
		if len(put.Body)+len(put.Name) > MaxRecord {
			id := record.NewID(record.Kind(put.Kind), truncateName(put.Name))
			faults = append(faults, record.NewFault(record.ReasonTooLarge, id, "", sizeDetail("the record", MaxRecord)))
			continue
		}
		r, err := put.decode(level)
		if err != nil {
			id := record.NewID(record.Kind(put.Kind), truncateName(put.Name))
			faults = append(faults, record.NewFault(record.ReasonMalformed, id, "", "the record cannot be decoded"))
			continue
		}
		puts = append(puts, r)
	}
	if len(faults) > 0 {
		return DecodedEntry{}, &EntryError{publishID: publishID, faults: faults}
	}
	var removes []record.ID
	for _, id := range w.Removes {
		removes = append(removes, id.id())
	}
	c := record.NewChangeSet(publishID, w.Operator, record.Version(w.Base), puts, removes)
	return DecodedEntry{change: c.WithLevel(record.Schema(w.Level))}, nil
}

// maxFaultNameBytes limits how much of a record's name a fault repeats.
const maxFaultNameBytes = 64

func truncateName(name string) string {
	if len(name) <= maxFaultNameBytes {
		return name
	}
	return strings.ToValidUTF8(name[:maxFaultNameBytes], "")
}
