// Package admission implements admission control for a backend server: it runs as many calls concurrently as the
// server has slots, keeps further calls in a bounded priority queue and refuses the rest immediately.
package admission

import (
	"slices"
	"sort"
	"time"
)

// Priority orders calls in the queue. A greater value is more urgent, in contrast to the priority of a routing.Route.
type Priority uint8

// Priorities of idempotent and keyed calls. Package proxy derives its priorities from routes instead.
const (
	// PriorityIdempotent is for calls that may run more than once.
	PriorityIdempotent Priority = iota
	// PriorityKeyed is for calls that carry a request key.
	PriorityKeyed
)

// Decision is the immediate result of Queue.Offer.
type Decision uint8

// Decisions on a call.
const (
	// DecisionRun means that the call holds a slot, which the caller must free with Release.
	DecisionRun Decision = iota + 1
	// DecisionWait means that the call is queued. A later Change lists its ID as granted or refused, unless it is
	// cancelled first.
	DecisionWait
	// DecisionRefuse means that the queue is full or that the call would not start in time.
	DecisionRefuse
)

// ID identifies a call. The caller chooses it and must keep it unique among queued calls.
type ID uint64

// Settings configure a Queue.
type Settings struct {
	QueueLimit int           // maximum number of queued calls; zero means the number of slots
	MaxWait    time.Duration // maximum time in the queue; zero means DefaultMaxWait
}

// DefaultMaxWait is the default of Settings.MaxWait.
const DefaultMaxWait = 100 * time.Millisecond

// DefaultSlots is the number of slots of a server that announces none.
const DefaultSlots = 16

// runTimeWeight is the weight of one sample in the moving average of run times.
const runTimeWeight = 1.0 / 16

// queuedCall is a call that waits for a slot.
type queuedCall struct {
	id           ID
	priority     Priority
	expiresAt    time.Time
	queuedAt     time.Time
	expectedWait time.Duration // estimate when the call was queued, without the wait ratio
}

// Change lists the calls that left the queue, other than by Cancel.
type Change struct {
	granted []ID
	refused []ID
}

// Granted returns the calls that now hold a slot. Each slot must be freed with Release.
func (c Change) Granted() []ID { return c.granted }

// Refused returns the calls that left the queue without a slot.
func (c Change) Refused() []ID { return c.refused }

// Queue decides on the calls for one backend server. It is not safe for concurrent use; Controller is.
type Queue struct {
	settings       Settings
	slots          int
	running        int
	calls          []queuedCall // by descending priority, then in order of arrival
	nextExpiry     time.Time    // no queued call expires before
	averageRunTime time.Duration
	waitRatios     map[Priority]waitRatio
	rate           rateLimit

	isExpired func(c queuedCall, now time.Time) bool // replaced by tests
}

// NewQueue returns an empty queue for a server with the given number of slots.
func NewQueue(settings Settings, slots int) *Queue {
	if settings.MaxWait <= 0 {
		settings.MaxWait = DefaultMaxWait
	}
	q := &Queue{settings: settings, waitRatios: make(map[Priority]waitRatio), isExpired: hasExpired}
	q.SetSlots(slots)
	return q
}

func hasExpired(c queuedCall, now time.Time) bool { return !now.Before(c.expiresAt) }

// SetSlots changes the number of slots; zero or less means DefaultSlots. Running calls keep their slots.
func (q *Queue) SetSlots(slots int) {
	if slots <= 0 {
		slots = DefaultSlots
	}
	q.slots = slots
}

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// SetRate limits the calls that get a slot to a number per second, but not below MinRate. Zero or less means no limit.
func (q *Queue) SetRate(now time.Time, perSecond float64) Change {
	if perSecond > 0 {
		perSecond = max(perSecond, MinRate)
	}
	q.rate.set(now, max(perSecond, 0))
	return q.Expire(now)
}

// RateWait returns the time until the limit set with SetRate permits a further call behind those in the queue.
func (q *Queue) RateWait(now time.Time) time.Duration { return q.rate.wait(now, len(q.calls)+1) }

// NextGrant returns the time after which Expire grants a slot to a queued call, if only the limit set with SetRate
// prevents that now.
func (q *Queue) NextGrant(now time.Time) (wait time.Duration, ok bool) {
	if len(q.calls) == 0 || q.running >= q.slots {
		return 0, false
	}
	return q.rate.wait(now, 1), true
}

// Running returns the number of calls that hold a slot.
func (q *Queue) Running() int { return q.running }

// Queued returns the number of queued calls.
func (q *Queue) Queued() int { return len(q.calls) }

// Offer requests a slot for a call that must start before its deadline. When the queue is full, a queued call of lower
// priority may be refused in its place.
func (q *Queue) Offer(now time.Time, id ID, priority Priority, deadline time.Time) (Decision, Change) {
	if !now.Before(deadline) {
		return DecisionRefuse, Change{}
	}
	change := q.Expire(now)
	if len(q.calls) == 0 && q.grant(now) {
		return DecisionRun, change
	}
	index := q.position(priority)
	expiresAt := now.Add(q.settings.MaxWait)
	if deadline.Before(expiresAt) {
		expiresAt = deadline
	}
	expected := q.expectedWait(now, index)
	if now.Add(q.waitRatios[priority].scale(now, expected)).After(expiresAt) {
		return DecisionRefuse, change
	}
	if len(q.calls) >= q.queueLimit() && !q.displace(priority, &change) {
		return DecisionRefuse, change
	}
	if len(q.calls) == 0 || expiresAt.Before(q.nextExpiry) {
		q.nextExpiry = expiresAt
	}
	q.calls = slices.Insert(q.calls, index, queuedCall{id: id, priority: priority, expiresAt: expiresAt, queuedAt: now, expectedWait: expected})
	return DecisionWait, change
}

// grant takes a slot if there is one and the rate permits a call.
func (q *Queue) grant(now time.Time) bool {
	if q.running >= q.slots || !q.rate.available(now) {
		return false
	}
	q.rate.take()
	q.running++
	return true
}

func (q *Queue) queueLimit() int {
	if q.settings.QueueLimit > 0 {
		return q.settings.QueueLimit
	}
	return q.slots
}

// position returns the index at which a new call of the given priority is queued.
func (q *Queue) position(priority Priority) int {
	return sort.Search(len(q.calls), func(i int) bool { return q.calls[i].priority < priority })
}

// expectedWait estimates how long the call at an index of the queue waits for a slot.
func (q *Queue) expectedWait(now time.Time, index int) time.Duration {
	return max(q.averageRunTime*time.Duration(index+1)/time.Duration(q.slots), q.rate.wait(now, index+1))
}

// displace refuses the last call of the queue and reports true if its priority is lower than the given one.
func (q *Queue) displace(priority Priority, change *Change) bool {
	last := len(q.calls) - 1
	if q.calls[last].priority >= priority {
		return false
	}
	change.refused = append(change.refused, q.calls[last].id)
	q.calls = q.calls[:last]
	return true
}

// Release frees the slot of a call. A runTime of zero leaves the average unchanged; it is for calls that did not run or whose
// run time is not known.
func (q *Queue) Release(now time.Time, runTime time.Duration) Change {
	q.running--
	if runTime > 0 {
		q.averageRunTime += time.Duration(float64(runTime-q.averageRunTime) * runTimeWeight)
	}
	return q.Expire(now)
}

// Cancel removes a queued call and reports whether it was queued.
func (q *Queue) Cancel(id ID) bool {
	index := slices.IndexFunc(q.calls, func(c queuedCall) bool { return c.id == id })
	if index < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, index, index+1)
	return true
}

// Expire refuses the calls whose time in the queue is over, and grants free slots to the first of the remaining ones.
func (q *Queue) Expire(now time.Time) Change {
	var change Change
	if len(q.calls) > 0 && !now.Before(q.nextExpiry) {
		q.removeExpired(now, &change)
	}
	for len(q.calls) > 0 && q.grant(now) {
		q.recordWait(now, q.calls[0])
		change.granted = append(change.granted, q.calls[0].id)
		q.calls = q.calls[1:]
	}
	return change
}

func (q *Queue) removeExpired(now time.Time, change *Change) {
	kept := q.calls[:0]
	for _, c := range q.calls {
		if q.isExpired(c, now) {
			q.recordWait(now, c)
			change.refused = append(change.refused, c.id)
			continue
		}
		if len(kept) == 0 || c.expiresAt.Before(q.nextExpiry) {
			q.nextExpiry = c.expiresAt
		}
		kept = append(kept, c)
	}
	q.calls = kept
}
