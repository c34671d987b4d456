package codec

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/record"
)

// Checkpoint is the whole state that results from applying the log up to Head.
type Checkpoint struct {
	Head       record.Offset   // first offset not applied
	Chain      uint64          // hash chain value over all entries before Head
	Version    record.Version  // configuration version in force
	Level      record.Schema   // newest schema that the fleet accepts
	LevelStamp Stamp           // publish that last raised the level
	Horizon    record.Version  // base versions below it are refused as too old
	Records    []StampedRecord // records in force, ordered by ID
	Tombstones []Tombstone     // removed records, oldest first
	Outcomes   []EntryOutcome  // recent outcomes, oldest first
	Pinned     []EntryOutcome  // refusals kept longer than Outcomes, oldest first
}

// Stamp identifies the publish that last changed a record or the level, and the version that it led to.
type Stamp struct {
	Version   record.Version
	PublishID record.PublishID
}

// StampedRecord is a record and the publish that last put it.
type StampedRecord struct {
	Record record.Record
	Stamp  Stamp
}

// Tombstone is the ID of a removed record and the publish that removed it.
type Tombstone struct {
	ID    record.ID
	Stamp Stamp
}

// EntryOutcome is the outcome of a publish and the offset of its entry in the log.
type EntryOutcome struct {
	Offset  record.Offset
	Outcome record.Outcome
}

// The header of an encoded checkpoint is the format (1 byte), the schema level (2 bytes) and a checksum of the
// compressed state and the level (8 bytes).
const (
	checkpointFormat     = 1
	checkpointHeaderSize = 1 + 2 + 8
)

var (
	errTruncated     = errors.New("data is shorter than the header")
	errUnknownFormat = errors.New("unknown checkpoint format")
	errChecksum      = errors.New("checksum mismatch")
)

func checksum(data []byte) uint64 { return xxhash.Sum64(data) }

// Checksum returns the checksum of an encoded checkpoint, which its chunks carry.
func Checksum(checkpoint []byte) uint64 { return checksum(checkpoint) }

// EncodeCheckpoint encodes a state. Equal states encode to equal bytes.
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
	return withCheckpointHeader(c.Level, compress(body)), nil
}

func withCheckpointHeader(level record.Schema, compressed []byte) []byte {
	data := make([]byte, checkpointHeaderSize, checkpointHeaderSize+len(compressed))
	data[0] = checkpointFormat
	binary.BigEndian.PutUint16(data[1:], uint16(level))
	binary.BigEndian.PutUint64(data[3:], headerChecksum(level, compressed))
	return append(data, compressed...)
}

// headerChecksum also covers the level, which is read before the rest is decoded.
func headerChecksum(level record.Schema, compressed []byte) uint64 {
	return checksum(compressed) ^ uint64(level)*0x9e3779b97f4a7c15
}

// CheckpointLevel verifies the header of an encoded checkpoint and returns its schema level. A binary can decode the
// rest if it supports that level. The error is a *CheckpointError.
func CheckpointLevel(data []byte) (record.Schema, error) {
	if len(data) < checkpointHeaderSize {
		return 0, &CheckpointError{step: "header", err: errTruncated}
	}
	if data[0] != checkpointFormat {
		return 0, &CheckpointError{step: "header", err: errUnknownFormat}
	}
	level := record.Schema(binary.BigEndian.Uint16(data[1:]))
	if binary.BigEndian.Uint64(data[3:]) != headerChecksum(level, data[checkpointHeaderSize:]) {
		return 0, &CheckpointError{step: "hash", err: errChecksum}
	}
	return level, nil
}

// DecodeCheckpoint decodes a state. The error is a *CheckpointError.
func DecodeCheckpoint(data []byte) (Checkpoint, error) {
	level, err := CheckpointLevel(data)
	if err != nil {
		return Checkpoint{}, err
	}
	body, err := checkpointDecoder().DecodeAll(data[checkpointHeaderSize:], nil)
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
