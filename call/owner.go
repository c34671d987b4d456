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
	fleet    string
	snapshot func() *message.Snapshot
	server   http.RoundTripper
	own      *http.Transport // closed with the Owner, nil if the transport was given
	timers   *timer.Service
	gate     *admission.Controller
	ledger   *ledger.Ledger
	backend  atomic.Pointer[backend]
	sized    atomic.Pointer[catalog.Snapshot] // configuration by which the slots were set, nil if they were not
	draining atomic.Bool
	calls    *flight
	counters ownerCounters
	departed *departedStore
	handover handoverCounters

	tombstone func(now time.Time, key ledger.Key)   // seam: makes "not run" final
	protect   func(req *http.Request) *http.Request // seam: keeps net/http from repeating calls
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
		fleet:    s.Fleet,
		snapshot: s.Snapshot,
		server:   s.Server,
		timers:   s.Timers,
		gate:     admission.New(s.Admission, 0, s.Timers),
		ledger:   ledger.New(s.Ledger, ledger.TagOf(s.Self), s.Timers.Now()),
		calls:    newFlight(),
		counters: newOwnerCounters(s.Scope),
		departed: &departedStore{kept: ledger.NewExportStore()},
		handover: newHandoverCounters(s.Scope),
	}
	o.tombstone = o.ledger.MarkNotRun
	o.protect = protect
	if o.server == nil {
		o.own = &http.Transport{MaxIdleConnsPerHost: maxServerConns, IdleConnTimeout: serverIdle, DisableCompression: true}
		o.server = o.own
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
	o.sized.Store(nil)
}

// resize gives the gate the slots that the configuration in force and the server's announcement make.
func (o *Owner) resize(server member.Server) {
	snap := o.snapshot()
	if snap == nil {
		o.gate.SetSlots(slots(nil, server))
		return
	}
	if config := snap.Config(); o.sized.Swap(config) != config {
		o.gate.SetSlots(slots(config, server))
	}
}

// slots returns the slots of the service's record, or else what the server announced.
func slots(config *catalog.Snapshot, server member.Server) int {
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
func (o *Owner) Rename(self member.Key) { o.ledger.SetOwner(ledger.TagOf(self)) }

// Drain makes the owner refuse new work as not run. Calls in flight go on, and answers that are kept
// are still given.
func (o *Owner) Drain() { o.draining.Store(true) }

// Close drains the owner and waits for the calls in flight.
func (o *Owner) Close() {
	o.Drain()
	o.calls.wait()
	if o.own != nil {
		o.own.CloseIdleConnections()
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
	body, err := readPayload(r)
	if err != nil {
		o.refuse(w, bad(http.StatusBadRequest, ReasonBody, "the body of the request broke off"))
		return
	}
	deadline := o.timers.Now().Add(remaining(r.Header, record.DefaultTimeout))
	if text := r.Header.Get(HeaderKey); text != "" {
		o.serveKeyed(w, r, body, deadline, text)
		return
	}
	o.serveIdempotent(w, r, body, deadline)
}

func (o *Owner) serveIdempotent(w http.ResponseWriter, r *http.Request, body payload, deadline time.Time) {
	ctx, cancel := WithDeadline(r.Context(), o.timers, deadline)
	defer cancel()
	to, fault := o.admit(ctx, r, admission.PriorityIdempotent, deadline)
	if fault != nil {
		o.refuse(w, *fault)
		return
	}
	started := o.timers.Now()
	defer func() { o.gate.Release(o.timers.Now().Sub(started)) }()
	resp, fault := o.send(ctx, r, to, body, deadline)
	if fault != nil {
		o.refuse(w, *fault)
		return
	}
	defer resp.Body.Close()
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	o.head(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := stream(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// admit waits for a slot of the server. With a refusal, no slot is held.
func (o *Owner) admit(ctx context.Context, r *http.Request, p admission.Priority, deadline time.Time) (*backend, *refusal) {
	to, fault := o.readyServer(r)
	if fault != nil {
		return nil, fault
	}
	o.resize(to.server)
	err := o.gate.Acquire(ctx, p, deadline)
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
func (o *Owner) readyServer(r *http.Request) (*backend, *refusal) {
	to := o.backend.Load()
	var f refusal
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

func (o *Owner) refuse(w http.ResponseWriter, f refusal) {
	o.counters.outcomes[f.outcome].Inc(1)
	o.setLoad(w.Header())
	f.write(w)
}

// head sets the header of an answer.
func (o *Owner) head(w http.ResponseWriter, header http.Header) {
	h := w.Header()
	copyHeader(h, header)
	delete(h, HeaderReason)
	setHeader(h, HeaderOutcome, string(OutcomeAnswered))
	o.setLoad(h)
}

func (o *Owner) setLoad(h http.Header) {
	setHeader(h, HeaderLoad, formatLoad(o.gate.Load()))
}
