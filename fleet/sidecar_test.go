package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	storeRetention = 20 * time.Second
	// appendTime is the time that the users' store needs for each append to a stream, one after the other.
	appendTime = 4 * time.Millisecond
)

// formationLimit is the time after the start of all nodes within which they must all know each other. Calls arrive
// 8 s after the first start, and at once after a power failure.
const formationLimit = 1500 * time.Millisecond

func newSidecars(t testing.TB, seed uint64, n int) *network {
	w := newNetwork(t, seed)
	w.settings = SidecarSettings(testFleet, nil, storeRetention)
	w.appendDuration = appendTime
	w.startAll(n)
	return w
}

// startAll starts n nodes within 0.3 s.
func (w *network) startAll(n int) {
	for i := range n {
		w.startNode(i, time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))))
	}
	w.run(300 * time.Millisecond)
}

// TestSidecarsFormOneFleet starts all nodes at the same time, first with an empty store, then, after a power
// failure, with the entries written before. It guards against a fleet that stays split.
func TestSidecarsFormOneFleet(t *testing.T) {
	for size, seeds := range map[int]uint64{2: 20, 12: 20, 80: 3} {
		for seed := range seeds {
			w := newSidecars(t, seed, size)
			qt.Check(t, w.reaches(formationLimit, w.converged), qt.IsTrue, qt.Commentf("%d nodes, seed %d, first start", size, seed))
			w.run(8 * time.Second)
			for _, n := range w.nodes {
				n.stopped = true
			}
			w.run(time.Second)
			w.startAll(size)
			qt.Check(t, w.reaches(formationLimit, w.converged), qt.IsTrue, qt.Commentf("%d nodes, seed %d, restart", size, seed))
		}
	}
}

// TestLargeFleetFormsOverSlowLink starts a fleet whose regions share a link of 30 Mbit/s. Formation may use a
// third of the link for two seconds, and must end well before calls arrive after 8 s.
func TestLargeFleetFormsOverSlowLink(t *testing.T) {
	const linkShare = 30_000_000 / 8 / 3 * 2 // bytes
	w := newSidecars(t, 1, 288)
	took := w.runUntil(4*time.Second, w.converged)
	qt.Check(t, w.crossRegionBytes <= linkShare, qt.IsTrue, qt.Commentf("%d bytes within %v", w.crossRegionBytes, took))
}

// reformLimit is the time from the start of the last process within which a fleet of 80 nodes has formed again
// after all were killed, as requests of callers fail until then. Deployments of that size took two seconds before
// this limit was set.
const reformLimit = 500 * time.Millisecond

// TestKilledSidecarsReformFleet kills all processes at the same time and restarts them within 50 ms of each other.
func TestKilledSidecarsReformFleet(t *testing.T) {
	for seed := range uint64(4) {
		w := newSidecars(t, seed, 80)
		w.runUntil(2*formationLimit, w.converged)
		w.run(8 * time.Second)
		for i := range w.nodes {
			w.startNode(i, 500*time.Millisecond+time.Duration(w.rnd.Int64N(int64(50*time.Millisecond))))
		}
		w.run(550 * time.Millisecond)
		mostKnown := func() bool {
			known := 0
			for _, n := range w.nodes {
				known += len(n.m.liveMembers())
			}
			return known >= len(w.nodes)*len(w.nodes)*9/10
		}
		took := time.Duration(0)
		for ; took < 5*time.Second && !mostKnown(); took += 10 * time.Millisecond {
			w.run(10 * time.Millisecond)
		}
		qt.Check(t, took <= reformLimit, qt.IsTrue, qt.Commentf("seed %d: %v", seed, took))
	}
}

// rejoinLimit is the time within which a node that was restarted alone must know the fleet again, with or without
// the store. Its callers stay away for at least two readiness checks, a second apart.
const rejoinLimit = 2500 * time.Millisecond

// TestRestartedSidecarRejoinsWithoutStore restarts a node while the store is unavailable, after a crash and after
// a planned stop. The other nodes still know its address.
func TestRestartedSidecarRejoinsWithoutStore(t *testing.T) {
	for seed := range uint64(20) {
		w := newSidecars(t, seed, 12)
		w.runUntil(formationLimit, w.converged)
		w.run(5 * time.Second)
		w.logDown = true
		i := int(seed) % 12
		if seed%2 == 1 {
			gone := w.byPeer[peerOf(i)]
			w.perform(gone, gone.m.Leave(w.now))
			w.run(tickPeriod)
		}
		w.byPeer[peerOf(i)].stopped = true
		w.run(time.Duration(seed) * 200 * time.Millisecond)
		w.startNode(i, 0)
		w.run(100 * time.Millisecond)
		restarted := w.byPeer[peerOf(i)]
		took := time.Duration(0)
		for ; took < 5*time.Second && len(restarted.m.liveMembers()) < 12; took += tickPeriod {
			w.run(tickPeriod)
		}
		qt.Check(t, took <= rejoinLimit, qt.IsTrue, qt.Commentf("seed %d, down for %d00 ms: %v", seed, 2*seed, took))
	}
}

// BenchmarkSidecars measures fleets of sidecars: the time until all nodes that start at the same time know each
// other, and the bytes sent by one node and between the regions at rest.
func BenchmarkSidecars(b *testing.B) {
	for _, size := range []int{12, 80, 580} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				w := newSidecars(b, 1, size)
				formationTime := w.runUntil(time.Minute, w.converged)
				w.run(5 * time.Second)
				w.resetBytes()
				const span = 10 * time.Second
				w.run(span)
				sent, most := 0, 0
				for _, n := range w.nodes {
					sent += n.sent
					most = max(most, n.sent)
				}
				b.ReportMetric(float64(formationTime.Milliseconds()), "ms-met")
				b.ReportMetric(float64(sent)/span.Seconds()/float64(size), "B/s/node")
				b.ReportMetric(float64(most)/span.Seconds(), "B/s-max")
				b.ReportMetric(float64(w.crossRegionBytes)/span.Seconds(), "B/s-across")
				b.ReportMetric(0, "ns/op")
				qt.Check(b, float64(most)/span.Seconds() <= 21_000, qt.IsTrue, qt.Commentf("a node sends more than the users' limit of 21,000 B/s at rest"))
			}
		})
	}
}

// TestFirstStartNeedsNoReadBeforeAppend starts a large fleet for the first time, with and without the knowledge that the
// stream is empty. The store bills each call: with it, nodes must read less. All must know each other well before calls
// arrive after 8 s.
func TestFirstStartNeedsNoReadBeforeAppend(t *testing.T) {
	const size = 295
	reads := make(map[bool]int)
	for _, empty := range []bool{false, true} {
		w := newNetwork(t, 1)
		w.settings = SidecarSettings(testFleet, nil, storeRetention)
		w.settings.RendezvousEmptyAtStart = empty
		w.appendDuration = appendTime
		w.startAll(size)
		w.runUntil(4*time.Second, w.converged)
		qt.Check(t, w.appends, qt.Equals, size)
		reads[empty] = w.reads
	}
	qt.Check(t, reads[true] < reads[false], qt.IsTrue, qt.Commentf("%v", reads))
}

// storeReturnLimit is the time after the return of the store within which what nodes wrote there must be back.
const storeReturnLimit = 2 * time.Second

// TestAddressesAreWrittenAgainAfterTheStoreReturnsFromACopy loses the rendezvous stream, or a part of it, and then kills all
// nodes, which have to meet through the stream.
func TestAddressesAreWrittenAgainAfterTheStoreReturnsFromACopy(t *testing.T) {
	for _, kept := range []int{0, 3, 100} {
		for seed := range uint64(5) {
			comment := qt.Commentf("%d entries kept, seed %d", kept, seed)
			w := newSidecars(t, seed, 12)
			w.runUntil(formationLimit, w.converged)
			w.run(30 * time.Second)
			w.logDown = true
			w.run(1500 * time.Millisecond)
			w.logDown = false
			w.rewind(kept, w.nodes[int(seed)%12], w.nodes[int(seed+5)%12])
			before := len(w.entries)
			w.run(storeReturnLimit)
			qt.Check(t, len(w.entries) > before, qt.IsTrue, comment)
			qt.Check(t, len(w.entries) <= before+len(w.nodes), qt.IsTrue, qt.Commentf("%d entries written, %d entries kept, seed %d", len(w.entries)-before, kept, seed))
			for _, n := range w.nodes {
				n.stopped = true
			}
			w.run(time.Second)
			w.startAll(12)
			qt.Check(t, w.reaches(formationLimit, w.converged), qt.IsTrue, comment)
		}
	}
}

// TestStartingNodesMeetWhenTheStoreLosesTheirAddresses loses what two nodes wrote at their start before they read it. Only
// the stream can bring them together.
func TestStartingNodesMeetWhenTheStoreLosesTheirAddresses(t *testing.T) {
	for seed := range uint64(20) {
		w := newNetwork(t, seed)
		w.settings = SidecarSettings(testFleet, nil, storeRetention)
		w.appendDuration = appendTime
		w.startNode(0, 0)
		w.startNode(1, time.Duration(seed)*10*time.Millisecond)
		w.run(time.Duration(20+7*seed) * time.Millisecond)
		w.rewind(0)
		qt.Check(t, w.reaches(storeReturnLimit, w.converged), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestGatewaysNoticeThatTheStoreHasReturnedFromACopy has no other reader of the store that could notice it.
func TestGatewaysNoticeThatTheStoreHasReturnedFromACopy(t *testing.T) {
	w := newSidecars(t, 1, 12)
	w.runUntil(formationLimit, w.converged)
	w.run(30 * time.Second)
	w.rewind(0)
	w.run(2 * w.settings.RendezvousReadPeriod)
	qt.Check(t, len(w.entries) > 0, qt.IsTrue)
}
