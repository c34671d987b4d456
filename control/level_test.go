package control

import (
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

const schema3 = record.SchemaNewest + 1

// mixedNetwork returns a fleet in which only the nodes from index old on understand schema3.
func mixedNetwork(c *quicktest.C, old int) *network {
	w := newTestNetwork(3, 12)
	w.newest = func(i int) record.Schema {
		if i < old {
			return record.SchemaNewest
		}
		return schema3
	}
	w.start(time.Second)
	c.Assert(w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	w.run(5 * time.Second)
	return w
}

func levelRaise(i int) record.ChangeSet {
	return record.NewChangeSet(testPublish(i), "operator", 0, nil, nil).WithLevel(schema3)
}

func TestLevelRaiseIsRefusedWhileMembersKnowLess(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := mixedNetwork(c, 2)
	var receipt message.Receipt
	appends := w.log.appends
	w.nodes[5].do(w.nodes[5].core.Publish(w.now, levelRaise(1), func(r message.Receipt) { receipt = r }))
	c.Assert(receipt.State(), quicktest.Equals, message.ReceiptNotAppended)
	c.Assert(w.log.appends, quicktest.Equals, appends)
	var level *LevelError
	c.Assert(errors.As(receipt.Err(), &level), quicktest.IsTrue)
	c.Assert(peersOf(level.Behind()), quicktest.DeepEquals, []string{"10.0.0.0:7000", "10.0.0.1:7000"})
}

func peersOf(members []member.Member) []string {
	var peers []string
	for _, m := range members {
		peers = append(peers, m.Key().Peer().String())
	}
	return peers
}

func TestLevelRaiseIsAcceptedWhenAllKnowIt(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := mixedNetwork(c, 0)
	var receipt message.Receipt
	w.nodes[5].do(w.nodes[5].core.Publish(w.now, levelRaise(1), func(r message.Receipt) { receipt = r }))
	w.run(2 * time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.ReceiptDecided)
	c.Assert(receipt.Outcome().Accepted(), quicktest.IsTrue)
	c.Assert(w.nodes[0].core.Status(w.now).Level(), quicktest.Equals, schema3)
}

func TestNodesTooOldHoldTheirConfigurationAndTheOthersGoOn(t *testing.T) {
	t.Parallel()
	for old := 1; old < 12; old += 3 {
		c := quicktest.New(t)
		w := mixedNetwork(c, old)
		for i, cs := range []record.ChangeSet{testChange(1, 0), levelRaise(2), testChange(3, 0)} {
			data, err := codec.EncodeChange(cs)
			c.Assert(err, quicktest.IsNil, quicktest.Commentf("change %d", i))
			w.log.put(message.StreamConfig, data)
			w.run(time.Second)
		}
		w.run(healBound)
		for _, n := range w.nodes {
			status := n.core.Status(w.now)
			wantVersion, wantNeed := record.Version(3), record.Schema(0)
			if n.index < old {
				wantVersion, wantNeed = 1, schema3
			}
			c.Check(status.Digest().Version(), quicktest.Equals, wantVersion, quicktest.Commentf("node %d of %d old", n.index, old))
			c.Check(status.MissingLevel(), quicktest.Equals, wantNeed)
			c.Check(status.Stage(), quicktest.Equals, message.StageServing)
		}
	}
}

func TestANodeTooOldDoesNotJoin(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := mixedNetwork(c, 0)
	putChange(t, w, levelRaise(1))
	w.run(2 * time.Second)
	w.newest = func(int) record.Schema { return record.SchemaNewest }
	n := w.nodes[3]
	n.kill()
	n.start()
	w.run(time.Minute)
	status := n.core.Status(w.now)
	c.Check(status.Stage(), quicktest.Equals, message.StageJoining)
	c.Check(status.MissingLevel(), quicktest.Equals, schema3)
}
