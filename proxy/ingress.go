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
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
	"github.com/bambooknot/bambooknot/usage"
)

// IngressSettings configure an Ingress.
type IngressSettings struct {
	Self       member.Key
	Place      member.Place
	Snapshot   func() *routing.Snapshot // returns nil until the node has routes
	Service    func() string            // returns the service on the VM
	Owner      *Owner                   // of the server on the VM
	Quarantine func() *quarantine.View  // returns the requests that crash servers; nil means that there are none
	Versions   *VersionCounters         // of roll-outs; nil if versions of servers are ignored
	// Quota decides on a caller's attempt by the quota of its organisation; nil if there are no quotas.
	Quota func(organisation routing.Organisation) (admitted bool, retryAfter time.Duration)
	Pool  exchange.PoolSettings // of connections to other nodes
	// NearDialTimeout limits the time to open a connection to a node in the same region; 0 means that of Pool.
	NearDialTimeout time.Duration
	Retry           retry.WindowBudgetSettings
	Balance         balance.Settings
	Timers          *timer.Service
	Rand            *rand.Rand
	Log             zerolog.Logger
	AnsweredLog     zerolog.Logger // for answered requests without a loss
	Scope           tally.Scope
}

// Ingress handles the requests of callers on the node's VM. It is safe for concurrent use.
type Ingress struct {
	shutdownState
	settings IngressSettings
	starting startState
	pool     *exchange.Pool
	latency  tally.Histogram
	usage    *usage.Counts // by organisation

	mu           sync.Mutex
	balancer     *balance.Machine
	retryBudgets map[string]*retry.WindowBudget
	splitter     *routing.Splitter
	versions     versionRouter
	retries      *retry.Tracker   // of callers
	statements   *statementMemory // of servers
	maxNodes     int              // greatest number of members in any view so far
	lastView     *member.View
}

// NewIngress returns an ingress with the given settings.
func NewIngress(s IngressSettings) *Ingress {
	s.Pool.Timers = s.Timers
	var in *Ingress
	s.Pool.DialTimeoutTo = func(peer netip.AddrPort) time.Duration { return in.dialTimeout(peer) }
	if s.Quarantine == nil {
		s.Quarantine = quarantine.NewView
	}
	in = &Ingress{
		shutdownState: shutdownState{timers: s.Timers},
		settings:      s,
		starting:      newStartState(s.Timers),
		pool:          exchange.NewPool(s.Pool),
		latency:       s.Scope.Histogram("request_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		usage:         usage.New(),
		balancer:      balance.New(s.Balance, s.Self, s.Place, s.Rand),
		retryBudgets:  make(map[string]*retry.WindowBudget),
		splitter:      routing.NewSplitter(s.Rand),
		versions:      newVersionRouter(s.Rand.Float64),
		retries:       retry.NewTracker(),
		statements:    newStatementMemory(),
	}
	return in
}

// dialTimeout returns how long a connection to the node at an address may take to open. Requests wait for it, so it is short
// for nodes in the own region.
func (in *Ingress) dialTimeout(peer netip.AddrPort) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.lastView == nil || in.settings.NearDialTimeout == 0 || in.starting.isStarting() {
		return in.settings.Pool.DialTimeout
	}
	if m, ok := in.lastView.Member(peer); ok && m.Place().Region() == in.settings.Place.Region() {
		return min(in.settings.NearDialTimeout, in.settings.Pool.DialTimeout)
	}
	return in.settings.Pool.DialTimeout
}

// SetSelf changes the key of the node.
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

// Handle returns the response to one request of a caller.
func (in *Ingress) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	info := platform.ExtractRequestInfo(r.Header())
	r.Header().Del(headerCall) // only nodes may set these
	r.Header().Del(headerServer)
	r.Header().Del(headerTrial)
	r.Header().Del(headerVersion)
	response, request := in.handle(ctx, info, r)
	platform.SetAttemptID(response.Header(), info.AttemptID())
	if request.organisation.name != "" {
		in.usage.End(request.organisation.name, request.ending.outcome == OutcomeAnswered, string(request.ending.reason))
	}
	in.trackFailure(request, response)
	in.recordRequest(request, response)
	return response
}

func (in *Ingress) handle(ctx context.Context, info platform.RequestInfo, r *exchange.Request) (*exchange.Response, *request) {
	q := &request{id: info.AttemptID(), original: r, receivedAt: r.ReceivedAt(), firstReceivedAt: r.ReceivedAt(), identity: newIdentity(in.settings.Service(), r)}
	if q.id == "" {
		return in.refuse(q, http.StatusBadRequest, "no_id"), q
	}
	q.nested = in.settings.Owner.IsNested(q.id)
	q.snapshot = in.awaitRoutes(ctx, q)
	if q.snapshot == nil {
		return in.giveUp(q, notRun(ReasonNoRoutes)), q
	}
	path, _, _ := strings.Cut(r.Target(), "?")
	route, ok := q.snapshot.Table().Match(r.Host(), path)
	if !ok {
		return in.refuse(q, http.StatusNotFound, "no_route"), q
	}
	q.route = route
	if reason, ok := q.authenticate(); !ok {
		return in.refuseUnauthenticated(q, reason), q
	}
	q.timeout, q.callerTimeout = route.Timeout(), route.Timeout()
	if timeout, stated := info.Timeout(); stated {
		q.timeout, q.callerTimeout = min(q.timeout, timeout), timeout
	}
	if q.organisation.name != "" {
		in.usage.Begin(q.organisation.name)
	}
	in.matchRetry(q)
	if s, now := in.plannedShutdown.Load(), in.settings.Timers.Now(); s != nil && !s.admits(now, q.timeout) {
		result := notRun(ReasonStopping)
		result.retryAfter = s.retryAfter(now)
		return in.giveUp(q, result), q
	}
	if q.organisation.name != "" {
		if refusal, admitted := in.admitOrganisation(q, q.sender); !admitted {
			return refusal, q
		}
	}
	in.mu.Lock()
	q.service = in.splitter.Choose(route)
	in.retryBudget(q.service).RecordFirstAttempt(in.settings.Timers.Now())
	in.mu.Unlock()
	return in.finish(q, in.attempt(ctx, q)), q
}

// request is the state of one request of a caller.
type request struct {
	id                  string // attempt ID that the caller sent
	original            *exchange.Request
	receivedAt          time.Time
	firstReceivedAt     time.Time // of the caller's first attempt; before receivedAt if this is a retry
	snapshot            *routing.Snapshot
	route               routing.Route
	sender              routing.Organisation // in the table of the request; the zero value if none sent it
	organisation        organisation         // that sent the request; the zero value if none did
	ending              Result               // of the last attempt, once it is known
	service             string
	version             versionChoice
	timeout             time.Duration // from receipt to deadline
	callerTimeout       time.Duration // from receipt until the caller stops waiting and retrying
	tried               []member.Key  // nodes asked so far
	serverAttempts      int           // attempts that may have reached a server
	serverCrashes       int           // of these, attempts at whose end the server's process had ended
	identity            *identity
	nested              bool          // whether the server on the VM made the request while it was running another one
	trial               int           // number of the trial, if the request is quarantined and sent as one
	lastAttemptTime     time.Duration // duration of the last of these
	earlierAttemptsTime time.Duration // from receipt to the start of the last attempt
}

func (q *request) deadline() time.Time { return q.receivedAt.Add(q.timeout) }

// call returns the metadata for the node on the server's VM.
func (q *request) call(now time.Time, caller string) Call {
	return Call{
		requestID: q.id, service: q.service, caller: caller, kind: q.route.Kind(), priority: q.route.Priority(), organisation: q.organisation,
		timeLeft: q.deadline().Sub(now), timeToTarget: q.firstReceivedAt.Add(q.route.TargetLatency()).Sub(now),
		nested: q.nested, trial: q.trial,
	}
}

// callTo returns the metadata for the node on the VM of a member's server.
func (q *request) callTo(now time.Time, caller string, to member.Member) Call {
	c := q.call(now, caller)
	if q.version.plan != nil {
		c.version = to.Server().Version()
	}
	return c
}

// maxNodesTried is the maximum number of nodes asked for one request.
const maxNodesTried = 4

// attempt tries servers until one has answered or no further attempt is permitted or possible.
func (in *Ingress) attempt(ctx context.Context, q *request) Result {
	last := notRun(ReasonNoServer)
	for len(q.tried) < maxNodesTried {
		now := in.settings.Timers.Now()
		if ctx.Err() != nil || !now.Before(q.deadline()) {
			return in.abandoned(ctx, q, last)
		}
		if s := in.quarantineStatus(q); s.Quarantined() {
			return in.attemptQuarantined(ctx, q, s, last)
		}
		if q.serverAttempts > 0 && (!canFinishRetry(q.deadline().Sub(now), q.lastAttemptTime) || !in.retryAllowed(now, q, last)) {
			return last
		}
		to, ok := in.choose(now, q)
		if !ok && in.awaitView(ctx, q) {
			continue
		}
		if !ok {
			return last
		}
		q.tried = append(q.tried, to.Key())
		q.earlierAttemptsTime = now.Sub(q.receivedAt)
		result := in.send(ctx, q, to)
		if result.reachedServer {
			q.serverAttempts++
			q.lastAttemptTime = in.settings.Timers.Now().Sub(now)
		}
		if result.reason == ReasonServerEnded {
			q.serverCrashes++
		}
		if isFinal(q, result) {
			return result
		}
		last = lessCertain(last, result)
		if result.reason == ReasonQuarantined {
			return last
		}
		in.logRetry(q, to, result)
	}
	return last
}

// isFinal reports whether a result ends a request. Requests that did not run may always be retried. Idempotent requests
// may also be retried after an error of the server or an unknown outcome, unless they have crashed too many servers.
func isFinal(q *request, r Result) bool {
	if q.serverCrashes >= quarantine.CrashLimit {
		return true
	}
	switch r.outcome {
	case OutcomeAnswered:
		return q.route.Kind() != routing.KindSafe || r.response.Status() < http.StatusInternalServerError
	case OutcomeUnknown:
		return q.route.Kind() != routing.KindSafe
	}
	return false
}

// lessCertain returns the result with the weaker guarantee that the request has not run, or b if the guarantees are equal.
func lessCertain(a, b Result) Result {
	if a.outcome == OutcomeNotRun {
		return b
	}
	if b.outcome == OutcomeNotRun {
		return a
	}
	return b
}

// abandoned returns the result of a request whose caller left or whose deadline passed between attempts.
func (in *Ingress) abandoned(ctx context.Context, q *request, last Result) Result {
	if last.outcome != OutcomeNotRun || q.serverAttempts > 0 {
		return last
	}
	if ctx.Err() != nil {
		return notRun(ReasonCallerLeft)
	}
	return notRun(ReasonDeadlineExceeded)
}

// retryAllowed reports whether a request that may have reached a server may be sent to another one, and if so counts the
// retry.
func (in *Ingress) retryAllowed(now time.Time, q *request, last Result) bool {
	if q.serverAttempts >= q.route.MaxAttempts() {
		return false
	}
	if last.outcome != OutcomeNotRun && q.route.Kind() != routing.KindSafe {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.retryBudget(q.service).AllowRetry(now, in.maxNodes)
}

// retryBudget returns the retry budget of a service. The caller holds mu.
func (in *Ingress) retryBudget(service string) *retry.WindowBudget {
	b := in.retryBudgets[service]
	if b == nil {
		b = retry.NewWindowBudget(in.settings.Retry)
		in.retryBudgets[service] = b
	}
	return b
}

// choose returns the member to ask next and counts a call in flight to it.
func (in *Ingress) choose(now time.Time, q *request) (member.Member, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if q.snapshot.View() != in.lastView {
		in.lastView = q.snapshot.View()
		in.maxNodes = max(in.maxNodes, len(in.lastView.Members()))
	}
	in.versions.route(now, q, in.plan(q.service))
	to, ok := in.balancer.ChooseFiltered(now, q.snapshot.View(), q.service, in.versions.filter(q), q.tried)
	if !ok && q.version.fallBack(now) {
		to, ok = in.balancer.ChooseFiltered(now, q.snapshot.View(), q.service, in.versions.filter(q), q.tried)
	}
	if ok {
		in.balancer.RecordStart(to.Key())
	}
	return to, ok
}

// Usage returns the requests of organisations, which an operator may ask for.
func (in *Ingress) Usage() *usage.Counts { return in.usage }

// Close closes the connections to other nodes.
func (in *Ingress) Close() { in.pool.Close() }
