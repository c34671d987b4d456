package codec

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// Chunk is one part of a checkpoint, carried by one entry of the log.
type Chunk struct {
	writer uint64
	head   record.Offset
	chain  uint64
	sum    uint64
	index  int
	count  int
	data   []byte
}

type wireChunk struct {
	Writer uint64 `cbor:"1,keyasint"`
	Head   uint64 `cbor:"2,keyasint"`
	Chain  uint64 `cbor:"3,keyasint"`
	Sum    uint64 `cbor:"4,keyasint"`
	Index  uint32 `cbor:"5,keyasint"`
	Count  uint32 `cbor:"6,keyasint"`
	Data   []byte `cbor:"7,keyasint"`
}

// WriterID returns the number that tells the chunks of two writers apart.
func (c Chunk) WriterID() uint64 { return c.writer }

// Head returns the first offset that the checkpoint does not cover.
func (c Chunk) Head() record.Offset { return c.head }

// Chain returns the hash over all entries before Head.
func (c Chunk) Chain() uint64 { return c.chain }

// Checksum returns the hash over the whole checkpoint.
func (c Chunk) Checksum() uint64 { return c.sum }

// Index returns the position of the chunk, from 0.
func (c Chunk) Index() int { return c.index }

// Count returns the number of chunks of the checkpoint.
func (c Chunk) Count() int { return c.count }

// Data returns this part of the checkpoint. The caller must not change it.
func (c Chunk) Data() []byte { return c.data }

// EncodeChunks returns the entries that carry an encoded checkpoint which covers all entries before head.
// The number writer should differ between writers.
func EncodeChunks(writer uint64, head record.Offset, chain uint64, checkpoint []byte) ([][]byte, error) {
	count := (len(checkpoint) + chunkSize - 1) / chunkSize
	if count == 0 || count > MaxChunks {
		return nil, fmt.Errorf("encode checkpoint: %d bytes do not fit into 1 to %d entries", len(checkpoint), MaxChunks)
	}
	w := wireChunk{Writer: writer, Head: uint64(head), Chain: chain, Sum: sumOf(checkpoint), Count: uint32(count)}
	entries := make([][]byte, 0, count)
	for i := range count {
		w.Index = uint32(i)
		w.Data = checkpoint[i*chunkSize : min(len(checkpoint), (i+1)*chunkSize)]
		body, err := encMode.Marshal(w)
		if err != nil {
			return nil, fmt.Errorf("encode checkpoint: %w", err)
		}
		entries = append(entries, append([]byte{formChunk}, body...))
	}
	return entries, nil
}

func decodeChunk(data []byte) (Entry, error) {
	if len(data) > MaxEntry {
		return Entry{}, newEntryError(record.PublishID{}, record.ReasonTooLarge, sizeDetail("the entry", MaxEntry))
	}
	var w wireChunk
	if err := decMode.Unmarshal(data[1:], &w); err != nil {
		return Entry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the chunk cannot be decoded")
	}
	if w.Count == 0 || w.Count > MaxChunks || w.Index >= w.Count {
		return Entry{}, newEntryError(record.PublishID{}, record.ReasonMalformed, "the chunk's position is not allowed")
	}
	c := Chunk{
		writer: w.Writer, head: record.Offset(w.Head), chain: w.Chain, sum: w.Sum,
		index: int(w.Index), count: int(w.Count), data: w.Data,
	}
	return Entry{chunk: c, isChunk: true}, nil
}
