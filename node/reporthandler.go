package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/presence"
	"github.com/bambooknot/bambooknot/timer"
)

// Times of reports.
const (
	// missedHeartbeats is the number of heartbeats that a server may miss before it counts as gone; one may
	// come seconds late.
	missedHeartbeats = 3
	// heartbeatSlack is added to that.
	heartbeatSlack = time.Second
	// presenceCheck is the time between two looks for silent servers.
	presenceCheck = 250 * time.Millisecond
	// healthTimeout bounds a health check, which may have to wait for a slot.
	healthTimeout = time.Second
)

// reportEdge takes the heartbeats of the backend server beside the node.
type reportEdge struct {
	log     zerolog.Logger
	clock   *timer.Service
	health  func(service string) string // path of health checks
	changed func(presence.Heartbeat)
	client  *http.Client
	check   *timer.Subscription
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	machine  *presence.Machine
	checking bool
	told     presence.Heartbeat
}

// newReportEdge calls changed whenever what the node believes of its server changes.
func newReportEdge(clock *timer.Service, heartbeat time.Duration, trusting bool, health func(string) string, changed func(presence.Heartbeat), log zerolog.Logger) *reportEdge {
	ctx, cancel := context.WithCancel(context.Background())
	e := &reportEdge{
		log: log, clock: clock, health: health, changed: changed, ctx: ctx, cancel: cancel,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialHTTP}},
		machine: presence.New(missedHeartbeats*heartbeat+heartbeatSlack, trusting),
	}
	e.check = clock.Every(presenceCheck, func(now time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.machine.Tick(now)
		e.settle()
	})
	return e
}

// ServeHTTP implements http.Handler. Its answer binds the node, so what a report changes is in force before.
func (e *reportEdge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := platform.ServerIDFromPath(r.URL.Path)
	if !ok {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodPut:
		e.report(w, r, id)
	case http.MethodDelete:
		e.leave(id)
		answerReport(w)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (e *reportEdge) report(w http.ResponseWriter, r *http.Request, id string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxReportBytes))
	if err != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	report, err := platform.DecodeReport(id, data)
	if err != nil {
		e.log.Warn().Str("kind", "report_refused").Str("server", id).Err(err).Msg("a server's report names no server that can be used")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	verdict := e.machine.RecordHeartbeat(e.clock.Now(), report)
	e.startCheck()
	e.settle()
	e.mu.Unlock()
	if verdict != presence.VerdictTaken {
		e.log.Info().Str("kind", "report_ignored").Str("server", id).Int64("started", report.Started).Int64("sequence", report.Sequence).
			Stringer("verdict", verdict).Msg("an old report of a server was ignored")
	}
	answerReport(w)
}

func (e *reportEdge) leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := e.machine.RecordLeave(id, e.clock.Now().UnixMilli())
	e.settle()
	e.log.Info().Str("kind", "server_left").Str("server", id).Bool("present", present).Msg("a server leaves")
}

func answerReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // a lost acknowledgement is asked for again
}

// startCheck starts a check if one is due. The caller holds mu.
func (e *reportEdge) startCheck() {
	if h, due := e.machine.PendingCheck(); due && !e.checking {
		e.checking = true
		e.wg.Go(func() { e.ask(h) })
	}
}

// settle tells of a change. The caller holds mu.
func (e *reportEdge) settle() {
	h, ok := e.machine.Current()
	if !ok || sameServer(h, e.told) {
		return
	}
	e.log.Info().Str("kind", "server_changed").Str("server", h.ID).Str("service", h.Server.Service()).Stringer("state", h.Server.State()).
		Stringer("before", e.told.Server.State()).Stringer("address", h.Address).Int64("started", h.Started).Int64("sequence", h.Sequence).
		Msg("backend server changed")
	e.told = h
	e.changed(h)
}

func sameServer(a, b presence.Heartbeat) bool {
	return a.ID == b.ID && a.Started == b.Started && a.Address == b.Address && a.Server == b.Server
}

// ask checks the health of a server that the node knows of only by a report that may be old.
func (e *reportEdge) ask(h presence.Heartbeat) {
	healthy, err := e.healthy(h)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checking = false
	e.log.Info().Str("kind", "server_checked").Str("server", h.ID).Bool("healthy", healthy).Err(err).Msg("asked a server that reported first after the node's start")
	if healthy {
		e.machine.RecordCheck(h.ID, true)
		e.settle()
	}
}

func (e *reportEdge) healthy(h presence.Heartbeat) (bool, error) {
	ctx, cancel := context.WithTimeout(e.ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address.String()+e.health(h.Server.Service()), nil)
	if err != nil {
		return false, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	id := platform.ServerID(resp.Header)
	return resp.StatusCode == http.StatusOK && (id == "" || id == h.ID), nil
}

// Close gives up a check under way and waits for it.
func (e *reportEdge) Close() {
	e.check.Close()
	e.cancel()
	e.wg.Wait()
}

// dialHTTP opens a connection for a client of net/http.
func dialHTTP(ctx context.Context, _, addr string) (conn net.Conn, err error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return exchange.Dial(ctx, to)
}
