package lab

import (
	"container/heap"
	"time"
)

// Schedule holds calls that are to be made at later times. The zero value is empty.
type Schedule struct {
	events events
	added  uint64
}

// Add adds a call at a time. Calls at equal times are made in the order in which they were added.
func (s *Schedule) Add(at time.Time, do func()) {
	s.added++
	heap.Push(&s.events, event{at: at, number: s.added, do: do})
}

// Added returns the number of calls that were added so far.
func (s *Schedule) Added() uint64 { return s.added }

// Next removes and returns the next call. It returns false if there is none.
func (s *Schedule) Next() (at time.Time, do func(), ok bool) {
	if len(s.events) == 0 {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&s.events).(event)
	return e.at, e.do, true
}

// NextUntil is like Next for the calls that are due by a time.
func (s *Schedule) NextUntil(end time.Time) (at time.Time, do func(), ok bool) {
	if len(s.events) == 0 || s.events[0].at.After(end) {
		return time.Time{}, nil, false
	}
	return s.Next()
}

type event struct {
	at     time.Time
	number uint64
	do     func()
}

// events is a heap of events ordered by time, then by number.
type events []event

func (a events) Len() int { return len(a) }

func (a events) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].number < a[j].number
	}
	return a[i].at.Before(a[j].at)
}

func (a events) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *events) Push(e any)   { *a = append(*a, e.(event)) }

// Pop implements heap.Interface.
func (a *events) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
