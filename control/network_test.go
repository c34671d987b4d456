package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
	"github.com/bambooknot/bambooknot/timer"
	"github.com/bambooknot/bambooknot/wire"
)

const (
	testFleet  = "test"
	logRegion  = member.Region("east")
	nearDelay  = time.Millisecond
	farDelay   = 20 * time.Millisecond
	udpHeader  = 28   // bytes of IP and UDP headers per datagram
	tcpHeader  = 40   // bytes of IP and TCP headers per segment
	tcpSegment = 1460 // bytes
	tcpSetup   = 280  // bytes of the segments that open and close a stream
	inboxLimit = 512  // events that a paused process keeps
)

var testEpoch = time.Unix(1_700_000_000, 0)

// network runs Cores in virtual time: one queue of events in order of time, seeded faults.
type network struct {
	clock  *timer.Service // measures the time that cores take, or nil
	busy   time.Duration
	now    time.Time
	seq    uint64
	queue  eventQueue
	rnd    *rand.Rand
	nodes  []*testNode
	byPeer map[netip.AddrPort]*testNode
	log    *testLog

	cut       func(from, to *testNode) bool
	loss      float64
	duplicate float64
	spread    time.Duration // random extra delay, which reorders

	fleetSettings fleet.Settings
	relaySettings relay.Settings
	newest        func(i int) record.Schema
	observe       func(n *testNode) // after every event of a node
	breaks        func(c *Core)     // replaces a rule of a new process, or nil
	far           traffic           // all that crosses between the regions
	farRelay      traffic           // pushes, reports, pulls and answers among it
}

// traffic is a number of datagrams or streams and their bytes.
type traffic struct{ messages, bytes int }

func (t *traffic) add(bytes int) { t.messages++; t.bytes += bytes }

// testNode is one process, and after a restart the next one at the same address.
type testNode struct {
	net         *network
	index       int
	place       member.Place
	peer        netip.AddrPort
	incarnation member.Incarnation
	core        *Core
	down        bool
	paused      bool
	inbox       []func()
	sent        traffic
	received    traffic
	started     time.Time
	epoch       int // of the process, so that events of a dead one are dropped
}

// newTestNetwork returns n nodes in 2 regions and 5 failure domains, not started.
func newTestNetwork(seed uint64, n int) *network {
	w := &network{
		now: testEpoch, rnd: rand.New(rand.NewPCG(seed, 1)), byPeer: make(map[netip.AddrPort]*testNode),
		cut:    func(_, _ *testNode) bool { return false },
		newest: func(int) record.Schema { return record.SchemaNewest },
	}
	w.log = newTestLog(w)
	for i := range n {
		region, domain := logRegion, fmt.Sprintf("e%d", i/2%3)
		if i%2 == 1 {
			region, domain = "west", fmt.Sprintf("w%d", i/2%2)
		}
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		node := &testNode{net: w, index: i, place: member.NewPlace(region, member.FailureDomain(domain)), peer: peer, down: true}
		w.nodes = append(w.nodes, node)
		w.byPeer[peer] = node
	}
	w.fleetSettings = fleet.Settings{Fleet: testFleet}
	for _, n := range w.nodes[:min(n, 4)] {
		w.fleetSettings.Hints = append(w.fleetSettings.Hints, n.peer)
	}
	return w
}

func (w *network) at(t time.Time, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: t, seq: w.seq, run: run})
}

func (w *network) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// run lets virtual time pass.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// runUntil lets time pass until done, and returns false if that takes longer than limit.
func (w *network) runUntil(limit time.Duration, done func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		if done() {
			return true
		}
		w.run(10 * time.Millisecond)
	}
	return done()
}

func (w *network) start(spread time.Duration) {
	for _, n := range w.nodes {
		n.down = true
		d := time.Duration(0)
		if spread > 0 {
			d = time.Duration(w.rnd.Int64N(int64(spread)))
		}
		w.after(d, n.start)
	}
}

func (n *testNode) start() {
	w := n.net
	n.epoch++
	n.incarnation = member.Incarnation(w.now.UnixNano())
	n.down, n.paused, n.inbox, n.started = false, false, nil, w.now
	self := member.New(member.NewKey(n.peer, n.incarnation), n.place, w.newest(n.index))
	settings := Settings{
		Self: self, LogRegion: logRegion, Fleet: w.fleetSettings, Relay: w.relaySettings,
		NotApplied: func(err error) bool { return err == errTestRefused },
	}
	n.core = New(settings, rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(n.index))))
	if w.breaks != nil {
		w.breaks(n.core)
	}
	epoch := n.epoch
	var tick func()
	tick = func() {
		if n.epoch != epoch {
			return
		}
		if !n.paused {
			n.do(n.timed(func() []message.Action { return n.core.Tick(w.now) }))
		}
		w.after(TickPeriod, tick)
	}
	w.after(time.Duration(w.rnd.Int64N(int64(TickPeriod))), tick)
}

func (n *testNode) kill() {
	n.epoch++
	n.down = true
}

func (n *testNode) pause() { n.paused = true }

func (n *testNode) resume() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// event runs something in the process that is alive now, at a later time; a dead process drops it and
// a paused one keeps it.
func (n *testNode) event(d time.Duration, run func() []message.Action) {
	epoch := n.epoch
	var deliver func()
	deliver = func() {
		if n.down || n.epoch != epoch {
			return
		}
		if n.paused {
			if len(n.inbox) < inboxLimit {
				n.inbox = append(n.inbox, deliver)
			}
			return
		}
		n.do(n.timed(run))
	}
	n.net.after(d, deliver)
}

// timed adds the time that an event takes to the network's total, if there is a clock.
func (n *testNode) timed(run func() []message.Action) []message.Action {
	if n.net.clock == nil {
		return run()
	}
	begin := n.net.clock.Now()
	defer func() { n.net.busy += n.net.clock.Now().Sub(begin) }()
	return run()
}

func (n *testNode) do(actions []message.Action) {
	if n.net.observe != nil {
		n.net.observe(n)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			n.send(a)
		case message.ReadLog:
			n.net.log.read(n, a)
		case message.AppendLog:
			n.net.log.append(n, a)
		}
	}
}

func (w *network) delay(a, b member.Place) time.Duration {
	d := farDelay
	if a.Region() == b.Region() {
		d = nearDelay
	}
	if w.spread > 0 {
		d += time.Duration(w.rnd.Int64N(int64(w.spread)))
	}
	return d
}

// frameBytes returns the bytes that a frame takes on the link.
func frameBytes(frame int) int {
	if frame <= wire.MaxDatagram {
		return frame + udpHeader
	}
	return frame + tcpSetup + tcpHeader*((frame+tcpSegment-1)/tcpSegment)
}

func (n *testNode) send(a message.Send) {
	w := n.net
	frame, err := wire.Encode(testFleet, n.core.Self().Key(), a.Body())
	if err != nil {
		panic(err)
	}
	size := frameBytes(len(frame))
	n.sent.add(size)
	to, ok := w.byPeer[a.Recipient()]
	if !ok {
		return
	}
	if to.place.Region() != n.place.Region() {
		w.countFar(a.Body(), size)
	}
	if to.down || w.cut(n, to) || w.loss > 0 && w.rnd.Float64() < w.loss {
		return
	}
	env, err := wire.Decode(testFleet, frame)
	if err != nil {
		panic(err)
	}
	copies := 1
	if w.duplicate > 0 && w.rnd.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		to.received.add(size)
		to.event(w.delay(n.place, to.place), func() []message.Action { return to.core.Receive(w.now, env) })
	}
}

func (w *network) countFar(body message.PeerMessage, size int) {
	w.far.add(size)
	switch body.(type) {
	case message.Push, message.Report, message.Pull, message.PullReply:
		w.farRelay.add(size)
	}
}

// settled tells whether all live nodes have folded up to the log's end, and alike.
func (w *network) settled() bool {
	var chain uint64
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		d := n.core.relay.Digest()
		if d.Head() != w.log.next() || chain != 0 && d.Chain() != chain {
			return false
		}
		chain = d.Chain()
	}
	return true
}

func (w *network) allJoined() bool {
	for _, n := range w.nodes {
		if n.down || !n.core.Joined() {
			return false
		}
	}
	return true
}
