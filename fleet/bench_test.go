package fleet

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

var sizes = []int{12, 100, 580}

// reportDurations reports the median, the 99th percentile and the maximum of the durations in seconds.
func reportDurations(b *testing.B, all []time.Duration) {
	slices.Sort(all)
	at := func(share float64) float64 { return all[int(share*float64(len(all)-1))].Seconds() }
	b.ReportMetric(at(0.5), "s-median")
	b.ReportMetric(at(0.99), "s-99th")
	b.ReportMetric(at(1), "s-max")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkAtRest(b *testing.B) {
	const span = 60 * time.Second
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				w := newPreformedNetwork(b, 1, size)
				for i, n := range w.nodes {
					n.m.SetDigest(message.NewDigest(record.Version(i), record.Offset(1<<20), 1<<60))
				}
				w.run(30 * time.Second)
				w.resetBytes()
				b.ResetTimer()
				w.run(span)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(size)/span.Seconds(), "ns/node/s")
				total, most := 0, 0
				for _, n := range w.nodes {
					total += n.sent + n.received
					most = max(most, n.sent+n.received)
				}
				b.ReportMetric(float64(most)/span.Seconds(), "B-most/s")
				b.ReportMetric(float64(total)/float64(size)/span.Seconds(), "B/node/s")
				b.ReportMetric(float64(w.crossRegionBytes)/span.Seconds(), "cross-B/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func BenchmarkCrash(b *testing.B) {
	const trials = 20
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var all []time.Duration
			w := newFormedNetwork(b, 2, size, nil)
			for range b.N * trials {
				w.run(10 * time.Second)
				i := w.rnd.IntN(size)
				all = append(all, w.crash(w.nodes[i], 0)...)
				w.startNode(i, 0)
				w.run(time.Second)
				w.runUntil(time.Minute, w.converged)
			}
			reportDurations(b, all)
		})
	}
}

func BenchmarkDrain(b *testing.B) {
	const trials = 20
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var all []time.Duration
			w := newFormedNetwork(b, 3, size, nil)
			for i := range b.N * trials {
				w.run(10 * time.Second)
				state := []member.ServerState{member.ServerDraining, member.ServerReady}[i%2]
				all = append(all, w.setServerState(w.nodes[w.rnd.IntN(size)], state)...)
			}
			reportDurations(b, all)
		})
	}
}

func BenchmarkRejoin(b *testing.B) {
	for _, size := range sizes {
		for _, down := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/logdown=%v", size, down), func(b *testing.B) {
				for seed := range b.N {
					w := newNetwork(b, uint64(seed))
					w.logDown = down
					if down {
						w.settings.Hints = hints()
					}
					for i := range size {
						w.startNode(i, time.Duration(w.rnd.Int64N(int64(time.Second))))
					}
					w.run(time.Second)
					took := w.runUntil(2*time.Minute, w.converged)
					most := 0
					for _, n := range w.nodes {
						most = max(most, n.sent+n.received)
					}
					b.ReportMetric(took.Seconds(), "s")
					b.ReportMetric(float64(most), "B-most")
					b.ReportMetric(float64(w.crossRegionBytes), "cross-B")
					b.ReportMetric(float64(w.appends), "appends")
					b.ReportMetric(float64(w.reads), "reads")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newPreformedNetwork(b, 4, size)
			w.run(10 * time.Second)
			n := w.nodes[0]
			b.ResetTimer()
			for range b.N {
				w.now = w.now.Add(tickPeriod)
				n.m.lastReceiveAt = w.now
				n.m.completeProbe()
				n.m.Tick(w.now)
			}
		})
	}
}

func BenchmarkReceivePing(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newPreformedNetwork(b, 4, size)
			w.run(10 * time.Second)
			n, from := w.nodes[0], w.nodes[5]
			env := message.NewEnvelope(from.m.Self().Key(), message.NewPing(1, from.m.summary(), nil))
			b.ResetTimer()
			for range b.N {
				n.m.Receive(w.now, env)
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			members := sampleMembers(size)
			var before, after runtime.MemStats
			const copies = 50
			runtime.GC()
			runtime.ReadMemStats(&before)
			var kept []*Machine
			for range copies {
				m := New(members[0], Settings{}, rand.New(rand.NewPCG(1, 1)))
				m.advance(time.Unix(1, 0))
				m.mergeClaims(members[1].Key(), members[1:])
				m.View()
				kept = append(kept, m)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/copies, "B/node")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func sampleMembers(n int) []member.Member {
	var all []member.Member
	for i := range n {
		server := member.NewServer(fmt.Sprintf("service-%d", i%16), member.ServerReady, 64)
		all = append(all, member.New(member.NewKey(peerOf(i), 1), placeOf(i), 2).WithServer(server))
	}
	return all
}
