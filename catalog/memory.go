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
	// MaxPinnedOutcomes and MaxPinnedOutcomeBytes bound the refusals that are remembered longer than the others.
	MaxPinnedOutcomes     = 256
	MaxPinnedOutcomeBytes = 64 << 10
	// MaxTombstones is the number of removals remembered.
	MaxTombstones = 2048

	// trailLength is the number of past chains against which checkpoints are verified.
	trailLength = 1024
)

// decisions remembers the outcomes of recent publishes, oldest first. Refusals for a base above the version in
// force are pinned when their turn to be forgotten comes: the horizon need not lie above such a base, so that a
// retry might be accepted once the version has passed it.
type decisions struct {
	queue  results
	pinned results
	byID   map[record.PublishID]record.Outcome
	max    int
}

// results is a queue of decisions with the size of their faults in bytes.
type results struct {
	list  []codec.StampedResult
	bytes int
}

func (r *results) push(d codec.StampedResult) {
	r.list = append(r.list, d)
	r.bytes += outcomeBytes(d.Outcome)
}

// drop takes the oldest decisions out until the rest keeps to both bounds.
func (r *results) drop(count, bytes int) []codec.StampedResult {
	n := 0
	for len(r.list)-n > count || r.bytes > bytes {
		r.bytes -= outcomeBytes(r.list[n].Outcome)
		n++
	}
	dropped := slices.Clone(r.list[:n])
	r.list = slices.Delete(r.list, 0, n)
	return dropped
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
	d.queue.push(r)
	d.byID[r.Outcome.PublishID()] = r.Outcome
	var horizon record.Version
	for _, old := range d.queue.drop(d.max, MaxOutcomeBytes) {
		horizon = record.Version(old.Offset + 1)
		if isAhead(old.Outcome) {
			d.pin(old)
			continue
		}
		delete(d.byID, old.Outcome.PublishID())
	}
	return horizon
}

func (d *decisions) pin(r codec.StampedResult) {
	d.pinned.push(r)
	d.byID[r.Outcome.PublishID()] = r.Outcome
	for _, old := range d.pinned.drop(MaxPinnedOutcomes, MaxPinnedOutcomeBytes) {
		delete(d.byID, old.Outcome.PublishID())
	}
}

// isAhead tells whether a publish was refused for a base above the version in force.
func isAhead(o record.Outcome) bool {
	return slices.ContainsFunc(o.Faults(), func(f record.Fault) bool {
		return f.Reason() == record.ReasonInvalid && f.Field() == fieldBase
	})
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
