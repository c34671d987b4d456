package control

import (
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// BenchmarkFault measures the time until a change that is made during a fault is in force on all live nodes. If the
// fault ends afterwards, the time is measured from its end.
func BenchmarkFault(b *testing.B) {
	faults := []struct {
		name string
		run  func(w *network) // before the change
		heal func(w *network) // after the change, or nil
	}{
		{"reader-dies", func(w *network) { w.reader().kill() }, nil},
		{"reader-paused", func(w *network) { w.reader().pause() }, func(w *network) { w.resumeAll() }},
		{"loss=0.05", func(w *network) { w.lossRate = 0.05 }, nil},
		{"loss=0.2", func(w *network) { w.lossRate = 0.2 }, nil},
		{"domain-dies", func(w *network) { w.killDomain(w.reader().place.FailureDomain()) }, nil},
		{"far-domain-dies", func(w *network) { w.killDomain("w0") }, nil},
		{"split", func(w *network) { w.partitionRegions() }, func(w *network) { w.run(30 * time.Second); w.healPartitions() }},
		{"outage", func(w *network) { w.log.outage = true }, func(w *network) { w.run(30 * time.Second); w.log.endOutage() }},
	}
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			var all []time.Duration
			for b.Loop() {
				all = nil
				for seed := range uint64(5) {
					w := idleNetwork(b, 20+seed, 100)
					f.run(w)
					all = append(all, faultTimes(b, w, f.heal)...)
				}
			}
			slices.Sort(all)
			reportTimes(b, all)
		})
	}
}

// faultTimes appends a change, ends the fault if heal is not nil, and returns the times of all live nodes since the
// later of the two.
func faultTimes(b *testing.B, w *network, heal func(w *network)) []time.Duration {
	s := newPropagation(w)
	for i := range s.delays {
		s.delays[i] = -1
	}
	s.startedAt, s.version = w.now, record.Version(w.log.end()+1)
	appendChangeSet(b, w, testChange(5000, w.newestVersion()))
	if heal != nil {
		heal(w)
		s.startedAt = w.now
	}
	var times []time.Duration
	if !w.runUntil(30*time.Second, w.converged) {
		b.Fatal("not converged within 30 s: " + w.describe())
	}
	for i, n := range w.nodes {
		if !n.down {
			times = append(times, max(s.delays[i], 0))
		}
	}
	return times
}

func (w *network) resumeAll() {
	w.run(5 * time.Second)
	for _, n := range w.nodes {
		if n.paused {
			n.resume()
		}
	}
}

func (w *network) killDomain(domain member.FailureDomain) {
	for _, n := range w.nodes {
		if n.place.FailureDomain() == domain {
			n.kill()
		}
	}
}

func (w *network) partitionRegions() {
	w.blocked = func(a, b *testNode) bool { return a.place.Region() != b.place.Region() }
	w.log.blocked = func(n *testNode) bool { return n.place.Region() != logRegion }
}

func (w *network) healPartitions() {
	w.blocked = func(_, _ *testNode) bool { return false }
	w.log.unblock()
}
