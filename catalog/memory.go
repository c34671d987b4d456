package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Bounds of what the state remembers beyond the records. All nodes forget alike, so a change of a bound
// needs a new schema level.
const (
	// MaxOutcomes is the number of decisions remembered.
	MaxOutcomes = 2048
	// MaxOutcomeBytes bounds the text of remembered faults, in bytes.
	MaxOutcomeBytes = 512 << 10
	// MaxTombstones is the number of removals remembered.
	MaxTombstones = 2048

	// trailLength is the number of past chains against which checkpoints are verified.
	trailLength = 1024
)

// decisions remembers the outcomes of recent publishes, oldest first.
type decisions struct {
	queue []codec.StampedResult
	byID  map[record.PublishID]record.Outcome
	bytes int
	max   int
}

func newDecisions(limit int) decisions {
	return decisions{byID: make(map[record.PublishID]record.Outcome), max: limit}
}

func (d *decisions) get(id record.PublishID) (record.Outcome, bool) {
	o, ok := d.byID[id]
	return o, ok
}

// add remembers a decision and returns the version behind the last one forgotten for it, or zero.
func (d *decisions) add(r codec.StampedResult) record.Version {
	d.queue = append(d.queue, r)
	d.byID[r.Outcome.Publish()] = r.Outcome
	d.bytes += outcomeBytes(r.Outcome)
	evicted := 0
	for len(d.queue)-evicted > d.max || d.bytes > MaxOutcomeBytes {
		old := d.queue[evicted]
		delete(d.byID, old.Outcome.Publish())
		d.bytes -= outcomeBytes(old.Outcome)
		evicted++
	}
	if evicted == 0 {
		return 0
	}
	horizon := record.Version(d.queue[evicted-1].Offset + 1)
	d.queue = slices.Delete(d.queue, 0, evicted)
	return horizon
}

func outcomeBytes(o record.Outcome) int {
	size := 0
	for _, f := range o.Faults() {
		size += len(f.Record().Name()) + len(f.Field()) + len(f.Detail())
	}
	return size
}

// graves remembers which records were removed, oldest first. A record that was put and removed again has
// two tombstones, of which the newer counts.
type graves struct {
	queue []codec.Tombstone
	byID  map[record.ID]codec.Stamp
	max   int
}

func newGraves(limit int) graves { return graves{byID: make(map[record.ID]codec.Stamp), max: limit} }

// add remembers a removal and returns the version of the one forgotten for it, or zero.
func (g *graves) add(t codec.Tombstone) record.Version {
	g.queue = append(g.queue, t)
	g.byID[t.ID] = t.Stamp
	if len(g.queue) <= g.max {
		return 0
	}
	old := g.queue[0]
	g.queue = slices.Delete(g.queue, 0, 1)
	if g.byID[old.ID] == old.Stamp {
		delete(g.byID, old.ID)
	}
	return old.Stamp.Version
}

// trail remembers the chains at recent heads. It is no part of the state: it starts empty in a restored one.
type trail struct {
	chains [trailLength]uint64
	end    record.Offset // the head after the last chain added
	count  int
}

func (t *trail) add(head record.Offset, chain uint64) {
	t.chains[head%trailLength] = chain
	t.end = head + 1
	t.count = min(t.count+1, trailLength)
}

func (t *trail) get(head record.Offset) (uint64, bool) {
	if head >= t.end || t.end-head > record.Offset(t.count) {
		return 0, false
	}
	return t.chains[head%trailLength], true
}
