package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	overloadSlots    = 4
	overloadWork     = 50 * time.Millisecond
	overloadDeadline = 300 * time.Millisecond
	overloadTime     = 20 * time.Second
)

// server is one server in virtual time, one call in five keyed.
type server struct {
	machine *Queue
	arrived map[ID]time.Time
	ends    []running // the first to end first
	good    int
	keyed   int
}

type running struct {
	id ID
	at time.Time
}

// overload returns the share of the capacity that was answered in time at a multiple of the capacity, and
// the share of keyed calls that were. Without limits, calls wait as long as it takes.
func overload(times float64, limited bool) (goodput, keyedGood float64) {
	settings, patience := Settings{}, overloadDeadline
	if !limited {
		settings, patience = Settings{QueueLimit: 1 << 30, MaxWait: time.Hour}, time.Hour
	}
	s := &server{machine: NewQueue(settings, overloadSlots), arrived: make(map[ID]time.Time)}
	gap := time.Duration(float64(overloadWork) / overloadSlots / times)
	calls := ID(overloadTime / gap)
	for id := ID(1); id <= calls; id++ {
		now := start.Add(time.Duration(id) * gap)
		s.end(now)
		s.arrive(now, id, patience)
	}
	capacity := float64(overloadSlots) * float64(overloadTime/overloadWork)
	return float64(s.good) / capacity, float64(s.keyed) / float64(calls/5)
}

func (s *server) arrive(now time.Time, id ID, patience time.Duration) {
	s.arrived[id] = now
	priority := PriorityIdempotent
	if id%5 == 0 {
		priority = PriorityKeyed
	}
	decision, change := s.machine.Offer(now, id, priority, now.Add(patience))
	s.run(now, change.Granted()...)
	if decision == DecisionRun {
		s.run(now, id)
	}
}

func (s *server) run(now time.Time, ids ...ID) {
	for _, id := range ids {
		s.ends = append(s.ends, running{id: id, at: now.Add(overloadWork)})
	}
}

// end ends the calls that are done by now.
func (s *server) end(now time.Time) {
	for len(s.ends) > 0 && !s.ends[0].at.After(now) {
		done := s.ends[0]
		s.ends = s.ends[1:]
		if done.at.Sub(s.arrived[done.id]) <= overloadDeadline {
			s.good++
			if done.id%5 == 0 {
				s.keyed++
			}
		}
		s.run(done.at, s.machine.Done(done.at, overloadWork).Granted()...)
	}
}

func TestGoodputStaysFlatUnderOverload(t *testing.T) {
	for _, times := range []float64{1, 2, 5} {
		goodput, _ := overload(times, true)
		qt.Check(t, goodput > 0.95, qt.IsTrue, qt.Commentf("%v times the capacity: %v", times, goodput))
	}
	_, keyed := overload(2, true)
	qt.Check(t, keyed > 0.99, qt.IsTrue, qt.Commentf("keyed calls answered in time: %v", keyed))
}

func TestGoodputCatchesMissingLimits(t *testing.T) {
	goodput, _ := overload(2, false)
	qt.Assert(t, goodput < 0.5, qt.IsTrue, qt.Commentf("%v", goodput))
}
