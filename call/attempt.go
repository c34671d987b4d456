package call

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/member"
)

const (
	maxAttempts = 3 // attempts of one idempotent call, the first one included
	// hopMargin is subtracted from the time forwarded to the owner node, so that the owner's own error
	// response arrives before the ingress reaches its deadline.
	hopMargin = 2 * time.Millisecond
	// minAttemptTimeout is the shortest time after which an attempt is abandoned in favour of another one.
	// It is longer than the queue wait at an owner, so that overload is not mistaken for a stalled server.
	minAttemptTimeout = 200 * time.Millisecond
)

var errAttemptTimeout = errors.New("no response within half of the remaining time")

// attempt is the result of forwarding a call once: a response to relay, or a failure.
type attempt struct {
	resp    *http.Response
	failure failure
	notSent bool // no byte of the call was sent
}

// serveIdempotent forwards an idempotent call, with retries at other backend servers.
func (i *Ingress) serveIdempotent(ctx context.Context, q *request, good *bool) *failure {
	var tried []member.Key
	result := notRun(ReasonNoServer, "no backend server of "+q.route.Service()+" is ready")
	for len(tried) < maxAttempts {
		if len(tried) > 0 && !i.mayRetry(ctx, q, result) {
			break
		}
		m, ok := i.choose(q, tried)
		if !ok {
			break
		}
		a := i.forwardWithTimeout(ctx, q, m.Key(), len(tried))
		if a.resp != nil {
			i.relayResponse(q, m.Key(), a.resp, good)
			return nil
		}
		i.recordEnd(m.Key(), i.balanceResult(ctx, q, a.failure))
		if result = overallFailure(result, a.failure); result.outcome == OutcomeBad {
			break
		}
		tried = append(tried, m.Key())
	}
	return &result
}

// overallFailure combines the failure of the latest attempt with that of the earlier ones. A call of which
// one attempt may have run is never reported as not run.
func overallFailure(earlier, latest failure) failure {
	if earlier.outcome == OutcomeUnknown && latest.outcome == OutcomeNotRun {
		return earlier
	}
	return latest
}

// mayRetry reports whether another attempt may follow a failed one, and charges it to the retry budget. If
// a hop nearer to the original caller retries, only draining and unreachable servers are retried here.
func (i *Ingress) mayRetry(ctx context.Context, q *request, f failure) bool {
	if ctx.Err() != nil || !q.body.repeatable() || f.reason == ReasonDeadline || f.reason == ReasonQuarantined {
		return false
	}
	if q.trialNode.Key() != (member.Key{}) || i.isQuarantined(q) {
		return false
	}
	if q.noRetry && f.reason != ReasonDraining && f.reason != ReasonUnreachable {
		return false
	}
	return i.takeRetry(q.route.Service())
}

// forwardWithTimeout forwards an idempotent call. If another attempt may follow and enough time is left for
// it, it abandons a server that has not sent a response header within half of the remaining time.
func (i *Ingress) forwardWithTimeout(ctx context.Context, q *request, owner member.Key, previousAttempts int) attempt {
	timeout := q.deadline.Sub(i.settings.Timers.Now()) / 2
	if previousAttempts+1 >= maxAttempts || q.noRetry || !q.body.repeatable() || timeout < minAttemptTimeout {
		return i.forward(ctx, q, owner)
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	expiry := i.settings.Timers.After(timeout, func(time.Time) { cancel(errAttemptTimeout) })
	a := i.forward(attemptCtx, q, owner)
	expiry.Close()
	if a.resp == nil {
		timedOut := context.Cause(attemptCtx) == errAttemptTimeout
		cancel(nil)
		if timedOut && a.failure.reason == ReasonBroken {
			a.failure = unknown(ReasonSlow, "the backend server did not begin to answer in half of the time")
		}
		return a
	}
	a.resp.Body = cancelOnClose{ReadCloser: a.resp.Body, cancel: cancel}
	return a
}

// cancelOnClose cancels the context of a response when its body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// forward sends a call to the owner node once.
func (i *Ingress) forward(ctx context.Context, q *request, owner member.Key) attempt {
	var sent SendTrace
	resp, err := i.settings.Forward.RoundTrip(i.forwardRequest(sent.Context(ctx), q, owner.Peer()))
	if err != nil {
		a := i.forwardFailure(ctx, err, sent.Connected())
		q.sent = q.sent || !a.notSent
		return a
	}
	q.sent = true
	i.recordLoad(owner, resp.Header)
	if f, refused := readFailure(resp); refused {
		discard(resp)
		return attempt{failure: f}
	}
	return attempt{resp: resp}
}

func (i *Ingress) forwardFailure(ctx context.Context, err error, connected bool) attempt {
	if i.settings.NotSent(err) && !connected {
		return attempt{notSent: true, failure: notRun(ReasonUnreachable, "the node beside the backend server could not be reached")}
	}
	if deadlinePassed(ctx) {
		return attempt{failure: unknown(ReasonDeadline, "no answer came in time")}
	}
	return attempt{failure: unknown(ReasonBroken, "the connection to the node beside the backend server broke")}
}

// balanceResult classifies a failure for load balancing. A deadline exceeded by a call whose total timeout is
// below minAttemptTimeout is not held against the server, because it may be too short for any server.
func (i *Ingress) balanceResult(ctx context.Context, q *request, f failure) balance.Result {
	if f.reason == ReasonDeadline && q.deadline.Sub(q.startedAt) < minAttemptTimeout {
		return balance.ResultNone
	}
	switch f.reason {
	case ReasonDraining, ReasonNoServer, ReasonWrongServer:
		return balance.ResultDraining
	case ReasonFull, ReasonShed:
		return balance.ResultRefused
	case ReasonUnreachable, ReasonBroken, ReasonEnded, ReasonDeadline, ReasonSlow:
		if ctx.Err() != nil && !deadlinePassed(ctx) {
			return balance.ResultNone
		}
		return balance.ResultFailed
	}
	return balance.ResultNone
}

// relayResponse copies a backend server's response to the caller. If the response breaks off, the connection
// to the caller is aborted, so that a truncated body never looks complete.
func (i *Ingress) relayResponse(q *request, owner member.Key, resp *http.Response, good *bool) {
	defer resp.Body.Close()
	result := balance.ResultFailed
	defer func() { i.recordEnd(owner, result) }()
	h := q.w.Header()
	copyEndToEndHeaders(h, resp.Header)
	delete(h, HeaderLoad)
	i.counters.outcomes[OutcomeAnswered].Inc(1)
	q.w.WriteHeader(resp.StatusCode)
	if err := copyResponse(q.w, resp); err != nil {
		if q.r.Context().Err() != nil {
			result = balance.ResultNone
		}
		i.abort()
		return
	}
	result = balance.ResultAnswered
	*good = resp.StatusCode < http.StatusInternalServerError
}
