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
	w.cut = func(a, b *testNode) bool { return ahead(a) != ahead(b) }
	w.log.cut = func(n *testNode) bool { return !ahead(n) }
	w.run(10 * time.Second)
	for i := range read {
		fillLogOne(t, w, 100+i)
	}
	w.run(30 * time.Second)
	w.log.outage = true
	w.run(10 * time.Second)
	for w.log.next() < gapFirst+2 {
		fillLogOne(t, w, 100+int(w.log.next()))
	}
	w.log.stream(message.StreamConfig).trim(2)
	w.log.up()
	w.log.cut = func(n *testNode) bool { return ahead(n) }
	w.run(time.Minute)
	return w
}

func (n *testNode) bridge(first record.Offset) *message.BridgeReceipt {
	var receipt message.BridgeReceipt
	n.do(n.core.Bridge(n.net.now, first, func(r message.BridgeReceipt) { receipt = r }))
	return &receipt
}

// watchVersions returns how often the version of a node has fallen since.
func (w *network) watchVersions() *int {
	fallen := new(int)
	seen := make(map[*testNode]record.Version)
	w.observe = func(n *testNode) {
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
		fallen := w.watchVersions()
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
		c.Assert(w.runUntil(healBound, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		for _, r := range receipts {
			c.Check(r.State(), quicktest.Equals, message.BridgeWritten)
		}
		want := record.Version(w.log.next() + 1)
		putChange(t, w, testChange(200, record.Version(gapHead)))
		c.Assert(w.runUntil(healBound, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
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

// TestBridgeInDoubt loses the acknowledgement: the receipt says so, and repeating is harmless.
func TestBridgeInDoubt(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 22, nil, 0)
	w.log.refuse = true
	receipt := w.nodes[2].bridge(gapFirst)
	w.run(time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeNotAppended)
	w.log.refuse, w.log.lostAck = false, 1
	receipt = w.nodes[2].bridge(gapFirst)
	again := w.nodes[2].bridge(gapFirst)
	w.run(5 * time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeUnknown)
	c.Assert(again.Err(), quicktest.ErrorMatches, ".*already")
	w.log.lostAck = 0
	c.Assert(w.runUntil(healBound, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeIsRefused asks for bridges that would lose more than the operator accepted.
func TestBridgeIsRefused(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var noGap *relay.NoGapError
	var first *relay.GapEndError
	w := joinedNetwork(t, 23, 12, int(gapHead))
	c.Check(w.nodes[0].bridge(gapFirst).Err(), quicktest.ErrorAs, &noGap)
	w = gapNetwork(t, 23, nil, 0)
	appends := w.log.appends
	c.Check(w.nodes[0].bridge(gapFirst+1).Err(), quicktest.ErrorAs, &first)
	c.Check(first.GapEnd(), quicktest.Equals, gapFirst)
	c.Check(bridgesBehind(t, w), quicktest.IsFalse)
	c.Check(w.log.appends, quicktest.Equals, appends)
}

// bridgesBehind tells whether a node bridges though a member has said that it has folded more.
func bridgesBehind(t testing.TB, w *network) bool {
	n, other := w.nodes[0], w.nodes[4]
	d := message.NewDigest(record.Version(gapHead+2), gapHead+2, 7)
	push := message.NewPush(other.core.Self().Key(), 1<<40, message.NewSpan(1, 0), message.NewEntries(d.Head(), d.Chain(), nil, d, message.LogStatus{}.WithGapEnd(gapFirst)), nil)
	n.do(n.core.Receive(w.now, message.NewEnvelope(other.core.Self().Key(), push)))
	var further *relay.PeerAheadError
	receipt := n.bridge(gapFirst)
	if receipt.State() != message.BridgeRefused {
		return true
	}
	quicktest.Assert(t, receipt.Err(), quicktest.ErrorAs, &further)
	quicktest.Assert(t, further.Peer(), quicktest.Equals, other.peer)
	return false
}

// TestBridgeCatchesBroken sees a bridge from behind accepted when the rule against it is broken.
func TestBridgeCatchesBroken(t *testing.T) {
	t.Parallel()
	w := gapNetwork(t, 23, nil, 0)
	r := relay.DefaultRules()
	r.RefusesBridge = func(uint64, uint64) bool { return false }
	w.nodes[0].core.relay.SetRules(r)
	quicktest.Assert(t, bridgesBehind(t, w), quicktest.IsTrue)
}

// farFromLog tells whether a node stands in the region without the log.
func farFromLog(n *testNode) bool { return n.place.Region() != logRegion }

// bridgeBehindFar bridges in the region of the log, which has not heard that the other one has read some of the lost
// entries, and joins the regions again. It returns how often a version has fallen.
func bridgeBehindFar(t testing.TB, w *network) int {
	c := quicktest.New(t)
	fallen := w.watchVersions()
	c.Assert(w.nodes[0].core.Status(w.now).Gap(), quicktest.Equals, message.NewGap(gapHead, gapFirst))
	receipt := w.nodes[0].bridge(gapFirst)
	w.run(healBound)
	c.Assert(receipt.State(), quicktest.Equals, message.BridgeWritten)
	w.cut = func(_, _ *testNode) bool { return false }
	w.log.reconnect()
	w.run(time.Minute)
	return *fallen
}

// TestBridgeBehindAnotherRegion: nodes that have read all lost entries keep what they hold, and may fold what the log
// keeps, but never take over the other history. Those that meet nodes of it count the contradiction.
func TestBridgeBehindAnotherRegion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 24, farFromLog, 5)
	c.Assert(w.nodes[1].core.Status(w.now).Digest().Head(), quicktest.Equals, gapFirst)
	c.Assert(bridgeBehindFar(t, w), quicktest.Equals, 0)
	near, unequal := w.nodes[0].core.Status(w.now).Digest(), 0
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest() == near, quicktest.Equals, !farFromLog(n))
		c.Check(status.Digest().Version() >= record.Version(gapFirst), quicktest.Equals, farFromLog(n))
		_, lost := n.core.Outcome(testPublish(100))
		c.Check(lost, quicktest.Equals, farFromLog(n))
		unequal += status.Conflicts()
	}
	c.Check(unequal > 0, quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeBehindPartOfAnotherRegion: nodes that have read some lost entries hold them, also when the fleet's version is
// above theirs, until they are restarted.
func TestBridgeBehindPartOfAnotherRegion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 25, farFromLog, 3)
	c.Assert(bridgeBehindFar(t, w), quicktest.Equals, 0)
	putChange(t, w, testChange(200, record.Version(gapHead)))
	w.run(time.Minute)
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest().Version() == record.Version(gapHead+3), quicktest.Equals, farFromLog(n))
		c.Check(status.Conflicts() > 0, quicktest.Equals, farFromLog(n))
		if farFromLog(n) {
			n.kill()
			n.start()
		}
	}
	c.Assert(w.runUntil(time.Minute, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

// TestBridgeBehindCatchesBroken sees versions fall when whole states replace newer ones.
func TestBridgeBehindCatchesBroken(t *testing.T) {
	t.Parallel()
	w := gapNetwork(t, 25, farFromLog, 3)
	for _, n := range w.nodes {
		r := relay.DefaultRules()
		r.ReplacesState = func(held, offered message.Digest) bool { return offered.Head() > held.Head() }
		r.ConsistentState = func(_, _ *catalog.State) bool { return true }
		n.core.relay.SetRules(r)
	}
	quicktest.Assert(t, bridgeBehindFar(t, w) > 0, quicktest.IsTrue)
}

// TestGapClosesByAnotherRegion: nodes that have read the lost entries come back before anybody bridges.
func TestGapClosesByAnotherRegion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := gapNetwork(t, 26, farFromLog, 5)
	w.cut = func(_, _ *testNode) bool { return false }
	w.log.reconnect()
	c.Assert(w.runUntil(time.Minute, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		status := n.core.Status(w.now)
		c.Check(status.Digest().Version(), quicktest.Equals, record.Version(gapFirst+2))
		c.Check(status.Gap().Exists() || status.LogErr() != nil || status.Conflicts() > 0, quicktest.IsFalse)
	}
}
