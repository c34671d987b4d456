package fleet

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// running returns the nodes that are neither stopped nor paused.
func (w *network) running() []*node {
	var running []*node
	for _, n := range w.nodes {
		if !n.stopped && !n.paused {
			running = append(running, n)
		}
	}
	return running
}

// converged reports whether all running nodes consider exactly each other alive, with the same claims.
func (w *network) converged() bool {
	running := w.running()
	for _, n := range running {
		if n.m.table.viewHash != running[0].m.table.viewHash || len(n.m.liveMembers()) != len(running) {
			return false
		}
	}
	return true
}

// healthIn returns the health of node x in the view of n, zero if the view does not contain x.
func healthIn(n, x *node) member.Health {
	e := n.m.table.byPeer[x.m.Self().Key().Peer()]
	if e == nil || n.m.effectiveClaim(e).Health() > member.HealthSuspect {
		return 0
	}
	return n.m.effectiveClaim(e).Health()
}

// newFormedNetwork returns a network of n nodes that has converged, with the first 3 nodes as hints.
func newFormedNetwork(t testing.TB, seed uint64, n int, modify func(w *network)) *network {
	w := newNetwork(t, seed)
	w.settings.Hints = hints()
	if modify != nil {
		modify(w)
	}
	for i := range n {
		w.startNode(i, time.Duration(w.rnd.Int64N(int64(2*time.Second))))
	}
	w.run(2 * time.Second)
	w.runUntil(time.Minute, w.converged)
	return w
}

// newPreformedNetwork returns a network of n nodes that know each other from the start.
func newPreformedNetwork(t testing.TB, seed uint64, n int) *network {
	w := newNetwork(t, seed)
	w.settings.Hints = hints()
	for i := range n {
		w.startNode(i, 0)
	}
	w.run(0)
	var all []member.Member
	for _, x := range w.nodes {
		all = append(all, x.m.Self())
	}
	for _, x := range w.nodes {
		x.m.advance(w.now)
		for _, c := range all {
			x.m.store(c)
		}
		x.m.sync.joined = true
	}
	return w
}

func hints() []netip.AddrPort { return []netip.AddrPort{peerOf(0), peerOf(1), peerOf(2)} }

func (w *network) resetBytes() {
	w.crossRegionBytes = 0
	for _, n := range w.nodes {
		n.sent, n.received = 0, 0
	}
}

// crash stops a node and returns how long each other node took to remove it from its view.
func (w *network) crash(gone *node, limit time.Duration) []time.Duration {
	gone.stopped = true
	return w.measureUntil(limit, func(n *node) bool { return healthIn(n, gone) == 0 })
}

// setServerState changes the state of the server beside n and returns how long each other node took to learn of
// it.
func (w *network) setServerState(n *node, state member.ServerState) []time.Duration {
	w.perform(n, n.m.SetServer(w.now.Add(n.skew), member.NewServer("service", state, 64)))
	peer := n.m.Self().Key().Peer()
	return w.measureUntil(0, func(x *node) bool {
		return x.m.table.byPeer[peer].claim.Server().State() == state
	})
}

// measureUntil returns how long it took until ok held for each running node, checked at each of its ticks.
func (w *network) measureUntil(limit time.Duration, ok func(n *node) bool) []time.Duration {
	if limit == 0 {
		limit = time.Minute
	}
	from := w.now
	running := w.running()
	for _, n := range running {
		n.condition, n.conditionMetAt = ok, 0
	}
	w.runUntil(limit, func() bool { return !slices.ContainsFunc(running, func(n *node) bool { return n.conditionMetAt == 0 }) })
	var all []time.Duration
	for _, n := range running {
		all = append(all, n.conditionMetAt-from.Sub(w.start))
		n.condition = nil
	}
	return all
}
