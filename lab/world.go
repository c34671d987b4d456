// Package lab simulates backend servers and callers in virtual time, so that decisions under load can be tested without a
// network. A test runs the deciding packages between its callers and its servers. Equal seeds give equal results.
package lab

import (
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// World is the virtual time of a simulation, with what happens in it and a source of random numbers.
type World struct {
	rnd      *rand.Rand
	now      time.Time
	schedule Schedule
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
func (w *World) At(at time.Time, do func()) { w.schedule.Add(at, do) }

// After calls do after a duration.
func (w *World) After(d time.Duration, do func()) { w.At(w.now.Add(d), do) }

// Run makes the scheduled calls until there are none.
func (w *World) Run() {
	for {
		at, do, ok := w.schedule.Next()
		if !ok {
			return
		}
		w.now = at
		do()
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
