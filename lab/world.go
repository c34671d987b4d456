// Package lab simulates backend servers and callers in virtual time, so that decisions under load can be tested without a
// network. A test runs the deciding packages between its callers and its servers. Equal seeds give equal results.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// World is the virtual time of a simulation, with what happens in it and a source of random numbers.
type World struct {
	rnd    *rand.Rand
	now    time.Time
	events events
	last   uint64 // number of the event scheduled last
}

// NewWorld returns a world at the time start. Its random numbers are drawn from seed.
func NewWorld(start time.Time, seed uint64) *World {
	return &World{rnd: rand.New(rand.NewPCG(seed, 1)), now: start}
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Rand returns the source of random numbers.
func (w *World) Rand() *rand.Rand { return w.rnd }

// At calls do at a time. Calls at equal times are made in the order in which they were scheduled.
func (w *World) At(at time.Time, do func()) {
	w.last++
	heap.Push(&w.events, event{at: at, number: w.last, do: do})
}

// After calls do after a duration.
func (w *World) After(d time.Duration, do func()) { w.At(w.now.Add(d), do) }

// Run makes the scheduled calls until there are none.
func (w *World) Run() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// One-way delays between two nodes.
const (
	sameDomainDelay  = 200 * time.Microsecond
	sameRegionDelay  = 900 * time.Microsecond
	otherRegionDelay = 20 * time.Millisecond
)

// Delay returns the one-way delay between two places.
func Delay(from, to member.Place) time.Duration {
	switch {
	case from == to:
		return sameDomainDelay
	case from.Region() == to.Region():
		return sameRegionDelay
	}
	return otherRegionDelay
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
