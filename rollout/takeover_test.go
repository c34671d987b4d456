package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBaseVersionStaysWhileItsServersAreAbsentForAMoment guards against a base version that moves at the first view without
// its servers because the view before had not changed for long, and against one that never moves back.
func TestBaseVersionStaysWhileItsServersAreAbsentForAMoment(t *testing.T) {
	p, record := NewPlanner(), NewRecord()
	record.Merge(simStart, running(70, 3))
	quiet := fleetOf(3, 3)
	base := func(at time.Duration, base int) string {
		view := quiet
		if base == 0 {
			view = fleetOf(0, 3)
		}
		return p.Update(simStart.Add(at), view, record, never).Service("s").Base()
	}
	for at := time.Duration(0); at < 30*time.Second; at += time.Second {
		base(at, 3)
	}
	qt.Check(t, base(30*time.Second, 0), qt.Equals, "v1")
	qt.Check(t, base(35*time.Second, 0), qt.Equals, "v1")
	qt.Check(t, base(40*time.Second, 0), qt.Equals, "v2")
	qt.Check(t, base(45*time.Second, 3), qt.Equals, "v1")
}

// shiftingFleet runs a roll-out of service s up to its shifting phase.
func shiftingFleet(t *testing.T, deciders int) *deciding {
	f := newDeciding(t, deciders)
	f.order("s", "v2", 1)
	f.servers["v2"] = 12
	for range 200 {
		f.run(100*time.Millisecond, 0)
		if d, ok := f.record.Get(f.now, "s"); ok && d.Phase() == PhaseShifting {
			return f
		}
	}
	t.Fatal("the roll-out does not reach the shifting phase")
	return nil
}

// TestTakeoverInTheShiftWaitsForReports guards against a new decider that completes a roll-out before any node has told it of
// requests in flight to the base version, and against one that rolls it back as it has counted nothing yet.
func TestTakeoverInTheShiftWaitsForReports(t *testing.T) {
	f := shiftingFleet(t, 2)
	d, _ := f.record.Get(f.now, "s")
	f.act(1, f.deciders[1].ObserveMembers(f.now, f.view()))
	f.act(1, f.deciders[1].ObserveAnnouncement(f.now, d))
	f.now = f.now.Add(1200 * time.Millisecond)
	f.act(1, f.deciders[1].Tick(f.now))
	f.lead(1, true)
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.act(1, f.deciders[1].Tick(f.now))
		d, _ = f.record.Get(f.now, "s")
		qt.Assert(t, d.Phase(), qt.Equals, PhaseShifting)
	}
}

// TestShiftWithoutTargetServersIsRolledBack guards against stopping the old servers when no new one is left.
func TestShiftWithoutTargetServersIsRolledBack(t *testing.T) {
	f := shiftingFleet(t, 1)
	f.servers["v2"] = 0
	f.run(2*time.Second, 0)
	d, _ := f.record.Get(f.now, "s")
	qt.Assert(t, d.Phase(), qt.Equals, PhaseRolledBack)
}
