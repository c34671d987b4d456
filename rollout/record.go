package rollout

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record holds the last decision of each service as one node knows it. It is not safe for concurrent use.
type Record struct {
	entries map[string]recordEntry
	digest  uint64
}

type recordEntry struct {
	decision    Decision
	orderedAt   time.Time
	confirmedAt time.Time
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{entries: make(map[string]recordEntry)} }

// Merge adds a decision received at a time. It returns whether the record changed. Merging does not count as contact to
// the decider, since any node may pass decisions on.
func (r *Record) Merge(now time.Time, d Decision) bool {
	e, known := r.entries[d.Service()]
	if d.Sequence() == 0 || known && !d.Overrides(e.decision) {
		return false
	}
	if e.decision.Sequence() == d.Sequence() {
		e.decision = d
	} else {
		e = recordEntry{decision: d, orderedAt: now.Add(-d.Age())}
	}
	r.entries[d.Service()] = e
	r.digest = r.newDigest()
	return true
}

// Confirm notes contact to the decider about a decision: an answer, an announcement, or that the node itself decides. It
// has no effect if the sequence is below that of the decision in force, as the sender has been replaced.
func (r *Record) Confirm(now time.Time, service string, sequence uint64) {
	if e, ok := r.entries[service]; ok && sequence >= e.decision.Sequence() {
		e.confirmedAt = now
		r.entries[service] = e
	}
}

// Get returns the decision of a service with the order's age at a time.
func (r *Record) Get(now time.Time, service string) (Decision, bool) {
	e, ok := r.entries[service]
	return e.decision.WithAge(now.Sub(e.orderedAt)), ok
}

// ConfirmedAt returns the time of the last contact to the decider about a service.
func (r *Record) ConfirmedAt(service string) time.Time { return r.entries[service].confirmedAt }

// All returns the decisions by service, with the order's ages at a time.
func (r *Record) All(now time.Time) []Decision {
	all := make([]Decision, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.decision.WithAge(now.Sub(e.orderedAt)))
	}
	slices.SortFunc(all, func(a, b Decision) int { return strings.Compare(a.Service(), b.Service()) })
	return all
}

// Digest returns a hash of the decisions, 0 if there are none. Equal digests mean equal decisions.
func (r *Record) Digest() uint64 { return r.digest }

func (r *Record) newDigest() uint64 {
	var sum uint64 // independent of the order of services
	for service, e := range r.entries {
		data := binary.BigEndian.AppendUint64([]byte(service), e.decision.Sequence())
		if e.decision.Halted() {
			data = append(data, 1)
		}
		sum += xxhash.Sum64(data)
	}
	return sum
}
