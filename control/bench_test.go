package control

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

// propagation measures how long after its append a version is in force on each node.
type propagation struct {
	net       *network
	startedAt time.Time
	version   record.Version
	delays    []time.Duration // per node, -1 while the version is not in force
}

func newPropagation(w *network) *propagation {
	s := &propagation{net: w, delays: make([]time.Duration, len(w.nodes))}
	w.onEvent = s.observe
	return s
}

func (s *propagation) observe(n *testNode) {
	if s.version > 0 && s.delays[n.index] < 0 && n.core.Snapshot().Config().Version() >= s.version {
		s.delays[n.index] = s.net.now.Sub(s.startedAt)
	}
}

// measureChange measures one small change. It returns the size of the entry.
func (s *propagation) measureChange(b testing.TB, i int) int {
	return s.measure(b, testChange(i+1000, s.net.newestVersion()))
}

// measure appends a change set to the log and runs until all live nodes have it in force. It returns the size of the
// entry.
func (s *propagation) measure(b testing.TB, cs record.ChangeSet) int {
	data, err := codec.EncodeChange(cs)
	if err != nil {
		b.Fatal(err)
	}
	for j := range s.delays {
		s.delays[j] = -1
	}
	s.startedAt = s.net.now
	s.version = record.Version(s.net.log.end() + 1)
	s.net.log.appendEntry(message.StreamConfig, data)
	done := func() bool {
		for i, d := range s.delays {
			if d < 0 && !s.net.nodes[i].down {
				return false
			}
		}
		return true
	}
	if !s.net.runUntil(30*time.Second, done) {
		b.Fatal("a change did not reach all nodes within 30 s")
	}
	return len(data)
}

// quantileMillis returns a quantile of sorted durations in milliseconds.
func quantileMillis(sorted []time.Duration, q float64) float64 {
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]) / float64(time.Millisecond)
}

func (w *network) totalTraffic() (sent, received traffic) {
	for _, n := range w.nodes {
		sent.messages += n.sent.messages
		sent.bytes += n.sent.bytes
		received.bytes += n.received.bytes
	}
	return sent, received
}

// idleNetwork returns a network whose nodes have all joined and in which no change is under way.
func idleNetwork(b testing.TB, seed uint64, n int) *network {
	w := newTestNetwork(seed, n)
	appendChanges(b, w, 250)
	w.start(2 * time.Second)
	if !w.runUntil(60*time.Second, w.allJoined) {
		b.Fatal("not all nodes joined within 60 s")
	}
	w.run(20 * time.Second)
	return w
}

// BenchmarkChange measures the time from the append of a change until it is in force on a node, over all nodes and
// changes, and the traffic of a change.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{12, 100, 580} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkChange(b, n)
			}
		})
		b.Run(fmt.Sprintf("nodes=%d/baseline=poll", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkPoll(b, n)
			}
		})
		b.Run(fmt.Sprintf("nodes=%d/baseline=state", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkState(b, n)
			}
		})
	}
}

func reportTimes(b *testing.B, sorted []time.Duration) {
	b.ReportMetric(quantileMillis(sorted, 0.5), "ms-median")
	b.ReportMetric(quantileMillis(sorted, 0.99), "ms-p99")
	b.ReportMetric(quantileMillis(sorted, 1), "ms-max")
}

func benchmarkChange(b *testing.B, n int) {
	const changes = 20
	w := idleNetwork(b, 1, n)
	s := newPropagation(w)
	var all []time.Duration
	delta := 0
	s.measureChange(b, changes)
	w.run(5 * time.Second)
	idle := measureIdle(w, 20*time.Second)
	crossRegionRelay := w.crossRegionRelay.bytes
	sent, _ := w.totalTraffic()
	start := w.now
	for i := range changes {
		delta += s.measureChange(b, i)
		all = append(all, s.delays...)
		w.run(time.Duration(w.rnd.Int64N(int64(4 * time.Second))))
	}
	w.run(3 * time.Second)
	seconds := w.now.Sub(start).Seconds()
	after, _ := w.totalTraffic()
	slices.Sort(all)
	reportTimes(b, all)
	b.ReportMetric(heapBytes()/float64(n)/1024, "KiB-heap/node")
	b.ReportMetric(idle.cpu, "µs/s/node-rest")
	b.ReportMetric(idle.perNode, "B/s/node-rest")
	b.ReportMetric(idle.maxPerNode, "B/s/node-rest-max")
	b.ReportMetric(idle.crossRegion, "B/s-far-rest")
	b.ReportMetric(idle.crossRegionRelay, "B/s-far-relay-rest")
	b.ReportMetric(float64(delta)/changes, "B-delta")
	b.ReportMetric((float64(w.crossRegionRelay.bytes-crossRegionRelay)-idle.crossRegionRelay*seconds)/changes, "B-far/change")
	b.ReportMetric((float64(after.bytes-sent.bytes)-idle.perNode*seconds*float64(n))/changes/float64(n), "B/change/node")
}

// heapBytes returns the heap in use after a garbage collection, including that of the simulated network.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// idleRates are bytes per second, and for cpu microseconds of CPU time per second and node, while nothing changes.
type idleRates struct{ perNode, maxPerNode, crossRegion, crossRegionRelay, cpu float64 }

// measureIdle runs the network without changes for d. perNode is what a node sends on average, maxPerNode what the
// busiest node sends and receives, and crossRegion what crosses between the regions.
func measureIdle(w *network, d time.Duration) idleRates {
	before := make([]int, len(w.nodes))
	for i, n := range w.nodes {
		before[i] = n.sent.bytes + n.received.bytes
	}
	crossRegion, crossRegionRelay := w.crossRegion.bytes, w.crossRegionRelay.bytes
	sent, _ := w.totalTraffic()
	w.clock, w.coreTime = timer.New(), 0
	w.run(d)
	coreTime := w.coreTime
	w.clock = nil
	most := 0
	for i, n := range w.nodes {
		most = max(most, n.sent.bytes+n.received.bytes-before[i])
	}
	after, _ := w.totalTraffic()
	return idleRates{
		perNode:    float64(after.bytes-sent.bytes) / float64(len(w.nodes)) / d.Seconds(),
		cpu:        float64(coreTime/time.Microsecond) / float64(len(w.nodes)) / d.Seconds(),
		maxPerNode: float64(most) / d.Seconds(), crossRegion: float64(w.crossRegion.bytes-crossRegion) / d.Seconds(), crossRegionRelay: float64(w.crossRegionRelay.bytes-crossRegionRelay) / d.Seconds(),
	}
}

// BenchmarkCrossing measures the traffic between the regions of a change of several records.
func BenchmarkCrossing(b *testing.B) {
	for _, records := range []int{1, 2, 10, 50} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			for b.Loop() {
				benchmarkCrossing(b, records)
			}
		})
	}
}

func benchmarkCrossing(b *testing.B, records int) {
	const changes = 40
	w := idleNetwork(b, 2, 40)
	s := newPropagation(w)
	before := w.crossRegionRelay
	start := w.now
	delta, gross := 0, 0
	for i := range changes {
		startBytes := w.crossRegionRelay.bytes
		var puts []record.Record
		for j := range records {
			name := fmt.Sprintf("route-%d-%d", i, j)
			puts = append(puts, record.NewRoute(name, "/"+name, "service-a", true))
		}
		delta += s.measure(b, record.NewChangeSet(testPublish(2000+i), "operator", w.newestVersion(), puts, nil))
		w.run(500 * time.Millisecond)
		gross += w.crossRegionRelay.bytes - startBytes
		w.run(8*time.Second + time.Duration(w.rnd.Int64N(int64(4*time.Second))))
	}
	elapsed := w.now.Sub(start)
	bytes := w.crossRegionRelay.bytes - before.bytes
	idle := measureIdle(w, 20*time.Second)
	bytesPerChange := (float64(bytes) - idle.crossRegionRelay*elapsed.Seconds()) / changes
	b.ReportMetric(float64(delta)/changes, "B-delta")
	b.ReportMetric(float64(gross)/changes, "B-far/gross")
	b.ReportMetric(bytesPerChange, "B-far/change")
	b.ReportMetric(bytesPerChange/(float64(delta)/changes), "times-delta")
}

// newestVersion returns the newest version that a live node holds. Changes are based on it.
func (w *network) newestVersion() record.Version {
	newest := record.Version(0)
	for _, n := range w.nodes {
		if !n.down {
			newest = max(newest, n.core.Snapshot().Config().Version())
		}
	}
	return newest
}
