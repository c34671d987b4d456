package fleet

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSeparateFleetsMergeThroughRendezvous(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 20)
	inSecondFleet := func(n *node) bool { return slices.Index(w.nodes, n) >= 10 }
	w.isCut = func(from, to *node) bool { return inSecondFleet(from) != inSecondFleet(to) }
	for i := range 20 {
		w.startNode(i, time.Duration(w.rnd.Int64N(int64(time.Second))))
	}
	w.run(time.Minute)
	w.isCut = func(_, _ *node) bool { return false }
	t.Logf("merged after %v", w.runUntil(3*time.Minute, w.converged))
	before := w.appends
	w.run(5 * time.Minute)
	qt.Assert(t, w.appends-before < 30, qt.IsTrue) // below one in 10 s
	t.Logf("%d appends, %d reads in 5 minutes", w.appends-before, w.reads)
}

func TestSeparateFleetsMergeThroughHints(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 21)
	w.logDown = true
	w.settings.Hints = hints()
	inSecondFleet := func(n *node) bool { return slices.Index(w.nodes, n) >= 2 }
	w.isCut = func(from, to *node) bool { return inSecondFleet(from) != inSecondFleet(to) }
	for i := range 20 {
		w.startNode(i, time.Duration(w.rnd.Int64N(int64(time.Second))))
	}
	w.run(2 * time.Minute)
	w.isCut = func(_, _ *node) bool { return false }
	t.Logf("merged after %v", w.runUntil(3*time.Minute, w.converged))
}

func TestWholeFleetIsReplaced(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 25)
	for i := range 20 {
		w.startNode(i, 0)
	}
	w.run(time.Second)
	w.runUntil(convergenceBound, w.converged)
	w.run(2 * time.Minute)
	for i := range 20 {
		w.nodes[i].stopped = true // the stream still holds their addresses
	}
	before := w.appends
	for i := 20; i < 50; i++ {
		w.startNode(i, time.Duration(w.rnd.Int64N(int64(time.Second))))
	}
	w.run(time.Second)
	t.Logf("formed after %v", w.runUntil(convergenceBound, w.converged))
	w.run(time.Minute)
	qt.Assert(t, w.appends-before <= 6, qt.IsTrue, qt.Commentf("%d", w.appends-before))
}

func FuzzRendezvous(f *testing.F) {
	m := newPreformedNetwork(f, 26, 3).nodes[0].m
	f.Add(m.encodeRendezvousEntry())
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, peers, err := m.decodeRendezvousEntry(data)
		qt.Assert(t, err == nil || len(peers) == 0, qt.IsTrue)
		for _, peer := range peers {
			qt.Assert(t, peer.IsValid(), qt.IsTrue)
		}
	})
}
