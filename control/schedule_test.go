package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
)

// convergenceLimit is the time after the end of all faults within which all nodes must hold the same state.
const convergenceLimit = 14 * time.Second

// schedule draws faults and publishes for a network and executes them.
type schedule struct {
	t          *rapid.T
	net        *network
	invariants *invariants
	published  int
	trace      []string
	after      func(n *testNode)
}

func testRelaySettings() relay.Settings {
	s := relay.Defaults()
	s.EntriesPerCheckpoint = 10
	s.MaxWindowEntries = 12
	return s
}

func (s *schedule) record(format string, args ...any) {
	s.trace = append(s.trace, s.net.now.Sub(testEpoch).String()+" "+fmt.Sprintf(format, args...))
}

// step is a kind of step of a schedule.
type step struct {
	name string
	run  func(s *schedule)
}

var steps = []step{
	{"kill", (*schedule).kill},
	{"restart", (*schedule).restart},
	{"pause", (*schedule).pause},
	{"resume", (*schedule).resume},
	{"cut", (*schedule).blockOneWay},
	{"split", (*schedule).partitionRegions},
	{"heal-partitions", (*schedule).healPartitions},
	{"disturb", (*schedule).disturbNetwork},
	{"outage", (*schedule).startOutage},
	{"end-outage", (*schedule).endOutage},
	{"ack-loss", (*schedule).setAckLoss},
	{"refuse", (*schedule).toggleRefusal},
	{"trim", (*schedule).trimLog},
	{"slow", (*schedule).setReadDelay},
	{"isolate", (*schedule).isolate},
	{"publish-concurrently", (*schedule).publishConcurrently},
	{"publish", (*schedule).publish},
	{"publish", (*schedule).publish},
	{"publish", (*schedule).publish},
}

func (s *schedule) drawNode() *testNode {
	return s.net.nodes[rapid.IntRange(0, len(s.net.nodes)-1).Draw(s.t, "node")]
}

func (s *schedule) kill() {
	n := s.drawNode()
	s.record("kill %d", n.index)
	n.kill()
}

func (s *schedule) restart() {
	n := s.drawNode()
	s.record("restart %d", n.index)
	n.kill()
	n.start()
}

func (s *schedule) pause() {
	n := s.drawNode()
	s.record("pause %d", n.index)
	n.pause()
}

func (s *schedule) resume() {
	n := s.drawNode()
	s.record("resume %d", n.index)
	n.resume()
}

func (s *schedule) blockOneWay() {
	from, to := s.drawNode(), s.drawNode()
	old := s.net.blocked
	s.record("block %d to %d", from.index, to.index)
	s.net.blocked = func(a, b *testNode) bool { return a == from && b == to || old(a, b) }
}

func (s *schedule) partitionRegions() {
	s.record("split")
	s.net.blocked = func(a, b *testNode) bool { return a.place.Region() != b.place.Region() }
	if rapid.Bool().Draw(s.t, "log too") {
		s.net.log.someBlocked = true
		s.net.log.blocked = func(n *testNode) bool { return n.place.Region() != logRegion }
	}
}

func (s *schedule) healPartitions() {
	s.record("heal partitions")
	s.net.blocked = func(_, _ *testNode) bool { return false }
	s.net.log.unblock()
}

func (s *schedule) disturbNetwork() {
	s.net.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(s.t, "loss")
	s.net.duplicationRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(s.t, "duplicate")
	s.net.jitter = rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}).Draw(s.t, "jitter")
	s.record("loss %v duplicates %v jitter %v", s.net.lossRate, s.net.duplicationRate, s.net.jitter)
}

func (s *schedule) startOutage() {
	s.record("outage")
	s.net.log.outage = true
}

func (s *schedule) endOutage() {
	s.record("end outage")
	s.net.log.endOutage()
}

func (s *schedule) setAckLoss() {
	s.net.log.ackLossRate = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(s.t, "ack loss rate")
	s.record("ack loss rate %v", s.net.log.ackLossRate)
}

func (s *schedule) toggleRefusal() {
	s.net.log.refuseAppends = !s.net.log.refuseAppends
	s.record("refuse appends %v", s.net.log.refuseAppends)
}

func (s *schedule) setReadDelay() {
	s.net.log.setReadDelay(rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second}).Draw(s.t, "slow"))
	s.record("read delay %v", s.net.log.readDelay)
}

func (s *schedule) isolate() {
	n := s.drawNode()
	old := s.net.blocked
	s.record("isolate %d", n.index)
	s.net.blocked = func(a, b *testNode) bool { return a == n || b == n || old(a, b) }
}

// trimLog drops the entries that the newest checkpoint covers, as a log does whose retention exceeds the checkpoint
// interval.
func (s *schedule) trimLog() {
	s.record("trim")
	s.net.log.trimCovered()
}

func (s *schedule) change(n *testNode, key int) record.ChangeSet {
	s.published++
	name := fmt.Sprintf("service-%d", key)
	return record.NewChangeSet(testPublish(s.published), "operator", n.core.Snapshot().Config().Version(), []record.Record{
		record.NewService(record.Schema1, name, s.published),
		record.NewRoute(name, "/"+name, name, s.published%2 == 0),
	}, nil)
}

func (s *schedule) publish() {
	n := s.drawNode()
	if n.down || n.paused {
		return
	}
	cs := s.change(n, rapid.IntRange(0, 3).Draw(s.t, "key"))
	s.record("publish %d at %d", s.published, n.index)
	s.invariants.publish(n, cs)
	if rapid.IntRange(0, 3).Draw(s.t, "again") == 0 {
		s.invariants.publish(n, cs)
	}
}

func (s *schedule) publishConcurrently() {
	a, b := s.drawNode(), s.drawNode()
	for _, n := range []*testNode{a, b} {
		if !n.down && !n.paused {
			s.record("publish concurrently at %d", n.index)
			s.invariants.publish(n, s.change(n, 0))
		}
	}
}

// heal ends all faults and starts or resumes all nodes.
func (s *schedule) heal() {
	s.record("heal")
	s.healPartitions()
	s.net.lossRate, s.net.duplicationRate, s.net.jitter = 0, 0, 0
	s.net.log.endOutage()
	s.net.log.refuseAppends, s.net.log.ackLossRate = false, 0
	s.net.log.setReadDelay(0)
	for _, n := range s.net.nodes {
		if n.down {
			n.start()
		}
		if n.paused {
			n.resume()
		}
	}
}

// stepsNamed returns the steps with the names, or all if names is nil.
func stepsNamed(names []string) []step {
	if names == nil {
		return steps
	}
	return slices.DeleteFunc(slices.Clone(steps), func(s step) bool { return !slices.Contains(names, s.name) })
}

// runSchedule runs one schedule. It returns the first violation of an invariant, or "", and the trace of the steps.
func runSchedule(t *rapid.T, nodes int, breakRule func(*Core), stepNames []string) (string, []string) {
	w := newTestNetwork(rapid.Uint64().Draw(t, "seed"), nodes)
	w.relaySettings = testRelaySettings()
	w.breakRule = breakRule
	s := &schedule{t: t, net: w, invariants: newInvariants(w)}
	w.start(time.Second)
	w.run(12 * time.Second)
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		rapid.SampledFrom(stepsNamed(stepNames)).Draw(t, "step").run(s)
		w.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		if s.invariants.violation != "" {
			return s.invariants.violation, s.trace
		}
	}
	s.heal()
	healedAt := w.now
	ok := w.runUntil(convergenceLimit, func() bool { return w.converged() && w.allJoined() })
	s.record("converged %v after %s", ok, w.now.Sub(healedAt))
	w.run(DefaultPublishTimeout)
	s.invariants.checkReceipts()
	if s.invariants.violation == "" && !ok {
		return "not equal within the bound after the heal: " + w.describe(), s.trace
	}
	return s.invariants.violation, s.trace
}

func TestInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation, trace := runSchedule(t, 11, nil, nil); violation != "" {
			t.Fatalf("%s\n%v", violation, trace)
		}
	})
}

// describe returns the state of the log and of each node.
func (w *network) describe() string {
	out := fmt.Sprintf("log [%d, %d)", w.log.stream("config").first, w.log.end())
	for _, n := range w.nodes {
		d := n.core.relay.Digest()
		out += fmt.Sprintf("\n%d %s head %d version %d joined %v view %d roles %v fault %v", n.index, n.place.Region(), d.Head(),
			d.Version(), n.core.Joined(), len(n.core.fleet.View().Members()), n.core.relay.Roles(), n.core.relay.LogErr(w.now))
	}
	return out
}
