package proxy_test

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/wire"
)

// Delays of messages between control loops.
const (
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 20 * time.Millisecond
)

const controlFleetName = "sidecars"

// controlLoop is the control loop of a limitNode. It exchanges messages with those of the other nodes.
type controlLoop struct {
	node *limitNode
	done chan struct{}

	mu   sync.Mutex
	core *control.Sidecar
	view *quarantine.View
}

// startControls starts the control loops of all nodes and waits until they know each other.
func (f *limitFleet) startControls() {
	f.withControl = true
	for _, n := range f.nodes {
		n.startControl()
	}
	for !f.allJoined() {
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *limitFleet) allJoined() bool {
	for _, n := range f.nodes {
		loop := n.controlLoop()
		loop.mu.Lock()
		members := len(loop.core.Members())
		loop.mu.Unlock()
		if members < len(f.nodes) {
			return false
		}
	}
	return true
}

func (n *limitNode) startControl() {
	var hints []netip.AddrPort
	for _, other := range n.fleet.nodes[:min(3, len(n.fleet.nodes))] {
		if other != n {
			hints = append(hints, other.peer)
		}
	}
	self := member.New(n.key, n.place, record.SchemaNewest).WithServer(n.announcedServer())
	loop := &controlLoop{node: n, done: make(chan struct{}), view: quarantine.NewView()}
	loop.core = control.NewSidecar(control.SidecarSettings{
		Self: self, Fleet: fleet.SidecarSettings(controlFleetName, hints, 20*time.Second),
		Feed: feed.Settings{Self: self, Decode: func([]byte) (*routing.Table, error) { return n.fleet.table, nil }},
		Gone: func(error) bool { return false }, Rollouts: n.fleet.store.rolloutSettings(n),
	}, rand.New(rand.NewPCG(uint64(n.key.Peer().Addr().As4()[3]), uint64(n.key.Incarnation()))))
	n.mu.Lock()
	n.control = loop
	n.mu.Unlock()
	go loop.run()
}

func (n *limitNode) stopControl() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.control != nil {
		close(n.control.done)
		n.control = nil
	}
}

func (n *limitNode) controlLoop() *controlLoop {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

func (l *controlLoop) run() {
	ticker := time.NewTicker(control.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.handle(func(c *control.Sidecar) []message.Action { return c.Tick(now) })
		case <-l.done:
			return
		}
	}
}

// handle runs one event and sends the messages that result.
func (l *controlLoop) handle(event func(c *control.Sidecar) []message.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	actions := event(l.core)
	l.view = l.core.Quarantine()
	for _, a := range actions {
		if send, ok := a.(message.Send); ok {
			l.send(send)
		} else if store := l.node.fleet.store; store != nil {
			store.execute(l, a)
		}
	}
	if l.node.fleet.store != nil {
		l.node.snapshot.Store(l.core.Snapshot())
	}
}

func (l *controlLoop) send(s message.Send) {
	frame, err := wire.Encode(controlFleetName, l.core.Self().Key(), s.Body())
	if err != nil {
		panic(err)
	}
	to := l.node.fleet.nodeAt(s.Recipient())
	if to == nil || l.node.fleet.isCut != nil && l.node.fleet.isCut(l.node, to) {
		return
	}
	delay := sameRegionDelay
	if to.place.Region() != l.node.place.Region() {
		delay = otherRegionDelay
	}
	time.AfterFunc(delay, func() { to.receive(frame) })
}

func (f *limitFleet) nodeAt(peer netip.AddrPort) *limitNode {
	return f.byPeer[peer]
}

func (n *limitNode) receive(frame []byte) {
	loop := n.controlLoop()
	env, err := wire.Decode(controlFleetName, frame)
	if loop == nil || err != nil {
		return
	}
	loop.handle(func(c *control.Sidecar) []message.Action { return c.Receive(time.Now(), env) })
}

func (n *limitNode) quarantine() *quarantine.View {
	loop := n.controlLoop()
	if loop == nil {
		return quarantine.NewView()
	}
	loop.mu.Lock()
	defer loop.mu.Unlock()
	return loop.view
}

// post passes an event of the node's traffic to its control loop.
func (n *limitNode) post(event func(c *control.Sidecar) []message.Action) {
	if loop := n.controlLoop(); loop != nil {
		loop.handle(event)
	}
}

func (n *limitNode) onCrash(server quarantine.Server, requests []quarantine.Request) {
	n.post(func(c *control.Sidecar) []message.Action {
		return c.ReportCrash(time.Now(), message.NewServerCrash(server, requests))
	})
}

func (n *limitNode) onCleared(request quarantine.Request) {
	n.post(func(c *control.Sidecar) []message.Action {
		return c.ClearRequest(time.Now(), message.NewRequestCleared(request))
	})
}

func (n *limitNode) onTrial(content quarantine.Content, number int) {
	n.post(func(c *control.Sidecar) []message.Action {
		return c.RecordTrial(time.Now(), message.NewContentTried(content, number))
	})
}
