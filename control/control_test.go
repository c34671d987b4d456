package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// testPublish returns a publish ID derived from i.
func testPublish(i int) record.PublishID {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "publish %d", i))
}

// testChange returns a change set with a service and a route to it.
func testChange(i int, base record.Version) record.ChangeSet {
	name := fmt.Sprintf("service-%d", i)
	return record.NewChangeSet(testPublish(i), "operator", base, []record.Record{
		record.NewService(record.Schema1, name, 8),
		record.NewRoute(name, "/"+name, name, true),
	}, nil)
}

func TestChangeReachesAllNodes(t *testing.T) {
	c := quicktest.New(t)
	w := newTestNetwork(1, 12)
	w.start(time.Second)
	c.Assert(w.runUntil(15*time.Second, w.allJoined), quicktest.IsTrue)
	var receipt message.Receipt
	w.nodes[3].execute(w.nodes[3].core.Publish(w.now, testChange(1, 0), func(r message.Receipt) { receipt = r }))
	c.Assert(w.runUntil(2*time.Second, func() bool { return w.log.end() == 1 && w.converged() }), quicktest.IsTrue)
	w.run(time.Second)
	c.Assert(receipt.State(), quicktest.Equals, message.ReceiptDecided)
	c.Assert(receipt.Outcome().Accepted(), quicktest.IsTrue)
	for _, n := range w.nodes {
		c.Check(n.core.Snapshot().Config().Version(), quicktest.Equals, record.Version(1))
	}
}
