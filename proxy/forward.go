package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
)

// send sends a request to the node on a server's VM, which may be this node.
func (in *Ingress) send(ctx context.Context, q *request, to member.Member) Result {
	now := in.settings.Timers.Now()
	ctx, cancel := context.WithTimeout(ctx, q.deadline().Sub(now))
	defer cancel()
	c := q.callTo(now, in.settings.Service(), to)
	version := in.startVersionAttempt(q, to)
	r := exchange.NewRequest(q.original.Method(), q.original.Target(), q.original.Host(), q.original.Header().Clone(), q.original.Body())
	var result Result
	if to.Key().Peer() == in.self().Peer() {
		result = in.settings.Owner.Serve(ctx, c, r)
	} else {
		result = in.forward(ctx, c, r, to.Key().Peer())
	}
	took := in.settings.Timers.Now().Sub(now)
	version.end(result, took)
	in.recordResult(to.Key(), result, took)
	return result
}

// forward sends a request to another node.
func (in *Ingress) forward(ctx context.Context, c Call, r *exchange.Request, to netip.AddrPort) Result {
	r.Header().Set(headerCall, encodeCall(c))
	if known := in.statementOf(to); !known.empty() {
		r.Header().Set(headerServer, encodeStatement(known))
	}
	setTrial(r.Header(), c.trial)
	if c.version != "" {
		r.Header().Set(headerVersion, c.version)
	}
	response, err := in.pool.Do(ctx, to, r, func(h http.Header) exchange.Match { return resultMatch(h, c.requestID) })
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
	result, err := decodeResult(response.Header().Get(headerResult))
	if err != nil {
		return unknown(ReasonNodeLost)
	}
	result.statement = decodeStatement(response.Header().Get(headerServer))
	response.Header().Del(headerResult)
	response.Header().Del(headerServer)
	if result.outcome == OutcomeAnswered {
		result.response = response
	}
	return result
}

// statementOf returns what the server beside a node stated last.
func (in *Ingress) statementOf(node netip.AddrPort) statement {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.statements.recall(in.settings.Timers.Now(), node)
}

// recordResult updates the load balancer with the result of an attempt.
func (in *Ingress) recordResult(to member.Key, r Result, latency time.Duration) {
	now := in.settings.Timers.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if r.load != (balance.Load{}) {
		in.balancer.RecordLoad(now, to, r.load)
	}
	if r.outcome == OutcomeAnswered || !r.statement.empty() {
		in.statements.record(now, to.Peer(), r.statement)
		in.balancer.RecordLimit(now, to, r.statement.rate())
	}
	in.balancer.RecordEnd(now, to, in.resultForBalancer(r, latency))
	if r.outcome == OutcomeAnswered {
		in.balancer.RecordLatency(to, latency)
	}
}

// minSilentDial is the time without any response after which a connection that could not be opened shows that the VM is gone.
// While only the process restarts, connections are refused at once.
const minSilentDial = 100 * time.Millisecond

// resultForBalancer returns what a result after some time implies about the server for load balancing. While all nodes restart,
// some of them are slow to accept connections.
func (in *Ingress) resultForBalancer(r Result, latency time.Duration) balance.Result {
	if r.reason == ReasonUnreachable && latency >= minSilentDial && !in.starting.isStarting() {
		return balance.ResultUnreachable
	}
	return balanceResult(r)
}

// balanceResult returns what a result implies about the server for load balancing.
func balanceResult(r Result) balance.Result {
	switch {
	case r.outcome == OutcomeAnswered && r.response.Status() < http.StatusInternalServerError:
		return balance.ResultAnswered
	case r.reason == ReasonCallerLeft, r.reason == ReasonQuarantined, r.reason == ReasonDeadlineExceeded && r.outcome == OutcomeNotRun:
		return balance.ResultNone
	case r.reason == ReasonDraining, r.reason == ReasonNoServer, r.reason == ReasonOtherServer:
		return balance.ResultDraining
	case r.reason == ReasonFull, r.reason == ReasonSlow, r.reason == ReasonLink, r.reason == ReasonShed:
		return balance.ResultRefused
	}
	return balance.ResultFailed
}
