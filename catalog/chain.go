package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// chainHash returns the hash over all entries up to e, given that over the entries before.
func chainHash(chain uint64, e record.Entry) uint64 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], chain)
	binary.BigEndian.PutUint64(prefix[8:], uint64(e.Offset()))
	d := xxhash.New()
	d.Write(prefix[:])
	d.Write(e.Data())
	return d.Sum64()
}

// verifyChunk compares a chunk of a checkpoint with the chain that the fold had at the chunk's head.
func (s *State) verifyChunk(c codec.Chunk) Result {
	chain, ok := s.chainHistory.get(c.Head())
	if c.Head() == s.head {
		chain, ok = s.chain, true
	}
	if c.Head() > s.head || ok && chain != c.Chain() {
		return Result{kind: ResultMismatch}
	}
	return Result{kind: ResultCheckpoint, checkpointHead: c.Head(), lastChunk: c.Index() == c.Count()-1}
}
