package control

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/rollout"
)

var testBounds = rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}

func testDecision(sequence uint64) rollout.Decision {
	return rollout.NewDecision(rollout.DecisionFields{
		Service: "orders", Target: "v2", Base: "v1", Order: 1, Sequence: sequence, Phase: rollout.PhaseCanary, Share: 70, Limit: time.Minute,
	})
}

// TestLostDecisionsAreRepaired guards against nodes that never learn of a decision whose announcements were lost, and against
// nodes that keep sending their decisions once all have them.
func TestLostDecisionsAreRepaired(t *testing.T) {
	w := newSidecarNetwork(4, 12)
	w.rollouts = RolloutSettings{Bounds: testBounds, Counts: func(d rollout.Decision, guarded bool) rollout.Counts {
		return rollout.NewCounts(rollout.CountsFields{Service: d.Service(), Order: d.Order(), Sequence: d.Sequence(), Guarded: guarded})
	}}
	w.publish()
	w.startAll(true)
	w.run(5 * time.Second)
	_ = w.nodes[3].core.rollouts.announce(w.now, testDecision(5)) // not sent
	repaired := w.took(10*time.Second, func() bool {
		for _, n := range w.nodes {
			if n.core.RolloutDigest() != w.nodes[3].core.RolloutDigest() {
				return false
			}
		}
		return true
	})
	qt.Check(t, repaired <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", repaired))
	w.run(time.Second)
	for _, n := range w.nodes {
		same := message.NewSummary(message.Digest{}, 0, nil).WithRollouts(n.core.RolloutDigest())
		qt.Check(t, n.core.rollouts.repair(w.now, w.nodes[0].core.Self().Key(), same), qt.HasLen, 0)
	}
}

// TestGuardStopsTheTargetVersion guards against a node that goes on sending to a version that it sees fail, and that does not say
// so in its counts.
func TestGuardStopsTheTargetVersion(t *testing.T) {
	self := member.New(member.NewKey(netip.MustParseAddrPort("10.0.0.1:7000"), 1), member.NewPlace("east", "e1"), record.SchemaNewest).
		WithServer(member.NewServer("orders", member.ServerReady, 6).WithVersion("v1"))
	decider := member.New(member.NewKey(netip.MustParseAddrPort("10.0.0.2:7000"), 1), member.NewPlace("east", "e1"), record.SchemaNewest).
		WithServer(member.NewServer("orders", member.ServerReady, 6).WithVersion("v2"))
	var failures, successes uint32
	c := NewSidecar(SidecarSettings{
		Self: self, Fleet: fleet.SidecarSettings("x", nil, time.Minute), Feed: feed.Settings{Self: self, Decode: decodeVersion}, Gone: func(error) bool { return false },
		Rollouts: RolloutSettings{Bounds: testBounds, Counts: func(d rollout.Decision, guarded bool) rollout.Counts {
			base, target := rollout.NewTally(0, [rollout.Buckets]uint32{8: successes}), rollout.NewTally(failures, [rollout.Buckets]uint32{})
			return rollout.NewCounts(rollout.CountsFields{
				Service: d.Service(), Order: d.Order(), Sequence: d.Sequence(), Guarded: guarded,
				Routes: []rollout.RouteCounts{rollout.NewRouteCounts("r", base, [rollout.Cohorts]rollout.Tally{target, target, target})},
			})
		}},
	}, rand.New(rand.NewPCG(1, 2)))
	now := testEpoch
	guarded := false
	for revision := range uint64(100) {
		c.Receive(now, message.NewEnvelope(decider.Key(), message.NewClaims([]member.Member{decider.WithRevision(revision)}))) // alive
		now, successes = now.Add(TickPeriod), successes+10
		if now.Sub(testEpoch) > 2*time.Second {
			failures++
		}
		out := c.Receive(now, message.NewEnvelope(decider.Key(), message.NewRolloutDecision(testDecision(5), true)))
		for _, a := range append(out, c.Tick(now)...) {
			if send, ok := a.(message.Send); ok {
				counts, isCounts := send.Body().(message.RolloutCounts)
				guarded = guarded || isCounts && counts.Counts().Guarded()
			}
		}
		if now.Sub(testEpoch) == 2*time.Second {
			qt.Assert(t, c.rollouts.plans.Service("orders").Share(now), qt.Equals, 70)
		}
	}
	qt.Check(t, c.rollouts.plans.Service("orders").Share(now), qt.Equals, 0)
	qt.Check(t, guarded, qt.IsTrue)
}
