package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a clock that is advanced by explicit calls, for tests and for runs in virtual time.
type Manual struct {
	mu    sync.Mutex
	now   time.Time
	queue callQueue
	seq   uint64
}

// NewManual returns a Manual set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Service returns a Service that runs on this clock.
func (m *Manual) Service() *Service {
	return &Service{now: m.Now, schedule: m.schedule}
}

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and makes the calls that become due, ordered by time and, at equal
// times, by registration. The calls run on the caller's goroutine.
func (m *Manual) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for {
		c := m.popDue(end)
		if c == nil {
			return
		}
		c.fn()
	}
}

func (m *Manual) schedule(d time.Duration, fn func()) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	c := &scheduledCall{dueAt: m.now.Add(d), seq: m.seq, fn: fn}
	heap.Push(&m.queue, c)
	return func() { m.cancel(c) }
}

func (m *Manual) cancel(c *scheduledCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.cancelled = true
}

// popDue removes the first call due by end and moves the clock to its time. If there is none, it moves the clock
// to end and returns nil.
func (m *Manual) popDue(end time.Time) *scheduledCall {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.queue) > 0 && !m.queue[0].dueAt.After(end) {
		c := heap.Pop(&m.queue).(*scheduledCall)
		if c.cancelled {
			continue
		}
		m.now = c.dueAt
		return c
	}
	m.now = end
	return nil
}

type scheduledCall struct {
	dueAt     time.Time
	seq       uint64
	fn        func()
	cancelled bool
}

// callQueue is a heap.Interface ordered by due time, then by registration.
type callQueue []*scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	if q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].seq < q[j].seq
	}
	return q[i].dueAt.Before(q[j].dueAt)
}

func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *callQueue) Push(x any) { *q = append(*q, x.(*scheduledCall)) }

func (q *callQueue) Pop() any {
	old := *q
	last := len(old) - 1
	c := old[last]
	*q = old[:last]
	return c
}
