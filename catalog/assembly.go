package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
)

// maxPartial is the number of checkpoints that may be incomplete at once. Writers that died halfway are
// forgotten beyond it.
const maxPartial = 4

// assembly joins the chunks of checkpoints, which several writers may interleave.
type assembly struct {
	partial []*partial // oldest first
}

type partial struct {
	head   codec.Chunk // any chunk, for what all of them share
	chunks [][]byte
	held   int
}

// add takes a chunk and returns the checkpoint if the chunk completes it and the hash is right.
func (a *assembly) add(c codec.Chunk) ([]byte, bool) {
	p := a.find(c)
	if p.chunks[c.Index()] == nil {
		p.chunks[c.Index()] = c.Data()
		p.held++
	}
	if p.held < c.Count() {
		return nil, false
	}
	a.partial = slices.DeleteFunc(a.partial, func(o *partial) bool { return o == p })
	data := slices.Concat(p.chunks...)
	return data, codec.Sum(data) == c.Sum()
}

func (a *assembly) find(c codec.Chunk) *partial {
	for _, p := range a.partial {
		if samePartial(p.head, c) {
			return p
		}
	}
	if len(a.partial) == maxPartial {
		a.partial = slices.Delete(a.partial, 0, 1)
	}
	p := &partial{head: c, chunks: make([][]byte, c.Count())}
	a.partial = append(a.partial, p)
	return p
}

func samePartial(a, b codec.Chunk) bool {
	return a.Writer() == b.Writer() && a.Head() == b.Head() && a.Chain() == b.Chain() &&
		a.Sum() == b.Sum() && a.Count() == b.Count()
}
