package node

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/link"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/presence"
	"github.com/bambooknot/bambooknot/proxy"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/timer"
)

// sidecarFleet names the fleet in frames and in the rendezvous stream. The store belongs to one fleet.
const sidecarFleet = "sidecars"

// Sidecar is a running node that takes its routes from the platform's store, beside the backend server that
// reports to it.
type Sidecar struct {
	path     string
	started  time.Time
	settings atomic.Pointer[setting.Sidecar]
	clock    *timer.Service
	log      zerolog.Logger
	sink     *LogSink
	metrics  *metric.Registry
	stages   *stages

	snapshot atomic.Pointer[routing.Snapshot] // nil until the node holds routes
	fleeted  atomic.Bool                      // the node knows the fleet, or is the first of it
	queue    *queue
	core     *control.Sidecar // owned by the loop
	self     member.Key       // owned by the loop
	viewed   time.Time        // when the view last changed; owned by the loop
	refused  int              // documents that could not be read; owned by the loop
	loop     *loop

	peers     *peerEdge
	logs      *logEdge
	documents *documentEdge
	reports   *reportEdge
	owner     *proxy.Owner
	ingress   *proxy.Ingress
	inner     *exchange.Server
	callers   *exchange.Server
	server    *httpEdge
	ready     *httpEdge
	observe   *httpEdge
	gauges    *timer.Subscription
	close     sync.Once
}

// NewSidecar starts a node. path is the file that s was read from, for Reload. On an error nothing runs.
func NewSidecar(path string, s setting.Sidecar, clock *timer.Service, sink *LogSink, log zerolog.Logger) (*Sidecar, error) {
	sockets, err := listenSidecar(s)
	if err != nil {
		return nil, err
	}
	n := &Sidecar{path: path, started: clock.Now(), clock: clock, log: log, sink: sink}
	n.settings.Store(&s)
	n.metrics = metric.New(map[string]string{"region": string(s.Place().Region())})
	n.stages = newStages(log, n.metrics.Scope())
	n.queue = newQueue(n.metrics.Scope())
	self := member.New(member.NewKey(s.PeerAddress(), member.Incarnation(clock.Now().UnixMicro())), s.Place(), record.SchemaNewest)
	n.self = self.Key()
	n.startTraffic(self, s)
	n.startControl(self, s, sockets)
	n.startPorts(s, sockets)
	n.log.Info().Str("kind", "started").Stringer("peer", s.PeerAddress()).Str("service", s.Service()).
		Str("region", string(s.Place().Region())).Str("failure_domain", string(s.Place().FailureDomain())).Bool("first_start", s.FirstStart()).Msg("node started")
	return n, nil
}

// Connections to other nodes.
const (
	peerDialTimeout = 500 * time.Millisecond // a connection and its hello take two ways there and back, 80 ms between regions
	peerIdleTimeout = 30 * time.Second
	peerIdle        = 64
	maxPeerAnswer   = 64 << 20 // bytes
	// farCooling is how long a refusal by the other region is believed. Each further try costs the caller 40 ms and
	// bytes over the billed link, and a region that is full stays so for longer than a server.
	farCooling = 500 * time.Millisecond
	// coldTime is how long a server that turned ready gets less than its share.
	coldTime = 3 * time.Second
)

func (n *Sidecar) startTraffic(self member.Member, s setting.Sidecar) {
	scope := n.metrics.Scope()
	routine := n.log.Output(n.sink.RoutineWriter())
	dialer := link.NewDialer(sidecarFleet)
	n.owner = proxy.NewOwner(proxy.OwnerSettings{Timers: n.clock, Log: n.log, AnsweredLog: routine, Scope: scope})
	n.ingress = proxy.NewIngress(proxy.IngressSettings{
		Self:     self.Key(),
		Place:    s.Place(),
		Snapshot: n.snapshot.Load,
		Service:  func() string { return n.settings.Load().Service() },
		Owner:    n.owner,
		Pool:     exchange.PoolSettings{Dial: dialer.Calls, DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxIdlePerPeer: peerIdle, MaxBodyBytes: maxPeerAnswer},
		Retry: retry.WindowBudgetSettings{
			Span: s.RetryBudget().Window(), Share: s.RetryBudget().Share() * retry.FleetSafetyFactor, Reserve: float64(s.RetryBudget().Reserve()) * retry.FleetSafetyFactor,
		},
		Balance:     balance.Settings{SlowStart: coldTime, CrossRegionBackoff: farCooling},
		Timers:      n.clock,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), uint64(self.Key().Incarnation()))),
		Log:         n.log,
		AnsweredLog: routine,
		Scope:       scope,
	})
	n.inner = exchange.NewServer(nil, exchange.Settings{
		Handle: n.owner.ServeCall,
		Limits: func() exchange.Limits {
			return exchange.Limits{MaxHeaderBytes: innerHeader, MaxBodyBytes: maxPeerAnswer}
		},
		HeaderTimeout: func() time.Duration { return innerTimeout },
		IdleTimeout:   func() time.Duration { return 2 * peerIdleTimeout },
		Timers:        n.clock,
	})
}

// Limits of calls between nodes.
const (
	innerHeader  = 256 << 10
	innerTimeout = 5 * time.Second
)

func (n *Sidecar) startControl(self member.Member, s setting.Sidecar, sockets sidecarSockets) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), uint64(self.Key().Incarnation())))
	n.core = control.NewSidecar(control.SidecarSettings{
		Self:    self,
		Fleet:   fleet.SidecarSettings(sidecarFleet, s.Hints(), s.StoreRetention()),
		Feed:    feed.Settings{Self: self, Decode: platform.DecodeTable},
		Trimmed: func(err error) bool { return platform.ClassOf(err) == platform.ClassTrimmed },
	}, rnd)
	client := &http.Client{Transport: &http.Transport{DialContext: dialHTTP, MaxIdleConnsPerHost: 2, DisableCompression: true}}
	store := platform.NewLog(s.StoreAddress(), client)
	n.logs = newLogEdge(store, documentTimeout, documentTimeout, n.post)
	n.documents = newDocumentEdge(store, n.log, n.post)
	n.peers = newPeerEdge(sockets.peer, sidecarFleet, self.Key(), link.NewDialer(sidecarFleet), n.queue.offer, n.inner.ServeConn, n.metrics.Scope())
	n.reports = newReportEdge(n.clock, s.HeartbeatInterval(), s.FirstStart(), n.healthPath, n.serverChanged, n.log)
	n.loop = newLoop(n.clock, n.queue, n.handle)
}

const (
	// callersShare is the share of sockets that callers may hold; the rest is left for other nodes and the server,
	// without which no caller could be served.
	callersShare = 0.7
	// fileDescriptors is the number of descriptors that the platform keeps for files.
	fileDescriptors = 200
)

func (n *Sidecar) startPorts(s setting.Sidecar, sockets sidecarSockets) {
	n.server = newHTTPEdge(sockets.server, n.reports)
	n.ready = newHTTPEdge(sockets.ready, http.HandlerFunc(n.serveReady))
	n.observe = newHTTPEdge(sockets.metrics, n.metrics.Handler())
	n.callers = exchange.NewServer(sockets.callers, exchange.Settings{
		Handle: n.ingress.Handle,
		Limits: func() exchange.Limits {
			l := n.limits()
			return exchange.Limits{MaxHeaderBytes: l.HeaderBytes, MaxBodyBytes: l.BodyBytes}
		},
		HeaderTimeout:  func() time.Duration { return n.limits().HeaderTimeout },
		IdleTimeout:    func() time.Duration { return n.limits().IdleTimeout },
		MaxConnections: int(callersShare * float64(s.MaxDescriptors()-fileDescriptors)),
		Timers:         n.clock,
	})
	n.gauges = n.clock.Every(gaugePeriod, n.gauge)
}

// Limits of callers while no routes say otherwise, or leave one out.
var defaultLimits = routing.Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

func (n *Sidecar) limits() routing.Limits {
	l := defaultLimits
	held := n.snapshot.Load()
	if held == nil {
		return l
	}
	stated := held.Table().Limits()
	if stated.HeaderBytes > 0 {
		l.HeaderBytes = stated.HeaderBytes
	}
	if stated.BodyBytes > 0 {
		l.BodyBytes = stated.BodyBytes
	}
	if stated.HeaderTimeout > 0 {
		l.HeaderTimeout = stated.HeaderTimeout
	}
	if stated.IdleTimeout > 0 {
		l.IdleTimeout = stated.IdleTimeout
	}
	return l
}

// healthPath returns the path of health checks of a service, or the usual one if no routes name it.
func (n *Sidecar) healthPath(service string) string {
	if s := n.snapshot.Load(); s != nil {
		if found, ok := s.Table().Service(service); ok && found.HealthPath() != "" {
			return found.HealthPath()
		}
	}
	return "/health"
}

func (n *Sidecar) serverChanged(h presence.Heartbeat) {
	n.owner.SetBackend(proxy.NewBackend(h.ID, h.Address, h.Server))
	server := h.Server
	if n.stages.current() == message.StageDraining {
		server = server.WithState(member.ServerDraining)
	}
	n.queue.post(message.NewServerUpdate(server))
}

// aloneTime is how long a node waits to meet others before it takes itself for the first of its fleet.
const aloneTime = 3 * time.Second

// serveReady answers whether callers may send their requests here: the node holds routes and knows the fleet.
func (n *Sidecar) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Sidecar) isReady() bool {
	if n.snapshot.Load() == nil || n.stages.current() == message.StageDraining {
		return false
	}
	if n.fleeted.Load() || n.clock.Now().Sub(n.started) >= aloneTime {
		n.stages.fire(eventJoined)
		return true
	}
	return false
}

// gauge records what changes slowly.
func (n *Sidecar) gauge(now time.Time) {
	scope := n.metrics.Scope()
	for kind, lines := range n.sink.DroppedLines() {
		scope.Tagged(map[string]string{"kind": kind}).Gauge("log_lines_dropped").Update(float64(lines))
	}
	scope.Gauge("callers_active").Update(float64(n.callers.ActiveRequests()))
	n.queue.ask(func() {
		f := n.core.Feed()
		scope.Gauge("routes_version").Update(float64(f.Version()))
		scope.Gauge("routes_proof_age_seconds").Update(now.Sub(f.ConfirmedAt()).Seconds())
		scope.Gauge("store_reads").Update(float64(f.Counts().Reads))
		scope.Gauge("store_read_failures").Update(float64(f.Counts().ReadFailures))
		scope.Gauge("routes_wanted").Update(float64(f.Counts().Requests))
		scope.Gauge("fleet_view_age_seconds").Update(now.Sub(n.viewed).Seconds())
		scope.Gauge("fleet_members").Update(float64(len(n.core.Members())))
	})
}

// Reload reads the settings file again. Addresses stay as they were at the start.
func (n *Sidecar) Reload() {
	s, err := setting.LoadSidecar(n.path)
	if err != nil {
		n.log.Error().Str("kind", "reload_failed").Err(err).Msg("settings have faults, the old ones stay in force")
		return
	}
	if held := n.settings.Load(); held.Equal(s) {
		return
	}
	n.settings.Store(&s)
	n.log.Info().Str("kind", "reloaded").Str("service", s.Service()).Msg("settings reloaded")
}

// Close ends the node at once and waits for its goroutines.
func (n *Sidecar) Close() {
	n.close.Do(func() {
		n.gauges.Close()
		n.callers.Close()
		n.server.Close()
		n.ready.Close()
		n.observe.Close()
		n.reports.Close()
		n.loop.Close()
		n.logs.Close()
		n.documents.Close()
		n.peers.Close()
		n.inner.Close()
		n.ingress.Close()
		n.owner.Close()
		_ = n.metrics.Close()
	})
}
