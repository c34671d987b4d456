package codec

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/record"
)

// Checkpoint is the whole state of the fold, as plain data.
type Checkpoint struct {
	Head       record.Offset   // first offset not folded
	Chain      uint64          // hash over all entries before Head
	Version    record.Version  // version in force
	Level      record.Schema   // newest schema that the fleet accepts
	LevelStamp Stamp           // publish that raised the level last
	Horizon    record.Version  // bases below it are too old
	Records    []StampedRecord       // records in force, ordered by ID
	Tombstones []Tombstone     // removed records, oldest first
	Outcomes   []EntryOutcome // recent decisions, oldest first
	Pinned     []EntryOutcome // refusals remembered longer, oldest first
}

// Stamp says which publish changed something last.
type Stamp struct {
	Version record.Version
	PublishID record.PublishID
}

// StampedRecord is a record with the publish that put it.
type StampedRecord struct {
	Record record.Record
	Stamp  Stamp
}

// Tombstone is a removed record with the publish that removed it.
type Tombstone struct {
	ID    record.ID
	Stamp Stamp
}

// EntryOutcome is an outcome with the offset of the entry that it decided.
type EntryOutcome struct {
	Offset  record.Offset
	Outcome record.Outcome
}

// checkpointFormat is the first byte of an encoded checkpoint; 2 bytes of schema level and 8 bytes of
// hash over all that follows come next.
const (
	checkpointFormat = 1
	checkpointHeader = 1 + 2 + 8
)

var (
	errShort  = errors.New("fewer bytes than the header has")
	errFormat = errors.New("the format is unknown")
	errSum    = errors.New("the hash differs")
)

func sumOf(data []byte) uint64 { return xxhash.Sum64(data) }

// Checksum returns the hash by which chunks name the checkpoint that they are part of.
func Checksum(checkpoint []byte) uint64 { return sumOf(checkpoint) }

// EncodeCheckpoint returns a state as bytes: equal states give equal bytes.
func EncodeCheckpoint(c Checkpoint) ([]byte, error) {
	w, err := toWireCheckpoint(c)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	body, err := encMode.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	if len(body) > MaxCheckpoint {
		return nil, fmt.Errorf("encode checkpoint: %s", sizeDetail("the state", MaxCheckpoint))
	}
	return seal(c.Level, compress(body)), nil
}

func seal(level record.Schema, packed []byte) []byte {
	data := make([]byte, checkpointHeader, checkpointHeader+len(packed))
	data[0] = checkpointFormat
	binary.BigEndian.PutUint16(data[1:], uint16(level))
	binary.BigEndian.PutUint64(data[3:], checkpointSum(level, packed))
	return append(data, packed...)
}

func checkpointSum(level record.Schema, packed []byte) uint64 {
	return sumOf(packed) ^ uint64(level)*0x9e3779b97f4a7c15
}

// CheckpointLevel returns the schema level of an encoded checkpoint, which tells whether a binary can
// decode the rest. The error is a *CheckpointError.
func CheckpointLevel(data []byte) (record.Schema, error) {
	if len(data) < checkpointHeader {
		return 0, &CheckpointError{step: "header", err: errShort}
	}
	if data[0] != checkpointFormat {
		return 0, &CheckpointError{step: "header", err: errFormat}
	}
	level := record.Schema(binary.BigEndian.Uint16(data[1:]))
	if binary.BigEndian.Uint64(data[3:]) != checkpointSum(level, data[checkpointHeader:]) {
		return 0, &CheckpointError{step: "hash", err: errSum}
	}
	return level, nil
}

// DecodeCheckpoint returns the state that was encoded. The error is a *CheckpointError.
func DecodeCheckpoint(data []byte) (Checkpoint, error) {
	level, err := CheckpointLevel(data)
	if err != nil {
		return Checkpoint{}, err
	}
	body, err := checkpointDecoder().DecodeAll(data[checkpointHeader:], nil)
	if err != nil {
		return Checkpoint{}, &CheckpointError{step: "decompress", err: err}
	}
	var w wireCheckpoint
	if err := decMode.Unmarshal(body, &w); err != nil {
		return Checkpoint{}, &CheckpointError{step: "decode", err: err}
	}
	c, err := w.checkpoint(level)
	if err != nil {
		return Checkpoint{}, &CheckpointError{step: "decode", err: err}
	}
	return c, nil
}
