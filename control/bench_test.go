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

// stopwatch notes when each node has a version in force.
type stopwatch struct {
	net     *network
	begin   time.Time
	version record.Version
	arrived []time.Duration // per node, -1 before
}

func newStopwatch(w *network) *stopwatch {
	s := &stopwatch{net: w, arrived: make([]time.Duration, len(w.nodes))}
	w.observe = s.note
	return s
}

func (s *stopwatch) note(n *testNode) {
	if s.version > 0 && s.arrived[n.index] < 0 && n.core.Snapshot().Config().Version() >= s.version {
		s.arrived[n.index] = s.net.now.Sub(s.begin)
	}
}

// change appends one change to the log and lets time pass until all nodes have it.
func (s *stopwatch) change(b testing.TB, i int) int {
	return s.put(b, testChange(i+1000, s.net.version()))
}

func (s *stopwatch) put(b testing.TB, cs record.ChangeSet) int {
	data, err := codec.EncodeChange(cs)
	if err != nil {
		b.Fatal(err)
	}
	for j := range s.arrived {
		s.arrived[j] = -1
	}
	s.begin = s.net.now
	s.version = record.Version(s.net.log.next() + 1)
	s.net.log.put(message.StreamConfig, data)
	done := func() bool {
		for i, d := range s.arrived {
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

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]) / float64(time.Millisecond)
}

func (w *network) total() (sent, received traffic) {
	for _, n := range w.nodes {
		sent.messages += n.sent.messages
		sent.bytes += n.sent.bytes
		received.bytes += n.received.bytes
	}
	return sent, received
}

func settledNetwork(b testing.TB, seed uint64, n int) *network {
	w := newTestNetwork(seed, n)
	fillLog(b, w, 250)
	w.start(2 * time.Second)
	if !w.runUntil(60*time.Second, w.allJoined) {
		b.Fatal("not all nodes joined within 60 s")
	}
	w.run(20 * time.Second)
	return w
}

// BenchmarkChange measures the time from the append of a change until it is in force on a node, over
// all nodes and changes, and the bytes that a change costs.
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
	b.ReportMetric(quantile(sorted, 0.5), "ms-median")
	b.ReportMetric(quantile(sorted, 0.99), "ms-p99")
	b.ReportMetric(quantile(sorted, 1), "ms-max")
}

func benchmarkChange(b *testing.B, n int) {
	const changes = 20
	w := settledNetwork(b, 1, n)
	s := newStopwatch(w)
	var all []time.Duration
	delta := 0
	s.change(b, changes)
	w.run(5 * time.Second)
	rest := restBytes(w, 20*time.Second)
	far := w.farRelay.bytes
	sent, _ := w.total()
	start := w.now
	for i := range changes {
		delta += s.change(b, i)
		all = append(all, s.arrived...)
		w.run(time.Duration(w.rnd.Int64N(int64(4 * time.Second))))
	}
	w.run(3 * time.Second)
	seconds := w.now.Sub(start).Seconds()
	after, _ := w.total()
	slices.Sort(all)
	reportTimes(b, all)
	b.ReportMetric(heapBytes()/float64(n)/1024, "KiB-heap/node")
	b.ReportMetric(rest.cpu, "µs/s/node-rest")
	b.ReportMetric(rest.node, "B/s/node-rest")
	b.ReportMetric(rest.most, "B/s/node-rest-max")
	b.ReportMetric(rest.far, "B/s-far-rest")
	b.ReportMetric(rest.farRelay, "B/s-far-relay-rest")
	b.ReportMetric(float64(delta)/changes, "B-delta")
	b.ReportMetric((float64(w.farRelay.bytes-far)-rest.farRelay*seconds)/changes, "B-far/change")
	b.ReportMetric((float64(after.bytes-sent.bytes)-rest.node*seconds*float64(n))/changes/float64(n), "B/change/node")
}

// heapBytes returns the bytes in use after a collection, the simulated network's own included.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

type restRates struct{ node, most, far, farRelay, cpu float64 }

// restBytes returns the bytes per second that nodes send, on average and at most, and those between
// the regions, without any change.
func restBytes(w *network, d time.Duration) restRates {
	before := make([]int, len(w.nodes))
	for i, n := range w.nodes {
		before[i] = n.sent.bytes + n.received.bytes
	}
	far, farRelay := w.far.bytes, w.farRelay.bytes
	sent, _ := w.total()
	w.clock, w.busy = timer.New(), 0
	w.run(d)
	busy := w.busy
	w.clock = nil
	most := 0
	for i, n := range w.nodes {
		most = max(most, n.sent.bytes+n.received.bytes-before[i])
	}
	after, _ := w.total()
	return restRates{
		node: float64(after.bytes-sent.bytes) / float64(len(w.nodes)) / d.Seconds(),
		cpu:  float64(busy/time.Microsecond) / float64(len(w.nodes)) / d.Seconds(),
		most: float64(most) / d.Seconds(), far: float64(w.far.bytes-far) / d.Seconds(), farRelay: float64(w.farRelay.bytes-farRelay) / d.Seconds(),
	}
}

// BenchmarkCrossing measures what a change of some records costs on the link between the regions.
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
	w := settledNetwork(b, 2, 40)
	s := newStopwatch(w)
	before := w.farRelay
	start := w.now
	delta, gross := 0, 0
	for i := range changes {
		far := w.farRelay.bytes
		var puts []record.Record
		for j := range records {
			name := fmt.Sprintf("route-%d-%d", i, j)
			puts = append(puts, record.NewRoute(name, "/"+name, "service-a", true))
		}
		delta += s.put(b, record.NewChangeSet(testPublish(2000+i), "operator", w.version(), puts, nil))
		w.run(500 * time.Millisecond)
		gross += w.farRelay.bytes - far
		w.run(8*time.Second + time.Duration(w.rnd.Int64N(int64(4*time.Second))))
	}
	passed := w.now.Sub(start)
	bytes := w.farRelay.bytes - before.bytes
	rest := restBytes(w, 20*time.Second)
	far := (float64(bytes) - rest.farRelay*passed.Seconds()) / changes
	b.ReportMetric(float64(delta)/changes, "B-delta")
	b.ReportMetric(float64(gross)/changes, "B-far/gross")
	b.ReportMetric(far, "B-far/change")
	b.ReportMetric(far/(float64(delta)/changes), "times-delta")
}

// version returns the newest version that a live node holds, as the base of a change.
func (w *network) version() record.Version {
	newest := record.Version(0)
	for _, n := range w.nodes {
		if !n.down {
			newest = max(newest, n.core.Snapshot().Config().Version())
		}
	}
	return newest
}
