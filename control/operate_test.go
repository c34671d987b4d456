package control

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
)

// joinedNetwork returns a settled fleet whose log holds some changes.
func joinedNetwork(t testing.TB, seed uint64, n, changes int) *network {
	w := newTestNetwork(seed, n)
	fillLog(t, w, changes)
	w.start(time.Second)
	quicktest.Assert(t, w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	w.run(5 * time.Second)
	return w
}

// reader returns the node that reads the log in the log's region.
func (w *network) reader() *testNode {
	for _, n := range w.nodes {
		if n.place.Region() == logRegion && !n.down && len(n.core.relay.Roles()) > 0 && n.core.relay.Roles()[0] == "log reader" {
			return n
		}
	}
	return nil
}

func TestStatusShowsTheCensusOfAllRegionsEverywhere(t *testing.T) {
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

func TestCensusNamesANodeThatLags(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newTestNetwork(5, 40)
	w.newest = func(i int) record.Schema {
		if i == 10 {
			return record.SchemaNewest
		}
		return schema3
	}
	w.start(time.Second)
	c.Assert(w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	putChange(t, w, levelRaise(1))
	w.run(10 * time.Second)
	census := w.nodes[1].core.Status(w.now).Census()[0]
	c.Assert(census.Region(), quicktest.Equals, logRegion)
	c.Assert(census.Laggards(), quicktest.HasLen, 1)
	c.Assert(census.Laggards()[0].Node().Peer(), quicktest.Equals, w.nodes[10].peer)
}

func TestOneReaderAndOneCrossingAtRest(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 6, 60, 3)
	w.run(20 * time.Second)
	reads, far := w.log.reads, w.farRelay.messages
	w.run(20 * time.Second)
	c.Check(w.log.reads-reads <= 11, quicktest.IsTrue, quicktest.Commentf("%d reads", w.log.reads-reads))
	c.Check(w.farRelay.messages-far <= 22, quicktest.IsTrue, quicktest.Commentf("%d messages", w.farRelay.messages-far))
}

// TestRoleHoldersMayDie kills the log reader, then the next ones, and after each death a change must
// be in force everywhere within the bound.
func TestRoleHoldersMayDie(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 7, 30, 3)
	for i := range 4 {
		w.reader().kill()
		fillLogOne(t, w, 100+i)
		c.Assert(w.runUntil(healBound, w.settled), quicktest.IsTrue, quicktest.Commentf("death %d: %s", i, w.describe()))
		w.run(10 * time.Second)
	}
}

// TestReaderThatCannotReachTheLogIsReplaced cuts the log reader, and its standby too, from the log only.
func TestReaderThatCannotReachTheLogIsReplaced(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 13, 30, 3)
	cut := make(map[*testNode]bool)
	w.log.cut = func(n *testNode) bool { return cut[n] }
	for i := range 2 {
		cut[w.reader()] = true
		for _, n := range w.nodes {
			if roles := n.core.relay.Roles(); len(roles) > 0 && roles[0] == "standby log reader" {
				cut[n] = true
			}
		}
		fillLogOne(t, w, 100+i)
		c.Assert(w.runUntil(healBound, w.settled), quicktest.IsTrue, quicktest.Commentf("round %d: %s", i, w.describe()))
	}
	for i := range 20 {
		fillLogOne(t, w, 200+i)
		c.Assert(w.runUntil(time.Second, w.settled), quicktest.IsTrue, quicktest.Commentf("change %d: %s", i, w.describe()))
		w.run(3 * time.Second)
	}
	clear(cut)
	w.run(healBound)
	reads := w.log.reads
	w.run(20 * time.Second)
	c.Assert(w.log.reads-reads <= 11, quicktest.IsTrue, quicktest.Commentf("%d reads by more than one reader", w.log.reads-reads))
}

// TestRetentionPassesDuringAnOutage lets the log lose all its entries while it is down. The nodes hold
// the state and write it into the log when it is back, so that a fleet that restarts finds it there.
func TestRetentionPassesDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 8, 12, 30)
	want := w.nodes[0].core.Snapshot().Config().Version()
	w.log.outage = true
	w.run(time.Minute)
	c.Assert(w.nodes[4].core.Status(w.now).LogErr(), quicktest.IsNotNil)
	w.log.stream(message.StreamConfig).trim(0)
	w.log.up()
	w.run(30 * time.Second)
	c.Assert(w.log.next() > 30, quicktest.IsTrue)
	for _, n := range w.nodes {
		n.kill()
		n.start()
	}
	c.Assert(w.runUntil(30*time.Second, w.allJoined), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
	for _, n := range w.nodes {
		c.Check(n.core.Snapshot().Config().Version(), quicktest.Equals, want)
	}
}

// TestRestartWithTheLogDownIsSaid restarts nodes while the log is down: they serve what the others
// offer, and say so until the log is back.
func TestRestartWithTheLogDownIsSaid(t *testing.T) {
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
	w.log.up()
	w.run(healBound)
	c.Assert(n.core.Status(w.now).Unconfirmed(), quicktest.IsFalse)
}

func TestNobodyServesWhenNoStateIsLeftAndTheLogIsDown(t *testing.T) {
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
	w.log.up()
	c.Assert(w.runUntil(healBound, w.allJoined), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
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
		fillLogOne(t, w, i)
		w.run(500 * time.Millisecond)
	}
	w.run(5 * time.Second)
	c.Assert(w.log.next(), quicktest.Equals, record.Offset(27))
	c.Assert(w.settled(), quicktest.IsTrue)
}

func TestPublishIsIdempotentAndTruthful(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 12, 12, 0)
	tests := []struct {
		name   string
		breaks func()
		want   message.ReceiptState
	}{
		{"acknowledged", func() {}, message.ReceiptDecided},
		{"acknowledgement lost", func() { w.log.lostAck = 1 }, message.ReceiptDecided},
		{"refused", func() { w.log.refuse = true }, message.ReceiptNotAppended},
		{"outage", func() { w.log.outage = true }, message.ReceiptUnknown},
	}
	for i, test := range tests {
		w.log.lostAck, w.log.refuse, w.log.outage = 0, false, false
		w.run(20 * time.Second)
		test.breaks()
		var receipts []message.Receipt
		n := w.nodes[i]
		n.do(n.core.Publish(w.now, testChange(i, 0), func(r message.Receipt) { receipts = append(receipts, r) }))
		w.run(DefaultPublishWait + time.Second)
		c.Assert(receipts, quicktest.HasLen, 1, quicktest.Commentf(test.name))
		c.Check(receipts[0].State(), quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}

func TestSmallFleetsJoin(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		nodes []int // of a network, even ones stand in the region of the log
	}{{"one", []int{0}}, {"one far", []int{1}}, {"two", []int{0, 1}}, {"two far", []int{1, 3}}, {"three", []int{0, 1, 2}}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			w := newTestNetwork(14, 4)
			fillLog(t, w, 30)
			var nodes []*testNode
			for _, i := range test.nodes {
				nodes = append(nodes, w.nodes[i])
			}
			w.nodes = nodes
			w.start(0)
			c.Assert(w.runUntil(healBound, w.allJoined), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
			fillLogOne(t, w, 100)
			c.Assert(w.runUntil(time.Second, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
		})
	}
}

func TestLeavingReaderHandsOver(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := joinedNetwork(t, 15, 20, 3)
	n := w.reader()
	n.do(n.core.Leave(w.now))
	c.Assert(n.core.Status(w.now).Stage(), quicktest.Equals, message.StageDraining)
	w.run(3 * time.Second)
	fillLogOne(t, w, 100)
	c.Assert(w.runUntil(healBound, w.settled), quicktest.IsTrue, quicktest.Commentf("%s", w.describe()))
	c.Assert(w.reader() != n, quicktest.IsTrue)
}
