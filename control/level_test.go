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

// mixedNetwork returns a fleet in which all but the first nodes, as many as outdated says, understand schema3.
func mixedNetwork(c *quicktest.C, outdated int) *network {
	w := newTestNetwork(3, 12)
	w.newestSchema = func(i int) record.Schema {
		if i < outdated {
			return record.SchemaNewest
		}
		return schema3
	}
	w.start(time.Second)
	c.Assert(w.runUntil(20*time.Second, w.allJoined), quicktest.IsTrue)
	w.run(5 * time.Second)
	return w
}

// levelChange returns a change set that raises the schema level to schema3.
func levelChange(i int) record.ChangeSet {
	return record.NewChangeSet(testPublish(i), "operator", 0, nil, nil).WithLevel(schema3)
}

func TestLevelChangeIsRefusedWhileMembersAreIncompatible(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := mixedNetwork(c, 2)
	var receipt message.Receipt
	appends := w.log.configAppends
	w.nodes[5].execute(w.nodes[5].core.Publish(w.now, levelChange(1), func(r message.Receipt) { receipt = r }))
	c.Assert(receipt.State(), quicktest.Equals, message.ReceiptNotAppended)
	c.Assert(w.log.configAppends, quicktest.Equals, appends)
	var level *LevelError
	c.Assert(errors.As(receipt.Err(), &level), quicktest.IsTrue)
	c.Assert(peerAddresses(level.Incompatible()), quicktest.DeepEquals, []string{"10.0.0.0:7000", "10.0.0.1:7000"})
}

func peerAddresses(members []member.Member) []string {
	var peers []string
	for _, m := range members {
		peers = append(peers, m.Key().Peer().String())
	}
	return peers
}

func TestLevelChangeIsAcceptedWhenAllMembersAreCompatible(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := mixedNetwork(c, 0)
	var receipt message.Receipt
	w.nodes[5].execute(w.nodes[5].core.Publish(w.now, levelChange(1), func(r message.Receipt) { receipt = r }))
	w.run(2 * time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.ReceiptDecided)
	c.Assert(receipt.Outcome().Accepted(), quicktest.IsTrue)
	c.Assert(w.nodes[0].core.Status(w.now).Level(), quicktest.Equals, schema3)
}

// TestOutdatedNodesKeepTheirConfiguration raises the level above what some nodes understand, past the check of Publish.
// Those nodes must keep serving the configuration that they hold, and the others must apply later changes.
func TestOutdatedNodesKeepTheirConfiguration(t *testing.T) {
	t.Parallel()
	for outdated := 1; outdated < 12; outdated += 3 {
		c := quicktest.New(t)
		w := mixedNetwork(c, outdated)
		for i, cs := range []record.ChangeSet{testChange(1, 0), levelChange(2), testChange(3, 0)} {
			data, err := codec.EncodeChange(cs)
			c.Assert(err, quicktest.IsNil, quicktest.Commentf("change %d", i))
			w.log.appendEntry(message.StreamConfig, data)
			w.run(time.Second)
		}
		w.run(convergenceLimit)
		for _, n := range w.nodes {
			status := n.core.Status(w.now)
			wantVersion, wantMissing := record.Version(3), record.Schema(0)
			if n.index < outdated {
				wantVersion, wantMissing = 1, schema3
			}
			c.Check(status.Digest().Version(), quicktest.Equals, wantVersion, quicktest.Commentf("node %d, %d outdated", n.index, outdated))
			c.Check(status.MissingLevel(), quicktest.Equals, wantMissing)
			c.Check(status.Stage(), quicktest.Equals, message.StageServing)
		}
	}
}

func TestOutdatedNodeDoesNotJoin(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := mixedNetwork(c, 0)
	appendChangeSet(t, w, levelChange(1))
	w.run(2 * time.Second)
	w.newestSchema = func(int) record.Schema { return record.SchemaNewest }
	n := w.nodes[3]
	n.kill()
	n.start()
	w.run(time.Minute)
	status := n.core.Status(w.now)
	c.Check(status.Stage(), quicktest.Equals, message.StageJoining)
	c.Check(status.MissingLevel(), quicktest.Equals, schema3)
}
