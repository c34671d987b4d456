package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
)

// maxPartialCheckpoints limits the incomplete checkpoints in memory. Beyond it the oldest one is discarded, because
// a writer that crashed between two chunks never completes its checkpoint.
const maxPartialCheckpoints = 4

// chunkAssembler reassembles checkpoints from chunks, which several writers may interleave.
type chunkAssembler struct {
	partials []*partialCheckpoint // oldest first
}

type partialCheckpoint struct {
	sample   codec.Chunk // any of the chunks; the fields that sameCheckpoint compares are equal in all of them
	chunks   [][]byte    // by index, nil if not received yet
	received int         // number of distinct chunks
}

// add adds a chunk. It returns the checkpoint and true if the chunk completes it and the checksum matches.
func (a *chunkAssembler) add(c codec.Chunk) ([]byte, bool) {
	p := a.find(c)
	if p.chunks[c.Index()] == nil {
		p.chunks[c.Index()] = c.Data()
		p.received++
	}
	if p.received < c.Count() {
		return nil, false
	}
	a.partials = slices.DeleteFunc(a.partials, func(o *partialCheckpoint) bool { return o == p })
	data := slices.Concat(p.chunks...)
	return data, codec.Checksum(data) == c.Checksum()
}

func (a *chunkAssembler) find(c codec.Chunk) *partialCheckpoint {
	for _, p := range a.partials {
		if sameCheckpoint(p.sample, c) {
			return p
		}
	}
	if len(a.partials) == maxPartialCheckpoints {
		a.partials = slices.Delete(a.partials, 0, 1)
	}
	p := &partialCheckpoint{sample: c, chunks: make([][]byte, c.Count())}
	a.partials = append(a.partials, p)
	return p
}

func sameCheckpoint(a, b codec.Chunk) bool {
	return a.WriterID() == b.WriterID() && a.Head() == b.Head() && a.Chain() == b.Chain() &&
		a.Checksum() == b.Checksum() && a.Count() == b.Count()
}
