package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a clock that moves only when told to, for tests and for virtual-time runs.
type Manual struct {
	mu    sync.Mutex
	now   time.Time
	queue callQueue
	seq   uint64
}

// NewManual returns a Manual that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Service returns a Service driven by the clock.
func (m *Manual) Service() *Service {
	return &Service{now: m.Now, schedule: m.schedule}
}

// Now returns the time at which the clock stands.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock by d and makes the calls that fall due on the way, in order of time and,
// at equal times, of registration. The calls run on the caller's goroutine.
func (m *Manual) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for {
		a := m.popDue(end)
		if a == nil {
			return
		}
		a.fn()
	}
}

func (m *Manual) schedule(d time.Duration, fn func()) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	a := &scheduledCall{dueAt: m.now.Add(d), seq: m.seq, fn: fn}
	heap.Push(&m.queue, a)
	return func() { m.cancel(a) }
}

func (m *Manual) cancel(a *scheduledCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.cancelled = true
}

// popDue takes the first alarm due by end, or moves the clock to end when there is none.
func (m *Manual) popDue(end time.Time) *scheduledCall {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.queue) > 0 && !m.queue[0].dueAt.After(end) {
		a := heap.Pop(&m.queue).(*scheduledCall)
		if a.cancelled {
			continue
		}
		m.now = a.dueAt
		return a
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
	a := old[last]
	*q = old[:last]
	return a
}
