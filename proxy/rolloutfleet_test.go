package proxy_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/proxy"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/rollout"
)

const (
	rolloutLimit = 24 * time.Second
	rolloutRate  = 300.0 // requests per second of the whole fleet
	oldNodes     = 12
	oldVersion   = "v1"
	newVersion   = "v2"
)

// rolloutStore is the platform's store with a document, orders, decisions and statuses, in virtual time.
type rolloutStore struct {
	bounds rollout.Settings
	isCut  atomic.Pointer[func(from, to *limitNode) bool]

	mu        sync.Mutex
	orders    []rollout.Order // entry i is at offset i+1, after the document
	decisions []rollout.Decision
	statuses  []rolloutStatus
	actions   int // reads and writes for roll-outs
}

type rolloutStatus struct {
	state    string
	sequence uint64
	at       time.Time
}

// rolloutSettings returns the settings of a node, which ignore versions without a store.
func (s *rolloutStore) rolloutSettings(n *limitNode) control.RolloutSettings {
	if s == nil {
		return control.RolloutSettings{}
	}
	return control.RolloutSettings{Bounds: s.bounds, Counts: n.versions.Counts}
}

// order orders the new version.
func (s *rolloutStore) order() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, rollout.NewOrder(service, newVersion, rolloutLimit, uint64(len(s.orders))+2, time.Time{}))
}

// execute does what a control loop asks for, and passes on the result unless the node has been stopped.
func (s *rolloutStore) execute(l *controlLoop, a message.Action) {
	deliver := func(event func(c *control.Sidecar) []message.Action) {
		if l.node.controlLoop() == l {
			l.handle(event)
		}
	}
	delay := storeDelay
	if l.node.place.Region() != "a" {
		delay += 2 * otherRegionDelay
	}
	switch a := a.(type) {
	case message.ReadDocument:
		go func() {
			page := s.read(a)
			time.Sleep(delay)
			deliver(func(c *control.Sidecar) []message.Action { return c.ReceiveDocumentPage(time.Now(), page) })
		}()
	case message.RolloutAction:
		time.AfterFunc(delay, func() {
			result := s.do(a.Request())
			deliver(func(c *control.Sidecar) []message.Action { return c.ReceiveRolloutResult(time.Now(), result) })
		})
	}
}

const storeDelay = 4 * time.Millisecond

// read returns the document, or the orders from an offset on, once there are any or the time is over.
func (s *rolloutStore) read(r message.ReadDocument) message.DocumentPage {
	for end := time.Now().Add(r.MaxWait()); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		next := record.Offset(len(s.orders) + 1)
		orders := slices.Clone(s.orders)
		s.mu.Unlock()
		if r.Newest() {
			return message.NewDocumentPage([]byte("1"), next, nil).WithOrders(orders, nil).WithEra(1)
		}
		if r.StartOffset() < next || !time.Now().Before(end) {
			return message.NewDocumentPage(nil, next, nil).WithOrders(orders[r.StartOffset()-1:], nil).WithEra(1)
		}
	}
}

func (s *rolloutStore) do(request rollout.Action) message.RolloutResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions++
	switch r := request.(type) {
	case rollout.AppendDecision:
		if r.End() != uint64(len(s.decisions)) {
			return message.NewRolloutResult(r, rollout.StoreRejected, nil)
		}
		s.decisions = append(s.decisions, r.Decision())
	case rollout.WriteStatus:
		d := r.Decision()
		if len(s.statuses) > 0 && s.statuses[len(s.statuses)-1].sequence > d.Sequence() {
			return message.NewRolloutResult(r, rollout.StoreRejected, nil)
		}
		s.statuses = append(s.statuses, rolloutStatus{state: d.Phase().State(), sequence: d.Sequence(), at: time.Now()})
	default:
		return message.NewRolloutPage(r, slices.Clone(s.decisions), uint64(len(s.decisions)), nil)
	}
	return message.NewRolloutResult(request, rollout.StoreDone, nil)
}

// ended returns the time of the first status with a final state, and the last state.
func (s *rolloutStore) ended() (at time.Time, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range s.statuses {
		if state = status.state; state != "running" && at.IsZero() {
			at = status.at
		}
	}
	return at, state
}

// phase returns the phase of the last decision and its share, in thousandths.
func (s *rolloutStore) phase() (rollout.Phase, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.decisions) == 0 {
		return 0, 0
	}
	d := s.decisions[len(s.decisions)-1]
	return d.Phase(), d.Share()
}

// newRolloutFleet starts twelve nodes with servers of the old version. As many with servers of the new one, which fail a
// share of their requests, wait to be started.
func newRolloutFleet(failing float64) *limitFleet {
	f := prepareLimitFleet(2*oldNodes, 6, 20*time.Millisecond)
	f.withControl = true
	f.store = &rolloutStore{bounds: rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}}
	f.isCut = func(from, to *limitNode) bool {
		isCut := f.store.isCut.Load()
		return isCut != nil && (*isCut)(from, to)
	}
	for i, n := range f.nodes {
		n.versions, n.version = proxy.NewVersionCounters(), oldVersion
		if i >= oldNodes {
			n.version, n.server.failing = newVersion, failing
		}
	}
	f.startNodes(f.old())
	time.Sleep(5 * time.Second)
	return f
}

// closeAll closes the fleet and waits for reads of the store.
func (f *limitFleet) closeAll() {
	f.close()
	time.Sleep(2 * time.Second)
}

func (f *limitFleet) startNodes(nodes []*limitNode) {
	for _, n := range nodes {
		n.start()
		n.startControl()
	}
}

func (f *limitFleet) old() []*limitNode { return f.nodes[:oldNodes] }

func (f *limitFleet) fresh() []*limitNode { return f.nodes[oldNodes:] }

// rollOut orders the new version and starts its servers, with load at the old nodes until the end.
func (f *limitFleet) rollOut(duration time.Duration, at []*limitNode) {
	f.store.order()
	time.AfterFunc(1300*time.Millisecond, func() { f.startNodes(f.fresh()) })
	f.load(rolloutRate, duration, at)
}

// The encoder and decoder are set up here, as a channel that is made in the bubble of one test cannot be used in that of
// another.
var _, _ = codec.Decompress(codec.Compress([]byte("1")))

// arrivals returns the requests that reached the servers beside some nodes since a time.
func arrivals(nodes []*limitNode, since time.Time) int {
	sum := 0
	for _, n := range nodes {
		sum += n.server.arrivedSince(since)
	}
	return sum
}

// lastFrom returns the last arrival of a request of a calling service at the servers beside some nodes.
func lastFrom(nodes []*limitNode, caller string) time.Time {
	var last time.Time
	for _, n := range nodes {
		n.server.mu.Lock()
		if at := n.server.lastFrom[caller]; at.After(last) {
			last = at
		}
		n.server.mu.Unlock()
	}
	return last
}

// kill ends a node together with its server.
func (n *limitNode) kill() {
	n.stop()
	n.fleet.network.remove(n.peer)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	_ = n.server.http.Close()
}

// decider returns the node that decides, as the others know it.
func (f *limitFleet) decider() *limitNode {
	for _, n := range f.old() {
		loop := n.controlLoop()
		loop.mu.Lock()
		statuses := loop.core.Rollouts(time.Now())
		loop.mu.Unlock()
		if len(statuses) > 0 && statuses[0].Decider().IsValid() {
			return f.nodeAt(statuses[0].Decider())
		}
	}
	return nil
}

// cut makes messages between control loops get lost.
func (f *limitFleet) cut(isCut func(from, to *limitNode) bool) { f.store.isCut.Store(&isCut) }

// without returns the nodes except one.
func without(nodes []*limitNode, excluded *limitNode) []*limitNode {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *limitNode) bool { return n == excluded })
}
