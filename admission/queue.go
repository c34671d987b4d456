// Package admission implements admission control for a backend server: it runs as many calls concurrently as the
// server has slots, keeps further calls in a bounded priority queue and refuses the rest immediately.
package admission

import (
	"slices"
	"sort"
	"time"
)

// Priority orders calls in the queue. A greater value is more urgent, in contrast to the priority of a routing.Route. It
// consists of a level and of a rank within the level.
type Priority uint16

// NewPriority returns a priority. The level goes before the rank.
func NewPriority(level, rank uint8) Priority { return Priority(level)<<8 | Priority(rank) }

func (p Priority) level() uint8 { return uint8(p >> 8) }

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

// queuedCall is a call that waits for a slot.
type queuedCall struct {
	id           ID
	priority     Priority
	flow         *flow
	flowName     Flow
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
	settings   Settings
	slots      int
	running    int
	calls      []queuedCall // by descending priority, then in order of arrival; slots go to them by the rules of Flow
	nextExpiry time.Time    // no queued call expires before
	occupancy  occupancy
	levels     map[uint8]*level // with queued calls
	scans      uint64
	waitRatios map[waitClass]waitRatio
	ratioLimit int // number of wait ratios from which those that have decayed are forgotten
	rate       rateLimit

	isExpired func(c queuedCall, now time.Time) bool // replaced by tests
}

// NewQueue returns an empty queue for a server with the given number of slots.
func NewQueue(settings Settings, slots int) *Queue {
	if settings.MaxWait <= 0 {
		settings.MaxWait = DefaultMaxWait
	}
	q := &Queue{settings: settings, occupancy: newOccupancy(), ratioLimit: minRatioLimit, levels: make(map[uint8]*level), waitRatios: make(map[waitClass]waitRatio), isExpired: hasExpired}
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

// Offer requests a slot for a call without a flow, see OfferFlow.
func (q *Queue) Offer(now time.Time, id ID, priority Priority, deadline time.Time) (Decision, Change) {
	return q.OfferFlow(now, id, "", priority, deadline)
}

// OfferFlow requests a slot for a call of a flow that must start before its deadline. When the queue is full, a queued call
// that would get a slot later may be refused in its place. So may be one that the call delays too much, if calls of several
// flows are queued.
func (q *Queue) OfferFlow(now time.Time, id ID, name Flow, priority Priority, deadline time.Time) (Decision, Change) {
	if !now.Before(deadline) {
		return DecisionRefuse, Change{}
	}
	change := q.Expire(now)
	if len(q.calls) == 0 && q.grant(now) {
		return DecisionRun, change
	}
	l, f := q.flowOf(priority, name)
	p, ahead := q.newPlace(l, f, priority, q.position(priority))
	expiresAt := now.Add(q.settings.MaxWait)
	if deadline.Before(expiresAt) {
		expiresAt = deadline
	}
	expected := q.expectedWait(now, ahead)
	ratio := q.waitRatios[waitClass{priority: priority, flow: name}]
	if now.Add(ratio.scale(now, expected)).After(expiresAt) || len(q.calls) >= q.queueLimit() && !q.displace(p, l, f, priority, &change) {
		q.forget(priority, name)
		return DecisionRefuse, change
	}
	l, f = q.flowOf(priority, name) // as the displaced call may have been the last one there
	l.add(f)
	if len(q.calls) == 0 || expiresAt.Before(q.nextExpiry) {
		q.nextExpiry = expiresAt
	}
	q.calls = slices.Insert(q.calls, q.position(priority), queuedCall{id: id, priority: priority, flow: f, flowName: name, expiresAt: expiresAt, queuedAt: now, expectedWait: expected})
	q.refuseDelayed(now, id, &change)
	return DecisionWait, change
}

// grant takes a slot if there is one and the rate permits a call.
func (q *Queue) grant(now time.Time) bool {
	if q.running >= q.slots || !q.rate.available(now) {
		return false
	}
	q.occupancy.advance(now, q.running)
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

// expectedWait estimates how long a call waits for a slot, given the number of queued calls that get one before it.
func (q *Queue) expectedWait(now time.Time, ahead int) time.Duration {
	return max(q.averageRunTime(now)*time.Duration(ahead+1)/time.Duration(q.slots), q.rate.wait(now, ahead+1))
}

// averageRunTime returns the average time for which a call holds its slot.
func (q *Queue) averageRunTime(now time.Time) time.Duration {
	q.occupancy.advance(now, q.running)
	return q.occupancy.average()
}

// displace refuses the queued call that gets its slot last, and reports true, if a new call gets one earlier.
func (q *Queue) displace(p place, l *level, f *flow, priority Priority, change *Change) bool {
	last := q.last()
	lastPriority := q.calls[last.index].priority
	switch {
	case lastPriority.level() != priority.level() || !l.sharedWith(f):
		if lastPriority >= priority {
			return false
		}
	case last.tag < p.tag || last.tag == p.tag && last.index < p.index:
		return false
	}
	change.refused = append(change.refused, q.calls[last.index].id)
	q.remove(last.index)
	return true
}

// refuseDelayed refuses calls at the end of the order that a new call has delayed so much that they would not start in
// time. Without it, the calls of a loud flow would wait in vain until they expire, when it is too late to send them
// elsewhere. If only one flow has queued calls there, they are kept.
func (q *Queue) refuseDelayed(now time.Time, newCall ID, change *Change) {
	for q.levels[q.calls[len(q.calls)-1].priority.level()].shared() {
		last := q.last().index
		c := q.calls[last]
		expected := q.expectedWait(now, len(q.calls)-1)
		if c.id == newCall || !now.Add(expected).After(c.expiresAt) {
			return
		}
		q.recordWait(now.Add(expected), c)
		change.refused = append(change.refused, c.id)
		q.remove(last)
	}
}

// remove takes the call at an index out of the queue.
func (q *Queue) remove(index int) {
	c := q.calls[index]
	q.calls = slices.Delete(q.calls, index, index+1)
	q.levels[c.priority.level()].remove(c.flow)
	q.forget(c.priority, c.flowName)
}

// forget drops the state of a flow and of its level if no call is queued there and the state makes no difference.
func (q *Queue) forget(priority Priority, name Flow) {
	l := q.levels[priority.level()]
	if l == nil {
		return
	}
	if f := l.flows[name]; f != nil && f.queued == 0 && f.next <= l.floor {
		delete(l.flows, name)
	}
	if l.active == 0 {
		delete(q.levels, priority.level())
	}
}

// Release frees the slot of a call.
func (q *Queue) Release(now time.Time) Change {
	q.occupancy.advance(now, q.running)
	q.occupancy.release()
	q.running--
	return q.Expire(now)
}

// Cancel removes a queued call and reports whether it was queued.
func (q *Queue) Cancel(id ID) bool {
	index := slices.IndexFunc(q.calls, func(c queuedCall) bool { return c.id == id })
	if index < 0 {
		return false
	}
	q.remove(index)
	return true
}

// Expire refuses the calls whose time in the queue is over, and grants free slots to the first of the remaining ones.
func (q *Queue) Expire(now time.Time) Change {
	var change Change
	if len(q.calls) > 0 && !now.Before(q.nextExpiry) {
		q.removeExpired(now, &change)
	}
	for len(q.calls) > 0 && q.grant(now) {
		index := q.first()
		c := q.calls[index]
		q.recordWait(now, c)
		change.granted = append(change.granted, c.id)
		q.levels[c.priority.level()].serve(c.flow)
		q.remove(index)
	}
	return change
}

func (q *Queue) removeExpired(now time.Time, change *Change) {
	first := true
	for i := 0; i < len(q.calls); {
		c := q.calls[i]
		if q.isExpired(c, now) {
			q.recordWait(now, c)
			change.refused = append(change.refused, c.id)
			q.remove(i)
			continue
		}
		if first || c.expiresAt.Before(q.nextExpiry) {
			first, q.nextExpiry = false, c.expiresAt
		}
		i++
	}
}
