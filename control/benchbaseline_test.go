package control

import (
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
	"github.com/bambooknot/bambooknot/wire"
)

// readBytes is the traffic of one read of the log over HTTP in both directions: 180 bytes of request, 160 bytes of
// response header and the headers of 3 segments.
const readBytes = 180 + 160 + 3*tcpHeader

// benchmarkPoll reports a baseline in which every node reads the log once a second.
func benchmarkPoll(b *testing.B, n int) {
	const changes = 20
	const period = time.Second
	w := newTestNetwork(1, n)
	entry, err := codec.EncodeChange(testChange(1, 0))
	if err != nil {
		b.Fatal(err)
	}
	var all []time.Duration
	crossRegion := 0
	for range changes {
		for _, node := range w.nodes {
			wait := time.Duration(w.rnd.Int64N(int64(period)))
			all = append(all, wait+w.log.delay(node))
			if node.place.Region() != logRegion {
				crossRegion++
			}
		}
	}
	slices.Sort(all)
	reportTimes(b, all)
	b.ReportMetric(readBytes, "B/s/node-rest")
	b.ReportMetric(float64(crossRegion)/changes*readBytes, "B/s-far-rest")
	b.ReportMetric(float64(crossRegion)/changes*float64(len(entry)), "B-far/change")
	b.ReportMetric(float64(len(entry)), "B/change/node")
	b.ReportMetric(float64(n), "log-reads/s")
}

// benchmarkState reports a baseline in which the log reader pushes the whole state down the same tree, over one stream
// per hop, which takes a round trip to open.
func benchmarkState(b *testing.B, n int) {
	state := catalog.New()
	w := newTestNetwork(1, n)
	w.log.onAppend = func(e record.Entry) { _, _ = state.Apply(e) }
	appendChanges(b, w, 250)
	data, err := state.Checkpoint()
	if err != nil {
		b.Fatal(err)
	}
	size := frameBytes(len(data) + wire.MaxDatagram)
	hops := treeDepth(n/2, relay.Defaults().Fanout)
	b.ReportMetric(float64((2*sameRegionDelay+3*crossRegionDelay+time.Duration(3*hops)*sameRegionDelay)/time.Millisecond), "ms-max")
	b.ReportMetric(float64(len(data)), "B-state")
	b.ReportMetric(float64(size), "B-far/change")
	b.ReportMetric(float64(size), "B/change/node")
}

// treeDepth returns the number of levels that a tree with the fan-out needs to reach the nodes.
func treeDepth(nodes, fanout int) int {
	depth := 0
	for reach := 1; reach < nodes; reach = reach*fanout + 1 {
		depth++
	}
	return depth
}
