package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/lab"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/quota"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/wire"
)

const (
	sidecarFleetName = "sidecars"
	storeDelay       = 4 * time.Millisecond
	storeRetention   = 20 * time.Second
)

// sidecarNetwork simulates sidecars in two regions and the platform's store in virtual time.
type sidecarNetwork struct {
	now      time.Time
	events   lab.Schedule
	rnd      *rand.Rand
	nodes    []*sidecarNode
	byPeer   map[netip.AddrPort]*sidecarNode
	document int // newest version that the operator has published
	changes  int // documents published so far
	entries  []record.Entry
	calls    int // reads and appends of the store
	decode   func(data []byte) (*routing.Table, error)
	slow     bool // most links are slow and the document is large

	quotaMessages int
	rollouts      RolloutSettings
}

type sidecarNode struct {
	net        *sidecarNetwork
	peer       netip.AddrPort
	place      member.Place
	core       *Sidecar
	limiter    *quota.Shared
	generation int // number of the process; events of an earlier process are dropped
	down       bool
	link       float64   // bytes a second; 0 for no limit
	sentAt     time.Time // when the link has carried what the node sent
	receivedAt time.Time // the same for what it received
}

// Sizes in bytes of a document with 2,300 routes, in the store and as nodes send it.
const (
	largeDocument           = 400_000
	largeCompressedDocument = 25_000
)

// Rates of links in bytes a second if most of them are slow: 200 and 10 Mbit/s.
const (
	fastTestLink = 25e6
	slowTestLink = 1.25e6
)

// limitLinks gives one node in six a fast link and the others a slow one.
func (w *sidecarNetwork) limitLinks() {
	w.slow = true
	for i, n := range w.nodes {
		n.link = slowTestLink
		if i/4%6 == 0 {
			n.link = fastTestLink
		}
	}
}

// carry returns when a link that is free at freeAt has carried a message that arrives there at a time.
func (n *sidecarNode) carry(freeAt *time.Time, arrival time.Time, size int) time.Time {
	if n.link == 0 {
		return arrival
	}
	if freeAt.Before(arrival) {
		*freeAt = arrival
	}
	*freeAt = freeAt.Add(time.Duration(float64(size) / n.link * float64(time.Second)))
	return *freeAt
}

func newSidecarNetwork(seed uint64, n int) *sidecarNetwork {
	w := &sidecarNetwork{now: testEpoch, rnd: rand.New(rand.NewPCG(seed, 1)), byPeer: make(map[netip.AddrPort]*sidecarNode), decode: decodeVersion}
	for i := range n {
		region := []member.Region{"east", "west"}[i%2]
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		node := &sidecarNode{net: w, peer: peer, place: member.NewPlace(region, member.FailureDomain(fmt.Sprint(region, i/2%2))), down: true}
		w.nodes, w.byPeer[peer] = append(w.nodes, node), node
	}
	return w
}

func (w *sidecarNetwork) after(d time.Duration, run func()) {
	w.events.Add(w.now.Add(d), run)
}

func (w *sidecarNetwork) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		at, do, ok := w.events.NextUntil(end)
		if !ok {
			break
		}
		w.now = at
		do()
	}
	w.now = end
}

// publish accepts a document and returns its version.
func (w *sidecarNetwork) publish() int {
	w.document += 1 + w.rnd.IntN(3)
	w.changes++
	return w.document
}

// startAll starts all nodes within 300 ms of each other.
func (w *sidecarNetwork) startAll(first bool) {
	for _, n := range w.nodes {
		w.after(time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))), func() { n.start(first) })
	}
}

func (n *sidecarNode) start(first bool) {
	w := n.net
	n.generation++
	n.down = false
	self := member.New(member.NewKey(n.peer, member.Incarnation(w.now.UnixMicro())), n.place, record.SchemaNewest).
		WithServer(member.NewServer("orders", member.ServerReady, 6))
	settings := fleet.SidecarSettings(sidecarFleetName, nil, storeRetention)
	settings.RendezvousEmptyAtStart = first
	n.limiter = quota.NewShared(quota.NewLimiter(rand.New(rand.NewPCG(w.events.Added(), 4))))
	n.core = NewSidecar(SidecarSettings{
		Self: self, Fleet: settings, Feed: feed.Settings{Self: self, Decode: w.decode, FirstStart: first, LinkBytesPerSecond: n.link}, Gone: func(error) bool { return false },
		Quota:    QuotaSettings{Limiter: n.limiter, Slack: 20, Window: 5 * time.Second},
		Rollouts: w.rollouts,
	}, rand.New(rand.NewPCG(w.rnd.Uint64(), 3)))
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation {
			return
		}
		n.execute(n.core.Tick(w.now))
		w.after(TickPeriod, tick)
	}
	w.after(0, tick)
}

func decodeVersion(data []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	return routing.NewTable(record.Version(version), nil, nil, routing.Limits{}), err
}

func (n *sidecarNode) stop() {
	n.generation++
	n.down = true
}

// event runs an event of the current process after a delay, unless the process has ended by then.
func (n *sidecarNode) event(d time.Duration, handle func() []message.Action) {
	generation := n.generation
	n.net.after(d, func() {
		if n.generation == generation {
			n.execute(handle())
		}
	})
}

func (n *sidecarNode) delayTo(region member.Region) time.Duration {
	if n.place.Region() == region {
		return sameRegionDelay
	}
	return crossRegionDelay
}

func (n *sidecarNode) execute(actions []message.Action) {
	w := n.net
	for _, a := range actions {
		storeTrip := storeDelay + 2*n.delayTo("east")
		switch a := a.(type) {
		case message.Send:
			n.deliver(a)
		case message.ReadLog:
			w.calls++
			n.event(storeTrip, func() []message.Action {
				from := min(int(a.StartOffset()), len(w.entries))
				return n.core.ReceiveLogPage(w.now, message.NewLogPage(a.Stream(), 0, record.Offset(len(w.entries)), w.entries[from:], nil).WithEra(1))
			})
		case message.AppendLog:
			w.calls++
			offset := record.Offset(len(w.entries))
			w.entries = append(w.entries, record.NewEntry(offset, a.Data()))
			n.event(storeTrip, func() []message.Action {
				return n.core.ReceiveAppendResult(w.now, message.NewAppendResult(a.Stream(), a.Token(), offset, nil).WithEra(1))
			})
		case message.ReadDocument:
			w.calls++
			n.readDocument(a, w.now.Add(a.MaxWait()), storeTrip)
		}
	}
}

// readDocument answers a read once there is a document that it asks for, or its time to wait has passed.
func (n *sidecarNode) readDocument(r message.ReadDocument, until time.Time, delay time.Duration) {
	w := n.net
	if !r.Newest() && w.changes <= int(r.StartOffset()) && w.now.Before(until) {
		generation := n.generation
		w.after(10*time.Millisecond, func() {
			if n.generation == generation {
				n.readDocument(r, until, delay)
			}
		})
		return
	}
	page := message.NewDocumentPage(nil, record.Offset(w.changes), nil)
	if r.Newest() || w.changes > int(r.StartOffset()) {
		page = message.NewDocumentPage(fmt.Append(nil, w.document), record.Offset(w.changes), nil)
	}
	arrival := w.now.Add(delay)
	if w.slow && page.Data() != nil {
		arrival = n.carry(&n.receivedAt, arrival, largeDocument)
	}
	n.event(arrival.Sub(w.now), func() []message.Action { return n.core.ReceiveDocumentPage(w.now, page.WithEra(1)) })
}

func (n *sidecarNode) deliver(s message.Send) {
	frame, err := wire.Encode(sidecarFleetName, n.core.Self().Key(), s.Body())
	to := n.net.byPeer[s.Recipient()]
	if isQuotaMessage(s.Body()) {
		n.net.quotaMessages++
	}
	if err != nil || to == nil || to.down {
		return
	}
	size := len(frame)
	if _, ok := s.Body().(message.Document); ok && n.net.slow {
		size += largeCompressedDocument
	}
	arrival := n.carry(&n.sentAt, n.net.now, size).Add(n.delayTo(to.place.Region()))
	to.event(to.carry(&to.receivedAt, arrival, size).Sub(n.net.now), func() []message.Action {
		env, err := wire.Decode(sidecarFleetName, frame)
		if err != nil {
			panic(errors.Join(errors.New("a frame cannot be decoded"), err))
		}
		return to.core.Receive(to.net.now, env)
	})
}

// allHave reports whether a version is in force on all nodes.
func (w *sidecarNetwork) allHave(version int) bool {
	for _, n := range w.nodes {
		if n.down || n.core.Snapshot() == nil || int(n.core.Snapshot().Table().Version()) < version {
			return false
		}
	}
	return true
}

// allKnowAll reports whether every node knows all others.
func (w *sidecarNetwork) allKnowAll() bool {
	for _, n := range w.nodes {
		if n.down || n.core.Snapshot() == nil || len(n.core.Snapshot().View().Members()) < len(w.nodes) {
			return false
		}
	}
	return true
}

// took runs until a condition holds and returns how long that took, at most limit.
func (w *sidecarNetwork) took(limit time.Duration, done func() bool) time.Duration {
	start := w.now
	for w.now.Sub(start) < limit && !done() {
		w.run(10 * time.Millisecond)
	}
	return w.now.Sub(start)
}

// TestChangeIsInForceAfterAllNodesLosePower cuts the power of all nodes right after a change was accepted, and again while
// they start. The store is not overrun when they are back.
func TestChangeIsInForceAfterAllNodesLosePower(t *testing.T) {
	// Limits from the users' requirements: config_apply, and a tenth of the calls per second that the store takes.
	for _, fleet := range []struct {
		nodes int
		limit time.Duration
		calls int
	}{{12, 2500 * time.Millisecond, 240}, {68, 2500 * time.Millisecond, 480}, {295, 4 * time.Second, 1920}} {
		t.Run(fmt.Sprint(fleet.nodes), func(t *testing.T) {
			w := newSidecarNetwork(uint64(fleet.nodes), fleet.nodes)
			version := w.publish()
			w.startAll(true)
			w.run(8 * time.Second)
			qt.Assert(t, w.allHave(version) && w.allKnowAll(), qt.IsTrue)

			version = w.publish()
			for range 2 {
				w.run(100 * time.Millisecond)
				for _, n := range w.nodes {
					n.stop()
				}
				w.run(time.Second)
				w.calls = 0
				w.startAll(false)
				w.run(300 * time.Millisecond)
			}
			took := w.took(10*time.Second, func() bool { return w.allHave(version) })
			knownAfter := took + w.took(10*time.Second, w.allKnowAll)
			t.Logf("%d nodes: in force after %v, all known after %v, %d calls of the store", fleet.nodes, took, knownAfter, w.calls)
			qt.Check(t, took <= fleet.limit, qt.IsTrue, qt.Commentf("%v", took))
			qt.Check(t, knownAfter <= fleet.limit, qt.IsTrue, qt.Commentf("%v", knownAfter))
			qt.Check(t, w.calls <= fleet.calls, qt.IsTrue, qt.Commentf("%d calls of the store", w.calls))
		})
	}
}

// crash reports that the server beside a node ended while it was running a request.
func (n *sidecarNode) crash(request quarantine.Request, server int) {
	n.execute(n.core.ReportCrash(n.net.now, message.NewServerCrash(quarantine.Server(server), []quarantine.Request{request})))
}

// TestCrashesAreKnownToStartingNodes starts a node long after the crashes, and replaces all other nodes one by one.
func TestCrashesAreKnownToStartingNodes(t *testing.T) {
	w := newSidecarNetwork(1, 24)
	w.publish()
	w.startAll(true)
	w.run(5 * time.Second)
	request := quarantine.NewRequest(quarantine.Content{1}, 1)
	w.nodes[0].crash(request, 1)
	w.nodes[1].crash(request, 2)
	w.run(time.Minute)
	for _, n := range w.nodes {
		n.stop()
		w.run(500 * time.Millisecond)
		n.start(false)
		known := w.took(3*time.Second, func() bool { return n.core.Quarantine().Status(request).Quarantined() })
		qt.Assert(t, known < 3*time.Second, qt.IsTrue)
	}
}

// TestStartingNodeGetsQuarantinedRequestsFirst has the others know of thousands of requests that ran at single ends.
func TestStartingNodeGetsQuarantinedRequestsFirst(t *testing.T) {
	w := newSidecarNetwork(3, 4)
	w.publish()
	w.startAll(true)
	w.run(5 * time.Second)
	request := quarantine.NewRequest(quarantine.Content{0xff}, 1)
	w.nodes[0].crash(request, 1)
	w.nodes[1].crash(request, 2)
	for i := range 3000 {
		w.nodes[i%2].crash(quarantine.NewRequest(quarantine.Content{1, byte(i >> 8), byte(i)}, 1), 10+i)
	}
	w.run(time.Second)
	for _, n := range w.nodes[2:] {
		n.stop()
		w.run(time.Second)
		n.start(false)
		w.run(time.Second)
		qt.Check(t, n.core.Quarantine().Status(request).Quarantined(), qt.IsTrue)
	}
}

// TestLostReportsAreRepaired loses all reports on their way, and checks that no node keeps sending its record once all have it.
func TestLostReportsAreRepaired(t *testing.T) {
	w := newSidecarNetwork(2, 24)
	w.publish()
	w.startAll(true)
	w.run(5 * time.Second)
	n := w.nodes[3]
	var requests []quarantine.Request
	for i := range 100 {
		requests = append(requests, quarantine.NewRequest(quarantine.Content{byte(i)}, 1))
	}
	for server := range 2 {
		_ = n.core.ReportCrash(w.now, message.NewServerCrash(quarantine.Server(server+1), requests)) // not sent
	}
	repaired := w.took(10*time.Second, func() bool {
		for _, n := range w.nodes {
			for _, r := range requests {
				if !n.core.Quarantine().Status(r).Quarantined() {
					return false
				}
			}
		}
		return true
	})
	qt.Check(t, repaired <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", repaired))
	for _, n := range w.nodes {
		qt.Check(t, n.core.table.Digest(), qt.Equals, w.nodes[0].core.table.Digest())
	}
}
