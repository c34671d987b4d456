package control

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
)

const (
	gapHead  = record.Offset(30)
	gapFirst = record.Offset(35)
)

// gapNetwork returns a fleet that has folded 30 entries of a log that starts at 35 and holds two more. The nodes that
// ahead names, if any, have read some of the lost entries too, and are cut off from the others and the log.
func gapNetwork(t testing.TB, seed uint64, ahead func(n *testNode) bool, read int) *network {
	w := joinedNetwork(t, seed, 12, int(gapHead))
	if ahead == nil {
		ahead = func(*testNode) bool { return false }
	}
	w.blocked = func(a, b *testNode) bool { return ahead(a) != ahead(b) }
	w.log.blocked = func(n *testNode) bool { return !ahead(n) }
	w.run(10 * time.Second)
	for i := range read {
		appendChange(t, w, 100+i)
	}
	w.run(30 * time.Second)
	w.log.outage = true
	w.run(10 * time.Second)
	for w.log.end() < gapFirst+2 {
		appendChange(t, w, 100+int(w.log.end()))
	}
	w.log.stream(message.StreamConfig).trim(2)
	w.log.endOutage()
	w.log.blocked = func(n *testNode) bool { return ahead(n) }
	w.run(time.Minute)
	return w
}

func (n *testNode) bridge(first record.Offset) *message.BridgeReceipt {
	var receipt message.BridgeReceipt
	n.execute(n.core.Bridge(n.net.now, first, func(r message.BridgeReceipt) { receipt = r }))
	return &receipt
}

// countVersionDecreases returns how often the version of a node has fallen since.
func (w *network) countVersionDecreases() *int {
	fallen := new(int)
	seen := make(map[*testNode]record.Version)
	w.onEvent = func(n *testNode) {
		v := n.core.Snapshot().Config().Version()
		if v < seen[n] {
			*fallen++
		}
		seen[n] = v
	}
	return fallen
}

// TestBridge has one operator, or two operators at different nodes bridge a gap.
func TestBridge(t *testing.T) {
	t.Parallel()
	for _, operators := range [][]int{{3}, {0, 7}} {
		c := quicktest.New(t)
		w := gapNetwork(t, 21, nil, 0)
		fallen := w.countVersionDecreases()
		for _, n := range w.nodes {
			status := n.core.Status(w.now)
			c.Assert(status.Gap(), quicktest.Equals, message.NewGap(gapHead, gapFirst), quicktest.Commentf("node %d", n.index))
			c.Assert(status.LogErr(), quicktest.IsNotNil)
			c.Assert(n.core.Snapshot().Config().Version(), quicktest.Equals, record.Version(gapHead))
		}
		var receipts []*message.BridgeReceipt
		for _, i := range operators {
			receipts = append(receipts, w.nodes[i].bridge(gapFirst))
		}
		c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		for _, r := range receipts {
			c.Check(r.State(), quicktest.Equals, message.BridgeWritten)
		}
		want := record.Version(w.log.end() + 1)
		appendChangeSet(t, w, testChange(200, record.Version(gapHead)))
		c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		w.run(10 * time.Second)
		c.Check(*fallen, quicktest.Equals, 0)
		for _, n := range w.nodes {
			status := n.core.Status(w.now)
			c.Check(n.core.Snapshot().Config().Version(), quicktest.Equals, want)
			c.Check(status.Gap().Exists(), quicktest.IsFalse)
			c.Check(status.LogErr(), quicktest.IsNil)
			c.Check(status.Conflicts(), quicktest.Equals, 0)
		}
	}
}

// TestBridgeWithLostAcknowledgement loses the acknowledgement: the receipt says so, and repeating is harmless.
func TestBridgeWithLostAcknowledgement(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 22, nil, 0)
	w.log.refuseAppends = true
	receipt := w.nodes[2].bridge(gapFirst)
	w.run(time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeNotAppended)
	w.log.refuseAppends, w.log.ackLossRate = false, 1
	receipt = w.nodes[2].bridge(gapFirst)
	again := w.nodes[2].bridge(gapFirst)
	w.run(5 * time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeUnknown)
	c.Assert(again.Err(), quicktest.ErrorMatches, ".*already")
	w.log.ackLossRate = 0
	c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeRefusals asks for bridges that would lose more than the operator accepted.
func TestBridgeRefusals(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var noGap *relay.NoGapError
	var first *relay.FirstError
	w := joinedNetwork(t, 23, 12, int(gapHead))
	c.Check(w.nodes[0].bridge(gapFirst).Err(), quicktest.ErrorAs, &noGap)
	w = gapNetwork(t, 23, nil, 0)
	appends := w.log.configAppends
	c.Check(w.nodes[0].bridge(gapFirst+1).Err(), quicktest.ErrorAs, &first)
	c.Check(first.First(), quicktest.Equals, gapFirst)
	c.Check(bridgesBehindMember(t, w), quicktest.IsFalse)
	c.Check(w.log.configAppends, quicktest.Equals, appends)
}

// bridgesBehindMember tells whether a node bridges though a member has said that it has folded more.
func bridgesBehindMember(t testing.TB, w *network) bool {
	n, other := w.nodes[0], w.nodes[4]
	d := message.NewDigest(record.Version(gapHead+2), gapHead+2, 7)
	push := message.NewPush(other.core.Self().Key(), 1<<40, message.NewSpan(1, 0), message.NewEntries(d.Head(), d.Chain(), nil, d, message.LogStatus{}.WithGapEnd(gapFirst)), nil)
	n.execute(n.core.Receive(w.now, message.NewEnvelope(other.core.Self().Key(), push)))
	var further *relay.FurtherError
	receipt := n.bridge(gapFirst)
	if receipt.State() != message.BridgeRefused {
		return true
	}
	quicktest.Assert(t, receipt.Err(), quicktest.ErrorAs, &further)
	quicktest.Assert(t, further.Peer(), quicktest.Equals, other.peer)
	return false
}

// TestBridgeRefusalsDetectBrokenRule sees a bridge from behind accepted when the rule against it is broken.
func TestBridgeRefusalsDetectBrokenRule(t *testing.T) {
	t.Parallel()
	w := gapNetwork(t, 23, nil, 0)
	r := relay.DefaultRules()
	r.Withholds = func(uint64, uint64) bool { return false }
	w.nodes[0].core.relay.SetRules(r)
	quicktest.Assert(t, bridgesBehindMember(t, w), quicktest.IsTrue)
}

// isOutsideLogRegion tells whether a node stands in the region without the log.
func isOutsideLogRegion(n *testNode) bool { return n.place.Region() != logRegion }

// bridgeBehindOtherRegion bridges in the region of the log, which has not heard that the other one has read some of the lost
// entries, and joins the regions again. It returns how often a version has fallen.
func bridgeBehindOtherRegion(t testing.TB, w *network) int {
	c := quicktest.New(t)
	fallen := w.countVersionDecreases()
	c.Assert(w.nodes[0].core.Status(w.now).Gap(), quicktest.Equals, message.NewGap(gapHead, gapFirst))
	receipt := w.nodes[0].bridge(gapFirst)
	w.run(convergenceLimit)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeWritten)
	w.blocked = func(_, _ *testNode) bool { return false }
	w.log.unblock()
	w.run(time.Minute)
	return *fallen
}

// TestBridgeWhileOtherRegionIsAhead: nodes that have read all lost entries keep what they hold, and may fold what the log
// keeps, but never take over the other history. Those that meet nodes of it count the contradiction.
func TestBridgeWhileOtherRegionIsAhead(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 24, isOutsideLogRegion, 5)
	c.Assert(w.nodes[1].core.Status(w.now).Digest().Head(), quicktest.Equals, gapFirst)
	c.Assert(bridgeBehindOtherRegion(t, w), quicktest.Equals, 0)
	near, unequal := w.nodes[0].core.Status(w.now).Digest(), 0
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest() == near, quicktest.Equals, !isOutsideLogRegion(n))
		c.Check(status.Digest().Version() >= record.Version(gapFirst), quicktest.Equals, isOutsideLogRegion(n))
		_, lost := n.core.Outcome(testPublish(100))
		c.Check(lost, quicktest.Equals, isOutsideLogRegion(n))
		unequal += status.Conflicts()
	}
	c.Check(unequal > 0, quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeWhileOtherRegionHoldsPartOfTheGap: nodes that have read some lost entries hold them, also when the fleet's version is
// above theirs, until they are restarted.
func TestBridgeWhileOtherRegionHoldsPartOfTheGap(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 25, isOutsideLogRegion, 3)
	c.Assert(bridgeBehindOtherRegion(t, w), quicktest.Equals, 0)
	appendChangeSet(t, w, testChange(200, record.Version(gapHead)))
	w.run(time.Minute)
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest().Version() == record.Version(gapHead+3), quicktest.Equals, isOutsideLogRegion(n))
		c.Check(status.Conflicts() > 0, quicktest.Equals, isOutsideLogRegion(n))
		if isOutsideLogRegion(n) {
			n.kill()
			n.start()
		}
	}
	c.Assert(w.runUntil(time.Minute, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestVersionDecreasesDetectBrokenRules sees versions fall when whole states replace newer ones.
func TestVersionDecreasesDetectBrokenRules(t *testing.T) {
	t.Parallel()
	w := gapNetwork(t, 25, isOutsideLogRegion, 3)
	for _, n := range w.nodes {
		r := relay.DefaultRules()
		r.Replaces = func(held, offered message.Digest) bool { return offered.Head() > held.Head() }
		r.Continued = func(_, _ *catalog.State) bool { return true }
		n.core.relay.SetRules(r)
	}
	quicktest.Assert(t, bridgeBehindOtherRegion(t, w) > 0, quicktest.IsTrue)
}

// TestGapClosesWhenOtherRegionReturns: nodes that have read the lost entries come back before anybody bridges.
func TestGapClosesWhenOtherRegionReturns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 26, isOutsideLogRegion, 5)
	w.blocked = func(_, _ *testNode) bool { return false }
	w.log.unblock()
	c.Assert(w.runUntil(time.Minute, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest().Version(), quicktest.Equals, record.Version(gapFirst+2))
		c.Check(status.Gap().Exists() || status.LogErr() != nil || status.Conflicts() > 0, quicktest.IsFalse)
	}
}
