package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/wire"
)

const (
	testFleet  = "shop"
	tickPeriod = 100 * time.Millisecond
	nearDelay  = time.Millisecond
	farDelay   = 20 * time.Millisecond
	logDelay   = 10 * time.Millisecond
)

var errLogDown = fmt.Errorf("log is down")

// node is one machine in the network.
type node struct {
	m         *Machine
	place     member.Place
	skew      time.Duration
	dead      bool
	paused    bool
	sent, got int // bytes
	seen      map[netip.AddrPort]member.Member
	watched   func(n *node) bool
	watchedAt time.Duration
	held      []func()
}

// network is an event queue in virtual time.
type network struct {
	t        testing.TB
	rnd      *rand.Rand
	now      time.Time
	start    time.Time
	events   []event // by time, then by order of arrival
	nodes    []*node
	byPeer   map[netip.AddrPort]*node
	loss     float64
	dup      float64
	jitter   time.Duration
	cut      func(from, to *node) bool
	crossed  int // bytes between regions
	largest  int // bytes of the largest frame
	settings Settings
	change   func(m *Machine) // breaks rules of each machine
	check    func(n *node)    // looks at each node after its tick
	logDown  bool
	logFree  time.Time     // when the store has carried out the appends before
	logTime  time.Duration // that one append takes there
	entries  []record.Entry
	appends  int
	reads    int
}

func newNetwork(t testing.TB, seed uint64) *network {
	start := time.Unix(1_700_000_000, 0)
	return &network{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, byPeer: make(map[netip.AddrPort]*node),
		cut: func(_, _ *node) bool { return false }, settings: Settings{Fleet: testFleet},
	}
}

func peerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i >> 8), byte(i)}), 7946)
}

// placeOf spreads nodes over 2 regions and 5 failure domains.
func placeOf(i int) member.Place {
	domain := i % 5
	region := member.Region("east")
	if domain >= 3 {
		region = "west"
	}
	return member.NewPlace(region, member.FailureDomain(fmt.Sprintf("%s-%d", region, domain)))
}

// add starts a node after a delay.
func (w *network) add(i int, after time.Duration) *node {
	n := w.byPeer[peerOf(i)]
	if n == nil {
		n = &node{place: placeOf(i)}
		w.nodes = append(w.nodes, n)
		w.byPeer[peerOf(i)] = n
	}
	n.dead = true
	w.after(after, func() { w.boot(i, n) })
	return n
}

func (w *network) boot(i int, n *node) {
	key := member.NewKey(peerOf(i), member.Incarnation(w.now.Add(n.skew).UnixNano()))
	self := member.New(key, n.place, 2).WithServer(member.NewServer(fmt.Sprintf("service-%d", i%16), member.ServerReady, 64))
	m := New(self, w.settings, rand.New(rand.NewPCG(w.rnd.Uint64(), 2)))
	if w.change != nil {
		w.change(m)
	}
	n.m, n.dead, n.paused, n.seen = m, false, false, make(map[netip.AddrPort]member.Member)
	w.after(time.Duration(w.rnd.Int64N(int64(tickPeriod))), func() { w.tick(n, m) })
}

func (w *network) tick(n *node, m *Machine) {
	if n.dead || n.m != m {
		return
	}
	w.after(tickPeriod, func() { w.tick(n, m) })
	if n.paused {
		return
	}
	w.act(n, m.Tick(w.now.Add(n.skew)))
	if w.check != nil {
		w.check(n)
	}
	if n.watched != nil && n.watchedAt == 0 && n.watched(n) {
		n.watchedAt = w.now.Sub(w.start)
	}
}

func (w *network) act(n *node, actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			w.deliver(n, a)
		case message.ReadLog:
			w.read(n, n.m, a)
		case message.AppendLog:
			w.append(n, n.m, a)
		}
	}
}

func (w *network) deliver(n *node, s message.Send) {
	frame, err := wire.Encode(testFleet, n.m.Self().Key(), s.Body())
	qt.Assert(w.t, err, qt.IsNil)
	n.sent += len(frame)
	w.largest = max(w.largest, len(frame))
	to := w.byPeer[s.Recipient()]
	if to == nil {
		return
	}
	delay := nearDelay
	if to.place.Region() != n.place.Region() {
		delay = farDelay
		w.crossed += len(frame)
	}
	copies := 1
	if w.rnd.Float64() < w.dup {
		copies = 2
	}
	for range copies {
		if w.rnd.Float64() < w.loss || w.cut(n, to) {
			continue
		}
		late := time.Duration(0)
		if w.jitter > 0 {
			late = time.Duration(w.rnd.Int64N(int64(w.jitter)))
		}
		w.after(delay+late, func() { w.receive(to, frame) })
	}
}

func (w *network) receive(to *node, frame []byte) {
	if to.dead {
		return
	}
	if to.paused {
		to.held = append(to.held, func() { w.receive(to, frame) })
		return
	}
	to.got += len(frame)
	env, err := wire.Decode(testFleet, frame)
	qt.Assert(w.t, err, qt.IsNil)
	w.act(to, to.m.Receive(w.now.Add(to.skew), env))
}

func (w *network) read(n *node, m *Machine, r message.ReadLog) {
	w.reads++
	w.after(logDelay, func() {
		if n.dead || n.m != m {
			return
		}
		page := message.NewLogPage(r.Stream(), 0, 0, nil, errLogDown)
		if !w.logDown {
			from := min(int(r.StartOffset()), len(w.entries))
			page = message.NewLogPage(r.Stream(), 0, record.Offset(len(w.entries)), w.entries[from:], nil)
		}
		w.act(n, m.ReceiveLogPage(w.now.Add(n.skew), page))
	})
}

func (w *network) append(n *node, m *Machine, a message.AppendLog) {
	if w.logFree.Before(w.now) {
		w.logFree = w.now
	}
	w.logFree = w.logFree.Add(w.logTime)
	w.after(w.logFree.Sub(w.now)+logDelay, func() {
		err := errLogDown
		if !w.logDown {
			err = nil
			w.appends++
			w.entries = append(w.entries, record.NewEntry(record.Offset(len(w.entries)), a.Data()))
		}
		if !n.dead && n.m == m {
			w.act(n, m.ReceiveAppendResult(w.now.Add(n.skew), message.NewAppendResult(a.Stream(), a.Token(), record.Offset(len(w.entries)), err)))
		}
	})
}

// wake ends a pause. The node's timer fires before it reads what has queued up.
func (w *network) wake(n *node) {
	n.paused = false
	w.act(n, n.m.Tick(w.now.Add(n.skew)))
	held := n.held
	n.held = nil
	for _, fn := range held {
		fn()
	}
}

// run moves the time by d.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// runUntil moves the time until ok, at most by limit, and returns how long it took.
func (w *network) runUntil(limit time.Duration, ok func() bool) time.Duration {
	from := w.now
	qt.Assert(w.t, w.settles(limit, ok), qt.IsTrue, qt.Commentf("not within %v", limit))
	return w.now.Sub(from)
}

// settles moves the time until ok, at most by limit, and tells whether it came to that.
func (w *network) settles(limit time.Duration, ok func() bool) bool {
	for from := w.now; !ok(); w.run(tickPeriod) {
		if w.now.Sub(from) >= limit {
			return false
		}
	}
	return true
}

func (w *network) after(d time.Duration, fn func()) {
	e := event{at: w.now.Add(d), fn: fn}
	i, _ := slices.BinarySearchFunc(w.events, e.at, func(x event, at time.Time) int {
		if x.at.After(at) {
			return 1
		}
		return -1
	})
	w.events = slices.Insert(w.events, i, e)
}

type event struct {
	at time.Time
	fn func()
}
