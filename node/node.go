// Package node implements the daemon that runs on the VM of a backend server. It runs the control loop, connects it to
// other nodes, the platform's log and operators, and forwards calls. There are two kinds of node: a Node applies the
// change sets that operators publish in the log; a Sidecar applies the operator's document, which the log service also
// stores.
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
	// drainNoticeTime is the time from the start of a drain until the node stops listening. Gossip announces the drain to
	// the fleet in the meantime.
	drainNoticeTime = 2 * time.Second
	// leaveNoticeTime is the time that a leaving node has to send its last claims.
	leaveNoticeTime = 300 * time.Millisecond
	// handoverTimeout is the timeout of the handover of the ledger to other nodes.
	handoverTimeout = 2 * time.Second
	// gaugePeriod is the time between two updates of the gauges.
	gaugePeriod = 5 * time.Second
)

// Node is a running node that reads its configuration from the log.
type Node struct {
	settings  setting.Settings
	clock     *timer.Service
	log       zerolog.Logger
	self      member.Member
	lifecycle *lifecycle
	metrics   *metric.Registry
	burn      *burn.Counter

	queue           *eventQueue
	currentSnapshot atomic.Pointer[message.Snapshot] // nil until the node has joined
	controller      *controller
	peers           *peerTransport
	logClient       *logClient
	announcements   *announceHandler
	ingress         *call.Ingress
	owner           *call.Owner
	quarantine      *quarantineView
	dialer          *link.Dialer
	forward         *link.Forwarder
	calls           *link.CallServer
	gaugeTimer      *timer.Subscription

	callerServer   *httpServer
	announceServer *httpServer
	observeServer  *httpServer
	operatorServer *httpServer

	drainOnce sync.Once
	closeOnce sync.Once
}

// New starts a node. If it fails, nothing is left running.
func New(s setting.Settings, clock *timer.Service, log zerolog.Logger) (*Node, error) {
	sockets, err := listenNode(s)
	if err != nil {
		return nil, err
	}
	self := member.New(member.NewKey(s.Node().PeerAddress(), member.Incarnation(clock.Now().UnixMicro())), s.Node().Place(), record.SchemaNewest)
	metrics := metric.New(map[string]string{"region": string(s.Node().Region())})
	n := &Node{
		settings: s, clock: clock, log: log, self: self, metrics: metrics,
		lifecycle: newLifecycle(log, metrics.Scope()),
		queue:     newEventQueue(metrics.Scope()),
		burn:      burn.New(self.Key(), s.Node().Region(), clock, metrics.Scope()),
	}
	n.startDataPlane()
	n.startControlPlane(sockets)
	n.startServers(sockets)
	return n, nil
}

// startDataPlane creates the components that forward and run calls. Until the node has joined, they refuse calls as not
// run.
func (n *Node) startDataPlane() {
	s := n.settings
	n.dialer = link.NewDialer(s.Fleet().Name())
	n.forward = link.NewForwarder(n.dialer)
	n.quarantine = newQuarantineView(n.log, n.clock, n.self.Key().Peer().Addr(), n.post)
	n.owner = call.NewOwner(call.OwnerSettings{
		Quarantine: n.quarantine.load,
		Reports:    call.CrashReports{OnCrash: n.quarantine.onCrash, OnCleared: n.quarantine.onCleared, OnTrial: n.quarantine.onTrial},

		Fleet:     s.Fleet().Name(),
		Self:      n.self.Key(),
		Snapshot:  n.snapshot,
		Admission: admission.Settings{QueueLimit: s.Call().QueueLimit(), MaxWait: s.Call().QueueWait()},
		Ledger:    ledger.Settings{TTL: s.Call().KeyTTL(), MaxKeys: s.Call().MaxKeys(), MaxResponseBytes: s.Call().MaxResponseBytes()},
		Timers:    n.clock,
		Scope:     n.metrics.Scope(),
	})
	n.calls = link.NewCallServer(n.owner)
	n.ingress = call.New(call.Settings{
		Quarantine: n.quarantine.load,
		Fleet:      s.Fleet().Name(),
		Self:       n.self.Key(),
		Place:      s.Node().Place(),
		Snapshot:   n.snapshot,
		Forward:    n.forward,
		NotSent:    notSent,
		Observe:    n.burn.Observe,
		Retry:      retry.Settings{Share: s.Call().RetryShare()},
		Timers:     n.clock,
		Rand:       n.newRand(),
		Scope:      n.metrics.Scope(),
	})
}

func notSent(err error) bool {
	var e *message.NotSentError
	return errors.As(err, &e)
}

func notApplied(err error) bool { return platform.ClassOf(err) == platform.ClassNotApplied }

func (n *Node) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), uint64(n.self.Key().Incarnation())))
}

// startControlPlane starts the control loop and the components that execute its actions.
func (n *Node) startControlPlane(sockets nodeSockets) {
	s := n.settings
	core := control.New(control.Settings{
		Self:       n.self,
		LogRegion:  s.Fleet().LogRegion(),
		Fleet:      fleet.Settings{Fleet: s.Fleet().Name(), Hints: s.Fleet().Hints()},
		NotApplied: notApplied,
	}, n.newRand())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeaderBytes}}
	scope := n.metrics.Scope()
	n.logClient = newLogClient(platform.NewLog(s.Log().Address(), client), s.Log().ReadTimeout(), s.Log().AppendTimeout(), n.post)
	n.peers = newPeerTransport(sockets.peer, s.Fleet().Name(), n.self.Key(), n.dialer, n.queue.tryPost, n.calls.ServeConn, scope)
	n.announcements = newAnnounceHandler(n.clock, n.onServerChange)
	n.controller = newController(core, n.clock, n.queue, &n.currentSnapshot, n.execute, n.onJoined, n.onKeyChange, n.quarantine.publish)
	gauges, counters := metric.NewStatusGauges(scope), metric.NewControlCounters(scope)
	n.gaugeTimer = n.clock.Every(gaugePeriod, func(now time.Time) {
		gauges.Record(now, n.Status())
		scope.Gauge("requests_quarantined").Update(float64(len(n.quarantine.load().Quarantined())))
		n.queue.query(func() { counters.Record(n.controller.core.FleetCounts(), n.controller.core.RelayCounts()) })
	})
}

// startServers starts the HTTP servers.
func (n *Node) startServers(sockets nodeSockets) {
	handler := operator.NewHandler(n.settings.Fleet().Name(), operator.Callbacks{
		Publish: n.Publish,
		Bridge:  n.Bridge,
		Status:  n.Status,
		Drain:   n.Drain,
		Outcome: n.Outcome,
		Burn:    n.burnCounts,
		Records: n.records,
	}, n.metrics.Scope())
	n.callerServer = newHTTPServer(sockets.callers, n.ingress)
	n.announceServer = newHTTPServer(sockets.server, n.announcements)
	n.observeServer = newHTTPServer(sockets.observe, newObserveHandler(n.metrics.Handler(), n.lifecycle.current, n.alive, n.quarantine))
	n.operatorServer = newHTTPServer(sockets.operators, handler)
}

func (n *Node) snapshot() *message.Snapshot { return n.currentSnapshot.Load() }

func (n *Node) post(e message.Event) { n.queue.post(e) }

func (n *Node) alive() bool { return n.queue.query(func() {}) }

// execute starts an action of the control loop. It does not block.
func (n *Node) execute(a message.Action) {
	switch a := a.(type) {
	case message.Send:
		n.peers.send(a)
	case message.ReadLog:
		n.logClient.read(a)
	case message.AppendLog:
		n.logClient.append(a)
	}
}

func (n *Node) onJoined() { n.lifecycle.transition(eventJoined) }

// onKeyChange applies a new key of the node to the components that use it.
func (n *Node) onKeyChange(self member.Key) {
	n.log.Info().Uint64("incarnation", uint64(self.Incarnation())).Msg("the address had a greater incarnation before; using a greater one than that")
	n.peers.setSelf(self)
	n.owner.Rename(self)
}

func (n *Node) onServerChange(addr netip.AddrPort, server member.Server) {
	n.log.Info().Str("service", server.Service()).Stringer("state", server.State()).Stringer("address", addr).Msg("backend server changed")
	n.owner.SetServer(addr, server)
	n.queue.post(message.NewServerUpdate(server))
}

// Publish appends a change set to the log and waits until it is accepted or rejected.
func (n *Node) Publish(ctx context.Context, change record.ChangeSet) message.Receipt {
	receipts := make(chan message.Receipt, 1)
	request := message.NewPublishRequest(change, func(r message.Receipt) { receipts <- r })
	if !n.queue.post(request) {
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

// Status returns the status of the node and its view of the fleet.
func (n *Node) Status() message.Status {
	var s message.Status
	n.queue.query(func() { s = n.controller.core.Status(n.clock.Now()) })
	return s.WithStage(n.lifecycle.current())
}

// Outcome returns the outcome of a publish, if the node knows it.
func (n *Node) Outcome(id record.PublishID) (outcome record.Outcome, ok bool) {
	n.queue.query(func() { outcome, ok = n.controller.core.Outcome(id) })
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
