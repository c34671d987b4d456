package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/wire"
)

const (
	testFleet        = "shop"
	tickPeriod       = 100 * time.Millisecond
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 20 * time.Millisecond
	logDelay         = 10 * time.Millisecond
)

var (
	errLogDown    = fmt.Errorf("log is down")
	errLogRewound = fmt.Errorf("log ends before the offset")
)

// node is one simulated process of the network.
type node struct {
	m              *Machine
	place          member.Place
	skew           time.Duration
	stopped        bool
	paused         bool
	sent, received int // bytes
	lastClaims     map[netip.AddrPort]member.Member
	condition      func(n *node) bool
	conditionMetAt time.Duration
	deferredFrames []func()
}

// network simulates nodes, their connections and the log in virtual time.
type network struct {
	t                testing.TB
	rnd              *rand.Rand
	now              time.Time
	start            time.Time
	events           eventQueue
	lastSequence     uint64
	nodes            []*node
	byPeer           map[netip.AddrPort]*node
	lossRate         float64
	duplicationRate  float64
	jitter           time.Duration
	isCut            func(from, to *node) bool
	crossRegionBytes int // bytes sent between regions
	largestFrame     int // size of the largest frame, in bytes
	settings         Settings
	modifyMachine    func(m *Machine) // replaces rules of each machine by broken ones
	afterTick        func(n *node)    // called after each tick of a node
	logDown          bool
	logIdleAt        time.Time     // when the log has completed all earlier appends
	appendDuration   time.Duration // time that the log needs for one append
	entries          []record.Entry
	era              record.Era // rises when the log returns from a copy without its last entries
	appends          int
	reads            int
}

func newNetwork(t testing.TB, seed uint64) *network {
	start := time.Unix(1_700_000_000, 0)
	return &network{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, era: 1, byPeer: make(map[netip.AddrPort]*node),
		isCut: func(_, _ *node) bool { return false }, settings: Settings{Fleet: testFleet},
	}
}

func peerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i >> 8), byte(i)}), 7946)
}

// placeOf distributes nodes over 2 regions and 5 failure domains.
func placeOf(i int) member.Place {
	domain := i % 5
	region := member.Region("east")
	if domain >= 3 {
		region = "west"
	}
	return member.NewPlace(region, member.FailureDomain(fmt.Sprintf("%s-%d", region, domain)))
}

// startNode starts node i after a delay. A running process of the node is stopped at once.
func (w *network) startNode(i int, after time.Duration) *node {
	n := w.byPeer[peerOf(i)]
	if n == nil {
		n = &node{place: placeOf(i)}
		w.nodes = append(w.nodes, n)
		w.byPeer[peerOf(i)] = n
	}
	n.stopped = true
	w.schedule(after, func() { w.startProcess(i, n) })
	return n
}

func (w *network) startProcess(i int, n *node) {
	key := member.NewKey(peerOf(i), member.Incarnation(w.now.Add(n.skew).UnixNano()))
	self := member.New(key, n.place, 2).WithServer(member.NewServer(fmt.Sprintf("service-%d", i%16), member.ServerReady, 64))
	m := New(self, w.settings, rand.New(rand.NewPCG(w.rnd.Uint64(), 2)))
	if w.modifyMachine != nil {
		w.modifyMachine(m)
	}
	n.m, n.stopped, n.paused, n.lastClaims = m, false, false, make(map[netip.AddrPort]member.Member)
	w.schedule(time.Duration(w.rnd.Int64N(int64(tickPeriod))), func() { w.tick(n, m) })
}

func (w *network) tick(n *node, m *Machine) {
	if n.stopped || n.m != m {
		return
	}
	w.schedule(tickPeriod, func() { w.tick(n, m) })
	if n.paused {
		return
	}
	w.perform(n, m.Tick(w.now.Add(n.skew)))
	if w.afterTick != nil {
		w.afterTick(n)
	}
	if n.condition != nil && n.conditionMetAt == 0 && n.condition(n) {
		n.conditionMetAt = w.now.Sub(w.start)
	}
}

func (w *network) perform(n *node, actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			w.deliver(n, a)
		case message.ReadLog:
			w.readLog(n, n.m, a)
		case message.AppendLog:
			w.appendLog(n, n.m, a)
		}
	}
}

func (w *network) deliver(n *node, s message.Send) {
	frame, err := wire.Encode(testFleet, n.m.Self().Key(), s.Body())
	if err != nil {
		w.t.Fatal(err)
	}
	n.sent += len(frame)
	w.largestFrame = max(w.largestFrame, len(frame))
	to := w.byPeer[s.Recipient()]
	if to == nil {
		return
	}
	delay := sameRegionDelay
	if to.place.Region() != n.place.Region() {
		delay = crossRegionDelay
		w.crossRegionBytes += len(frame)
	}
	copies := 1
	if w.rnd.Float64() < w.duplicationRate {
		copies = 2
	}
	for range copies {
		if w.rnd.Float64() < w.lossRate || w.isCut(n, to) {
			continue
		}
		extraDelay := time.Duration(0)
		if w.jitter > 0 {
			extraDelay = time.Duration(w.rnd.Int64N(int64(w.jitter)))
		}
		w.schedule(delay+extraDelay, func() { w.receive(to, frame) })
	}
}

func (w *network) receive(to *node, frame []byte) {
	if to.stopped {
		return
	}
	if to.paused {
		to.deferredFrames = append(to.deferredFrames, func() { w.receive(to, frame) })
		return
	}
	to.received += len(frame)
	env, err := wire.Decode(testFleet, frame)
	if err != nil {
		w.t.Fatal(err)
	}
	w.perform(to, to.m.Receive(w.now.Add(to.skew), env))
}

func (w *network) readLog(n *node, m *Machine, r message.ReadLog) {
	w.reads++
	w.schedule(logDelay, func() {
		if n.stopped || n.m != m {
			return
		}
		page := message.NewLogPage(r.Stream(), 0, 0, nil, errLogDown)
		switch {
		case w.logDown:
		case int(r.StartOffset()) > len(w.entries):
			page = message.NewLogPage(r.Stream(), 0, 0, nil, errLogRewound).WithEra(w.era)
		default:
			page = message.NewLogPage(r.Stream(), 0, record.Offset(len(w.entries)), w.entries[r.StartOffset():], nil).WithEra(w.era)
		}
		w.perform(n, m.ReceiveLogPage(w.now.Add(n.skew), page))
	})
}

func (w *network) appendLog(n *node, m *Machine, a message.AppendLog) {
	if w.logIdleAt.Before(w.now) {
		w.logIdleAt = w.now
	}
	w.logIdleAt = w.logIdleAt.Add(w.appendDuration)
	w.schedule(w.logIdleAt.Sub(w.now)+logDelay, func() {
		err, era := errLogDown, record.Era(0)
		if !w.logDown {
			era = w.era
			err = nil
			w.appends++
			w.entries = append(w.entries, record.NewEntry(record.Offset(len(w.entries)), a.Data()))
		}
		if !n.stopped && n.m == m {
			w.perform(n, m.ReceiveAppendResult(w.now.Add(n.skew), message.NewAppendResult(a.Stream(), a.Token(), record.Offset(len(w.entries)), err).WithEra(era)))
		}
	})
}

// rewind has the log return from a copy that has only the first entries. Nodes that read the store otherwise notice it.
func (w *network) rewind(kept int, noticedBy ...*node) {
	w.entries = w.entries[:min(kept, len(w.entries))]
	w.era++
	for _, n := range noticedBy {
		w.perform(n, n.m.ObserveStoreEra(w.now.Add(n.skew), w.era))
	}
}

// resume ends a pause. The node ticks before it receives the frames that arrived during the pause.
func (w *network) resume(n *node) {
	n.paused = false
	w.perform(n, n.m.Tick(w.now.Add(n.skew)))
	frames := n.deferredFrames
	n.deferredFrames = nil
	for _, deliver := range frames {
		deliver()
	}
}

// run advances the virtual time by d.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].dueAt.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.dueAt
		e.run()
	}
	w.now = end
}

// runUntil advances the virtual time until ok, at most by limit, and returns how long it took.
func (w *network) runUntil(limit time.Duration, ok func() bool) time.Duration {
	from := w.now
	qt.Assert(w.t, w.reaches(limit, ok), qt.IsTrue, qt.Commentf("not within %v", limit))
	return w.now.Sub(from)
}

// reaches advances the virtual time until ok, at most by limit, and reports whether ok held in time.
func (w *network) reaches(limit time.Duration, ok func() bool) bool {
	for from := w.now; !ok(); w.run(tickPeriod) {
		if w.now.Sub(from) >= limit {
			return false
		}
	}
	return true
}

func (w *network) schedule(d time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.events, event{dueAt: w.now.Add(d), sequence: w.lastSequence, run: run})
}

type event struct {
	dueAt    time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time, then by insertion.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if c := q[i].dueAt.Compare(q[j].dueAt); c != 0 {
		return c < 0
	}
	return q[i].sequence < q[j].sequence
}

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
