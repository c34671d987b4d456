package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/crash"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/quarantine"
)

// Limits of the connections to the server.
const (
	serverDialTimeout      = 300 * time.Millisecond // short, as the server is on the same VM
	serverIdleTimeout      = 9 * time.Second        // unless the server announces less
	serverIdleConnections  = 64
	maxResponseBytes       = 64 << 20
	maxResponseHeaderBytes = 64 << 10
)

// Owner runs requests at the server on the node's VM, with admission control. It is safe for concurrent use.
type Owner struct {
	shutdownState
	settings      OwnerSettings
	admission     *admission.Controller
	runTimes      *runTimeEstimator
	pace          *paceMonitor
	limit         *serverLimit
	crashes       *crash.Monitor
	trials        *quarantine.Claims
	running       *runningRequests
	egress        *egressPacer
	pool          *exchange.Pool
	backend       atomic.Pointer[Backend]
	scope         tally.Scope
	serverSeconds tally.Histogram
}

// NewOwner returns an owner without a server.
func NewOwner(s OwnerSettings) *Owner {
	s = s.withDefaults()
	connections, strayResponses := s.Scope.Counter("server_connections"), s.Scope.Counter("server_stray_answers")
	o := &Owner{
		shutdownState: shutdownState{timers: s.Timers},
		settings:      s,
		runTimes:      newRunTimeEstimator(),
		trials:        quarantine.NewClaims(),
		running:       newRunningRequests(),
		egress:        newEgressPacer(s.Timers, s.LinkBytesPerSecond),
		admission:     admission.New(admission.Settings{QueueLimit: maxQueue, MaxWait: maxQueueWait}, 1, s.Timers),
		pool: exchange.NewPool(exchange.PoolSettings{
			Dial: s.Dial, DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout, MaxIdlePerPeer: serverIdleConnections,
			MaxHeaderBytes: maxResponseHeaderBytes, MaxBodyBytes: maxResponseBytes, Budget: s.Budget, Timers: s.Timers,
			OnDial:          func() { connections.Inc(1) },
			OnStrayResponse: func(netip.AddrPort) { strayResponses.Inc(1) },
		}),
		scope:         s.Scope,
		serverSeconds: s.Scope.Histogram("server_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
	o.pace = newPaceMonitor(s.Timers, o.logPace)
	o.limit = &serverLimit{onChange: o.onLimitChange, onInvalid: o.logInvalidLimit}
	o.crashes = crash.NewMonitor(s.Timers, s.Dial, o.recordCrash)
	return o
}

// onLimitChange handles a change of the limit that the server states.
func (o *Owner) onLimitChange(change limitChange) {
	o.admission.SetRate(statement{limited: change.limited, perSecond: change.perSecond}.rate())
	b, _ := o.Backend()
	o.scope.Gauge("server_limit").Update(change.perSecond)
	o.settings.Log.Info().Str("kind", "server_limit").Str("server", b.id).Bool("limited", change.limited).Float64("per_second", change.perSecond).
		Float64("before", change.before).Str("request", change.requestID).Bool("by_caller", change.byCaller).Dur("age", change.age).Msg("the server changed the limit of requests that it accepts")
}

// adopt applies what the node of a caller knows of the server from earlier responses, in case this node has been restarted
// since.
func (o *Owner) adopt(s statement, requestID string) {
	o.limit.adopt(s, requestID)
	b, ok := o.Backend()
	if ok && b.server.State() != member.ServerDraining && b.id != "" && b.isProcess(s.leaving) {
		o.settings.OnLeaving(b, requestID)
	}
}

// statement returns what the server stated last.
func (o *Owner) statement() statement {
	var s statement
	s.perSecond, s.limited = o.limit.current()
	if b, ok := o.Backend(); ok && b.server.State() == member.ServerDraining {
		s.leaving = b.process()
	}
	return s
}

func (o *Owner) logInvalidLimit(err error) {
	b, _ := o.Backend()
	o.settings.Log.Warn().Str("kind", "server_limit_ignored").Str("server", b.id).Err(err).Msg("ignored the limit in a response of the server")
}

func (o *Owner) logPace(slowdown float64) {
	b, _ := o.Backend()
	o.settings.Log.Info().Str("kind", "server_pace").Str("server", b.id).Float64("slowdown", slowdown).Msg("pace of the server changed")
}

// SetBackend sets the server on the VM. Requests in flight to the previous server continue.
func (o *Owner) SetBackend(b Backend) {
	previous := o.backend.Swap(&b)
	if previous != nil && !previous.isProcess(b.process()) {
		o.pool.CloseIdle(previous.address)
		o.pace.reset()
		o.limit.reset()
	}
	o.admission.SetSlots(b.server.Slots())
}

// Backend returns the server on the VM, if one has been set.
func (o *Owner) Backend() (Backend, bool) {
	b := o.backend.Load()
	if b == nil {
		return Backend{}, false
	}
	return *b, true
}

// LinkBacklog returns how long the link of the VM takes to carry the large responses to all admitted requests.
func (o *Owner) LinkBacklog() time.Duration { return o.egress.backlogTime() }

// Queued returns the number of requests that wait for a slot.
func (o *Owner) Queued() int {
	_, queued := o.admission.Load()
	return queued
}

// readyBackend returns the server if it accepts new requests like a call. The VM may have been given to another service or to
// a server of another version since the node of the caller chose it.
func (o *Owner) readyBackend(c Call) (Backend, Reason, bool) {
	b, ok := o.Backend()
	switch {
	case !ok || b.server.State() == member.ServerNone:
		return b, ReasonNoServer, false
	case b.server.Service() != c.service, c.version != "" && b.server.Version() != c.version:
		return b, ReasonOtherServer, false
	case b.server.State() == member.ServerDraining:
		return b, ReasonDraining, false
	}
	return b, "", true
}

// ServeCall handles a request forwarded by another node.
func (o *Owner) ServeCall(ctx context.Context, r *exchange.Request) *exchange.Response {
	c, err := decodeCall(r.Header().Get(headerCall))
	if err != nil {
		return exchange.NewResponse(http.StatusBadRequest, nil, nil).WithClose()
	}
	o.adopt(decodeStatement(r.Header().Get(headerServer)), c.requestID)
	c.trial, c.version = trialOf(r.Header()), r.Header().Get(headerVersion)
	r.Header().Del(headerCall)
	r.Header().Del(headerServer)
	r.Header().Del(headerTrial)
	r.Header().Del(headerVersion)
	result := o.servePaced(ctx, c, r)
	response := result.response
	if response == nil {
		response = exchange.NewResponse(http.StatusServiceUnavailable, nil, nil)
	}
	response.Header().Set(headerResult, encodeResult(c.requestID, result))
	if !result.statement.empty() {
		response.Header().Set(headerServer, encodeStatement(result.statement))
	}
	return response
}

// servePaced is Serve for a request of another node, whose response has to fit on the link of the VM.
func (o *Owner) servePaced(ctx context.Context, c Call, r *exchange.Request) Result {
	start := o.settings.Timers.Now()
	size, wait, ok := o.egress.admit(c, latestResponse(start, c))
	if !ok {
		result := notRun(ReasonLink)
		result.retryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
		result.load, result.statement = o.load(), o.statement()
		o.recordResult(c, result, start)
		return result
	}
	result := o.Serve(ctx, c, r)
	o.egress.release(size)
	if result.response != nil {
		o.egress.await(ctx, c, len(result.response.Body()))
	}
	return result
}

// Serve runs a request at the server on the VM, at most once.
func (o *Owner) Serve(ctx context.Context, c Call, r *exchange.Request) Result {
	start := o.settings.Timers.Now()
	result := o.serve(ctx, c, r, start)
	result.load = o.load()
	result.statement = o.statement()
	o.recordResult(c, result, start)
	return result
}

func (o *Owner) serve(ctx context.Context, c Call, r *exchange.Request, start time.Time) Result {
	if _, reason, ok := o.readyBackend(c); !ok {
		return notRun(reason)
	}
	if s := o.plannedShutdown.Load(); s != nil && !s.admits(start, c.timeLeft) {
		return notRun(ReasonDraining)
	}
	id := newIdentity(c.caller, r)
	id.organisation = c.organisation.name
	if refusal, refused := o.checkQuarantine(c, id); refused {
		return refusal
	}
	if cannotFinish(c, o.runTimes.lowerBound(c)) {
		return notRun(ReasonDeadlineExceeded)
	}
	admitted, probe := o.pace.admit(c)
	if !admitted {
		return o.refusal(ReasonSlow)
	}
	deadline := start.Add(c.timeLeft)
	if err := o.admission.AcquireFlow(ctx, admission.Flow(c.organisation.name), queuePriority(c), latestStart(start, c, o.maxRunTime(c))); err != nil {
		result := o.admissionFailure(err)
		result.queueTime = o.settings.Timers.Now().Sub(start)
		return result
	}
	startedAt := o.settings.Timers.Now()
	paced := o.pace.start(c, probe)
	result := o.run(ctx, c, r, id, deadline)
	o.pace.finish(paced, result.outcome == OutcomeAnswered)
	result.queueTime, result.runTime = startedAt.Sub(start), o.settings.Timers.Now().Sub(startedAt)
	if result.outcome == OutcomeAnswered {
		o.runTimes.observe(c, result.runTime)
		o.clearSuspicion(id)
	}
	o.admission.Release()
	return result
}

// maxRunTime returns the run time that few requests like a call exceed. For a class that has not run yet, it is derived from
// the average of all.
func (o *Owner) maxRunTime(c Call) time.Duration {
	if bound := o.runTimes.upperBound(c); bound > 0 {
		return bound
	}
	return unknownRunTimeFactor * o.admission.AverageRunTime()
}

func (o *Owner) load() balance.Load {
	running, queued := o.admission.Load()
	return paceLoad(running, queued, o.pace.current())
}

// admissionFailure returns the result of a request that got no slot.
func (o *Owner) admissionFailure(err error) Result {
	if !errors.Is(err, admission.ErrRefused) {
		return notRun(ReasonCallerLeft)
	}
	return o.refusal(ReasonFull)
}

// refusal returns the result of a request that may run once a slot is free.
func (o *Owner) refusal(reason Reason) Result {
	result := notRun(reason)
	_, queued := o.admission.Load()
	result.retryAfter = retryDelay(expectedSlotWait(queued, o.admission.Slots(), o.admission.AverageRunTime()), o.admission.RateWait())
	return result
}

// run sends a request that holds a slot to the server.
func (o *Owner) run(ctx context.Context, c Call, r *exchange.Request, id *identity, deadline time.Time) Result {
	b, reason, ok := o.readyBackend(c)
	if !ok {
		return notRun(reason)
	}
	timeLeft := deadline.Sub(o.settings.Timers.Now())
	if timeLeft <= 0 {
		return notRun(ReasonDeadlineExceeded)
	}
	if refusal, refused := o.claimTrial(c, id); refused {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	platform.SetBackendHeaders(r.Header(), c.requestID, timeLeft, b.id, c.caller, c.organisation.name)
	o.running.start(c.requestID)
	defer o.running.finish(c.requestID)
	number := o.limit.send()
	response, err := o.pool.Do(ctx, b.address, r, func(h http.Header) exchange.Match { return attemptMatch(platform.AnsweredAttempt(h), c.requestID) })
	if err != nil {
		return o.requestFailure(ctx, err, b, c, id)
	}
	result := o.classifyResponse(b, response)
	if result.reason == ReasonShed || platform.HasServerSeal(response.Header()) {
		o.limit.observe(number, c.requestID, response.Header())
		if platform.ServerLeaving(response.Header()) {
			o.settings.OnLeaving(b, c.requestID)
		}
	}
	return result
}

// attemptMatch returns what the attempt ID in a response shows about the request with the ID wanted.
func attemptMatch(id, wanted string) exchange.Match {
	switch id {
	case wanted:
		return exchange.MatchOwn
	case "":
		return exchange.MatchPossible
	}
	return exchange.MatchOther
}

// requestFailure returns the result of a request that ended with an error instead of a response.
func (o *Owner) requestFailure(ctx context.Context, err error, b Backend, c Call, id *identity) Result {
	switch {
	case exchange.NotSent(err):
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.settings.OnEnded(b)
		}
		return notRun(ReasonUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknown(ReasonDeadlineExceeded)
	case ctx.Err() != nil:
		return unknown(ReasonCallerLeft)
	case o.crashes.ConnectionLost(ctx, o.crashedProcess(b), b.address, c.requestID, id.get()):
		o.settings.OnEnded(b)
		return unknown(ReasonServerEnded)
	}
	return unknown(ReasonConnectionLost)
}

// crashedProcess returns the process of a server. Its start may have become known after the request was sent.
func (o *Owner) crashedProcess(b Backend) crash.Process {
	if current, ok := o.Backend(); ok && b.isProcess(current.process()) {
		b = current
	}
	return crash.NewProcess(b.id, b.started)
}

// classifyResponse returns the result for a response, which is only forwarded if the server ran the request and sealed a
// success.
func (o *Owner) classifyResponse(b Backend, response *exchange.Response) Result {
	h := response.Header()
	switch {
	case response.Status() == http.StatusMisdirectedRequest:
		o.settings.Log.Warn().Str("kind", "server_replaced").Str("expected", b.id).Str("found", platform.ServerID(h)).Msg("another server answered at the address")
		return refusedByServer(ReasonOtherServer)
	case platform.NotExecuted(response.Status(), h):
		return refusedByServer(ReasonShed)
	case response.Status() < http.StatusMultipleChoices && !platform.HasServerSeal(h):
		return unknown(ReasonUnsealed)
	}
	return answered(response)
}

// refusedByServer returns the result of a request that the server received and did not run.
func refusedByServer(reason Reason) Result {
	return Result{outcome: OutcomeNotRun, reason: reason, reachedServer: true}
}

func (o *Owner) recordResult(c Call, result Result, start time.Time) {
	o.scope.Tagged(map[string]string{"ending": result.outcome.String(), "reason": string(result.reason)}).Counter("owner_requests").Inc(1)
	latency := o.settings.Timers.Now().Sub(start)
	log, text := &o.settings.Log, "request was not answered by the server"
	if result.outcome == OutcomeAnswered {
		o.serverSeconds.RecordDuration(latency)
		log, text = &o.settings.AnsweredLog, "request was answered by the server"
	}
	b, _ := o.Backend()
	event := log.Info()
	if result.statement.limited {
		event = event.Float64("per_second", result.statement.perSecond)
	}
	c.organisation.log(event).Str("kind", "server_result").Str("request", c.requestID).Str("server", b.id).Stringer("ending", result.outcome).Str("reason", string(result.reason)).
		Int("urgency", c.priority).Dur("left", c.timeLeft).Dur("target", c.timeToTarget).Dur("most", o.runTimes.upperBound(c)).
		Int("running", result.load.Running()).Int("queued", result.load.Queued()).Dur("waited", result.queueTime).Dur("took", latency).Msg(text)
}

// Close closes the connections to the server.
func (o *Owner) Close() {
	o.pool.Close()
	o.admission.Close()
}
