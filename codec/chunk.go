package codec

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// Chunk is a part of an encoded checkpoint that fits into one log entry.
type Chunk struct {
	writerID uint64
	head     record.Offset
	chain    uint64
	checksum uint64
	index    int
	count    int
	data     []byte
}

type wireChunk struct {
	WriterID uint64 `cbor:"1,keyasint"`
	Head     uint64 `cbor:"2,keyasint"`
	Chain    uint64 `cbor:"3,keyasint"`
	Checksum uint64 `cbor:"4,keyasint"`
	Index    uint32 `cbor:"5,keyasint"`
	Count    uint32 `cbor:"6,keyasint"`
	Data     []byte `cbor:"7,keyasint"`
}

// WriterID returns the number that distinguishes the chunks of concurrent writers.
func (c Chunk) WriterID() uint64 { return c.writerID }

// Head returns the first offset that the checkpoint does not cover.
func (c Chunk) Head() record.Offset { return c.head }

// Chain returns the hash chain value over all entries before Head.
func (c Chunk) Chain() uint64 { return c.chain }

// Checksum returns the checksum of the whole encoded checkpoint.
func (c Chunk) Checksum() uint64 { return c.checksum }

// Index returns the position of the chunk in the checkpoint, from 0.
func (c Chunk) Index() int { return c.index }

// Count returns the number of chunks in the checkpoint.
func (c Chunk) Count() int { return c.count }

// Data returns this part of the encoded checkpoint. It must not be modified.
func (c Chunk) Data() []byte { return c.data }

// EncodeChunks splits an encoded checkpoint, which covers all entries before head, into the data of log entries.
// Concurrent writers should use different IDs.
func EncodeChunks(writerID uint64, head record.Offset, chain uint64, checkpoint []byte) ([][]byte, error) {
	count := (len(checkpoint) + maxChunkData - 1) / maxChunkData
	if count == 0 || count > MaxChunks {
		return nil, fmt.Errorf("encode checkpoint: %d bytes do not fit into 1 to %d entries", len(checkpoint), MaxChunks)
	}
	w := wireChunk{WriterID: writerID, Head: uint64(head), Chain: chain, Checksum: checksum(checkpoint), Count: uint32(count)}
	entries := make([][]byte, 0, count)
	for i := range count {
		w.Index = uint32(i)
		w.Data = checkpoint[i*maxChunkData : min(len(checkpoint), (i+1)*maxChunkData)]
		body, err := encMode.Marshal(w)
		if err != nil {
			return nil, fmt.Errorf("encode checkpoint: %w", err)
		}
		entries = append(entries, append([]byte{entryTypeChunk}, body...))
	}
	return entries, nil
}

func decodeChunk(data []byte) (DecodedEntry, error) {
	if len(data) > MaxEntry {
		return DecodedEntry{}, newEntryError(record.PublishID{}, record.ReasonTooLarge, sizeDetail("the entry", MaxEntry))
	}
	var w wireChunk
	if err := decMode.Unmarshal(data[1:], &w); err != nil {
		return DecodedEntry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the chunk cannot be decoded")
	}
	if w.Count == 0 || w.Count > MaxChunks || w.Index >= w.Count {
		return DecodedEntry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the chunk's position is not allowed")
	}
	c := Chunk{
		writerID: w.WriterID, head: record.Offset(w.Head), chain: w.Chain, checksum: w.Checksum,
		index: int(w.Index), count: int(w.Count), data: w.Data,
	}
	return DecodedEntry{chunk: c, isChunk: true}, nil
}
