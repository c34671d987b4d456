package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

// IngressSettings of an Ingress.
type IngressSettings struct {
	Self        member.Key
	Place       member.Place
	Snapshot    func() *routing.Snapshot // nil until the node holds routes
	Service     func() string            // service of the VM
	Owner       *Owner                   // of the server beside the node
	Pool        exchange.PoolSettings
	Retry       retry.WindowBudgetSettings
	Balance     balance.Settings
	Timers      *timer.Service
	Rand        *rand.Rand
	Log         zerolog.Logger
	AnsweredLog zerolog.Logger // for requests that were answered
	Scope       tally.Scope
}

// Ingress takes the requests that begin on the node's VM.
type Ingress struct {
	stopper
	settings IngressSettings
	pool     *exchange.Pool
	latency  tally.Histogram

	mu       sync.Mutex
	servers  *balance.Machine
	budgets  map[string]*retry.WindowBudget
	rnd      *rand.Rand
	nodes    int // most members seen at once
	lastView *member.View
}

// NewIngress returns an ingress.
func NewIngress(s IngressSettings) *Ingress {
	s.Pool.Timers = s.Timers
	return &Ingress{
		stopper:  stopper{timers: s.Timers},
		settings: s,
		pool:     exchange.NewPool(s.Pool),
		latency:  s.Scope.Histogram("request_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		servers:  balance.New(s.Balance, s.Self, s.Place, s.Rand),
		budgets:  make(map[string]*retry.WindowBudget),
		rnd:      s.Rand,
	}
}

// SetSelf takes another key for the node.
func (in *Ingress) SetSelf(self member.Key) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.settings.Self = self
}

func (in *Ingress) self() member.Key {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.settings.Self
}

// Handle answers one request of a caller.
func (in *Ingress) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	ask := platform.TakeAsk(r.Header())
	r.Header().Del(headerCall) // only nodes may set it
	answer, request := in.handle(ctx, ask, r)
	platform.SetAttempt(answer.Header(), ask.Attempt())
	in.count(request, answer)
	return answer
}

func (in *Ingress) handle(ctx context.Context, ask platform.Ask, r *exchange.Request) (*exchange.Response, *request) {
	q := &request{attempt: ask.Attempt(), ask: r, begun: r.ReceivedAt()}
	if q.attempt == "" {
		return in.refuse(q, http.StatusBadRequest, "no_id"), q
	}
	q.snapshot = in.settings.Snapshot()
	if q.snapshot == nil {
		return in.giveUp(q, notRun(ReasonNoRoutes)), q
	}
	path, _, _ := strings.Cut(r.Target(), "?")
	route, ok := q.snapshot.Table().Match(r.Host(), path)
	if !ok {
		return in.refuse(q, http.StatusNotFound, "no_route"), q
	}
	q.route = route
	q.limit = route.Timeout()
	if timeout, stated := ask.Timeout(); stated {
		q.limit = min(q.limit, timeout)
	}
	if s, now := in.held.Load(), in.settings.Timers.Now(); s != nil && !s.admits(now, q.limit) {
		result := notRun(ReasonStopping)
		result.retryAfter = s.back(now)
		return in.giveUp(q, result), q
	}
	in.mu.Lock()
	q.service = route.ChooseService(in.rnd.Float64())
	in.budget(q.service).RecordFirstAttempt(in.settings.Timers.Now())
	in.mu.Unlock()
	return in.finish(q, in.attempt(ctx, q)), q
}

// request is one request of a caller on its way.
type request struct {
	attempt  string
	ask      *exchange.Request
	begun    time.Time
	snapshot *routing.Snapshot
	route    routing.Route
	service  string
	limit    time.Duration // until it is of no use
	tried    []member.Key
	arrivals int           // servers that saw it
	lastTook time.Duration // at the server that saw it last
	earlier  time.Duration // that tries before the last one took
}

func (q *request) deadline() time.Time { return q.begun.Add(q.limit) }

// call returns what the node beside a server has to know.
func (q *request) call(now time.Time, caller string) Call {
	return Call{
		attempt: q.attempt, service: q.service, caller: caller, kind: q.route.Kind(), urgency: q.route.Priority(),
		left: q.deadline().Sub(now), target: q.begun.Add(q.route.TargetLatency()).Sub(now),
	}
}

// maxTries bounds the nodes that are asked for one request.
const maxTries = 4

// attempt asks servers until one has answered, or nothing more may or can be tried.
func (in *Ingress) attempt(ctx context.Context, q *request) Result {
	last := notRun(ReasonNoServer)
	for len(q.tried) < maxTries {
		now := in.settings.Timers.Now()
		if ctx.Err() != nil || !now.Before(q.deadline()) {
			return in.outOfTime(ctx, q, last)
		}
		if q.arrivals > 0 && (!worthRepeating(q.deadline().Sub(now), q.lastTook) || !in.mayRepeat(now, q, last)) {
			return last
		}
		to, ok := in.choose(now, q)
		if !ok {
			return last
		}
		q.tried = append(q.tried, to.Key())
		q.earlier = now.Sub(q.begun)
		result := in.send(ctx, q, to)
		if result.arrived {
			q.arrivals++
			q.lastTook = in.settings.Timers.Now().Sub(now)
		}
		if final(q, result) {
			return result
		}
		in.logRetry(q, to, result)
		last = worse(last, result)
	}
	return last
}

// final tells whether a result ends a request: an answer, unless an idempotent request met a failing server; and
// a loss, unless the request is idempotent.
func final(q *request, r Result) bool {
	switch r.ending {
	case OutcomeAnswered:
		return q.route.Kind() != routing.KindSafe || r.answer.Status() < http.StatusInternalServerError
	case OutcomeUnknown:
		return q.route.Kind() != routing.KindSafe
	}
	return false
}

// worse returns the result that says more against a promise that the request has not run.
func worse(a, b Result) Result {
	if a.ending == OutcomeNotRun {
		return b
	}
	if b.ending == OutcomeNotRun {
		return a
	}
	return b
}

func (in *Ingress) outOfTime(ctx context.Context, q *request, last Result) Result {
	if last.ending != OutcomeNotRun || q.arrivals > 0 {
		return last
	}
	if ctx.Err() != nil {
		return notRun(ReasonCallerLeft)
	}
	return notRun(ReasonDeadlineExceeded)
}

// mayRepeat tells whether a request that a server saw may go to another one.
func (in *Ingress) mayRepeat(now time.Time, q *request, last Result) bool {
	if q.arrivals >= q.route.MaxAttempts() {
		return false
	}
	if last.ending != OutcomeNotRun && q.route.Kind() != routing.KindSafe {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.budget(q.service).AllowRetry(now, in.nodes)
}

// budget returns the retry budget of a service. The caller holds mu.
func (in *Ingress) budget(service string) *retry.WindowBudget {
	b := in.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(in.settings.Retry)
		in.budgets[service] = b
	}
	return b
}

// choose returns the member beside the server to ask next.
func (in *Ingress) choose(now time.Time, q *request) (member.Member, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if q.snapshot.View() != in.lastView {
		in.lastView = q.snapshot.View()
		in.nodes = max(in.nodes, len(in.lastView.Members()))
	}
	to, ok := in.servers.Choose(now, q.snapshot.View(), q.service, q.tried)
	if ok {
		in.servers.RecordStart(to.Key())
	}
	return to, ok
}

// send asks the node beside a server, which may be this one.
func (in *Ingress) send(ctx context.Context, q *request, to member.Member) Result {
	now := in.settings.Timers.Now()
	ctx, cancel := context.WithTimeout(ctx, q.deadline().Sub(now))
	defer cancel()
	c := q.call(now, in.settings.Service())
	r := exchange.NewRequest(q.ask.Method(), q.ask.Target(), q.ask.Host(), q.ask.Header().Clone(), q.ask.Body())
	var result Result
	if to.Key().Peer() == in.self().Peer() {
		result = in.settings.Owner.Serve(ctx, c, r)
	} else {
		result = in.forward(ctx, c, r, to.Key().Peer())
	}
	in.ended(to.Key(), result, in.settings.Timers.Now().Sub(now))
	return result
}

func (in *Ingress) forward(ctx context.Context, c Call, r *exchange.Request, to netip.AddrPort) Result {
	r.Header().Set(headerCall, encodeCall(c))
	answer, err := in.pool.Do(ctx, to, r, func(h http.Header) bool { return resultBelongs(h, c.attempt) })
	switch {
	case exchange.NotSent(err):
		return notRun(ReasonUnreachable)
	case err != nil && ctx.Err() == context.DeadlineExceeded:
		return unknown(ReasonDeadlineExceeded)
	case err != nil && ctx.Err() != nil:
		return unknown(ReasonCallerLeft)
	case err != nil:
		return unknown(ReasonNodeLost)
	}
	result, err := decodeResult(answer.Header().Get(headerResult))
	if err != nil {
		return unknown(ReasonNodeLost)
	}
	answer.Header().Del(headerResult)
	if result.ending == OutcomeAnswered {
		result.answer = answer
	}
	return result
}

// ended tells the choice of servers what a request shows of its server.
func (in *Ingress) ended(to member.Key, r Result, took time.Duration) {
	now := in.settings.Timers.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if r.load != (balance.Load{}) {
		in.servers.RecordLoad(now, to, r.load)
	}
	in.servers.RecordEnd(now, to, outcomeFor(r))
	if r.ending == OutcomeAnswered {
		in.servers.RecordLatency(to, took)
	}
}

func outcomeFor(r Result) balance.Result {
	switch {
	case r.ending == OutcomeAnswered && r.answer.Status() < http.StatusInternalServerError:
		return balance.ResultAnswered
	case r.reason == ReasonCallerLeft, r.reason == ReasonDeadlineExceeded && r.ending == OutcomeNotRun:
		return balance.ResultNone
	case r.reason == ReasonDraining, r.reason == ReasonNoServer, r.reason == ReasonOtherServer:
		return balance.ResultDraining
	case r.reason == ReasonFull, r.reason == ReasonShed:
		return balance.ResultRefused
	}
	return balance.ResultFailed
}

// Close ends the connections to other nodes.
func (in *Ingress) Close() { in.pool.Close() }
