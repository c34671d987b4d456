package control

import (
	"slices"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// massRestart measures the effect of nodes that restart at the same time.
type massRestart struct {
	net           *network
	joinTimes     []time.Duration // time from the restart until each restarted node joined
	maxReadRate   int             // maximum reads of the configuration stream in a second
	maxSendRate   int             // maximum bytes sent by one node in a second
	receivedBytes int             // bytes received by all nodes
}

// appendChanges appends changes directly to the log. They edit a small configuration many times.
func appendChanges(t testing.TB, w *network, changes int) {
	for i := range changes {
		appendChange(t, w, i)
	}
}

func appendChange(t testing.TB, w *network, i int) {
	name := "service-" + string(rune('a'+i%16))
	path := string(rune('a' + i%13))
	appendChangeSet(t, w, record.NewChangeSet(testPublish(i), "operator", record.Version(w.log.end()), []record.Record{
		record.NewService(record.Schema1, name, i+1),
		record.NewRoute(name+"-"+path, "/"+name+"/"+path, name, true),
	}, nil))
}

func appendChangeSet(t testing.TB, w *network, cs record.ChangeSet) {
	data, err := codec.EncodeChange(cs)
	if err != nil {
		t.Fatal(err)
	}
	w.log.appendEntry(message.StreamConfig, data)
}

// restart restarts nodes within one TickPeriod and runs until all have joined or limit has passed. It reports whether
// all have joined.
func (h *massRestart) restart(nodes []*testNode, limit time.Duration) bool {
	w := h.net
	for _, n := range nodes {
		n.kill()
		w.after(time.Duration(w.rnd.Int64N(int64(TickPeriod))), n.start)
	}
	begin := w.now
	pending := slices.Clone(nodes)
	for w.now.Sub(begin) < limit && len(pending) > 0 {
		h.runSecond(&pending, begin)
	}
	return len(pending) == 0
}

// runSecond runs for a second, removes the nodes that joined from pending and updates the measurements.
func (h *massRestart) runSecond(pending *[]*testNode, begin time.Time) {
	w := h.net
	reads := w.log.configReads
	sent := make([]int, len(w.nodes))
	for i, n := range w.nodes {
		sent[i] = n.sent.bytes
		h.receivedBytes -= n.received.bytes
	}
	for range 10 {
		w.run(100 * time.Millisecond)
		*pending = slices.DeleteFunc(*pending, func(n *testNode) bool {
			if n.down || !n.core.Joined() {
				return false
			}
			h.joinTimes = append(h.joinTimes, w.now.Sub(begin))
			return true
		})
	}
	h.maxReadRate = max(h.maxReadRate, w.log.configReads-reads)
	for i, n := range w.nodes {
		h.maxSendRate = max(h.maxSendRate, n.sent.bytes-sent[i])
		h.receivedBytes += n.received.bytes
	}
}

func (h *massRestart) report(b *testing.B) {
	slices.Sort(h.joinTimes)
	b.ReportMetric(float64(len(h.joinTimes)), "joined")
	if len(h.joinTimes) > 0 {
		b.ReportMetric(quantileMillis(h.joinTimes, 0.5)/1000, "s-median")
		b.ReportMetric(quantileMillis(h.joinTimes, 0.99)/1000, "s-p99")
		b.ReportMetric(quantileMillis(h.joinTimes, 1)/1000, "s-max")
	}
	b.ReportMetric(float64(h.maxReadRate), "log-reads/s-max")
	b.ReportMetric(float64(h.maxSendRate), "B/s-sent-max")
	b.ReportMetric(float64(h.receivedBytes)/float64(len(h.net.nodes)), "B-received/node")
}

const rejoinNodes = 580

func rejoinNetwork(b *testing.B) *network {
	w := newTestNetwork(7, rejoinNodes)
	appendChanges(b, w, 400)
	w.start(2 * time.Second)
	if !w.runUntil(60*time.Second, w.allJoined) {
		b.Fatal("not all nodes joined within 60 s")
	}
	w.run(10 * time.Second)
	return w
}

// BenchmarkRejoin measures how nodes of a fleet of 580 rejoin after a simultaneous restart: all of them with the log up,
// 560 of them during an outage of the log, and all of them after an outage of the log during which they restarted.
func BenchmarkRejoin(b *testing.B) {
	b.Run("log=up", func(b *testing.B) {
		for b.Loop() {
			h := &massRestart{net: rejoinNetwork(b)}
			h.restart(h.net.nodes, 60*time.Second)
			h.report(b)
		}
	})
	b.Run("log=down", func(b *testing.B) {
		for b.Loop() {
			h := &massRestart{net: rejoinNetwork(b)}
			h.net.log.outage = true
			h.net.run(15 * time.Second)
			h.restart(h.net.nodes[20:], 120*time.Second)
			h.report(b)
		}
	})
	b.Run("log=down-no-survivor", func(b *testing.B) {
		for b.Loop() {
			h := &massRestart{net: rejoinNetwork(b)}
			h.net.log.outage = true
			if h.restart(h.net.nodes, 40*time.Second) {
				b.Fatal("nodes joined although no node held the state and the log was down")
			}
			h.net.log.endOutage()
			pending := slices.Clone(h.net.nodes)
			for begin := h.net.now; h.net.now.Sub(begin) < 60*time.Second && len(pending) > 0; {
				h.runSecond(&pending, begin)
			}
			h.report(b)
		}
	})
}
