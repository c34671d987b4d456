package feed

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
)

func init() {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	step      = 10 * time.Millisecond
	inForce   = 2500 * time.Millisecond // within which a change must be in force: the users' config_apply
	regionWay = 20 * time.Millisecond
	storeTime = 4 * time.Millisecond
)

var (
	errAway    = errors.New("the store is away")
	errTrimmed = errors.New("trimmed")
	places     = []member.Place{
		member.NewPlace("west", "w1"), member.NewPlace("south", "s1"),
		member.NewPlace("west", "w2"), member.NewPlace("south", "s2"),
	}
)

// decode reads documents of this test, which hold their version only.
func decode(data []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return routing.NewTable(record.Version(version), nil, nil, routing.Limits{}), nil
}

// world is a fleet whose members know each other, with a store in the region west. Time is virtual.
type world struct {
	t         failer
	now       time.Time
	rnd       *rand.Rand
	nodes     []*simNode
	view      *member.View
	documents []int // versions, by offset
	first     int   // offset of the oldest document kept
	reads     int
	loss      float64
	agenda    []event
}

// failer is a test or a property.
type failer interface {
	Fatalf(format string, args ...any)
}

type event struct {
	at time.Time
	do func()
}

type simNode struct {
	world   *world
	self    member.Member
	machine *Machine
	dead    bool
	away    bool // the store turns the node away
	version record.Version
}

func newWorld(t failer, size int, seed uint64) *world {
	w := &world{t: t, now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 1))}
	var members []member.Member
	for i := range size {
		addr := netip.AddrFrom4([4]byte{10, byte(i % len(places)), byte(i >> 8), byte(i)})
		self := member.New(member.NewKey(netip.AddrPortFrom(addr, 7000), 1), places[i%len(places)], record.SchemaNewest)
		members = append(members, self)
		w.nodes = append(w.nodes, &simNode{world: w, self: self})
	}
	w.view = member.NewView(members[0].Key(), members)
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (n *simNode) start() {
	n.dead, n.version = false, 0
	n.machine = New(Settings{Self: n.self, Decode: decode}, rand.New(rand.NewPCG(n.world.rnd.Uint64(), 2)))
}

func (w *world) after(d time.Duration, do func()) {
	w.agenda = append(w.agenda, event{at: w.now.Add(d), do: do})
}

// run moves time on in steps, and checks after each that no version falls.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		due := w.agenda
		w.agenda = nil
		for _, e := range due {
			if e.at.After(w.now) {
				w.agenda = append(w.agenda, e)
				continue
			}
			e.do()
		}
		for _, n := range w.nodes {
			if n.dead {
				continue
			}
			n.execute(n.machine.Tick(w.now, w.view))
			n.check()
		}
	}
}

func (n *simNode) check() {
	if v := n.machine.Version(); v < n.version {
		n.world.t.Fatalf("a node went back from %d to %d", n.version, v)
	} else {
		n.version = v
	}
}

func (n *simNode) execute(actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			n.send(a)
		case message.ReadDocument:
			n.read(a)
		}
	}
}

func (n *simNode) send(a message.Send) {
	w := n.world
	at := slices.IndexFunc(w.nodes, func(m *simNode) bool { return m.self.Key().Peer() == a.To() })
	to := w.nodes[at]
	_, reliable := a.Body().(message.Document)
	if !reliable && w.rnd.Float64() < w.loss {
		return
	}
	way := time.Millisecond
	if to.self.Place().Region() != n.self.Place().Region() {
		way = regionWay
	}
	machine := to.machine
	w.after(way, func() {
		if !to.dead && to.machine == machine {
			to.execute(to.machine.Receive(w.now, w.view, message.NewEnvelope(n.self.Key(), a.Body())))
		}
	})
}

func (n *simNode) read(r message.ReadDocument) {
	w := n.world
	w.reads++
	way := storeTime
	if n.self.Place().Region() != "west" {
		way += 2 * regionWay
	}
	machine := n.machine
	end := w.now.Add(r.Wait())
	var look func()
	look = func() {
		if n.dead || n.machine != machine {
			return
		}
		if !n.away && !r.Newest() && len(w.documents) == int(r.From()) && w.now.Before(end) {
			w.after(step, look)
			return
		}
		page, trimmed := w.page(n, r)
		w.after(way, func() {
			if !n.dead && n.machine == machine {
				n.execute(n.machine.ReceivePage(w.now, page, trimmed))
			}
		})
	}
	w.after(0, look)
}

func (w *world) page(n *simNode, r message.ReadDocument) (message.DocumentPage, bool) {
	end := len(w.documents)
	switch {
	case n.away:
		return message.NewDocumentPage(nil, 0, errAway), false
	case !r.Newest() && int(r.From()) < w.first:
		return message.NewDocumentPage(nil, 0, errTrimmed), true
	case end == 0 || !r.Newest() && int(r.From()) >= end:
		return message.NewDocumentPage(nil, record.Offset(end), nil), false
	}
	return message.NewDocumentPage(fmt.Append(nil, w.documents[end-1]), record.Offset(end), nil), false
}

// publish writes a new version, and returns it.
func (w *world) publish() int {
	version := 1
	if n := len(w.documents); n > 0 {
		version = w.documents[n-1] + 1 + w.rnd.IntN(3)
	}
	w.documents = append(w.documents, version)
	return version
}

func (w *world) assertInForce(version int, what string) {
	for i, n := range w.nodes {
		if !n.dead {
			if held := n.machine.Version(); held != record.Version(version) {
				w.t.Fatalf("%s: node %d of %v holds %d, not %d", what, i, n.self.Place(), held, version)
			}
		}
	}
}

// leader returns the reader that is placed best.
func (w *world) leader() *simNode {
	var best *simNode
	for _, n := range w.nodes {
		if !n.dead && n.machine.mayLead() && (best == nil || n.machine.order.place < best.machine.order.place) {
			best = n
		}
	}
	if best == nil {
		w.t.Fatalf("nobody reads")
	}
	return best
}

// settled returns a fleet that holds a first version.
func settled(t failer, size int, seed uint64) *world {
	w := newWorld(t, size, seed)
	first := w.publish()
	w.run(5 * time.Second)
	w.assertInForce(first, "at the start")
	return w
}

func TestChangeIsInForceInTime(t *testing.T) {
	for _, size := range []int{1, 2, 12, 80} {
		w := settled(t, size, 1)
		for range 10 {
			version := w.publish()
			w.run(500 * time.Millisecond)
			w.assertInForce(version, fmt.Sprint(size, " nodes"))
			w.run(time.Duration(w.rnd.IntN(int(time.Second))))
		}
	}
}

func TestStormIsFollowed(t *testing.T) {
	w := settled(t, 12, 2)
	version := 0
	for range 30 {
		version = w.publish()
		w.run(170 * time.Millisecond)
		for _, n := range w.nodes {
			qt.Assert(t, int(n.machine.Version()) >= version-15, qt.IsTrue)
		}
	}
	w.run(600 * time.Millisecond)
	w.assertInForce(version, "after the storm")
}

// TestChangeOutlivesItsReaders kills those who read the store at the moment of the change.
func TestChangeOutlivesItsReaders(t *testing.T) {
	for seed := range uint64(20) {
		w := settled(t, 12, seed)
		for range 1 + seed%2 {
			w.leader().dead = true
			w.run(time.Duration(seed) * 37 * time.Millisecond)
		}
		version := w.publish()
		w.run(inForce)
		w.assertInForce(version, fmt.Sprint("seed ", seed))
	}
}

// TestStoreTurnsReadersAway: the store serves only some nodes, which the others have to hear from.
func TestStoreTurnsReadersAway(t *testing.T) {
	for seed := range uint64(20) {
		w := settled(t, 12, seed)
		for _, n := range w.nodes {
			n.away = n.machine.order.rank < 3
		}
		version := w.publish()
		w.run(inForce)
		w.assertInForce(version, fmt.Sprint("seed ", seed))
		version = w.publish()
		w.run(inForce)
		w.assertInForce(version, fmt.Sprint("second change, seed ", seed))
	}
}

func TestLossIsMadeUp(t *testing.T) {
	for seed := range uint64(10) {
		w := settled(t, 12, seed)
		w.loss = 0.2
		version := w.publish()
		w.run(inForce)
		w.assertInForce(version, fmt.Sprint("seed ", seed))
	}
}

// TestTrimmedDocumentsAreAskedAnew: the entries that a reader would go on from are gone.
func TestTrimmedDocumentsAreAskedAnew(t *testing.T) {
	for _, size := range []int{1, 12} {
		w := settled(t, size, 3)
		for _, n := range w.nodes {
			n.away = true
		}
		w.run(3 * time.Second)
		version := 0
		for range 5 {
			version = w.publish()
		}
		w.first = len(w.documents) - 1
		for _, n := range w.nodes {
			n.away = false
		}
		w.run(inForce)
		w.assertInForce(version, "after the store was away")
	}
}

// TestRestartedNodeCatchesUp, with the store and without it.
func TestRestartedNodeCatchesUp(t *testing.T) {
	for _, away := range []bool{false, true} {
		w := settled(t, 12, 4)
		version := w.publish()
		w.run(time.Second)
		for _, n := range w.nodes {
			n.away = away
		}
		for _, n := range w.nodes[:4] {
			n.start()
		}
		w.run(inForce)
		w.assertInForce(version, fmt.Sprint("store away: ", away))
	}
}

// TestHeldDocumentIsNotReadAgain: starting nodes get the same document from several others, and reading it takes
// milliseconds.
func TestHeldDocumentIsNotReadAgain(t *testing.T) {
	c := qt.New(t)
	w := settled(t, 2, 5)
	m, reads := w.nodes[0].machine, 0
	m.settings.Decode = func(data []byte) (*routing.Table, error) {
		reads++
		return decode(data)
	}
	from := w.nodes[1].self.Key()
	for range 3 {
		d := message.NewDocument(message.NewNews(message.Origin{}, m.Version(), 0), m.packed)
		m.Receive(w.now, w.view, message.NewEnvelope(from, d))
	}
	c.Assert(reads, qt.Equals, 0)
	next := m.Version() + 1
	d := message.NewDocument(message.NewNews(message.Origin{}, next, 0), codec.Compress(fmt.Append(nil, next)))
	m.Receive(w.now, w.view, message.NewEnvelope(from, d))
	c.Assert(reads, qt.Equals, 1)
	c.Assert(m.Version(), qt.Equals, next)
}

func TestBadDocumentChangesNothing(t *testing.T) {
	c := qt.New(t)
	w := settled(t, 2, 5)
	m := w.nodes[0].machine
	held := m.Version()
	c.Assert(m.adopt([]byte("x"), nil, netip.AddrPort{}), qt.IsFalse)
	c.Assert(m.adopt(fmt.Append(nil, held), nil, netip.AddrPort{}), qt.IsFalse)
	c.Assert(m.Version(), qt.Equals, held)
	c.Assert(m.DocumentError(), qt.IsNotNil)
}

// TestStoreIsReadByFew bounds the calls to the store, which are priced, while nothing changes.
func TestStoreIsReadByFew(t *testing.T) {
	for _, size := range []int{12, 80} {
		w := settled(t, size, 6)
		before := w.reads
		w.run(time.Minute)
		perSecond := float64(w.reads-before) / 60
		qt.Check(t, perSecond < 3.5, qt.IsTrue, qt.Commentf("%d nodes: %.2f reads a second", size, perSecond))
	}
}

// TestFeedProperty draws schedules of changes, deaths, returns, loss and outages: versions never fall, and once the
// faults have ended the newest one is in force in time.
func TestFeedProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 14).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		w.publish()
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				w.publish()
			case 1:
				n.dead = true
			case 2:
				n.start()
			case 3:
				n.away = !n.away
			case 4:
				w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			case 5:
				w.first = len(w.documents) - 1
			}
			w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		version := w.publish()
		w.loss = 0
		for _, n := range w.nodes {
			n.away = false
			if n.dead {
				n.start()
			}
		}
		w.run(inForce)
		w.assertInForce(version, "after all faults")
	})
}
