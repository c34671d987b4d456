package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/timer"
)

// Backend is the backend server beside the node.
type Backend struct {
	id      string
	address netip.AddrPort
	server  member.Server
}

// NewBackend returns the server of an ID at an address.
func NewBackend(id string, address netip.AddrPort, server member.Server) Backend {
	return Backend{id: id, address: address, server: server}
}

// ID returns the ID of the server.
func (b Backend) ID() string { return b.id }

// Address returns where the server takes requests.
func (b Backend) Address() netip.AddrPort { return b.address }

// Server returns its service, state and slots.
func (b Backend) Server() member.Server { return b.server }

// OwnerSettings of an Owner.
type OwnerSettings struct {
	Timers      *timer.Service
	Log         zerolog.Logger
	AnsweredLog zerolog.Logger // for requests that were answered
	Scope       tally.Scope
}

// Connections to the server beside the node.
const (
	serverDialTimeout = 300 * time.Millisecond // it is on the same machine
	serverIdleTimeout = 9 * time.Second        // unless the server states less
	serverIdle        = 64
	maxAnswer         = 64 << 20 // bytes
)

// Owner runs requests at the server beside the node.
type Owner struct {
	stopper
	settings OwnerSettings
	gate     *admission.Controller
	expected *expectation
	pool     *exchange.Pool
	backend  atomic.Pointer[Backend]
	results  tally.Scope
	running  tally.Histogram
}

// NewOwner returns an owner without a server.
func NewOwner(s OwnerSettings) *Owner {
	dialled, strays := s.Scope.Counter("server_connections"), s.Scope.Counter("server_stray_answers")
	return &Owner{
		stopper:  stopper{timers: s.Timers},
		settings: s,
		expected: newExpectation(),
		gate:     admission.New(admission.Settings{QueueLimit: maxQueue, MaxWait: maxQueueWait}, 1, s.Timers),
		pool: exchange.NewPool(exchange.PoolSettings{
			Dial: exchange.Dial, DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout, MaxIdlePerPeer: serverIdle,
			MaxBodyBytes: maxAnswer, Timers: s.Timers,
			OnDial:          func() { dialled.Inc(1) },
			OnStrayResponse: func(netip.AddrPort) { strays.Inc(1) },
		}),
		results: s.Scope,
		running: s.Scope.Histogram("server_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
}

// SetBackend sets the server beside the node. Requests that run at another one go on.
func (o *Owner) SetBackend(b Backend) {
	held := o.backend.Swap(&b)
	if held != nil && held.id != b.id {
		o.pool.CloseIdle(held.address)
	}
	o.gate.SetSlots(b.server.Slots())
}

// Backend returns the server beside the node, if one has reported.
func (o *Owner) Backend() (Backend, bool) {
	b := o.backend.Load()
	if b == nil {
		return Backend{}, false
	}
	return *b, true
}

// Queued returns the number of requests that wait for a slot.
func (o *Owner) Queued() int {
	_, queued := o.gate.Load()
	return queued
}

// ready returns the server if it takes new work of a service. Another service may have got the VM since the caller's
// node chose it.
func (o *Owner) ready(service string) (Backend, Reason, bool) {
	b, ok := o.Backend()
	switch {
	case !ok || b.server.State() == member.ServerNone:
		return b, ReasonNoServer, false
	case b.server.Service() != service:
		return b, ReasonOtherServer, false
	case b.server.State() == member.ServerDraining:
		return b, ReasonDraining, false
	}
	return b, "", true
}

// ServeCall answers a call of another node.
func (o *Owner) ServeCall(ctx context.Context, r *exchange.Request) *exchange.Response {
	c, err := decodeCall(r.Header().Get(headerCall))
	if err != nil {
		return exchange.NewResponse(http.StatusBadRequest, nil, nil).WithClose()
	}
	r.Header().Del(headerCall)
	result := o.Serve(ctx, c, r)
	answer := result.answer
	if answer == nil {
		answer = exchange.NewResponse(http.StatusServiceUnavailable, nil, nil)
	}
	answer.Header().Set(headerResult, encodeResult(c.attempt, result))
	return answer
}

// Serve runs a request at the server beside the node, at most once.
func (o *Owner) Serve(ctx context.Context, c Call, r *exchange.Request) Result {
	start := o.settings.Timers.Now()
	result := o.serve(ctx, c, r, start)
	running, queued := o.gate.Load()
	result.load = balance.NewLoad(running, queued)
	o.count(c, result, start)
	return result
}

func (o *Owner) serve(ctx context.Context, c Call, r *exchange.Request, start time.Time) Result {
	if _, reason, ok := o.ready(c.service); !ok {
		return notRun(reason)
	}
	if s := o.held.Load(); s != nil && !s.admits(start, c.left) {
		return notRun(ReasonDraining)
	}
	if hopeless(c, o.expected.least(c)) {
		return notRun(ReasonDeadlineExceeded)
	}
	deadline := start.Add(c.left)
	if err := o.gate.Acquire(ctx, urgencyOf(c), latestStart(start, c, o.expected.most(c))); err != nil {
		result := o.refusal(err)
		result.waited = o.settings.Timers.Now().Sub(start)
		return result
	}
	begun := o.settings.Timers.Now()
	result := o.run(ctx, c, r, deadline)
	result.waited, result.ran = begun.Sub(start), o.settings.Timers.Now().Sub(begun)
	took := time.Duration(0)
	if result.ending == OutcomeAnswered {
		took = result.ran
		o.expected.ran(c, took)
	}
	o.gate.Release(took)
	return result
}

// refusal says why a request got no slot, and when there may be one.
func (o *Owner) refusal(err error) Result {
	if !errors.Is(err, admission.ErrRefused) {
		return notRun(ReasonCallerLeft)
	}
	result := notRun(ReasonFull)
	_, queued := o.gate.Load()
	result.retryAfter = expectedRoom(queued, o.gate.Slots(), o.gate.AverageRunTime())
	return result
}

// run sends a request that holds a slot.
func (o *Owner) run(ctx context.Context, c Call, r *exchange.Request, deadline time.Time) Result {
	b, reason, ok := o.ready(c.service)
	if !ok {
		return notRun(reason)
	}
	left := deadline.Sub(o.settings.Timers.Now())
	if left <= 0 {
		return notRun(ReasonDeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	platform.SetOrder(r.Header(), c.attempt, left, b.id, c.caller)
	answer, err := o.pool.Do(ctx, b.address, r, func(h http.Header) bool { return platform.BelongsTo(h, c.attempt) })
	if err != nil {
		return o.failure(ctx, err)
	}
	return o.judge(b, answer)
}

// failure says what a request that got no answer has come to.
func (o *Owner) failure(ctx context.Context, err error) Result {
	switch {
	case exchange.NotSent(err):
		return notRun(ReasonUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknown(ReasonDeadlineExceeded)
	case ctx.Err() != nil:
		return unknown(ReasonCallerLeft)
	}
	return unknown(ReasonConnectionLost)
}

// judge decides whether an answer may be passed on.
func (o *Owner) judge(b Backend, answer *exchange.Response) Result {
	h := answer.Header()
	switch {
	case answer.Status() == http.StatusMisdirectedRequest:
		o.settings.Log.Warn().Str("kind", "server_replaced").Str("expected", b.id).Str("found", platform.ServerID(h)).Msg("another server answered at the address")
		return arrivedNotRun(ReasonOtherServer)
	case platform.NotRun(answer.Status(), h):
		return arrivedNotRun(ReasonShed)
	case answer.Status() < http.StatusMultipleChoices && !platform.Sealed(h):
		return unknown(ReasonUnsealed)
	}
	return answered(answer)
}

func arrivedNotRun(reason Reason) Result {
	return Result{ending: OutcomeNotRun, reason: reason, arrived: true}
}

func (o *Owner) count(c Call, result Result, start time.Time) {
	o.results.Tagged(map[string]string{"ending": result.ending.String(), "reason": string(result.reason)}).Counter("owner_requests").Inc(1)
	took := o.settings.Timers.Now().Sub(start)
	log, text := &o.settings.Log, "request was not answered by the server"
	if result.ending == OutcomeAnswered {
		o.running.RecordDuration(took)
		log, text = &o.settings.AnsweredLog, "request was answered by the server"
	}
	b, _ := o.Backend()
	log.Info().Str("kind", "server_result").Str("request", c.attempt).Str("server", b.id).Stringer("ending", result.ending).Str("reason", string(result.reason)).
		Int("urgency", c.urgency).Dur("left", c.left).Dur("target", c.target).Dur("most", o.expected.most(c)).
		Int("running", result.load.Running()).Int("queued", result.load.Queued()).Dur("waited", result.waited).Dur("took", took).Msg(text)
}

// Close ends the connections to the server.
func (o *Owner) Close() { o.pool.Close() }
