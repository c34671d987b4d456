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
	"github.com/bambooknot/bambooknot/rollout"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/timer"
)

// sidecarFleet is the name of the fleet in frames and in the rendezvous stream. It can be constant, because a store serves
// one fleet only.
const sidecarFleet = "sidecars"

// Sidecar is a running node that reads its routes from the operator's document in the platform's store. The backend server
// on its VM sends it heartbeats.
type Sidecar struct {
	settingsPath string
	startedAt    time.Time
	settings     atomic.Pointer[setting.Sidecar]
	clock        *timer.Service
	log          zerolog.Logger
	logSink      *LogSink
	metrics      *metric.Registry
	lifecycle    *lifecycle

	snapshot          atomic.Pointer[routing.Snapshot] // nil until the node has routes
	quarantine        *quarantineView
	quota             *quotaGate
	rollouts          *rolloutView
	versions          *proxy.VersionCounters // nil if versions of servers are ignored
	joined            atomic.Bool            // whether the node has joined the fleet
	queue             *eventQueue
	core              *control.Sidecar // owned by the loop
	self              member.Key       // owned by the loop
	viewChangedAt     time.Time        // owned by the loop
	rejectedDocuments int              // owned by the loop
	outdatedDocuments int              // owned by the loop
	storeEra          record.Era       // owned by the loop
	loop              *eventLoop

	peers           *peerTransport
	logClient       *logClient
	documents       *documentReader
	rolloutStore    *rolloutStore
	heartbeats      *heartbeatHandler
	bodies          *exchange.Budget // memory of bodies that are being read
	owner           *proxy.Owner
	ingress         *proxy.Ingress
	peerServer      *exchange.Server
	callerServer    *exchange.Server
	heartbeatServer *httpServer
	readinessServer *httpServer
	metricsServer   *httpServer
	gaugeTimer      *timer.Subscription
	closeOnce       sync.Once
}

// NewSidecar starts a node. path is the file that s was read from, for Reload. If it fails, nothing is left running.
func NewSidecar(path string, s setting.Sidecar, clock *timer.Service, sink *LogSink, log zerolog.Logger) (*Sidecar, error) {
	sockets, err := listenSidecar(s)
	if err != nil {
		return nil, err
	}
	n := &Sidecar{settingsPath: path, startedAt: clock.Now(), clock: clock, log: log, logSink: sink}
	n.settings.Store(&s)
	n.metrics = metric.New(map[string]string{"region": string(s.Place().Region())})
	n.lifecycle = newLifecycle(log, n.metrics.Scope())
	n.queue = newEventQueue(n.metrics.Scope())
	self := member.New(member.NewKey(s.PeerAddress(), member.Incarnation(clock.Now().UnixMicro())), s.Place(), record.SchemaNewest)
	n.self = self.Key()
	n.startDataPlane(self, s)
	n.startControlPlane(self, s, sockets)
	n.startServers(s, sockets)
	n.log.Info().Str("kind", "started").Stringer("peer", s.PeerAddress()).Str("service", s.Service()).
		Str("region", string(s.Place().Region())).Str("failure_domain", string(s.Place().FailureDomain())).Bool("first_start", s.FirstStart()).Msg("node started")
	return n, nil
}

// Connections to other nodes.
const (
	peerDialTimeout = 500 * time.Millisecond // a connection and its hello take two round trips, 80 ms each between regions
	// nearDialTimeout is the same within a region, where a round trip takes 2 ms. It is above the 100 ms for which a VM may get no
	// CPU time.
	nearDialTimeout  = 200 * time.Millisecond
	peerIdleTimeout  = 30 * time.Second
	maxIdlePerPeer   = 64
	maxPeerBodyBytes = 64 << 20
	// bodyMemoryShare is the share of the permitted memory for bodies that are being read.
	bodyMemoryShare = 0.25
	// crossRegionBackoff is the time for which a server in another region counts as full after it refused a request. Each
	// further attempt costs the caller 40 ms and bytes over the billed link, and an overloaded region recovers more
	// slowly than an overloaded server.
	crossRegionBackoff = 500 * time.Millisecond
	// slowStartTime is the time for which a server that has become ready receives less than its share of requests.
	slowStartTime = 3 * time.Second
)

func (n *Sidecar) startDataPlane(self member.Member, s setting.Sidecar) {
	scope := n.metrics.Scope()
	routine := n.log.Output(n.logSink.RoutineWriter())
	dialer := link.NewDialer(sidecarFleet)
	bodies := exchange.NewBudget(int(bodyMemoryShare * float64(s.MemoryLimit())))
	n.bodies = bodies
	n.quarantine = newQuarantineView(n.log, n.clock, s.MetricsAddress().Addr(), n.post)
	n.quota = newQuotaGate(n.clock, n.log, scope, rand.New(rand.NewPCG(rand.Uint64(), uint64(self.Key().Incarnation()))))
	if s.Rollouts().Enabled() {
		n.versions = proxy.NewVersionCounters()
	}
	n.owner = proxy.NewOwner(proxy.OwnerSettings{
		Timers: n.clock, Log: n.log, AnsweredLog: routine, Scope: scope, Budget: bodies, LinkBytesPerSecond: s.LinkBytesPerSecond(), OnLeaving: n.onServerLeaving, OnEnded: n.onServerEnded,
		Quarantine: n.quarantine.load, OnCrash: n.quarantine.onCrash, OnCleared: n.quarantine.onCleared, OnTrial: n.quarantine.onTrial,
	})
	n.ingress = proxy.NewIngress(proxy.IngressSettings{
		Self:            self.Key(),
		Place:           s.Place(),
		Snapshot:        n.snapshot.Load,
		Service:         func() string { return n.settings.Load().Service() },
		Owner:           n.owner,
		Quarantine:      n.quarantine.load,
		Quota:           n.quota.admit,
		Versions:        n.versions,
		Pool:            exchange.PoolSettings{Dial: dialer.DialCalls, DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxIdlePerPeer: maxIdlePerPeer, MaxHeaderBytes: maxPeerHeaderBytes, MaxBodyBytes: maxPeerBodyBytes, Budget: bodies},
		NearDialTimeout: nearDialTimeout,
		Retry: retry.WindowBudgetSettings{
			Span: s.RetryBudget().Window(), Share: s.RetryBudget().Share() * retry.FleetSafetyFactor, Reserve: float64(s.RetryBudget().Reserve()) * retry.FleetSafetyFactor,
		},
		Balance:     balance.Settings{SlowStart: slowStartTime, CrossRegionBackoff: crossRegionBackoff},
		Timers:      n.clock,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), uint64(self.Key().Incarnation()))),
		Log:         n.log,
		AnsweredLog: routine,
		Scope:       scope,
	})
	n.peerServer = exchange.NewServer(nil, exchange.Settings{
		Handle: n.owner.ServeCall,
		Limits: func() exchange.Limits {
			return exchange.Limits{MaxHeaderBytes: maxPeerHeaderBytes, MaxBodyBytes: maxPeerBodyBytes}
		},
		Budget:        bodies,
		HeaderTimeout: func() time.Duration { return peerHeaderTimeout },
		IdleTimeout:   func() time.Duration { return 2 * peerIdleTimeout },
		Timers:        n.clock,
	})
}

// rolloutBounds returns the bounds of roll-outs for the control loop, the zero value if versions of servers are ignored.
func rolloutBounds(b setting.RolloutBounds) rollout.Settings {
	if !b.Enabled() {
		return rollout.Settings{}
	}
	return rollout.Settings{ExposureShare: b.ExposureShare(), ExposureSlack: b.ExposureSlack(), RollbackTime: b.RollbackTime()}
}

// offsetGone reports whether an error means that the store does not have the requested offset, any more or again.
func offsetGone(err error) bool {
	class := platform.ClassOf(err)
	return class == platform.ClassTrimmed || class == platform.ClassRewound
}

// Limits of calls between nodes.
const (
	maxPeerHeaderBytes = 256 << 10
	peerHeaderTimeout  = 5 * time.Second
)

// maxStoreHeaderBytes is the maximum size of the headers in an answer of the store or of a health check.
const maxStoreHeaderBytes = 16 << 10

func (n *Sidecar) startControlPlane(self member.Member, s setting.Sidecar, sockets sidecarSockets) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), uint64(self.Key().Incarnation())))
	fleetSettings := fleet.SidecarSettings(sidecarFleet, s.Hints(), s.StoreRetention())
	fleetSettings.RendezvousEmptyAtStart = s.FirstStart()
	n.core = control.NewSidecar(control.SidecarSettings{
		Self:     self,
		Fleet:    fleetSettings,
		Feed:     feed.Settings{Self: self, Decode: platform.DecodeTable, FirstStart: s.FirstStart(), LinkBytesPerSecond: s.LinkBytesPerSecond()},
		Gone:     offsetGone,
		Quota:    control.QuotaSettings{Limiter: n.quota.limiter, Slack: s.Quotas().Slack(), Window: s.Quotas().Window()},
		Rollouts: control.RolloutSettings{Bounds: rolloutBounds(s.Rollouts()), Counts: n.versions.Counts},
	}, rnd)
	client := &http.Client{Transport: &http.Transport{DialContext: dialHTTP, MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeaderBytes}}
	store := platform.NewLog(s.StoreAddress(), client)
	n.logClient = newLogClient(store, documentTimeout, documentTimeout, n.post)
	n.documents = newDocumentReader(store, n.log, n.post)
	n.rolloutStore = newRolloutStore(store, n.log, n.post)
	n.rollouts = newRolloutView(n.log, n.clock, n.metrics.Scope(), s.MetricsAddress().Addr(), n.queue)
	n.peers = newPeerTransport(sockets.peer, sidecarFleet, self.Key(), link.NewDialer(sidecarFleet), n.queue.tryPost, n.peerServer.ServeConn, n.metrics.Scope())
	n.heartbeats = newHeartbeatHandler(n.clock, s.HeartbeatInterval(), s.FirstStart(), n.healthPath, n.onServerChange, n.log)
	n.loop = newEventLoop(n.clock, n.queue, n.handle)
}

const (
	// callerSocketShare is the share of sockets that callers may use. The rest is reserved for other nodes and the server,
	// without which no caller could be served.
	callerSocketShare = 0.7
	// reservedDescriptors is the number of descriptors that the platform reserves for files.
	reservedDescriptors = 200
)

func (n *Sidecar) startServers(s setting.Sidecar, sockets sidecarSockets) {
	n.heartbeatServer = newHTTPServer(sockets.server, n.heartbeats)
	n.readinessServer = newHTTPServer(sockets.ready, http.HandlerFunc(n.serveReady))
	n.metricsServer = newHTTPServer(sockets.metrics, newSidecarObserveHandler(n.metrics.Handler(), n.quarantine, n.rollouts, n.ingress.Usage()))
	n.callerServer = exchange.NewServer(sockets.callers, exchange.Settings{
		Handle: n.ingress.Handle,
		Limits: func() exchange.Limits {
			l := n.limits()
			return exchange.Limits{MaxHeaderBytes: l.HeaderBytes, MaxBodyBytes: l.BodyBytes}
		},
		Budget:         n.bodies,
		HeaderTimeout:  func() time.Duration { return n.limits().HeaderTimeout },
		IdleTimeout:    func() time.Duration { return n.limits().IdleTimeout },
		MaxConnections: int(callerSocketShare * float64(s.MaxDescriptors()-reservedDescriptors)),
		Timers:         n.clock,
	})
	n.gaugeTimer = n.clock.Every(gaugePeriod, n.recordGauges)
}

// defaultLimits are the limits of callers' requests while there are no routes, and for limits that are not set.
var defaultLimits = routing.Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

func (n *Sidecar) limits() routing.Limits {
	l := defaultLimits
	current := n.snapshot.Load()
	if current == nil {
		return l
	}
	stated := current.Table().Limits()
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

// healthPath returns the path of health checks of a service, or the default path if the operator's document has none.
func (n *Sidecar) healthPath(service string) string {
	if s := n.snapshot.Load(); s != nil {
		if found, ok := s.Table().Service(service); ok && found.HealthPath() != "" {
			return found.HealthPath()
		}
	}
	return "/health"
}

func (n *Sidecar) onServerChange(h presence.Heartbeat) {
	n.owner.SetBackend(proxy.NewBackend(h.ID, h.Address, h.Server).WithStarted(h.Started))
	server := h.Server
	if !n.settings.Load().Rollouts().Enabled() {
		server = server.WithVersion("")
	}
	if n.lifecycle.current() == message.StageDraining {
		server = server.WithState(member.ServerDraining)
	}
	n.queue.post(message.NewServerUpdate(server))
}

func (n *Sidecar) onServerEnded(b proxy.Backend) { n.heartbeats.recordEnded(b.ID(), b.Started()) }

func (n *Sidecar) onServerLeaving(b proxy.Backend, requestID string) {
	n.heartbeats.recordLeaving(b.ID(), b.Started(), requestID)
}

// firstNodeDelay is the time after which a node that has found no other node assumes that it is the first of its fleet.
const firstNodeDelay = 3 * time.Second

// serveReady handles readiness checks. A node accepts requests of callers once it has routes and has joined the fleet.
func (n *Sidecar) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if !n.checkReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Sidecar) checkReady() bool {
	if n.snapshot.Load() == nil || n.lifecycle.current() == message.StageDraining {
		return false
	}
	if n.joined.Load() || n.clock.Now().Sub(n.startedAt) >= firstNodeDelay {
		n.lifecycle.transition(eventJoined)
		return true
	}
	return false
}

// recordGauges updates the gauges.
func (n *Sidecar) recordGauges(now time.Time) {
	scope := n.metrics.Scope()
	for kind, lines := range n.logSink.DroppedLines() {
		scope.Tagged(map[string]string{"kind": kind}).Gauge("log_lines_dropped").Update(float64(lines))
	}
	scope.Gauge("requests_quarantined").Update(float64(len(n.quarantine.load().Quarantined())))
	n.ingress.Usage().Publish(scope)
	scope.Gauge("link_backlog_seconds").Update(n.owner.LinkBacklog().Seconds())
	scope.Gauge("callers_active").Update(float64(n.callerServer.ActiveRequests()))
	n.quota.recordCounters()
	n.queue.query(func() {
		if n.versions != nil {
			n.rollouts.recordGauges(n.core)
		}
		f := n.core.Feed()
		scope.Gauge("routes_version").Update(float64(f.Version()))
		scope.Gauge("routes_proof_age_seconds").Update(now.Sub(f.ConfirmedAt()).Seconds())
		scope.Gauge("store_reads").Update(float64(f.Counts().Reads))
		scope.Gauge("store_read_failures").Update(float64(f.Counts().ReadFailures))
		scope.Gauge("store_era").Update(float64(n.core.StoreEra()))
		scope.Gauge("routes_wanted").Update(float64(f.Counts().Requests))
		scope.Gauge("fleet_view_age_seconds").Update(now.Sub(n.viewChangedAt).Seconds())
		scope.Gauge("fleet_members").Update(float64(len(n.core.Members())))
	})
}

// Reload reads the settings file again. Changes have no effect until a restart, except those of the service and the
// grace period.
func (n *Sidecar) Reload() {
	s, err := setting.LoadSidecar(n.settingsPath)
	if err != nil {
		n.log.Error().Str("kind", "reload_failed").Err(err).Msg("the settings file has faults; keeping the previous settings")
		return
	}
	if current := n.settings.Load(); current.Equal(s) {
		return
	}
	n.settings.Store(&s)
	n.log.Info().Str("kind", "reloaded").Str("service", s.Service()).Msg("settings reloaded")
}

// Close stops the node immediately and waits for its goroutines.
func (n *Sidecar) Close() {
	n.closeOnce.Do(func() {
		n.gaugeTimer.Close()
		n.callerServer.Close()
		n.heartbeatServer.Close()
		n.readinessServer.Close()
		n.metricsServer.Close()
		n.heartbeats.Close()
		n.loop.Close()
		n.logClient.Close()
		n.documents.Close()
		n.rolloutStore.Close()
		n.peers.Close()
		n.peerServer.Close()
		n.ingress.Close()
		n.owner.Close()
		_ = n.metrics.Close()
	})
}
