package control

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
)

// joinedNetwork returns a fleet whose nodes have joined with the given number of changes in the log.
func joinedNetwork(t testing.TB, seed uint64, n, changes int) *network {
	w := newTestNetwork(seed, n)
	appendChanges(t, w, changes)
	w.start(time.Second)
	quicktest.Assert(t, w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	w.run(5 * time.Second)
	return w
}

// reader returns the live log reader in the region of the log, or nil.
func (w *network) reader() *testNode {
	for _, n := range w.nodes {
		if n.place.Region() == logRegion && !n.down && len(n.core.relay.Roles()) > 0 && n.core.relay.Roles()[0] == "log reader" {
			return n
		}
	}
	return nil
}

func TestStatusHoldsCensusOfAllRegions(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 5, 40, 3)
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		census := n.core.Status(w.now).Census()
		c.Assert(census, quicktest.HasLen, 2)
		for _, region := range census {
			c.Check(region.Counts(), quicktest.HasLen, 1)
			c.Check(region.Counts()[0].Version(), quicktest.Equals, record.Version(3))
			c.Check(region.Counts()[0].Nodes(), quicktest.Equals, 20, quicktest.Commentf("region %s at node %d", region.Region(), n.index))
			c.Check(region.Laggards(), quicktest.HasLen, 0)
		}
	}
}

func TestCensusNamesLaggard(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newTestNetwork(5, 40)
	w.newestSchema = func(i int) record.Schema {
		if i == 10 {
			return record.SchemaNewest
		}
		return schema3
	}
	w.start(time.Second)
	c.Assert(w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	appendChangeSet(t, w, levelChange(1))
	w.run(10 * time.Second)
	census := w.nodes[1].core.Status(w.now).Census()[0]
	c.Assert(census.Region(), quicktest.Equals, logRegion)
	c.Assert(census.Laggards(), quicktest.HasLen, 1)
	c.Assert(census.Laggards()[0].Node().Peer(), quicktest.Equals, w.nodes[10].peer)
}

// TestIdleFleetLimitsReadsAndCrossRegionMessages checks that one node reads the log and that one relay path crosses the
// regions while nothing changes.
func TestIdleFleetLimitsReadsAndCrossRegionMessages(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 6, 60, 3)
	w.run(20 * time.Second)
	reads, messages := w.log.configReads, w.crossRegionRelay.messages
	w.run(20 * time.Second)
	c.Check(w.log.configReads-reads <= 11, quicktest.IsTrue, quicktest.Commentf("%d reads", w.log.configReads-reads))
	c.Check(w.crossRegionRelay.messages-messages <= 22, quicktest.IsTrue, quicktest.Commentf("%d messages", w.crossRegionRelay.messages-messages))
}

// TestChangesArriveAfterReaderDeaths kills the log reader and its successors. After each death a change must be in force
// on all nodes within convergenceLimit.
func TestChangesArriveAfterReaderDeaths(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 7, 30, 3)
	for i := range 4 {
		w.reader().kill()
		appendChange(t, w, 100+i)
		c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("death %d: %s", i, w.describe()))
		w.run(10 * time.Second)
	}
}

// TestReaderWithoutLogIsReplaced makes the log unreachable for the log reader and its standby, which still reach the
// other nodes. Changes must continue to arrive, and after the fault only one node may read the log.
func TestReaderWithoutLogIsReplaced(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 13, 30, 3)
	unreachable := make(map[*testNode]bool)
	w.log.blocked = func(n *testNode) bool { return unreachable[n] }
	for i := range 2 {
		unreachable[w.reader()] = true
		for _, n := range w.nodes {
			if roles := n.core.relay.Roles(); len(roles) > 0 && roles[0] == "standby log reader" {
				unreachable[n] = true
			}
		}
		appendChange(t, w, 100+i)
		c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("round %d: %s", i, w.describe()))
	}
	for i := range 20 {
		appendChange(t, w, 200+i)
		c.Assert(w.runUntil(time.Second, w.converged), quicktest.IsTrue, quicktest.Commentf("change %d: %s", i, w.describe()))
		w.run(3 * time.Second)
	}
	clear(unreachable)
	w.run(convergenceLimit)
	reads := w.log.configReads
	w.run(20 * time.Second)
	c.Assert(w.log.configReads-reads <= 11, quicktest.IsTrue, quicktest.Commentf("%d reads by more than one reader", w.log.configReads-reads))
}

// TestStateSurvivesTrimmingDuringOutage removes all entries from the log during an outage, as its retention does. The
// nodes hold the state and must write a checkpoint when the log is back, so that a restarted fleet finds the state.
func TestStateSurvivesTrimmingDuringOutage(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 8, 12, 30)
	want := w.nodes[0].core.Snapshot().Config().Version()
	w.log.outage = true
	w.run(time.Minute)
	c.Assert(w.nodes[4].core.Status(w.now).LogErr(), quicktest.IsNotNil)
	w.log.stream(message.StreamConfig).trim(0)
	w.log.endOutage()
	w.run(30 * time.Second)
	c.Assert(w.log.end() > 30, quicktest.IsTrue)
	for _, n := range w.nodes {
		n.kill()
		n.start()
	}
	c.Assert(w.runUntil(30*time.Second, w.allJoined), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
	for _, n := range w.nodes {
		c.Check(n.core.Snapshot().Config().Version(), quicktest.Equals, want)
	}
}

// TestRestartDuringOutageIsUnconfirmed restarts a node during an outage of the log. The node must serve the state of its
// peers and report it as unconfirmed until the log is back.
func TestRestartDuringOutageIsUnconfirmed(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 9, 20, 30)
	w.log.outage = true
	w.run(30 * time.Second)
	n := w.nodes[3]
	n.kill()
	n.start()
	w.run(time.Second)
	c.Assert(n.core.Joined(), quicktest.IsFalse)
	c.Assert(w.runUntil(30*time.Second, n.core.Joined), quicktest.IsTrue)
	status := n.core.Status(w.now)
	c.Assert(status.Unconfirmed(), quicktest.IsTrue)
	c.Assert(status.Digest().Head(), quicktest.Equals, record.Offset(30))
	w.log.endOutage()
	w.run(convergenceLimit)
	c.Assert(n.core.Status(w.now).Unconfirmed(), quicktest.IsFalse)
}

func TestNoNodeJoinsWithoutStateAndLog(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 10, 12, 30)
	w.log.outage = true
	for _, n := range w.nodes {
		n.kill()
		n.start()
	}
	w.run(time.Minute)
	for _, n := range w.nodes {
		c.Check(n.core.Joined(), quicktest.IsFalse)
	}
	w.log.endOutage()
	c.Assert(w.runUntil(convergenceLimit, w.allJoined), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
}

func TestReaderWritesCheckpoints(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newTestNetwork(11, 12)
	w.relaySettings = relay.Defaults()
	w.relaySettings.EntriesPerCheckpoint = 10
	w.start(time.Second)
	c.Assert(w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	for i := range 25 {
		appendChange(t, w, i)
		w.run(500 * time.Millisecond)
	}
	w.run(5 * time.Second)
	c.Assert(w.log.end(), quicktest.Equals, record.Offset(27))
	c.Assert(w.converged(), quicktest.IsTrue)
}

func TestPublishReceipts(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 12, 12, 0)
	tests := []struct {
		name string
		fail func()
		want message.ReceiptState
	}{
		{"acknowledged", func() {}, message.ReceiptDecided},
		{"acknowledgement lost", func() { w.log.ackLossRate = 1 }, message.ReceiptDecided},
		{"refused", func() { w.log.refuseAppends = true }, message.ReceiptNotAppended},
		{"outage", func() { w.log.outage = true }, message.ReceiptUnknown},
	}
	for i, test := range tests {
		w.log.ackLossRate, w.log.refuseAppends, w.log.outage = 0, false, false
		w.run(20 * time.Second)
		test.fail()
		var receipts []message.Receipt
		n := w.nodes[i]
		n.execute(n.core.Publish(w.now, testChange(i, 0), func(r message.Receipt) { receipts = append(receipts, r) }))
		w.run(DefaultPublishTimeout + time.Second)
		c.Assert(receipts, quicktest.HasLen, 1, quicktest.Commentf(test.name))
		c.Check(receipts[0].State(), quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}

func TestSmallFleetsJoin(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		nodes []int // indexes; nodes with even ones are in the region of the log
	}{{"one", []int{0}}, {"one outside the log region", []int{1}}, {"two", []int{0, 1}}, {"two outside the log region", []int{1, 3}}, {"three", []int{0, 1, 2}}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			w := newTestNetwork(14, 4)
			appendChanges(t, w, 30)
			var nodes []*testNode
			for _, i := range test.nodes {
				nodes = append(nodes, w.nodes[i])
			}
			w.nodes = nodes
			w.start(0)
			c.Assert(w.runUntil(convergenceLimit, w.allJoined), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
			appendChange(t, w, 100)
			c.Assert(w.runUntil(time.Second, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		})
	}
}

func TestLeavingReaderIsReplaced(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 15, 20, 3)
	n := w.reader()
	n.execute(n.core.Leave(w.now))
	c.Assert(n.core.Status(w.now).Stage(), quicktest.Equals, message.StageDraining)
	w.run(3 * time.Second)
	appendChange(t, w, 100)
	c.Assert(w.runUntil(convergenceLimit, w.converged), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
	c.Assert(w.reader() != n, quicktest.IsTrue)
}
