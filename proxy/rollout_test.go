package proxy_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/rollout"
)

// TestGoodVersionIsCompleted guards against a good version that is not completed in time, and against requests that reach an
// old server when it may have stopped already.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(0)
		defer f.closeAll()
		start := time.Now()
		f.rollOut(rolloutLimit+3*time.Second, f.old())
		at, state := f.store.ended()
		t.Logf("%s after %v, %d requests at the old servers, %d at the new ones", state, at.Sub(start), arrivals(f.old(), start), arrivals(f.fresh(), start))
		qt.Assert(t, state, qt.Equals, "completed")
		qt.Check(t, at.Sub(start) <= rolloutLimit, qt.IsTrue)
		qt.Check(t, arrivals(f.old(), at), qt.Equals, 0)
		qt.Check(t, f.served(pathOther) > 0.999, qt.IsTrue, qt.Commentf("%v", f.statuses))
	})
}

// TestBadVersionIsRolledBack guards against a failing version that gets more than its permitted exposure or is completed.
func TestBadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(0.4)
		defer f.closeAll()
		start := time.Now()
		f.rollOut(rolloutLimit, f.old())
		at, state := f.store.ended()
		old, exposed := arrivals(f.old(), start), arrivals(f.fresh(), start)
		t.Logf("%s after %v, %d requests at the old servers, %d at the new ones", state, at.Sub(start), old, exposed)
		qt.Assert(t, state, qt.Equals, "rolled_back")
		qt.Check(t, exposed > 0 && float64(exposed) <= 0.1*float64(old+exposed)+50, qt.IsTrue)
		qt.Check(t, arrivals(f.fresh(), at.Add(time.Second)), qt.Equals, 0)
	})
}

// TestRolloutGoesOnWithoutItsDecider guards against a roll-out that stops or starts again when the deciding node dies in the
// canary phase.
func TestRolloutGoesOnWithoutItsDecider(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(0)
		defer f.closeAll()
		f.store.order()
		f.startNodes(f.fresh())
		f.load(rolloutRate, 5*time.Second, f.old())
		phase, share := f.store.phase()
		qt.Assert(t, phase == rollout.PhaseCanary && share > 0, qt.IsTrue)
		decider := f.decider()
		decider.kill()
		f.load(rolloutRate, rolloutLimit-2*time.Second, without(f.old(), decider))
		at, state := f.store.ended()
		qt.Assert(t, state, qt.Equals, "completed")
		qt.Check(t, arrivals(f.old(), at), qt.Equals, 0)
		qt.Check(t, f.decider(), qt.Not(qt.Equals), decider)
	})
}

// TestNodeThatIsCutOffReturnsToTheBaseVersion guards against a node that goes on with a share that may have been taken back
// since.
func TestNodeThatIsCutOffReturnsToTheBaseVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(0)
		defer f.closeAll()
		f.store.order()
		f.startNodes(f.fresh())
		f.load(rolloutRate, 4*time.Second, f.old())
		cut := without(f.old(), f.decider())[0]
		cut.caller = "cut"
		f.load(rolloutRate, time.Second, []*limitNode{cut})
		cutAt := time.Now()
		qt.Assert(t, cutAt.Sub(lastFrom(f.fresh(), "cut")) < time.Second, qt.IsTrue)
		f.cut(func(from, to *limitNode) bool { return from == cut || to == cut })
		f.load(rolloutRate, 6*time.Second, f.old())
		used := lastFrom(f.fresh(), "cut").Sub(cutAt)
		t.Logf("last request %v after the cut", used)
		qt.Check(t, used > 0 && used <= rollout.TrustPeriod+200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", used))
		qt.Check(t, time.Since(lastFrom(f.old(), "cut")) < time.Second, qt.IsTrue)
	})
}

// TestVersionsWithoutDecisionGetNothing guards against requests to servers of a version without an order, also if one has
// just taken the place of an old server, and from a node that starts during a canary phase and knows the decision from other
// nodes only.
func TestVersionsWithoutDecisionGetNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(0)
		defer f.closeAll()
		start := time.Now()
		f.startNodes(f.fresh())
		replaced := f.old()[0]
		replaced.version = newVersion
		replaced.heartbeat() // other nodes do not know
		f.load(rolloutRate, 4*time.Second, f.old())
		qt.Check(t, arrivals(f.fresh(), start), qt.Equals, 0)
		qt.Check(t, replaced.server.arrivedSince(start), qt.Equals, 0)
		qt.Check(t, f.store.actions, qt.Equals, 0)

		f.store.order()
		f.load(rolloutRate, 5*time.Second, f.old())
		decider := f.decider()
		late := without(f.old(), decider)[0]
		late.caller = "late"
		late.stop()
		f.cut(func(from, to *limitNode) bool { return from == decider && to == late })
		late.restart()
		time.Sleep(500 * time.Millisecond)
		f.load(rolloutRate, 2*time.Second, []*limitNode{late})
		phase, share := f.store.phase()
		qt.Assert(t, phase == rollout.PhaseCanary && share > 0, qt.IsTrue)
		qt.Check(t, lastFrom(f.fresh(), "late").IsZero(), qt.IsTrue)
		qt.Check(t, lastFrom(f.old(), "late").IsZero(), qt.IsFalse)
	})
}

// TestVersionsAreIgnoredWithoutTheSetting guards against calls of the store, messages and routes by version in a fleet that
// did not ask for them.
func TestVersionsAreIgnoredWithoutTheSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(0)
		defer f.closeAll()
		f.store.bounds = rollout.Settings{}
		for _, n := range f.old() {
			n.restart()
		}
		time.Sleep(2 * time.Second)
		start := time.Now()
		f.rollOut(6*time.Second, f.old())
		qt.Check(t, f.store.actions, qt.Equals, 0)
		qt.Check(t, arrivals(f.fresh(), start) > 100, qt.IsTrue)
		for _, n := range f.nodes {
			qt.Check(t, n.snapshot.Load().Plans(), qt.IsNil)
		}
	})
}
