package call

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/crash"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

// OwnerSettings configure an Owner.
type OwnerSettings struct {
	Fleet     string                   // name of the fleet, covered by the checksum of request keys
	Self      member.Key               // this node process
	Snapshot  func() *message.Snapshot // returns the current configuration and view, or nil before the node has joined
	Server    http.RoundTripper        // sends requests to the backend server, nil for a new net/http Transport
	Admission admission.Settings
	Ledger    ledger.Settings
	Timers    *timer.Service
	Scope     tally.Scope // nil disables metrics
	// Quarantine returns the calls that crash servers; nil means that there are none.
	Quarantine func() *quarantine.View
	Reports    CrashReports
	// Dial opens a connection to the server; nil means a TCP connection.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// backend is this node's backend server.
type backend struct {
	host   string // address and port
	server member.Server
}

// Owner runs calls that nodes forward to this node's backend server. It is an http.Handler for forwarded
// calls and the ledger exports of other nodes only.
type Owner struct {
	fleet        string
	snapshot     func() *message.Snapshot
	transport    http.RoundTripper
	ownTransport *http.Transport // closed with the Owner, nil if OwnerSettings.Server is set
	// keyedTransport sends keyed calls. Responses of servers do not state their request, and one that is repeated on a kept
	// connection would be taken for the next. A refusal that is not the call's own would say that it had not run.
	keyedTransport http.RoundTripper
	timers         *timer.Service
	gate           *admission.Controller
	ledger         *ledger.Ledger
	backend        atomic.Pointer[backend]
	slotsConfig    atomic.Pointer[catalog.Snapshot] // configuration from which the slots were last computed, nil if they must be computed again
	draining       atomic.Bool
	calls          *inFlightCalls
	counters       ownerCounters
	peerExports    *concurrentExportStore
	handover       handoverCounters
	self           member.Key
	quarantine     func() *quarantine.View
	reports        CrashReports
	crashes        *crash.Monitor
	trials         *quarantine.Claims

	tombstone     func(now time.Time, key ledger.Key)   // makes OutcomeNotRun final; replaced in tests
	preventResend func(req *http.Request) *http.Request // keeps net/http from resending requests; replaced in tests
}

type ownerCounters struct {
	outcomes map[Outcome]tally.Counter
	replays  tally.Counter
	waits    tally.Counter
}

const (
	maxIdleServerConns     = 64
	maxResponseHeaderBytes = 64 << 10
	// serverIdleTimeout is shorter than the usual idle timeout of servers. A keyed call sent on a connection
	// that the server is closing would end as unknown.
	serverIdleTimeout = 20 * time.Second
)

// NewOwner returns an owner without a backend server.
func NewOwner(s OwnerSettings) *Owner {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	if s.Quarantine == nil {
		s.Quarantine = quarantine.NewView
	}
	if s.Dial == nil {
		s.Dial = dialServer
	}
	o := &Owner{
		self:        s.Self,
		quarantine:  s.Quarantine,
		reports:     s.Reports.withDefaults(),
		trials:      quarantine.NewClaims(),
		fleet:       s.Fleet,
		snapshot:    s.Snapshot,
		transport:   s.Server,
		timers:      s.Timers,
		gate:        admission.New(s.Admission, 0, s.Timers),
		ledger:      ledger.New(s.Ledger, ledger.TagOf(s.Self), s.Timers.Now()),
		calls:       newInFlightCalls(),
		counters:    newOwnerCounters(s.Scope),
		peerExports: &concurrentExportStore{exports: ledger.NewExportStore()},
		handover:    newHandoverCounters(s.Scope),
	}
	o.crashes = crash.NewMonitor(s.Timers, s.Dial, o.recordCrash)
	o.tombstone = o.ledger.MarkNotRun
	o.preventResend = preventResend
	o.keyedTransport = o.transport
	if o.transport == nil {
		o.ownTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleServerConns, IdleConnTimeout: serverIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
		o.transport = o.ownTransport
		o.keyedTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	}
	return o
}

func dialServer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

func newOwnerCounters(scope tally.Scope) ownerCounters {
	return ownerCounters{
		outcomes: outcomeCounters(scope.SubScope("owner")),
		replays:  scope.Counter("owner_replays"),
		waits:    scope.Counter("owner_waits"),
	}
}

func outcomeCounters(scope tally.Scope) map[Outcome]tally.Counter {
	counters := make(map[Outcome]tally.Counter)
	for _, o := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeBad} {
		counters[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("calls")
	}
	return counters
}

// SetServer sets the backend server and the address at which it serves calls. It may be called at any time
// and more than once.
func (o *Owner) SetServer(addr netip.AddrPort, server member.Server) {
	o.backend.Store(&backend{host: addr.String(), server: server})
	o.slotsConfig.Store(nil)
}

// updateSlots sets the number of slots of the gate if the configuration or the backend server has changed.
func (o *Owner) updateSlots(server member.Server) {
	snap := o.snapshot()
	if snap == nil {
		o.gate.SetSlots(slotCount(nil, server))
		return
	}
	if config := snap.Config(); o.slotsConfig.Swap(config) != config {
		o.gate.SetSlots(slotCount(config, server))
	}
}

// slotCount returns the number of slots from the service's record, or else from the server's announcement,
// or else the default.
func slotCount(config *catalog.Snapshot, server member.Server) int {
	if config != nil {
		if service, ok := config.Service(server.Service()); ok && service.Slots() > 0 {
			return service.Slots()
		}
	}
	if server.Slots() > 0 {
		return server.Slots()
	}
	return admission.DefaultSlots
}

// Load returns the numbers of calls running at the backend server and queued for it.
func (o *Owner) Load() (running, queued int) { return o.gate.Load() }

// Rename changes the key of this node process, which is necessary if an earlier process at its address had a
// greater incarnation. Calls whose request keys name the old key no longer run.
func (o *Owner) Rename(self member.Key) { o.ledger.SetOwner(ledger.TagOf(self)) }

// Drain makes the owner refuse new calls as not run. Calls in flight continue, and stored responses are
// still replayed.
func (o *Owner) Drain() { o.draining.Store(true) }

// Close drains the owner and waits for the calls in flight.
func (o *Owner) Close() {
	o.Drain()
	o.calls.wait()
	if o.ownTransport != nil {
		o.ownTransport.CloseIdleConnections()
	}
}

// ServeHTTP implements http.Handler.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.calls.begin()
	defer o.calls.end()
	if isHandover(r) {
		o.serveHandover(w, r)
		return
	}
	body, err := readRequestBody(r)
	if err != nil {
		o.fail(w, bad(http.StatusBadRequest, ReasonBody, "the body of the request broke off"))
		return
	}
	deadline := o.timers.Now().Add(timeLeft(r.Header, record.DefaultTimeout))
	if text := r.Header.Get(HeaderKey); text != "" {
		o.serveKeyed(w, r, body, deadline, text)
		return
	}
	o.serveIdempotent(w, r, body, deadline)
}

func (o *Owner) serveIdempotent(w http.ResponseWriter, r *http.Request, body requestBody, deadline time.Time) {
	ctx, cancel := WithDeadline(r.Context(), o.timers, deadline)
	defer cancel()
	target, f := o.admit(ctx, r, admission.PriorityIdempotent, deadline)
	if f != nil {
		o.fail(w, *f)
		return
	}
	defer o.gate.Release()
	resp, f := o.send(ctx, r, target, body, deadline)
	if f != nil {
		o.fail(w, *f)
		return
	}
	defer resp.Body.Close()
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	o.setResponseHeader(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := copyResponse(w, resp); err != nil {
		if ctx.Err() == nil {
			o.serverEnded(ctx, r, target, body)
		}
		panic(http.ErrAbortHandler)
	}
	o.clearSuspicion(r, body)
}

// admit waits for a slot of the backend server. If it returns a failure, no slot is taken.
func (o *Owner) admit(ctx context.Context, r *http.Request, p admission.Priority, deadline time.Time) (*backend, *failure) {
	target, rejected := o.readyServer(r)
	if rejected != nil {
		return nil, rejected
	}
	o.updateSlots(target.server)
	err := o.gate.Acquire(ctx, p, deadline)
	if err == nil {
		return target, nil
	}
	f := notRun(ReasonCancelled, "the call was given up in the queue")
	if errors.Is(err, admission.ErrRefused) {
		f = notRun(ReasonFull, "the backend server has no slot in time")
	}
	return nil, &f
}

// readyServer returns the backend server if it accepts new calls and belongs to the requested service.
func (o *Owner) readyServer(r *http.Request) (*backend, *failure) {
	target := o.backend.Load()
	var f failure
	switch {
	case o.draining.Load():
		f = notRun(ReasonDraining, "the node is draining")
	case target == nil || target.server.State() == member.ServerNone:
		f = notRun(ReasonNoServer, "no backend server has announced itself here")
	case target.server.State() == member.ServerDraining:
		f = notRun(ReasonDraining, "the backend server is draining")
	case target.server.State() != member.ServerReady:
		f = notRun(ReasonNoServer, "the backend server is not ready")
	case r.Header.Get(HeaderService) != "" && r.Header.Get(HeaderService) != target.server.Service():
		f = notRun(ReasonWrongServer, "the backend server belongs to another service")
	default:
		return target, nil
	}
	return nil, &f
}

func (o *Owner) fail(w http.ResponseWriter, f failure) {
	o.counters.outcomes[f.outcome].Inc(1)
	o.setLoad(w.Header())
	f.write(w)
}

// setResponseHeader sets the headers of a response from the backend server or the ledger.
func (o *Owner) setResponseHeader(w http.ResponseWriter, header http.Header) {
	h := w.Header()
	copyEndToEndHeaders(h, header)
	delete(h, HeaderReason)
	setHeader(h, HeaderOutcome, string(OutcomeAnswered))
	o.setLoad(h)
}

func (o *Owner) setLoad(h http.Header) {
	setHeader(h, HeaderLoad, formatLoad(o.gate.Load()))
}
