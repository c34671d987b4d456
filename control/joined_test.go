package control

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestNodesKnowMembersWhenTheyJoin guards against nodes that serve before they know other members: such a node refuses
// every call.
func TestNodesKnowMembersWhenTheyJoin(t *testing.T) {
	c := quicktest.New(t)
	for seed := range uint64(12) {
		w := newTestNetwork(seed, 12)
		w.start(3 * time.Second)
		checkJoinedNodesKnowMembers(c, w)
		c.Assert(w.allJoined(), quicktest.IsTrue)
	}
}

func checkJoinedNodesKnowMembers(c *quicktest.C, w *network) {
	for range 200 {
		w.run(100 * time.Millisecond)
		for _, n := range w.nodes {
			if n.core == nil || !n.core.Joined() {
				continue
			}
			known := len(n.core.Snapshot().View().Members())
			c.Assert(known > 1, quicktest.IsTrue, quicktest.Commentf("node %v", n.core.Self().Key()))
		}
	}
}
