// Package node is the daemon beside a backend server: it runs the control thread, connects it with
// other nodes, the platform's log and operators, and carries calls.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/burn"
	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/link"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/timer"
	"github.com/rs/zerolog"
)

const (
	// hearTime is how long a draining node waits for the fleet to hear of it before it stops listening.
	hearTime = 2 * time.Second
	// leaveTime is how long the last claims of a leaving node have to be sent.
	leaveTime = 300 * time.Millisecond
	// handoverTime bounds the handover of the ledger to other nodes.
	handoverTime = 2 * time.Second
	// gaugePeriod is the time between two updates of the gauges.
	gaugePeriod = 5 * time.Second
)

// Node is a running node.
type Node struct {
	settings setting.Settings
	clock    *timer.Service
	log      zerolog.Logger
	self     member.Member
	stages   *stages
	metrics  *metric.Registry
	burn     *burn.Counter

	queue   *queue
	pinned  atomic.Pointer[message.Snapshot] // nil until the node may serve
	thread  *thread
	peers   *peerEdge
	logs    *logEdge
	server  *serverEdge
	ingress *call.Ingress
	owner   *call.Owner
	dialer  *link.Dialer
	forward *link.Forward
	calls   *link.Calls
	gauges  *timer.Subscription

	callers   *httpEdge
	announce  *httpEdge
	observe   *httpEdge
	operators *httpEdge

	drain sync.Once
	close sync.Once
}

// New starts a node. On an error nothing runs.
func New(s setting.Settings, clock *timer.Service, log zerolog.Logger) (*Node, error) {
	sockets, err := listenAll(s)
	if err != nil {
		return nil, err
	}
	self := member.New(member.NewKey(s.Node().Peer(), member.Incarnation(clock.Now().UnixMicro())), s.Node().Place(), record.SchemaNewest)
	metrics := metric.New(map[string]string{"region": string(s.Node().Region())})
	n := &Node{
		settings: s, clock: clock, log: log, self: self, metrics: metrics,
		stages: newStages(log, metrics.Scope()),
		queue:  newQueue(metrics.Scope()),
		burn:   burn.New(self.Key(), s.Node().Region(), clock, metrics.Scope()),
	}
	n.startTraffic()
	n.startControl(sockets)
	n.startPorts(sockets)
	return n, nil
}

// startTraffic makes the parts that carry calls. They answer "not run" until the node has joined.
func (n *Node) startTraffic() {
	s := n.settings
	n.dialer = link.NewDialer(s.Fleet().Name())
	n.forward = link.NewForward(n.dialer)
	n.owner = call.NewOwner(call.OwnerSettings{
		Fleet:     s.Fleet().Name(),
		Self:      n.self.Key(),
		Snapshot:  n.snapshot,
		Admission: admission.Settings{QueueLimit: s.Call().Queue(), MaxWait: s.Call().QueueWait()},
		Ledger:    ledger.Settings{TTL: s.Call().KeyTTL(), MaxKeys: s.Call().Keys(), MaxResponseBytes: s.Call().KeyBytes()},
		Timers:    n.clock,
		Scope:     n.metrics.Scope(),
	})
	n.calls = link.NewCalls(n.owner)
	n.ingress = call.New(call.Settings{
		Fleet:    s.Fleet().Name(),
		Self:     n.self.Key(),
		Place:    s.Node().Place(),
		Snapshot: n.snapshot,
		Forward:  n.forward,
		NotSent:  notSent,
		Observe:  n.burn.Observe,
		Retry:    retry.Settings{Share: s.Call().RetryShare()},
		Timers:   n.clock,
		Rand:     n.random(),
		Scope:    n.metrics.Scope(),
	})
}

func notSent(err error) bool {
	var e *message.NotSentError
	return errors.As(err, &e)
}

func notApplied(err error) bool { return platform.ClassOf(err) == platform.ClassNotApplied }

func (n *Node) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), uint64(n.self.Key().Incarnation())))
}

// startControl starts the control thread and the edges that it acts through.
func (n *Node) startControl(sockets sockets) {
	s := n.settings
	core := control.New(control.Settings{
		Self:       n.self,
		LogRegion:  s.Fleet().LogRegion(),
		Fleet:      fleet.Settings{Fleet: s.Fleet().Name(), Hints: s.Fleet().Hints()},
		NotApplied: notApplied,
	}, n.random())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	scope := n.metrics.Scope()
	n.logs = newLogEdge(platform.NewLog(s.Log().Address(), client), s.Log().ReadTimeout(), s.Log().AppendTimeout(), n.post)
	n.peers = newPeerEdge(sockets.peer, s.Fleet().Name(), n.self.Key(), n.dialer, n.queue.offer, n.calls.ServeConn, scope)
	n.server = newServerEdge(n.clock, n.serverChanged)
	n.thread = newThread(core, n.clock, n.queue, &n.pinned, n.execute, n.joined, n.renamed)
	gauges, counters := metric.NewStatusGauges(scope), metric.NewControlCounters(scope)
	n.gauges = n.clock.Every(gaugePeriod, func(now time.Time) {
		gauges.Record(now, n.Status())
		n.queue.ask(func() { counters.Record(n.thread.core.FleetCounts(), n.thread.core.Counts()) })
	})
}

// startPorts starts to serve the HTTP ports.
func (n *Node) startPorts(sockets sockets) {
	port := operator.NewHandler(n.settings.Fleet().Name(), operator.Callbacks{
		Publish: n.Publish,
		Bridge:  n.Bridge,
		Status:  n.Status,
		Drain:   n.Drain,
		Outcome: n.Outcome,
		Burn:    n.burnCounts,
		Records: n.records,
	}, n.metrics.Scope())
	n.callers = newHTTPEdge(sockets.callers, n.ingress)
	n.announce = newHTTPEdge(sockets.server, n.server)
	n.observe = newHTTPEdge(sockets.observe, newObserver(n.metrics.Handler(), n.stages.current, n.alive))
	n.operators = newHTTPEdge(sockets.operators, port)
}

func (n *Node) snapshot() *message.Snapshot { return n.pinned.Load() }

func (n *Node) post(e message.Event) { n.queue.post(e) }

func (n *Node) alive() bool { return n.queue.ask(func() {}) }

// execute carries out an action of the control thread. It does not block.
func (n *Node) execute(a message.Action) {
	switch a := a.(type) {
	case message.Send:
		n.peers.send(a)
	case message.ReadLog:
		n.logs.read(a)
	case message.AppendLog:
		n.logs.append(a)
	}
}

func (n *Node) joined() { n.stages.fire(eventJoined) }

// renamed passes on that the node took another key.
func (n *Node) renamed(self member.Key) {
	n.log.Info().Uint64("incarnation", uint64(self.Incarnation())).Msg("address was used before, took a greater incarnation")
	n.peers.rename(self)
	n.owner.Rename(self)
}

func (n *Node) serverChanged(addr netip.AddrPort, server member.Server) {
	n.log.Info().Str("service", server.Service()).Stringer("state", server.State()).Stringer("address", addr).Msg("backend server changed")
	n.owner.SetServer(addr, server)
	n.queue.post(message.NewServerUpdate(server))
}

// Publish appends a change set to the log and waits for the fleet's decision.
func (n *Node) Publish(ctx context.Context, change record.ChangeSet) message.Receipt {
	receipts := make(chan message.Receipt, 1)
	asked := message.NewPublishRequest(change, func(r message.Receipt) { receipts <- r })
	if !n.queue.post(asked) {
		return message.NewUndecidedReceipt(message.ReceiptNotAppended, context.Canceled)
	}
	select {
	case r := <-receipts:
		return r
	case <-ctx.Done():
		return message.NewUndecidedReceipt(message.ReceiptUnknown, ctx.Err())
	case <-n.queue.done:
		return message.NewUndecidedReceipt(message.ReceiptUnknown, context.Canceled)
	}
}

// Status returns what the node knows of itself and the fleet.
func (n *Node) Status() message.Status {
	var s message.Status
	n.queue.ask(func() { s = n.thread.core.Status(n.clock.Now()) })
	return s.WithStage(n.stages.current())
}

// Outcome returns the fleet's decision on a publish, if the node knows it.
func (n *Node) Outcome(id record.PublishID) (outcome record.Outcome, ok bool) {
	n.queue.ask(func() { outcome, ok = n.thread.core.Outcome(id) })
	return outcome, ok
}

func (n *Node) burnCounts() burn.Counts {
	s := n.snapshot()
	if s == nil {
		return n.burn.Counts(nil)
	}
	return n.burn.Counts(s.Config().Routes())
}

func (n *Node) records() operator.Records {
	s := n.snapshot()
	if s == nil {
		return operator.Records{}
	}
	return operator.NewRecords(s.Config().Version(), s.Config().Level(), s.Config().Records())
}
