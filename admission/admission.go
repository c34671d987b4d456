// Package admission decides which calls a backend server gets to run: as many at once as it has
// slots, a short queue in which keyed calls go before others, and a refusal at once beyond that.
package admission

import (
	"slices"
	"time"
)

// Priority orders calls in the queue.
type Priority uint8

// Priorities, the more urgent one greater.
const (
	// PriorityIdempotent is for calls that may run more than once.
	PriorityIdempotent Priority = iota
	// PriorityKeyed is for calls that carry a request key.
	PriorityKeyed
)

// Decision answers an Offer.
type Decision uint8

// Decisions on a call.
const (
	// DecisionRun: the call has a slot. Done must follow.
	DecisionRun Decision = iota + 1
	// DecisionWait: the call is queued. Its ID comes back as granted, refused or not at all when cancelled.
	DecisionWait
	// DecisionRefuse: the call has no place or would not be run in time.
	DecisionRefuse
)

// ID names a call to its caller's liking.
type ID uint64

// Settings bound a queue.
type Settings struct {
	QueueLimit int           // calls that wait at most; zero means as many as there are slots
	MaxWait    time.Duration // time that a call waits at most
}

// DefaultMaxWait is the longest time in the queue unless set otherwise.
const DefaultMaxWait = 100 * time.Millisecond

// DefaultSlots is the number of slots of a server that announces none.
const DefaultSlots = 16

// smoothing is the weight of one sample in the average running time.
const smoothing = 1.0 / 16

type ticket struct {
	id       ID
	priority Priority
	expires  time.Time
	since    time.Time
	expected time.Duration // wait expected when it came, without the stretch
}

// Change says what became of queued calls.
type Change struct {
	granted []ID
	refused []ID
}

// Granted returns the calls that have a slot now. Done must follow for each.
func (c Change) Granted() []ID { return c.granted }

// Refused returns the calls that left the queue without running.
func (c Change) Refused() []ID { return c.refused }

// Queue is the queue of one backend server. It is not safe for concurrent use; Gate is.
type Queue struct {
	settings Settings
	slots    int
	running  int
	queue    []ticket // more urgent first, then in order of arrival
	average  time.Duration
	stretch  map[Priority]stretch

	expired func(t ticket, now time.Time) bool // seam
}

// NewQueue returns an empty queue before a server of that many slots.
func NewQueue(settings Settings, slots int) *Queue {
	if settings.MaxWait <= 0 {
		settings.MaxWait = DefaultMaxWait
	}
	m := &Queue{settings: settings, stretch: make(map[Priority]stretch), expired: ticketExpired}
	m.SetSlots(slots)
	return m
}

func ticketExpired(t ticket, now time.Time) bool { return !now.Before(t.expires) }

// SetSlots changes the number of slots. Running calls go on.
func (m *Queue) SetSlots(slots int) {
	if slots <= 0 {
		slots = DefaultSlots
	}
	m.slots = slots
}

// Slots returns the number of slots.
func (m *Queue) Slots() int { return m.slots }

// Running returns the number of calls that hold a slot.
func (m *Queue) Running() int { return m.running }

// Queued returns the number of calls that wait.
func (m *Queue) Queued() int { return len(m.queue) }

// Offer asks for a slot for a call that is of use until deadline. A queued call of less priority may
// be refused in its place.
func (m *Queue) Offer(now time.Time, id ID, priority Priority, deadline time.Time) (Decision, Change) {
	if !now.Before(deadline) {
		return DecisionRefuse, Change{}
	}
	change := m.Expire(now)
	if m.running < m.slots && len(m.queue) == 0 {
		m.running++
		return DecisionRun, change
	}
	at := m.position(priority)
	expires := now.Add(m.settings.MaxWait)
	if deadline.Before(expires) {
		expires = deadline
	}
	expected := m.expectedWait(at)
	if now.Add(m.stretch[priority].apply(now, expected)).After(expires) {
		return DecisionRefuse, change
	}
	if len(m.queue) >= m.limit() && !m.displace(priority, &change) {
		return DecisionRefuse, change
	}
	m.queue = slices.Insert(m.queue, at, ticket{id: id, priority: priority, expires: expires, since: now, expected: expected})
	return DecisionWait, change
}

func (m *Queue) limit() int {
	if m.settings.QueueLimit > 0 {
		return m.settings.QueueLimit
	}
	return m.slots
}

// position returns the place in the queue of a new call.
func (m *Queue) position(priority Priority) int {
	for i, t := range m.queue {
		if t.priority < priority {
			return i
		}
	}
	return len(m.queue)
}

// expectedWait estimates how long a call at a place in the queue waits for a slot.
func (m *Queue) expectedWait(at int) time.Duration {
	return m.average * time.Duration(at+1) / time.Duration(m.slots)
}

// displace removes the call that arrived last among those of less priority.
func (m *Queue) displace(priority Priority, change *Change) bool {
	last := len(m.queue) - 1
	if m.queue[last].priority >= priority {
		return false
	}
	change.refused = append(change.refused, m.queue[last].id)
	m.queue = m.queue[:last]
	return true
}

// Done frees the slot of a call that took that long, or zero when it did not run.
func (m *Queue) Done(now time.Time, took time.Duration) Change {
	m.running--
	if took > 0 {
		m.average += time.Duration(float64(took-m.average) * smoothing)
	}
	return m.Expire(now)
}

// Cancel removes a queued call and tells whether it was there.
func (m *Queue) Cancel(id ID) bool {
	at := slices.IndexFunc(m.queue, func(t ticket) bool { return t.id == id })
	if at < 0 {
		return false
	}
	m.queue = slices.Delete(m.queue, at, at+1)
	return true
}

// Expire refuses the calls that waited too long and gives free slots to the rest.
func (m *Queue) Expire(now time.Time) Change {
	var change Change
	kept := m.queue[:0]
	for _, t := range m.queue {
		if m.expired(t, now) {
			m.waited(now, t)
			change.refused = append(change.refused, t.id)
			continue
		}
		kept = append(kept, t)
	}
	m.queue = kept
	for m.running < m.slots && len(m.queue) > 0 {
		m.waited(now, m.queue[0])
		change.granted = append(change.granted, m.queue[0].id)
		m.queue = slices.Delete(m.queue, 0, 1)
		m.running++
	}
	return change
}
