package call

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

// OwnerSettings are the parts that an Owner works with.
type OwnerSettings struct {
	Fleet     string                   // name of the fleet, part of the check of request keys
	Self      member.Key               // the node process
	Snapshot  func() *message.Snapshot // configuration and view in force, nil before the node joined
	Server    http.RoundTripper        // connections to the backend server, nil for a net/http Transport
	Admission admission.Settings
	Ledger    ledger.Settings
	Timers    *timer.Service
	Scope     tally.Scope // nil counts nothing
}

// backend is the server beside the node.
type backend struct {
	host   string
	server member.Server
}

// Owner runs the calls that other nodes forward to the backend server beside this node. It is an
// http.Handler for forwarded calls only.
type Owner struct {
	fleet        string
	snapshot     func() *message.Snapshot
	transport    http.RoundTripper
	ownTransport *http.Transport // closed with the Owner, nil if the transport was given
	timers       *timer.Service
	gate         *admission.Gate
	ledger       *ledger.Ledger
	backend      atomic.Pointer[backend]
	slotsConfig  atomic.Pointer[catalog.Snapshot] // configuration by which the slots were set, nil if they were not
	draining     atomic.Bool
	calls        *inFlightCalls
	counters     ownerCounters
	departed     *departedStore
	handover     handoverCounters

	tombstone     func(now time.Time, key ledger.Key)   // seam: makes "not run" final
	preventResend func(req *http.Request) *http.Request // seam: keeps net/http from repeating calls
}

type ownerCounters struct {
	outcomes map[Outcome]tally.Counter
	replays  tally.Counter
	waits    tally.Counter
}

const (
	// maxServerConns bounds the idle connections kept to the backend server.
	maxServerConns = 64
	// serverIdle is shorter than servers keep idle connections: a keyed call that meets a connection
	// which the server is closing ends as unknown.
	serverIdle = 20 * time.Second
)

// NewOwner returns an owner without a backend server.
func NewOwner(s OwnerSettings) *Owner {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	o := &Owner{
		fleet:     s.Fleet,
		snapshot:  s.Snapshot,
		transport: s.Server,
		timers:    s.Timers,
		gate:      admission.New(s.Admission, 0, s.Timers),
		ledger:    ledger.New(s.Ledger, ledger.TagOf(s.Self), s.Timers.Now()),
		calls:     newInFlightCalls(),
		counters:  newOwnerCounters(s.Scope),
		departed:  &departedStore{exports: ledger.NewDeparted()},
		handover:  newHandoverCounters(s.Scope),
	}
	o.tombstone = o.ledger.Refuse
	o.preventResend = preventResend
	if o.transport == nil {
		o.ownTransport = &http.Transport{MaxIdleConnsPerHost: maxServerConns, IdleConnTimeout: serverIdle, DisableCompression: true}
		o.transport = o.ownTransport
	}
	return o
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

// SetServer sets the backend server and the address at which it serves calls. It may be called again
// at any time.
func (o *Owner) SetServer(addr netip.AddrPort, server member.Server) {
	o.backend.Store(&backend{host: addr.String(), server: server})
	o.slotsConfig.Store(nil)
}

// updateSlots gives the gate the slots that the configuration in force and the server's announcement make.
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

// slotCount returns the slotCount of the service's record, or else what the server announced.
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

// Load returns the calls that run at the backend server and those queued before it.
func (o *Owner) Load() (running, queued int) { return o.gate.Load() }

// Rename tells the owner that its node took another key, because its address was used before by a
// process with a greater incarnation. Request keys that name the old one are not run any more.
func (o *Owner) Rename(self member.Key) { o.ledger.Rename(ledger.TagOf(self)) }

// Drain makes the owner refuse new work as not run. Calls in flight go on, and answers that are kept
// are still given.
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
	to, fault := o.admit(ctx, r, admission.PriorityIdempotent, deadline)
	if fault != nil {
		o.fail(w, *fault)
		return
	}
	started := o.timers.Now()
	defer func() { o.gate.Leave(o.timers.Now().Sub(started)) }()
	resp, fault := o.send(ctx, r, to, body, deadline)
	if fault != nil {
		o.fail(w, *fault)
		return
	}
	defer resp.Body.Close()
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	o.setResponseHeader(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := copyResponse(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// admit waits for a slot of the server. With a refusal, no slot is held.
func (o *Owner) admit(ctx context.Context, r *http.Request, p admission.Priority, deadline time.Time) (*backend, *failure) {
	to, fault := o.readyServer(r)
	if fault != nil {
		return nil, fault
	}
	o.updateSlots(to.server)
	err := o.gate.Enter(ctx, p, deadline)
	if err == nil {
		return to, nil
	}
	f := notRun(ReasonCancelled, "the call was given up in the queue")
	if errors.Is(err, admission.ErrRefused) {
		f = notRun(ReasonFull, "the backend server has no slot in time")
	}
	return nil, &f
}

// readyServer returns the backend server if it takes new work of the service wanted.
func (o *Owner) readyServer(r *http.Request) (*backend, *failure) {
	to := o.backend.Load()
	var f failure
	switch {
	case o.draining.Load():
		f = notRun(ReasonDraining, "the node is draining")
	case to == nil || to.server.State() == member.ServerNone:
		f = notRun(ReasonNoServer, "no backend server has announced itself here")
	case to.server.State() == member.ServerDraining:
		f = notRun(ReasonDraining, "the backend server is draining")
	case to.server.State() != member.ServerReady:
		f = notRun(ReasonNoServer, "the backend server is not ready")
	case r.Header.Get(HeaderService) != "" && r.Header.Get(HeaderService) != to.server.Service():
		f = notRun(ReasonWrongServer, "the backend server belongs to another service")
	default:
		return to, nil
	}
	return nil, &f
}

func (o *Owner) fail(w http.ResponseWriter, f failure) {
	o.counters.outcomes[f.outcome].Inc(1)
	o.setLoad(w.Header())
	f.write(w)
}

// setResponseHeader sets the header of an answer.
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
