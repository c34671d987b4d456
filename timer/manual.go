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
	queue alarmQueue
	seq   uint64
}

// NewManual returns a Manual that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Service returns a Service driven by the clock.
func (m *Manual) Service() *Service {
	return &Service{now: m.Now, start: m.start}
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
		a := m.next(end)
		if a == nil {
			return
		}
		a.fn()
	}
}

func (m *Manual) start(d time.Duration, fn func()) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	a := &alarm{at: m.now.Add(d), seq: m.seq, fn: fn}
	heap.Push(&m.queue, a)
	return func() { m.cancel(a) }
}

func (m *Manual) cancel(a *alarm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.cancelled = true
}

// next takes the first alarm due by end, or moves the clock to end when there is none.
func (m *Manual) next(end time.Time) *alarm {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		a := heap.Pop(&m.queue).(*alarm)
		if a.cancelled {
			continue
		}
		m.now = a.at
		return a
	}
	m.now = end
	return nil
}

type alarm struct {
	at        time.Time
	seq       uint64
	fn        func()
	cancelled bool
}

type alarmQueue []*alarm

func (q alarmQueue) Len() int { return len(q) }

func (q alarmQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q alarmQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *alarmQueue) Push(x any) { *q = append(*q, x.(*alarm)) }

func (q *alarmQueue) Pop() any {
	old := *q
	last := len(old) - 1
	a := old[last]
	*q = old[:last]
	return a
}
