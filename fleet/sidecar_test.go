package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	storeKeep = 20 * time.Second
	// appendTime is what the users' store takes for each append to a stream, one after the other.
	appendTime = 4 * time.Millisecond
)

// formationLimit is the time after a start of all nodes within which they all have to know each other. Callers come
// 8 s after the first start, and right away after a loss of power.
const formationLimit = 1500 * time.Millisecond

func newSidecars(t testing.TB, seed uint64, n int) *network {
	w := newNetwork(t, seed)
	w.settings = SidecarSettings(testFleet, nil, storeKeep)
	w.logTime = appendTime
	w.startAll(n)
	return w
}

// startAll starts n nodes within 0.3 s.
func (w *network) startAll(n int) {
	for i := range n {
		w.add(i, time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))))
	}
	w.run(300 * time.Millisecond)
}

// TestSidecarsMeet starts all nodes at once, at first with an empty store and then, after a loss of power, with what
// they wrote before. No island may stay.
func TestSidecarsMeet(t *testing.T) {
	for size, seeds := range map[int]uint64{2: 20, 12: 20, 80: 3} {
		for seed := range seeds {
			w := newSidecars(t, seed, size)
			qt.Check(t, w.settles(formationLimit, w.converged), qt.IsTrue, qt.Commentf("%d nodes, seed %d, first start", size, seed))
			w.run(8 * time.Second)
			for _, n := range w.nodes {
				n.dead = true
			}
			w.run(time.Second)
			w.startAll(size)
			qt.Check(t, w.settles(formationLimit, w.converged), qt.IsTrue, qt.Commentf("%d nodes, seed %d, restart", size, seed))
		}
	}
}

// TestLargeFleetMeetsOverANarrowLink starts a fleet whose regions share a link of 30 Mbit/s: meeting may take a third of it for
// two seconds, and the fleet has to have met well before its callers come after 8 s.
func TestLargeFleetMeetsOverANarrowLink(t *testing.T) {
	const linkShare = 30_000_000 / 8 / 3 * 2 // bytes
	w := newSidecars(t, 1, 288)
	met := w.runUntil(4*time.Second, w.converged)
	qt.Check(t, w.crossed <= linkShare, qt.IsTrue, qt.Commentf("%d bytes within %v", w.crossed, met))
}

// returnLimit is the time from the start of the last process within which a fleet of 80 has met again after all were
// killed: callers' requests fail until then. It is half of the two seconds that the deployments of that size took before.
const returnLimit = 500 * time.Millisecond

// TestKilledSidecarsMeetAgain kills all processes at once, which start again within some ten milliseconds of each other.
func TestKilledSidecarsMeetAgain(t *testing.T) {
	for seed := range uint64(4) {
		w := newSidecars(t, seed, 80)
		w.runUntil(2*formationLimit, w.converged)
		w.run(8 * time.Second)
		for i := range w.nodes {
			w.add(i, 500*time.Millisecond+time.Duration(w.rnd.Int64N(int64(50*time.Millisecond))))
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
		qt.Check(t, took <= returnLimit, qt.IsTrue, qt.Commentf("seed %d: %v", seed, took))
	}
}

// meetLimit is the time within which a node that was restarted alone has to know the fleet again, store or not. Its callers
// stay away for two readiness checks at least, a second apart.
const meetLimit = 2500 * time.Millisecond

// TestRestartedSidecarMeetsWithoutStore restarts a node while the store is away, after a kill and after a planned stop.
// Others knew its address.
func TestRestartedSidecarMeetsWithoutStore(t *testing.T) {
	for seed := range uint64(20) {
		w := newSidecars(t, seed, 12)
		w.runUntil(formationLimit, w.converged)
		w.run(5 * time.Second)
		w.logDown = true
		i := int(seed) % 12
		if seed%2 == 1 {
			gone := w.byPeer[peerOf(i)]
			w.act(gone, gone.m.Leave(w.now))
			w.run(tickPeriod)
		}
		w.byPeer[peerOf(i)].dead = true
		w.run(time.Duration(seed) * 200 * time.Millisecond)
		w.add(i, 0)
		w.run(100 * time.Millisecond)
		restarted := w.byPeer[peerOf(i)]
		took := time.Duration(0)
		for ; took < 5*time.Second && len(restarted.m.liveMembers()) < 12; took += tickPeriod {
			w.run(tickPeriod)
		}
		qt.Check(t, took <= meetLimit, qt.IsTrue, qt.Commentf("seed %d, down for %d00 ms: %v", seed, 2*seed, took))
	}
}

// BenchmarkSidecars measures the membership of sidecar fleets: the time in which all nodes that start at once meet, and
// the bytes that one node sends and that cross between the regions at rest.
func BenchmarkSidecars(b *testing.B) {
	for _, size := range []int{12, 80, 580} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				w := newSidecars(b, 1, size)
				met := w.runUntil(time.Minute, w.converged)
				w.run(5 * time.Second)
				w.resetBytes()
				const span = 10 * time.Second
				w.run(span)
				sent, most := 0, 0
				for _, n := range w.nodes {
					sent += n.sent
					most = max(most, n.sent)
				}
				b.ReportMetric(float64(met.Milliseconds()), "ms-met")
				b.ReportMetric(float64(sent)/span.Seconds()/float64(size), "B/s/node")
				b.ReportMetric(float64(most)/span.Seconds(), "B/s-max")
				b.ReportMetric(float64(w.crossed)/span.Seconds(), "B/s-across")
				b.ReportMetric(0, "ns/op")
				qt.Check(b, float64(most)/span.Seconds() <= 21_000, qt.IsTrue, qt.Commentf("the bound of letter 1"))
			}
		})
	}
}
