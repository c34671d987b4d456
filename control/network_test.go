package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/lab"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
	"github.com/bambooknot/bambooknot/timer"
	"github.com/bambooknot/bambooknot/wire"
)

const (
	testFleet        = "test"
	logRegion        = member.Region("east")
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 20 * time.Millisecond
	udpHeader        = 28   // bytes of IP and UDP headers per datagram
	tcpHeader        = 40   // bytes of IP and TCP headers per segment
	tcpSegment       = 1460 // bytes
	tcpSetupBytes    = 280  // bytes of the segments that open and close a stream
	inboxLimit       = 512  // maximum number of events queued for a paused process
)

var testEpoch = time.Unix(1_700_000_000, 0)

// network simulates nodes in virtual time, with one queue of events ordered by time and with seeded faults.
type network struct {
	clock    *timer.Service // measures coreTime; nil while it is not measured
	coreTime time.Duration
	now      time.Time
	calls    lab.Schedule
	rnd      *rand.Rand
	nodes    []*testNode
	byPeer   map[netip.AddrPort]*testNode
	log      *testLog

	blocked         func(from, to *testNode) bool
	lossRate        float64
	duplicationRate float64
	jitter          time.Duration // maximum random extra delay, which reorders messages

	fleetSettings    fleet.Settings
	relaySettings    relay.Settings
	newestSchema     func(i int) record.Schema
	onEvent          func(n *testNode) // called after every event of a node, if not nil
	breakRule        func(c *Core)     // replaces a rule of each new core, if not nil
	crossRegion      traffic           // all traffic between the regions
	crossRegionRelay traffic           // the pushes, reports, pulls and replies in it
}

// traffic counts datagrams or streams and their bytes.
type traffic struct{ messages, bytes int }

func (t *traffic) add(bytes int) { t.messages++; t.bytes += bytes }

// testNode is a process, or after a restart the next process at the same address.
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
	startedAt   time.Time
	generation  int // number of the process; events of an earlier process are dropped
}

// newTestNetwork returns a network of n nodes in 2 regions and 5 failure domains. The nodes are not started.
func newTestNetwork(seed uint64, n int) *network {
	w := &network{
		now: testEpoch, rnd: rand.New(rand.NewPCG(seed, 1)), byPeer: make(map[netip.AddrPort]*testNode),
		blocked:      func(_, _ *testNode) bool { return false },
		newestSchema: func(int) record.Schema { return record.SchemaNewest },
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

func (w *network) schedule(t time.Time, run func()) {
	w.calls.Add(t, run)
}

func (w *network) after(d time.Duration, run func()) { w.schedule(w.now.Add(d), run) }

// run executes the events of the next d.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		at, do, ok := w.calls.NextUntil(end)
		if !ok {
			break
		}
		w.now = at
		do()
	}
	w.now = end
}

// runUntil runs until done returns true. It returns false if that takes longer than limit.
func (w *network) runUntil(limit time.Duration, done func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		if done() {
			return true
		}
		w.run(10 * time.Millisecond)
	}
	return done()
}

// start starts each node after a random delay below spread.
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
	n.generation++
	n.incarnation = member.Incarnation(w.now.UnixNano())
	n.down, n.paused, n.inbox, n.startedAt = false, false, nil, w.now
	self := member.New(member.NewKey(n.peer, n.incarnation), n.place, w.newestSchema(n.index))
	settings := Settings{
		Self: self, LogRegion: logRegion, Fleet: w.fleetSettings, Relay: w.relaySettings,
		NotApplied: func(err error) bool { return err == errTestRefused },
	}
	n.core = New(settings, rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(n.index))))
	if w.breakRule != nil {
		w.breakRule(n.core)
	}
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation {
			return
		}
		if !n.paused {
			n.execute(n.measureTime(func() []message.Action { return n.core.Tick(w.now) }))
		}
		w.after(TickPeriod, tick)
	}
	w.after(time.Duration(w.rnd.Int64N(int64(TickPeriod))), tick)
}

func (n *testNode) kill() {
	n.generation++
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

// event schedules an event of the current process. It is dropped if the process is dead by then, and deferred while
// the process is paused.
func (n *testNode) event(d time.Duration, run func() []message.Action) {
	generation := n.generation
	var deliver func()
	deliver = func() {
		if n.down || n.generation != generation {
			return
		}
		if n.paused {
			if len(n.inbox) < inboxLimit {
				n.inbox = append(n.inbox, deliver)
			}
			return
		}
		n.execute(n.measureTime(run))
	}
	n.net.after(d, deliver)
}

// measureTime runs an event and adds its duration to the network's coreTime, if that is measured.
func (n *testNode) measureTime(run func() []message.Action) []message.Action {
	if n.net.clock == nil {
		return run()
	}
	begin := n.net.clock.Now()
	defer func() { n.net.coreTime += n.net.clock.Now().Sub(begin) }()
	return run()
}

// execute executes the actions of a core.
func (n *testNode) execute(actions []message.Action) {
	if n.net.onEvent != nil {
		n.net.onEvent(n)
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
	d := crossRegionDelay
	if a.Region() == b.Region() {
		d = sameRegionDelay
	}
	if w.jitter > 0 {
		d += time.Duration(w.rnd.Int64N(int64(w.jitter)))
	}
	return d
}

// frameBytes returns the bytes that a frame takes on the network, headers included.
func frameBytes(frame int) int {
	if frame <= wire.MaxDatagram {
		return frame + udpHeader
	}
	return frame + tcpSetupBytes + tcpHeader*((frame+tcpSegment-1)/tcpSegment)
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
		w.countCrossRegion(a.Body(), size)
	}
	if to.down || w.blocked(n, to) || w.lossRate > 0 && w.rnd.Float64() < w.lossRate {
		return
	}
	env, err := wire.Decode(testFleet, frame)
	if err != nil {
		panic(err)
	}
	copies := 1
	if w.duplicationRate > 0 && w.rnd.Float64() < w.duplicationRate {
		copies = 2
	}
	for range copies {
		to.received.add(size)
		to.event(w.delay(n.place, to.place), func() []message.Action { return to.core.Receive(w.now, env) })
	}
}

func (w *network) countCrossRegion(body message.PeerMessage, size int) {
	w.crossRegion.add(size)
	switch body.(type) {
	case message.Push, message.Report, message.Pull, message.PullReply:
		w.crossRegionRelay.add(size)
	}
}

// converged reports whether all live nodes have applied the whole log and hold the same state.
func (w *network) converged() bool {
	var chain uint64
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		d := n.core.relay.Digest()
		if d.Head() != w.log.end() || chain != 0 && d.Chain() != chain {
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
