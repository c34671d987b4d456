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
	"github.com/bambooknot/bambooknot/member"
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
	// foundServerSlots is the number of slots that is assumed until the first heartbeat states it.
	foundServerSlots = 8
	// healthTimeout is the timeout of a health check, which may have to wait for a slot of the server.
	healthTimeout = time.Second
)

// heartbeatHandler receives the heartbeats and departure notices of the backend server on the node's VM.
type heartbeatHandler struct {
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

// newHeartbeatHandler returns a handler that calls onChange whenever the server or its state changes. trustFirst means that
// the first server needs no health check.
func newHeartbeatHandler(clock *timer.Service, heartbeatInterval time.Duration, trustFirst bool, healthPath func(string) string, onChange func(presence.Heartbeat), log zerolog.Logger) *heartbeatHandler {
	ctx, cancel := context.WithCancel(context.Background())
	hh := &heartbeatHandler{
		log: log, clock: clock, healthPath: healthPath, onChange: onChange, ctx: ctx, cancel: cancel,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialHTTP, MaxResponseHeaderBytes: maxStoreHeaderBytes}},
		machine: presence.New(missedHeartbeats*heartbeatInterval+heartbeatSlack, trustFirst),
	}
	hh.ticker = clock.Every(presenceCheckPeriod, func(now time.Time) {
		hh.mu.Lock()
		defer hh.mu.Unlock()
		hh.machine.Tick(now)
		hh.notifyChange()
	})
	return hh
}

// ServeHTTP implements http.Handler. The response commits the node, so a heartbeat or departure notice is applied
// before the response is sent.
func (hh *heartbeatHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := platform.ServerIDFromPath(r.URL.Path)
	if !ok {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodPut:
		hh.receive(w, r, id)
	case http.MethodDelete:
		hh.leave(id)
		acknowledge(w)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (hh *heartbeatHandler) receive(w http.ResponseWriter, r *http.Request, id string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	heartbeat, err := platform.DecodeHeartbeat(id, data)
	if err != nil {
		hh.log.Warn().Str("kind", "report_refused").Str("server", id).Err(err).Msg("the heartbeat of a server does not describe a usable server")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hh.mu.Lock()
	verdict := hh.machine.RecordHeartbeat(hh.clock.Now(), heartbeat)
	hh.startCheck()
	hh.notifyChange()
	hh.mu.Unlock()
	if verdict != presence.VerdictTaken {
		hh.log.Info().Str("kind", "report_ignored").Str("server", id).Int64("started", heartbeat.Started).Int64("sequence", heartbeat.Sequence).
			Stringer("verdict", verdict).Msg("ignored an outdated heartbeat of a server")
	}
	acknowledge(w)
}

func (hh *heartbeatHandler) leave(id string) {
	hh.mu.Lock()
	defer hh.mu.Unlock()
	present := hh.machine.RecordLeave(id, hh.clock.Now().UnixMilli())
	hh.notifyChange()
	hh.log.Info().Str("kind", "server_left").Str("server", id).Bool("present", present).Msg("a server announced its departure")
}

// recordLeaving records that the server stated in a response to a request that it is about to leave.
func (hh *heartbeatHandler) recordLeaving(id string, started int64, requestID string) {
	hh.mu.Lock()
	defer hh.mu.Unlock()
	if hh.machine.RecordLeaving(id, started) {
		hh.log.Info().Str("kind", "server_leaving").Str("server", id).Int64("started", started).Str("request", requestID).Msg("the server states in its responses that it is leaving")
		hh.notifyChange()
	}
}

// recordEnded records that the server accepts no connections.
func (hh *heartbeatHandler) recordEnded(id string, started int64) {
	hh.mu.Lock()
	defer hh.mu.Unlock()
	if hh.machine.RecordEnded(id, started) {
		hh.log.Info().Str("kind", "server_ended").Str("server", id).Int64("started", started).Msg("the server refuses connections; it gets no requests until its next heartbeat")
		hh.notifyChange()
	}
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // after a lost response, the server repeats its request
}

// startCheck starts a health check if one is pending. The caller must hold mu.
func (hh *heartbeatHandler) startCheck() {
	if check, pending := hh.machine.PendingCheck(); pending && !hh.checkRunning {
		hh.checkRunning = true
		hh.wg.Go(func() { hh.runCheck(check) })
	}
}

// notifyChange calls onChange if the server has changed. The caller must hold mu.
func (hh *heartbeatHandler) notifyChange() {
	h, ok := hh.machine.Current()
	if !ok || sameServer(h, hh.lastNotified) {
		return
	}
	hh.log.Info().Str("kind", "server_changed").Str("server", h.ID).Str("service", h.Server.Service()).Int("slots", h.Server.Slots()).Stringer("state", h.Server.State()).
		Stringer("before", hh.lastNotified.Server.State()).Stringer("address", h.Address).Int64("started", h.Started).Int64("sequence", h.Sequence).
		Msg("backend server changed")
	hh.lastNotified = h
	hh.onChange(h)
}

func sameServer(a, b presence.Heartbeat) bool {
	return a.ID == b.ID && a.Started == b.Started && a.Address == b.Address && a.Server == b.Server
}

// find asks the server at an address for its health, unless a heartbeat has arrived. After a restart of the node, the next
// heartbeat may take a whole interval, in which requests for the server would be refused.
func (hh *heartbeatHandler) find(service string, address netip.AddrPort) {
	hh.mu.Lock()
	defer hh.mu.Unlock()
	if _, known := hh.machine.Current(); known || hh.checkRunning || hh.ctx.Err() != nil {
		return
	}
	hh.checkRunning = true
	hh.wg.Go(func() { hh.runFind(service, address) })
}

func (hh *heartbeatHandler) runFind(service string, address netip.AddrPort) {
	id, healthy, err := hh.checkHealth(service, address)
	hh.mu.Lock()
	defer hh.mu.Unlock()
	hh.checkRunning = false
	found := presence.Heartbeat{ID: id, Address: address, Server: member.NewServer(service, member.ServerReady, foundServerSlots)}
	taken := healthy && id != "" && hh.machine.RecordFound(hh.clock.Now(), found)
	hh.log.Info().Str("kind", "server_found").Str("server", id).Bool("healthy", healthy).Bool("taken", taken).Err(err).Msg("asked the server for its health at the start of the node")
	hh.startCheck()
	hh.notifyChange()
}

// runCheck checks the health of a server that is known only by heartbeats that may be outdated.
func (hh *heartbeatHandler) runCheck(check presence.Check) {
	h := check.Heartbeat()
	id, healthy, err := hh.checkHealth(h.Server.Service(), h.Address)
	healthy = healthy && (id == "" || id == h.ID)
	hh.mu.Lock()
	defer hh.mu.Unlock()
	hh.checkRunning = false
	hh.log.Info().Str("kind", "server_checked").Str("server", h.ID).Int64("started", h.Started).Bool("healthy", healthy).Err(err).Msg("checked the health of a server whose heartbeats may be out of date")
	hh.machine.RecordCheck(check, healthy)
	hh.notifyChange()
}

// checkHealth returns the ID that the server at an address states, which may be missing, and whether it is healthy.
func (hh *heartbeatHandler) checkHealth(service string, address netip.AddrPort) (id string, healthy bool, err error) {
	ctx, cancel := context.WithTimeout(hh.ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+hh.healthPath(service), nil)
	if err != nil {
		return "", false, err
	}
	resp, err := hh.client.Do(req)
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	return platform.ServerID(resp.Header), resp.StatusCode == http.StatusOK, nil
}

// Close cancels a health check in progress and waits for it.
func (hh *heartbeatHandler) Close() {
	hh.ticker.Close()
	hh.mu.Lock() // no check starts after wg.Wait has begun
	hh.cancel()
	hh.mu.Unlock()
	hh.wg.Wait()
}

// dialHTTP opens a connection for a client of net/http.
func dialHTTP(ctx context.Context, _, addr string) (conn net.Conn, err error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return exchange.Dial(ctx, address)
}
