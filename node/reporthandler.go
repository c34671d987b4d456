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

// Times of heartbeats and health checks.
const (
	// missedHeartbeats is the number of heartbeats that a server may miss before it counts as gone, because a heartbeat
	// may arrive seconds late.
	missedHeartbeats = 3
	// heartbeatSlack is added to the time of the missed heartbeats.
	heartbeatSlack = time.Second
	// presenceCheckPeriod is the time between two checks for an expired server.
	presenceCheckPeriod = 250 * time.Millisecond
	// healthTimeout is the timeout of a health check, which may have to wait for a slot of the server.
	healthTimeout = time.Second
)

// reportHandler receives the heartbeats of the backend server on the node's VM.
type reportHandler struct {
	log        zerolog.Logger
	clock      *timer.Service
	healthPath func(service string) string // path of health checks
	onChange   func(presence.Heartbeat)
	client     *http.Client
	ticker     *timer.Subscription
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu           sync.Mutex
	machine      *presence.Machine
	checkRunning bool
	lastNotified presence.Heartbeat // as last passed to onChange
}

// newReportHandler returns a handler that calls onChange whenever the server or its state changes. trustFirst means that
// the first server needs no health check.
func newReportHandler(clock *timer.Service, heartbeatInterval time.Duration, trustFirst bool, healthPath func(string) string, onChange func(presence.Heartbeat), log zerolog.Logger) *reportHandler {
	ctx, cancel := context.WithCancel(context.Background())
	rh := &reportHandler{
		log: log, clock: clock, healthPath: healthPath, onChange: onChange, ctx: ctx, cancel: cancel,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialHTTP}},
		machine: presence.New(missedHeartbeats*heartbeatInterval+heartbeatSlack, trustFirst),
	}
	rh.ticker = clock.Every(presenceCheckPeriod, func(now time.Time) {
		rh.mu.Lock()
		defer rh.mu.Unlock()
		rh.machine.Tick(now)
		rh.notifyChange()
	})
	return rh
}

// ServeHTTP implements http.Handler. The response commits the node, so the report is applied before it is sent.
func (rh *reportHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := platform.ServerIDFromPath(r.URL.Path)
	if !ok {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodPut:
		rh.report(w, r, id)
	case http.MethodDelete:
		rh.leave(id)
		acknowledgeReport(w)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (rh *reportHandler) report(w http.ResponseWriter, r *http.Request, id string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxReportBytes))
	if err != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	report, err := platform.DecodeReport(id, data)
	if err != nil {
		rh.log.Warn().Str("kind", "report_refused").Str("server", id).Err(err).Msg("the report of a server does not describe a usable server")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rh.mu.Lock()
	verdict := rh.machine.RecordHeartbeat(rh.clock.Now(), report)
	rh.startCheck()
	rh.notifyChange()
	rh.mu.Unlock()
	if verdict != presence.VerdictTaken {
		rh.log.Info().Str("kind", "report_ignored").Str("server", id).Int64("started", report.Started).Int64("sequence", report.Sequence).
			Stringer("verdict", verdict).Msg("ignored an outdated report of a server")
	}
	acknowledgeReport(w)
}

func (rh *reportHandler) leave(id string) {
	rh.mu.Lock()
	defer rh.mu.Unlock()
	present := rh.machine.RecordLeave(id, rh.clock.Now().UnixMilli())
	rh.notifyChange()
	rh.log.Info().Str("kind", "server_left").Str("server", id).Bool("present", present).Msg("a server announced its departure")
}

func acknowledgeReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // after a lost response, the server repeats its request
}

// startCheck starts a health check if one is pending. The caller must hold mu.
func (rh *reportHandler) startCheck() {
	if h, pending := rh.machine.PendingCheck(); pending && !rh.checkRunning {
		rh.checkRunning = true
		rh.wg.Go(func() { rh.runCheck(h) })
	}
}

// notifyChange calls onChange if the server has changed. The caller must hold mu.
func (rh *reportHandler) notifyChange() {
	h, ok := rh.machine.Current()
	if !ok || sameServer(h, rh.lastNotified) {
		return
	}
	rh.log.Info().Str("kind", "server_changed").Str("server", h.ID).Str("service", h.Server.Service()).Stringer("state", h.Server.State()).
		Stringer("before", rh.lastNotified.Server.State()).Stringer("address", h.Address).Int64("started", h.Started).Int64("sequence", h.Sequence).
		Msg("backend server changed")
	rh.lastNotified = h
	rh.onChange(h)
}

func sameServer(a, b presence.Heartbeat) bool {
	return a.ID == b.ID && a.Started == b.Started && a.Address == b.Address && a.Server == b.Server
}

// runCheck checks the health of a server that is known only by a report that may be outdated.
func (rh *reportHandler) runCheck(h presence.Heartbeat) {
	healthy, err := rh.checkHealth(h)
	rh.mu.Lock()
	defer rh.mu.Unlock()
	rh.checkRunning = false
	rh.log.Info().Str("kind", "server_checked").Str("server", h.ID).Bool("healthy", healthy).Err(err).Msg("checked the health of the first server that reported after the node's start")
	if healthy {
		rh.machine.RecordCheck(h.ID, true)
		rh.notifyChange()
	}
}

func (rh *reportHandler) checkHealth(h presence.Heartbeat) (bool, error) {
	ctx, cancel := context.WithTimeout(rh.ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address.String()+rh.healthPath(h.Server.Service()), nil)
	if err != nil {
		return false, err
	}
	resp, err := rh.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	id := platform.ServerID(resp.Header)
	return resp.StatusCode == http.StatusOK && (id == "" || id == h.ID), nil
}

// Close cancels a health check in progress and waits for it.
func (rh *reportHandler) Close() {
	rh.ticker.Close()
	rh.cancel()
	rh.wg.Wait()
}

// dialHTTP opens a connection for a client of net/http.
func dialHTTP(ctx context.Context, _, addr string) (conn net.Conn, err error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return exchange.Dial(ctx, address)
}
