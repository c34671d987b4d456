package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
	"github.com/bambooknot/bambooknot/timer"
	"github.com/bambooknot/bambooknot/wire"
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

// pollBytes is what one read of the log costs over HTTP, both ways: 180 bytes of request, 160 of
// response header, 3 segments.
const pollBytes = 180 + 160 + 3*tcpHeader

// benchmarkPoll models the baseline in which every node reads the log once a second.
func benchmarkPoll(b *testing.B, n int) {
	const changes = 20
	const period = time.Second
	w := newTestNetwork(1, n)
	entry, err := codec.EncodeChange(testChange(1, 0))
	if err != nil {
		b.Fatal(err)
	}
	var all []time.Duration
	far := 0
	for range changes {
		for _, node := range w.nodes {
			wait := time.Duration(w.rnd.Int64N(int64(period)))
			all = append(all, wait+w.log.delay(node))
			if node.place.Region() != logRegion {
				far++
			}
		}
	}
	slices.Sort(all)
	reportTimes(b, all)
	b.ReportMetric(pollBytes, "B/s/node-rest")
	b.ReportMetric(float64(far)/changes*pollBytes, "B/s-far-rest")
	b.ReportMetric(float64(far)/changes*float64(len(entry)), "B-far/change")
	b.ReportMetric(float64(len(entry)), "B/change/node")
	b.ReportMetric(float64(n), "log-reads/s")
}

// benchmarkState models the baseline in which the log reader pushes the whole state down the same tree,
// over a stream per hop, which needs a round trip to open.
func benchmarkState(b *testing.B, n int) {
	state := catalog.New()
	w := newTestNetwork(1, n)
	w.log.appended = func(e record.Entry) { _, _ = state.Apply(e) }
	fillLog(b, w, 250)
	data, err := state.Checkpoint()
	if err != nil {
		b.Fatal(err)
	}
	size := frameBytes(len(data) + wire.MaxDatagram)
	hops := treeDepth(n/2, relay.Defaults().Fanout)
	b.ReportMetric(float64((2*nearDelay+3*farDelay+time.Duration(3*hops)*nearDelay)/time.Millisecond), "ms-max")
	b.ReportMetric(float64(len(data)), "B-state")
	b.ReportMetric(float64(size), "B-far/change")
	b.ReportMetric(float64(size), "B/change/node")
}

func treeDepth(nodes, fanout int) int {
	depth := 0
	for reach := 1; reach < nodes; reach = reach*fanout + 1 {
		depth++
	}
	return depth
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
	b.ReportMetric(rest.cpu, "µs/s/node-rest")
	b.ReportMetric(rest.node, "B/s/node-rest")
	b.ReportMetric(rest.most, "B/s/node-rest-max")
	b.ReportMetric(rest.far, "B/s-far-rest")
	b.ReportMetric(rest.farRelay, "B/s-far-relay-rest")
	b.ReportMetric(float64(delta)/changes, "B-delta")
	b.ReportMetric((float64(w.farRelay.bytes-far)-rest.farRelay*seconds)/changes, "B-far/change")
	b.ReportMetric((float64(after.bytes-sent.bytes)-rest.node*seconds*float64(n))/changes/float64(n), "B/change/node")
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
	const changes = 10
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
		w.run(10 * time.Second)
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

// BenchmarkFault measures the time until a change is in force on all nodes that live when it meets a
// fault, or after the fault's end.
func BenchmarkFault(b *testing.B) {
	faults := []struct {
		name string
		run  func(w *network) // before the change
		heal func(w *network) // after it, or nil
	}{
		{"reader-dies", func(w *network) { w.reader().kill() }, nil},
		{"reader-paused", func(w *network) { w.reader().pause() }, func(w *network) { w.resumeAll() }},
		{"loss=0.05", func(w *network) { w.loss = 0.05 }, nil},
		{"loss=0.2", func(w *network) { w.loss = 0.2 }, nil},
		{"domain-dies", func(w *network) { w.killDomain(w.reader().place.FailureDomain()) }, nil},
		{"far-domain-dies", func(w *network) { w.killDomain("w0") }, nil},
		{"split", func(w *network) { w.split() }, func(w *network) { w.run(30 * time.Second); w.mend() }},
		{"outage", func(w *network) { w.log.outage = true }, func(w *network) { w.run(30 * time.Second); w.log.up() }},
	}
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			var all []time.Duration
			for b.Loop() {
				all = nil
				for seed := range uint64(5) {
					w := settledNetwork(b, 20+seed, 100)
					f.run(w)
					all = append(all, faultTimes(b, w, f.heal)...)
				}
			}
			slices.Sort(all)
			reportTimes(b, all)
		})
	}
}

// faultTimes appends a change, heals, and returns the times from the later of the two.
func faultTimes(b *testing.B, w *network, heal func(w *network)) []time.Duration {
	s := newStopwatch(w)
	for i := range s.arrived {
		s.arrived[i] = -1
	}
	s.begin, s.version = w.now, record.Version(w.log.next()+1)
	putChange(b, w, testChange(5000, w.version()))
	if heal != nil {
		heal(w)
		s.begin = w.now
	}
	var times []time.Duration
	if !w.runUntil(30*time.Second, w.settled) {
		b.Fatal("not settled within 30 s: " + w.describe())
	}
	for i, n := range w.nodes {
		if !n.down {
			times = append(times, max(s.arrived[i], 0))
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

func (w *network) split() {
	w.cut = func(a, b *testNode) bool { return a.place.Region() != b.place.Region() }
	w.log.cut = func(n *testNode) bool { return n.place.Region() != logRegion }
}

func (w *network) mend() {
	w.cut = func(_, _ *testNode) bool { return false }
	w.log.reconnect()
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
