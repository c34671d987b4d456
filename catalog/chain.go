package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// chainHash returns the hash chain value after e, given the value before e.
func chainHash(chain uint64, e record.Entry) uint64 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], chain)
	binary.BigEndian.PutUint64(prefix[8:], uint64(e.Offset()))
	d := xxhash.New()
	d.Write(prefix[:])
	d.Write(e.Data())
	return d.Sum64()
}

// verifyChunk compares the hash chain value in a checkpoint chunk with the value that this state had at the same
// head, if it is still known.
func (s *State) verifyChunk(c codec.Chunk) Result {
	chain, ok := s.chainHistory.get(c.Head())
	if c.Head() == s.head {
		chain, ok = s.chain, true
	}
	if c.Head() > s.head || ok && chain != c.Chain() {
		return Result{kind: ResultMismatch}
	}
	return Result{kind: ResultCheckpoint, checkpointHead: c.Head(), isLastChunk: c.Index() == c.Count()-1}
}
