package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/presence"
	"github.com/bambooknot/bambooknot/proxy"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

// pipeNetwork connects addresses by pipes in memory, so that whole nodes run in virtual time.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

type pipeListener struct {
	network *pipeNetwork
	address netip.AddrPort
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: make(map[netip.AddrPort]*pipeListener)}
}

func (n *pipeNetwork) listen(address netip.AddrPort) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// remove closes an address to new connections and reports whether it was open.
func (n *pipeNetwork) remove(address netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.listeners[address] != nil
	delete(n.listeners, address)
	return open
}

func (n *pipeNetwork) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// pipeServer is a backend server that may state a limit and counts the requests that reach it.
type pipeServer struct {
	id      string
	http    *http.Server
	runTime time.Duration
	crashes *crashLog    // nil without crashes
	process atomic.Int32 // counts the crashes
	crash   func()

	mu       sync.Mutex
	limit    string               // as stated in responses, "" for none
	leaving  bool                 // as stated in responses
	status   int                  // of responses; 0 stands for 200
	failing  float64              // share of the responses that fail
	lastFrom map[string]time.Time // last arrival by calling service
	arrivals []time.Time
	classes  map[string]int // requests that reached the server, by path
}

func (s *pipeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.classes[r.URL.Path]++
	s.lastFrom[r.Header.Get("X-Caller-Service")] = time.Now()
	_, phase := math.Modf(float64(len(s.arrivals)) * 0.618)
	failed := phase < s.failing
	s.mu.Unlock()
	if request := contentOf(r, string(body)); s.crashes != nil && s.crashes.recordArrival(request) {
		s.crashDuring(r.Context(), request)
	}
	time.Sleep(s.runTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		w.Header().Set("Server-Limit", s.limit)
	}
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "sealed by "+s.id)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	} else if s.status != 0 {
		w.WriteHeader(s.status)
	}
	_, _ = io.WriteString(w, s.id)
}

// crashDuring ends the server's process while it runs a request, unless another request ends it before.
func (s *pipeServer) crashDuring(ctx context.Context, request string) {
	process := s.process.Load()
	select {
	case <-time.After(crashDelay):
		s.crash()
	case <-ctx.Done():
	}
	if s.process.Load() != process {
		s.crashes.recordCrash(request, fmt.Sprint(s.id, " ", process))
	}
	panic(http.ErrAbortHandler)
}

func (s *pipeServer) setStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

func (s *pipeServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// arrivedSince returns the number of requests that reached the server since a time.
func (s *pipeServer) arrivedSince(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals) - sort.Search(len(s.arrivals), func(i int) bool { return !s.arrivals[i].Before(t) })
}

func (s *pipeServer) state(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// limitWindow is the span over which the platform counts the requests that reach a limited server.
const limitWindow = 4 * time.Second

// most returns the greatest number of requests that reached the server within limitWindow since a time.
func (s *pipeServer) most(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for last, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= limitWindow || s.arrivals[first].Before(since) && first < last {
			first++
		}
		if !s.arrivals[first].Before(since) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// limitFleet is a fleet of nodes in virtual time, each with one server of the same service, and with callers.
type limitFleet struct {
	byPeer     map[netip.AddrPort]*limitNode
	network    *pipeNetwork
	rnd        *rand.Rand
	slots      int // of each server
	table      *routing.Table
	members    []member.Member
	publishing sync.Mutex // guards members
	nodes      []*limitNode
	closed     chan struct{}                  // closed by close
	isCut      func(from, to *limitNode) bool // whether messages between control loops are lost

	withControl bool // whether nodes have control loops

	store *rolloutStore // nil unless views and documents come from the control loops

	mu             sync.Mutex
	statuses       map[string]map[int]int // by path and status
	lastServed     map[string]time.Time
	longestRefusal map[string]time.Duration // longest time without a success, by path
	scope          tally.TestScope          // of all ingresses
}

// limitNode is one node of a limitFleet.
type limitNode struct {
	fleet     *limitFleet
	peer      netip.AddrPort
	key       member.Key
	caller    string // service on the VM
	version   string // of the server
	versions  *proxy.VersionCounters
	place     member.Place
	server    *pipeServer
	started   int64 // start of the server's process
	sequence  int64 // of its heartbeats
	mu        sync.Mutex
	presence  *presence.Machine
	announced member.ServerState
	closed    bool
	owner     *proxy.Owner
	ingress   *proxy.Ingress
	inner     *exchange.Server
	snapshot  atomic.Pointer[routing.Snapshot]
	control   *controlLoop // nil without one
}

// Paths of the requests in a limitFleet.
const (
	pathUrgent = "/urgent/1"
	pathOther  = "/other/1"
)

func limitRoute(name string, kind routing.Kind, priority int) routing.Route {
	return routing.NewRoute(routing.RouteFields{
		Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 1500 * time.Millisecond,
		TargetLatency: 400 * time.Millisecond, Priority: priority, MaxAttempts: 2, Services: []routing.WeightedService{routing.NewWeightedService(service, 1)},
	})
}

// newLimitFleet starts nodes in the failure domains of two regions in turn.
func newLimitFleet(nodes, slots int, runTime time.Duration) *limitFleet {
	f := prepareLimitFleet(nodes, slots, runTime)
	for _, n := range f.nodes {
		n.start()
	}
	f.publish()
	return f
}

// prepareLimitFleet returns a fleet whose servers run and whose nodes have not been started.
func prepareLimitFleet(nodes, slots int, runTime time.Duration) *limitFleet {
	f := &limitFleet{
		network: newPipeNetwork(), slots: slots, rnd: rand.New(rand.NewPCG(1, 2)), statuses: make(map[string]map[int]int), byPeer: make(map[netip.AddrPort]*limitNode), scope: tally.NewTestScope("", nil), lastServed: make(map[string]time.Time), longestRefusal: make(map[string]time.Duration),
		table: routing.NewTable(1, []routing.Route{
			limitRoute("urgent", routing.KindUnsafe, 0), limitRoute("other", routing.KindUnsafe, 2), limitRoute("browse", routing.KindSafe, 1),
		}, nil, routing.Limits{}),
	}
	places := []member.Place{member.NewPlace("a", "a1"), member.NewPlace("a", "a2"), member.NewPlace("b", "b1"), member.NewPlace("b", "b2")}
	for i := range nodes {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i + 1)})
		n := &limitNode{fleet: f, peer: netip.AddrPortFrom(address, 7000), caller: "web", key: member.NewKey(netip.AddrPortFrom(address, 7000), 1), place: places[i%len(places)], started: 1}
		n.server = &pipeServer{id: fmt.Sprint("s", i), runTime: runTime, classes: make(map[string]int), lastFrom: make(map[string]time.Time), crash: n.crash}
		n.serve()
		f.byPeer[n.peer] = n
		f.members = append(f.members, member.New(n.key, n.place, record.SchemaNewest).WithServer(member.NewServer(service, member.ServerReady, slots)))
		f.nodes = append(f.nodes, n)
	}
	return f
}

// serve starts the process of the server, unless the fleet is closed.
func (n *limitNode) serve() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	server := &http.Server{Handler: n.server}
	n.server.http = server
	listener := n.fleet.network.listen(netip.AddrPortFrom(n.peer.Addr(), 8000))
	go func() { _ = server.Serve(listener) }()
}

// start starts the process of the node, which knows its server from a heartbeat.
func (n *limitNode) start() {
	clock := timer.New()
	owner := proxy.NewOwner(proxy.OwnerSettings{Timers: clock, Dial: n.fleet.network.dial, OnLeaving: n.onLeaving, OnEnded: n.onEnded, Log: zerolog.Nop(), Scope: tally.NoopScope, Quarantine: n.quarantine, OnCrash: n.onCrash, OnCleared: n.onCleared, OnTrial: n.onTrial})
	n.mu.Lock()
	n.presence, n.owner = presence.New(time.Hour, true), owner
	n.mu.Unlock()
	n.heartbeat()
	inner := exchange.NewServer(n.fleet.network.listen(n.peer), exchange.Settings{
		Handle:        owner.ServeCall,
		Limits:        func() exchange.Limits { return exchange.Limits{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20} },
		HeaderTimeout: func() time.Duration { return time.Minute },
		IdleTimeout:   func() time.Duration { return time.Minute },
		Timers:        clock,
	})
	ingress := proxy.NewIngress(proxy.IngressSettings{
		Self: n.key, Place: n.place, Snapshot: n.snapshot.Load, Service: func() string { return n.caller }, Owner: owner, Quarantine: n.quarantine, Versions: n.versions,
		Pool:    exchange.PoolSettings{Dial: n.fleet.network.dial, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerPeer: 16, MaxBodyBytes: 1 << 20},
		Retry:   retry.WindowBudgetSettings{Span: 10 * time.Second, Share: 0.06, Reserve: 18},
		Balance: balance.Settings{CrossRegionBackoff: 500 * time.Millisecond}, Timers: clock,
		Rand: rand.New(rand.NewPCG(uint64(n.peer.Addr().As4()[3]), 1)), Log: zerolog.Nop(), Scope: n.fleet.scope,
	})
	n.mu.Lock()
	n.inner, n.ingress = inner, ingress
	n.mu.Unlock()
}

func (n *limitNode) currentOwner() *proxy.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}

func (n *limitNode) currentIngress() *proxy.Ingress {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ingress
}

// heartbeat passes a heartbeat of the server, which reports that it is ready, to the node.
func (n *limitNode) heartbeat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	n.presence.RecordHeartbeat(time.Now(), presence.Heartbeat{
		ID: n.server.id, Started: n.started, Sequence: n.sequence, Address: netip.AddrPortFrom(n.peer.Addr(), 8000),
		Server: n.announcedServer(),
	})
	n.setBackend()
}

func (n *limitNode) announcedServer() member.Server {
	return member.NewServer(service, member.ServerReady, n.fleet.slots).WithVersion(n.version)
}

func (n *limitNode) onLeaving(b proxy.Backend, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.presence.RecordLeaving(b.ID(), b.Started())
	n.setBackend()
}

func (n *limitNode) onEnded(b proxy.Backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.presence.RecordEnded(b.ID(), b.Started())
	n.setBackend()
}

// gossipTime is the time until other nodes know of a change of a server.
const gossipTime = 200 * time.Millisecond

func (n *limitNode) setBackend() {
	h, ok := n.presence.Current()
	if !ok {
		return
	}
	n.owner.SetBackend(proxy.NewBackend(h.ID, h.Address, h.Server).WithStarted(h.Started))
	if state := h.Server.State(); state == n.announced {
		return
	}
	n.announced = h.Server.State()
	time.AfterFunc(gossipTime, n.fleet.publishServers)
}

func (n *limitNode) stop() {
	n.stopControl()
	n.mu.Lock()
	ingress, inner, owner := n.ingress, n.inner, n.owner
	n.mu.Unlock()
	if ingress == nil || n.closed {
		return
	}
	ingress.Close()
	inner.Close()
	owner.Close()
}

// restart replaces the process of the node, which keeps nothing. Its server goes on.
func (n *limitNode) restart() {
	n.stop()
	n.key = member.NewKey(n.peer, n.key.Incarnation()+1)
	n.fleet.publishing.Lock()
	for i, m := range n.fleet.members {
		if m.Key().Peer() == n.peer {
			n.fleet.members[i] = member.New(n.key, n.place, record.SchemaNewest).WithServer(m.Server())
		}
	}
	n.fleet.publishing.Unlock()
	n.start()
	if n.fleet.store == nil {
		n.fleet.publish()
	}
	if n.fleet.withControl {
		n.startControl()
	}
}

// publishServers passes the states of all servers, as their nodes know them, to all nodes.
func (f *limitFleet) publishServers() {
	if f.store != nil {
		return
	}
	f.publishing.Lock()
	defer f.publishing.Unlock()
	for i, n := range f.nodes {
		if b, ok := n.currentOwner().Backend(); ok {
			f.members[i] = f.members[i].WithServer(b.Server())
		}
	}
	f.publishLocked()
}

func (f *limitFleet) publish() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.publishLocked()
}

func (f *limitFleet) publishLocked() {
	snapshot := routing.NewSnapshot(f.table, member.NewView(member.Key{}, append([]member.Member(nil), f.members...)))
	for _, n := range f.nodes {
		n.snapshot.Store(snapshot)
	}
}

func (f *limitFleet) close() {
	for _, n := range f.nodes {
		n.stop()
		n.mu.Lock()
		n.closed = true
		_ = n.server.http.Close()
		n.mu.Unlock()
	}
}

// load offers requests at a rate per second for some time, a fifth of them urgent, at the given nodes, and waits for the
// answers.
func (f *limitFleet) load(perSecond float64, duration time.Duration, at []*limitNode) {
	var wg sync.WaitGroup
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		time.Sleep(time.Duration(f.rnd.ExpFloat64() / perSecond * float64(time.Second)))
		n, path, id := at[f.rnd.IntN(len(at))], pathOther, fmt.Sprint(time.Now().UnixNano(), "-", i)
		if f.rnd.IntN(5) == 0 {
			path = pathUrgent
		}
		wg.Go(func() { n.send(path, id) })
	}
	wg.Wait()
}

func (n *limitNode) send(path, id string) {
	start := time.Now()
	h := http.Header{"X-Attempt-Id": {id}, "X-Deadline-Remaining": {"1500"}}
	response := n.currentIngress().Handle(context.Background(), exchange.NewRequest(http.MethodPost, path, "a.example", h, nil).WithReceivedAt(start))
	n.fleet.recordStatus(path, response.Status())
}

// served returns the share of the requests of a path that were answered with success.
func (f *limitFleet) served(path string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.statuses[path] {
		sum += n
	}
	return float64(f.statuses[path][http.StatusOK]) / float64(sum)
}
