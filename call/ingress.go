package call

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/timer"
)

// Settings configure an Ingress.
type Settings struct {
	Fleet    string                   // name of the fleet, covered by the checksum of request keys
	Self     member.Key               // this node process
	Place    member.Place             // region and failure domain of this node
	Snapshot func() *message.Snapshot // returns the current configuration and view, or nil before the node has joined
	Forward  http.RoundTripper        // sends calls to the node whose peer address is the host of the URL
	NotSent  func(error) bool         // reports whether an error of Forward means that no byte was sent; by default, whether dialling failed
	// Observe is called at the end of each call on a route that does not end with OutcomeBad; may be nil. good tells
	// whether the complete response of a backend server, with a status below 500, was relayed.
	Observe func(route record.Route, good bool, elapsed time.Duration)
	Balance balance.Settings
	Retry   retry.Settings
	Timers  *timer.Service
	// Quarantine returns the calls that crash servers; nil means that there are none.
	Quarantine func() *quarantine.View
	Rand       *rand.Rand  // only used under the Ingress's lock
	Scope      tally.Scope // nil disables metrics
}

// Ingress accepts calls from callers and responds to each with one of the four outcomes. It is an
// http.Handler.
type Ingress struct {
	settings Settings
	limits   *limits
	counters ingressCounters
	calls    *inFlightCalls
	abort    func() // breaks the connection to the caller; replaced in tests

	mu      sync.Mutex // guards the fields below
	balance *balance.Machine
	budgets map[string]*retry.Budget // by service
	owners  *ownerIndex
	rnd     *rand.Rand
}

type ingressCounters struct {
	outcomes      map[Outcome]tally.Counter
	retries       tally.Counter
	retriesDenied tally.Counter
	keysIssued    tally.Counter
	ejections     tally.Counter
	crossRegion   tally.Counter // idempotent attempts sent to another region
}

// New returns an ingress.
func New(s Settings) *Ingress {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	if s.Observe == nil {
		s.Observe = func(record.Route, bool, time.Duration) {}
	}
	if s.Quarantine == nil {
		s.Quarantine = quarantine.NewView
	}
	if s.NotSent == nil {
		s.NotSent = dialFailed
	}
	return &Ingress{
		settings: s,
		limits:   newLimits(),
		counters: ingressCounters{
			outcomes:      outcomeCounters(s.Scope.SubScope("ingress")),
			retries:       s.Scope.Counter("ingress_retries"),
			retriesDenied: s.Scope.Counter("ingress_retries_denied"),
			keysIssued:    s.Scope.Counter("ingress_keys_issued"),
			ejections:     s.Scope.Counter("ingress_ejections"),
			crossRegion:   s.Scope.Counter("ingress_cross_region"),
		},
		calls:   newInFlightCalls(),
		abort:   func() { panic(http.ErrAbortHandler) },
		balance: balance.New(s.Balance, s.Self, s.Place, s.Rand),
		budgets: make(map[string]*retry.Budget),
		owners:  &ownerIndex{},
		rnd:     s.Rand,
	}
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Close waits for the calls in flight. No new calls may arrive once it is called.
func (i *Ingress) Close() { i.calls.wait() }

// request is a call being handled by the ingress. It uses the snapshot of its arrival throughout.
type request struct {
	w            http.ResponseWriter
	r            *http.Request
	snapshot     *message.Snapshot
	route        record.Route
	startedAt    time.Time
	deadline     time.Time
	body         requestBody
	noRetry      bool
	firstAttempt bool          // the caller sends its request key for the first time
	sent         bool          // some of the call may have been sent
	trialNode    member.Member // whose server runs the call as a trial, if it is quarantined
}

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.calls.begin()
	defer i.calls.end()
	snap := i.settings.Snapshot()
	if snap == nil {
		i.fail(w, downgradeNotRun(r, notRun(ReasonJoining, "the node has not joined the fleet yet")))
		return
	}
	if r.URL.Path == KeysPath {
		i.serveKeys(w, r, snap)
		return
	}
	if r.URL.Path == HandoverPath {
		i.fail(w, bad(http.StatusNotFound, ReasonNoRoute, "the path is not for callers"))
		return
	}
	if hasDotSegment(r.URL.Path) {
		i.fail(w, bad(http.StatusBadRequest, ReasonPath, "the path must not hold . or .. segments"))
		return
	}
	route, ok := snap.Config().Match(r.URL.Path)
	if !ok {
		i.fail(w, bad(http.StatusNotFound, ReasonNoRoute, "no route matches "+r.URL.Path))
		return
	}
	now := i.settings.Timers.Now()
	i.serveRoute(&request{
		w: w, r: r, snapshot: snap, route: route, startedAt: now,
		deadline:     now.Add(timeLeft(r.Header, route.Timeout())),
		noRetry:      r.Header.Get(HeaderNoRetry) == "1",
		firstAttempt: r.Header.Get(HeaderAttempt) == "1",
	})
}

func (i *Ingress) serveRoute(q *request) {
	good := false
	observed := true
	defer func() {
		if observed {
			i.settings.Observe(q.route, good, i.settings.Timers.Now().Sub(q.startedAt))
		}
	}()
	f := i.serve(q, &good)
	if f == nil {
		return
	}
	observed = f.outcome != OutcomeBad
	i.fail(q.w, *f)
}

// serve handles the call, or returns the failure to respond with. It sets good once the complete response of
// a backend server, with a status below 500, has been relayed.
func (i *Ingress) serve(q *request, good *bool) *failure {
	if f := i.check(q); f != nil {
		downgraded := downgradeNotRun(q.r, *f)
		return &downgraded
	}
	if err := q.readBody(); err != nil {
		f := bad(http.StatusBadRequest, ReasonBody, "the body of the request broke off")
		return &f
	}
	if f := i.refuseQuarantined(q); f != nil {
		downgraded := downgradeNotRun(q.r, *f)
		return &downgraded
	}
	ctx, cancel := WithDeadline(q.r.Context(), i.settings.Timers, q.deadline)
	defer cancel()
	if q.route.Idempotent() {
		return i.serveIdempotent(ctx, q, good)
	}
	return i.serveKeyed(ctx, q, good)
}

// readBody buffers a small body before anything is sent. The call's deadline applies to the reading.
func (q *request) readBody() error {
	if q.r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(q.w)
	_ = controller.SetReadDeadline(q.deadline)
	var err error
	q.body, err = readRequestBody(q.r)
	if err == nil && q.body.repeatable() {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return err
}

// downgradeNotRun returns the failure of a call that this node did not forward. If the call repeats a key,
// an earlier attempt may have run, so OutcomeNotRun becomes OutcomeUnknown.
func downgradeNotRun(r *http.Request, f failure) failure {
	if f.outcome != OutcomeNotRun || r.Header.Get(HeaderKey) == "" || r.Header.Get(HeaderAttempt) == "1" {
		return f
	}
	f.outcome = OutcomeUnknown
	f.status = http.StatusGatewayTimeout
	f.detail += "; an earlier attempt with the key may have run"
	return f
}

// check rejects calls that are nested too deep, expired or above a rate limit.
func (i *Ingress) check(q *request) *failure {
	var f failure
	switch {
	case nestingDepth(q.r.Header) > MaxDepth:
		f = bad(http.StatusBadRequest, ReasonTooDeep, "calls are nested deeper than "+strconv.Itoa(MaxDepth))
	case !q.deadline.After(q.startedAt):
		f = notRun(ReasonDeadline, "the deadline passed before the call arrived")
	default:
		return i.limits.takeTokens(q.startedAt, q.snapshot.Config(), q.route)
	}
	return &f
}

func (i *Ingress) fail(w http.ResponseWriter, f failure) {
	i.counters.outcomes[f.outcome].Inc(1)
	f.write(w)
}

// budget returns the retry budget of a service. The caller must hold i.mu.
func (i *Ingress) budget(service string) *retry.Budget {
	b, ok := i.budgets[service]
	if !ok {
		b = retry.New(i.settings.Retry)
		i.budgets[service] = b
	}
	return b
}

func (i *Ingress) takeRetry(service string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.budget(service).AllowRetry() {
		i.counters.retriesDenied.Inc(1)
		return false
	}
	i.counters.retries.Inc(1)
	return true
}

func (i *Ingress) recordFirstAttempt(q *request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget(q.route.Service()).RecordFirstAttempt()
}

func (i *Ingress) choose(q *request, tried []member.Key) (member.Member, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(tried) == 0 {
		i.budget(q.route.Service()).RecordFirstAttempt()
	}
	if q.trialNode.Key() != (member.Key{}) {
		i.balance.RecordStart(q.trialNode.Key())
		return q.trialNode, true
	}
	m, ok := i.balance.Choose(i.settings.Timers.Now(), q.snapshot.View(), q.route.Service(), tried)
	if ok {
		i.balance.RecordStart(m.Key())
		if m.Place().Region() != i.settings.Place.Region() {
			i.counters.crossRegion.Inc(1)
		}
	}
	return m, ok
}

func (i *Ingress) recordEnd(key member.Key, result balance.Result) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.balance.RecordEnd(i.settings.Timers.Now(), key, result) {
		i.counters.ejections.Inc(1)
	}
}

func (i *Ingress) recordLoad(key member.Key, header http.Header) {
	load, ok := parseLoad(header.Get(HeaderLoad))
	if !ok {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.balance.RecordLoad(i.settings.Timers.Now(), key, load)
}

// forwardRequest returns the request that forwards a call to the owner node.
func (i *Ingress) forwardRequest(ctx context.Context, q *request, owner netip.AddrPort) *http.Request {
	req := newOutgoingRequest(ctx, q.r, owner.String(), q.body)
	setTimeoutHeader(req.Header, q.deadline.Sub(i.settings.Timers.Now())-hopMargin)
	setHeader(req.Header, HeaderService, q.route.Service())
	if q.route.Idempotent() {
		delete(req.Header, HeaderKey)
		setHeader(req.Header, HeaderNoRetry, "1")
		return SendOnce(req)
	}
	if !q.firstAttempt || q.sent {
		delete(req.Header, HeaderAttempt)
	}
	return SendOnce(req)
}
