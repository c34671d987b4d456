package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Limits of the history that the state holds in addition to the records. All nodes must evict alike, so changing a
// limit needs a new schema level.
const (
	// MaxOutcomes is the maximum number of outcomes.
	MaxOutcomes = 2048
	// MaxOutcomeBytes is the maximum size of the faults in the outcomes, as outcomeBytes counts it.
	MaxOutcomeBytes = 512 << 10
	// MaxPinnedOutcomes and MaxPinnedOutcomeBytes limit the pinned outcomes, which are kept longer than the others.
	MaxPinnedOutcomes     = 256
	MaxPinnedOutcomeBytes = 64 << 10
	// MaxTombstones is the maximum number of tombstones.
	MaxTombstones = 2048

	// chainHistoryLength is the number of past hash chain values against which checkpoints are verified.
	chainHistoryLength = 1024
)

// decisions holds the outcomes of recent publishes, oldest first. A refusal for a base above the version in force is
// pinned instead of evicted: such a base may be above the horizon, so a retry could otherwise be accepted once the
// version has passed the base.
type decisions struct {
	queue  outcomeQueue
	pinned outcomeQueue
	byID   map[record.PublishID]record.Outcome
	max    int
}

// outcomeQueue is a queue of outcomes that tracks the total size of their faults.
type outcomeQueue struct {
	list  []codec.EntryOutcome
	bytes int // sum of outcomeBytes
}

func (q *outcomeQueue) push(r codec.EntryOutcome) {
	q.list = append(q.list, r)
	q.bytes += outcomeBytes(r.Outcome)
}

// evict removes and returns the oldest outcomes so that the remaining ones are within both limits.
func (q *outcomeQueue) evict(maxCount, maxBytes int) []codec.EntryOutcome {
	n := 0
	for len(q.list)-n > maxCount || q.bytes > maxBytes {
		q.bytes -= outcomeBytes(q.list[n].Outcome)
		n++
	}
	evicted := slices.Clone(q.list[:n])
	q.list = slices.Delete(q.list, 0, n)
	return evicted
}

func newDecisions(limit int) decisions {
	return decisions{byID: make(map[record.PublishID]record.Outcome), max: limit}
}

func (d *decisions) get(id record.PublishID) (record.Outcome, bool) {
	o, ok := d.byID[id]
	return o, ok
}

// add adds an outcome. If that evicts older outcomes from the queue, it returns the version after the newest evicted
// one, otherwise zero.
func (d *decisions) add(r codec.EntryOutcome) record.Version {
	d.queue.push(r)
	d.byID[r.Outcome.PublishID()] = r.Outcome
	var horizon record.Version
	for _, old := range d.queue.evict(d.max, MaxOutcomeBytes) {
		horizon = record.Version(old.Offset + 1)
		if refusedForFutureBase(old.Outcome) {
			d.pin(old)
			continue
		}
		delete(d.byID, old.Outcome.PublishID())
	}
	return horizon
}

func (d *decisions) pin(r codec.EntryOutcome) {
	d.pinned.push(r)
	d.byID[r.Outcome.PublishID()] = r.Outcome
	for _, old := range d.pinned.evict(MaxPinnedOutcomes, MaxPinnedOutcomeBytes) {
		delete(d.byID, old.Outcome.PublishID())
	}
}

// refusedForFutureBase reports whether a publish was refused for a base above the version in force.
func refusedForFutureBase(o record.Outcome) bool {
	return slices.ContainsFunc(o.Faults(), func(f record.Fault) bool {
		return f.Reason() == record.ReasonInvalid && f.Field() == fieldBase
	})
}

// outcomeBytes returns the size of the strings in the faults of an outcome. Eviction depends on it, so the detail
// texts of faults are part of what all nodes must agree on: rewording one needs the same care as changing a limit.
func outcomeBytes(o record.Outcome) int {
	size := 0
	for _, f := range o.Faults() {
		size += len(f.Record().Name()) + len(f.Field()) + len(f.Detail())
	}
	return size
}

// tombstones holds the most recent removals of records, oldest first. A record that was removed, put and removed
// again has two tombstones in the queue; byID holds the newer one.
type tombstones struct {
	queue []codec.Tombstone
	byID  map[record.ID]codec.Stamp
	max   int
}

func newTombstones(limit int) tombstones {
	return tombstones{byID: make(map[record.ID]codec.Stamp), max: limit}
}

// add adds a tombstone. If that evicts the oldest one, it returns the version of that removal, otherwise zero.
func (ts *tombstones) add(t codec.Tombstone) record.Version {
	ts.queue = append(ts.queue, t)
	ts.byID[t.ID] = t.Stamp
	if len(ts.queue) <= ts.max {
		return 0
	}
	old := ts.queue[0]
	ts.queue = slices.Delete(ts.queue, 0, 1)
	if ts.byID[old.ID] == old.Stamp {
		delete(ts.byID, old.ID)
	}
	return old.Stamp.Version
}

// chainHistory is a ring buffer of the hash chain values at recent heads. It is not part of checkpoints, so it is
// empty in a restored state.
type chainHistory struct {
	chains [chainHistoryLength]uint64
	end    record.Offset // head after the one that was added last
	count  int
}

func (h *chainHistory) add(head record.Offset, chain uint64) {
	h.chains[head%chainHistoryLength] = chain
	h.end = head + 1
	h.count = min(h.count+1, chainHistoryLength)
}

func (h *chainHistory) get(head record.Offset) (uint64, bool) {
	if head >= h.end || h.end-head > record.Offset(h.count) {
		return 0, false
	}
	return h.chains[head%chainHistoryLength], true
}
