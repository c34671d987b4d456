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
	gapStart = record.Offset(30)
	gapEnd   = record.Offset(35)
)

// gapNetwork returns a fleet that has applied 30 entries of a log that was trimmed to two entries, the first at offset
// 35. The nodes for which ahead returns true, if it is not nil, have also applied the given number of the lost entries;
// they can reach neither the other nodes nor the log.
func gapNetwork(t testing.TB, seed uint64, ahead func(n *testNode) bool, lostApplied int) *network {
	w := joinedNetwork(t, seed, 12, int(gapStart))
	if ahead == nil {
		ahead = func(*testNode) bool { return false }
	}
	w.blocked = func(a, b *testNode) bool { return ahead(a) != ahead(b) }
	w.log.blocked = func(n *testNode) bool { return !ahead(n) }
	w.run(10 * time.Second)
	for i := range lostApplied {
		appendChange(t, w, 100+i)
	}
	w.run(30 * time.Second)
	w.log.outage = true
	w.run(10 * time.Second)
	for w.log.end() < gapEnd+2 {
		appendChange(t, w, 100+int(w.log.end()))
	}
	w.log.stream(message.StreamConfig).trim(2)
	w.log.endOutage()
	w.log.blocked = func(n *testNode) bool { return ahead(n) }
	w.run(time.Minute)
	return w
}

// bridge asks the node to bridge a gap. The receipt is filled in when the node delivers it.
func (n *testNode) bridge(gapEnd record.Offset) *message.BridgeReceipt {
	var receipt message.BridgeReceipt
	n.execute(n.core.Bridge(n.net.now, gapEnd, func(r message.BridgeReceipt) { receipt = r }))
	return &receipt
}

// countVersionDecreases returns a counter of the events after which a node holds an older version than before.
func (w *network) countVersionDecreases() *int {
	decreases := new(int)
	last := make(map[*testNode]record.Version)
	w.onEvent = func(n *testNode) {
		v := n.core.Snapshot().Config().Version()
		if v < last[n] {
			*decreases++
		}
		last[n] = v
	}
	return decreases
}

// TestBridge bridges a gap by one operator, and by two operators at different nodes.
func TestBridge(t *testing.T) {
	t.Parallel()
	for _, operators := range [][]int{{3}, {0, 7}} {
		c := quicktest.New(t)
		w := gapNetwork(t, 21, nil, 0)
		decreases := w.countVersionDecreases()
		for _, n := range w.nodes {
			status := n.core.Status(w.now)
			c.Assert(status.Gap(), quicktest.Equals, message.NewGap(gapStart, gapEnd), quicktest.Commentf("node %d", n.index))
			c.Assert(status.LogErr(), quicktest.IsNotNil)
			c.Assert(n.core.Snapshot().Config().Version(), quicktest.Equals, record.Version(gapStart))
		}
		var receipts []*message.BridgeReceipt
		for _, i := range operators {
			receipts = append(receipts, w.nodes[i].bridge(gapEnd))
		}
		c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		for _, r := range receipts {
			c.Check(r.State(), quicktest.Equals, message.BridgeWritten)
		}
		want := record.Version(w.log.end() + 1)
		appendChangeSet(t, w, testChange(200, record.Version(gapStart)))
		c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		w.run(10 * time.Second)
		c.Check(*decreases, quicktest.Equals, 0)
		for _, n := range w.nodes {
			status := n.core.Status(w.now)
			c.Check(n.core.Snapshot().Config().Version(), quicktest.Equals, want)
			c.Check(status.Gap().Exists(), quicktest.IsFalse)
			c.Check(status.LogErr(), quicktest.IsNil)
			c.Check(status.Conflicts(), quicktest.Equals, 0)
		}
	}
}

// TestBridgeWithLostAcknowledgement bridges while the log refuses appends, and then while it stores them without an
// acknowledgement. The receipt must report the result as unknown, and bridging again must be harmless.
func TestBridgeWithLostAcknowledgement(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 22, nil, 0)
	w.log.refuseAppends = true
	receipt := w.nodes[2].bridge(gapEnd)
	w.run(time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeNotAppended)
	w.log.refuseAppends, w.log.ackLossRate = false, 1
	receipt = w.nodes[2].bridge(gapEnd)
	again := w.nodes[2].bridge(gapEnd)
	w.run(5 * time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeUnknown)
	c.Assert(again.Err(), quicktest.ErrorMatches, ".*already")
	w.log.ackLossRate = 0
	c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeRefusals requests bridges that would lose more entries than the operator accepted.
func TestBridgeRefusals(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var noGap *relay.NoGapError
	var wrongGapEnd *relay.GapEndError
	w := joinedNetwork(t, 23, 12, int(gapStart))
	c.Check(w.nodes[0].bridge(gapEnd).Err(), quicktest.ErrorAs, &noGap)
	w = gapNetwork(t, 23, nil, 0)
	appends := w.log.configAppends
	c.Check(w.nodes[0].bridge(gapEnd+1).Err(), quicktest.ErrorAs, &wrongGapEnd)
	c.Check(wrongGapEnd.GapEnd(), quicktest.Equals, gapEnd)
	c.Check(bridgesBehindMember(t, w), quicktest.IsFalse)
	c.Check(w.log.configAppends, quicktest.Equals, appends)
}

// bridgesBehindMember reports whether a node bridges although another member has announced a greater head.
func bridgesBehindMember(t testing.TB, w *network) bool {
	n, other := w.nodes[0], w.nodes[4]
	d := message.NewDigest(record.Version(gapStart+2), gapStart+2, 7)
	push := message.NewPush(other.core.Self().Key(), 1<<40, message.NewSpan(1, 0), message.NewEntries(d.Head(), d.Chain(), nil, d, message.LogStatus{}.WithGapEnd(gapEnd)), nil)
	n.execute(n.core.Receive(w.now, message.NewEnvelope(other.core.Self().Key(), push)))
	var ahead *relay.PeerAheadError
	receipt := n.bridge(gapEnd)
	if receipt.State() != message.BridgeRefused {
		return true
	}
	quicktest.Assert(t, receipt.Err(), quicktest.ErrorAs, &ahead)
	quicktest.Assert(t, ahead.Peer(), quicktest.Equals, other.peer)
	return false
}

// TestBridgeRefusalsDetectBrokenRule verifies that bridgesBehindMember detects a rule that allows such a bridge.
func TestBridgeRefusalsDetectBrokenRule(t *testing.T) {
	t.Parallel()
	w := gapNetwork(t, 23, nil, 0)
	r := relay.DefaultRules()
	r.RefusesBridge = func(uint64, uint64) bool { return false }
	w.nodes[0].core.relay.SetRules(r)
	quicktest.Assert(t, bridgesBehindMember(t, w), quicktest.IsTrue)
}

// isOutsideLogRegion reports whether a node is in the region without the log.
func isOutsideLogRegion(n *testNode) bool { return n.place.Region() != logRegion }

// bridgeBehindOtherRegion bridges in the region of the log, whose nodes do not know that the other region has applied
// some of the lost entries, and then reconnects the regions. It returns how often the version of a node decreased.
func bridgeBehindOtherRegion(t testing.TB, w *network) int {
	c := quicktest.New(t)
	decreases := w.countVersionDecreases()
	c.Assert(w.nodes[0].core.Status(w.now).Gap(), quicktest.Equals, message.NewGap(gapStart, gapEnd))
	receipt := w.nodes[0].bridge(gapEnd)
	w.run(convergenceLimit)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeWritten)
	w.blocked = func(_, _ *testNode) bool { return false }
	w.log.unblock()
	w.run(time.Minute)
	return *decreases
}

// TestBridgeWhileOtherRegionIsAhead bridges a gap whose entries the other region has all applied. Its nodes must keep
// their state and may apply what the log retains, but must not install the state of the bridged history. Nodes that
// receive digests of the other history must count a conflict.
func TestBridgeWhileOtherRegionIsAhead(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 24, isOutsideLogRegion, 5)
	c.Assert(w.nodes[1].core.Status(w.now).Digest().Head(), quicktest.Equals, gapEnd)
	c.Assert(bridgeBehindOtherRegion(t, w), quicktest.Equals, 0)
	logRegionDigest, conflicts := w.nodes[0].core.Status(w.now).Digest(), 0
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest() == logRegionDigest, quicktest.Equals, !isOutsideLogRegion(n))
		c.Check(status.Digest().Version() >= record.Version(gapEnd), quicktest.Equals, isOutsideLogRegion(n))
		_, known := n.core.Outcome(testPublish(100))
		c.Check(known, quicktest.Equals, isOutsideLogRegion(n))
		conflicts += status.Conflicts()
	}
	c.Check(conflicts > 0, quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeWhileOtherRegionHoldsPartOfTheGap bridges a gap of which the other region has applied some entries. Its nodes
// must keep their state until they are restarted, even when the version of the fleet is greater.
func TestBridgeWhileOtherRegionHoldsPartOfTheGap(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 25, isOutsideLogRegion, 3)
	c.Assert(bridgeBehindOtherRegion(t, w), quicktest.Equals, 0)
	appendChangeSet(t, w, testChange(200, record.Version(gapStart)))
	w.run(time.Minute)
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest().Version() == record.Version(gapStart+3), quicktest.Equals, isOutsideLogRegion(n))
		c.Check(status.Conflicts() > 0, quicktest.Equals, isOutsideLogRegion(n))
		if isOutsideLogRegion(n) {
			n.kill()
			n.start()
		}
	}
	c.Assert(w.runUntil(time.Minute, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestVersionDecreasesDetectBrokenRules verifies that versions decrease under rules that let whole states replace newer
// ones.
func TestVersionDecreasesDetectBrokenRules(t *testing.T) {
	t.Parallel()
	w := gapNetwork(t, 25, isOutsideLogRegion, 3)
	for _, n := range w.nodes {
		r := relay.DefaultRules()
		r.ReplacesState = func(held, offered message.Digest) bool { return offered.Head() > held.Head() }
		r.ConsistentState = func(_, _ *catalog.State) bool { return true }
		n.core.relay.SetRules(r)
	}
	quicktest.Assert(t, bridgeBehindOtherRegion(t, w) > 0, quicktest.IsTrue)
}

// TestGapClosesWhenOtherRegionReturns reconnects a region that has applied the lost entries before an operator bridges
// the gap.
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
		c.Check(status.Digest().Version(), quicktest.Equals, record.Version(gapEnd+2))
		c.Check(status.Gap().Exists() || status.LogErr() != nil || status.Conflicts() > 0, quicktest.IsFalse)
	}
}
