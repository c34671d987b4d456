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
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 3
	// hopMargin is the time that an ingress keeps for itself, so that it hears its owner's own refusal.
	hopMargin = 2 * time.Millisecond
	// minAttemptTimeout is the shortest time after which an attempt is given up for another one. It is longer than
	// a call waits in an owner's queue, so that overload does not look like a stalled server.
	minAttemptTimeout = 200 * time.Millisecond
)

var errAttemptTimeout = errors.New("no answer in half of the time")

// attempt is the result of forwarding a call once: an answer to be passed on, or a refusal.
type attempt struct {
	resp    *http.Response
	failure failure
	notSent bool // no byte of the call was sent
}

// serveIdempotent forwards a call that may run more than once, with retries at other servers.
func (i *Ingress) serveIdempotent(ctx context.Context, q *request, good *bool) *failure {
	var tried []member.Key
	fault := notRun(ReasonNoServer, "no backend server of "+q.route.Service()+" is ready")
	for len(tried) < maxAttempts {
		if len(tried) > 0 && !i.mayRetry(ctx, q, fault) {
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
		if fault = overallFailure(fault, a.failure); fault.outcome == OutcomeBad {
			break
		}
		tried = append(tried, m.Key())
	}
	return &fault
}

// overallFailure returns the refusal that tells the truth about all attempts: a call of which one attempt may
// have run is never called not run.
func overallFailure(before, latest failure) failure {
	if before.outcome == OutcomeUnknown && latest.outcome == OutcomeNotRun {
		return before
	}
	return latest
}

// mayRetry tells whether a refused attempt may be followed by another. With somebody nearer to the
// first caller retrying, only servers that are leaving are passed over.
func (i *Ingress) mayRetry(ctx context.Context, q *request, fault failure) bool {
	if ctx.Err() != nil || !q.body.repeatable() || fault.reason == ReasonDeadline {
		return false
	}
	if q.noRetry && fault.reason != ReasonDraining && fault.reason != ReasonUnreachable {
		return false
	}
	return i.takeRetry(q.route.Service())
}

// forwardWithTimeout forwards a call that may run more than once. While another attempt may follow, a server
// that does not begin to answer in half of the time left is given up.
func (i *Ingress) forwardWithTimeout(ctx context.Context, q *request, owner member.Key, before int) attempt {
	half := q.deadline.Sub(i.settings.Timers.Now()) / 2
	if before+1 >= maxAttempts || q.noRetry || !q.body.repeatable() || half < minAttemptTimeout {
		return i.forward(ctx, q, owner)
	}
	bounded, cancel := context.WithCancelCause(ctx)
	alarm := i.settings.Timers.After(half, func(time.Time) { cancel(errAttemptTimeout) })
	a := i.forward(bounded, q, owner)
	alarm.Close()
	if a.resp == nil {
		slow := context.Cause(bounded) == errAttemptTimeout
		cancel(nil)
		if slow && a.failure.reason == ReasonBroken {
			a.failure = unknown(ReasonSlow, "the backend server did not begin to answer in half of the time")
		}
		return a
	}
	a.resp.Body = cancelOnClose{ReadCloser: a.resp.Body, cancel: cancel}
	return a
}

// cancelOnClose ends the context of an answer when its body is closed.
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

// forward sends a call to its owner node once.
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

// balanceResult classes a refusal for the choice of servers. A deadline too short for any server says
// nothing about this one.
func (i *Ingress) balanceResult(ctx context.Context, q *request, f failure) balance.Result {
	if f.reason == ReasonDeadline && q.deadline.Sub(q.startedAt) < minAttemptTimeout {
		return balance.ResultNone
	}
	switch f.reason {
	case ReasonDraining, ReasonNoServer, ReasonWrongServer:
		return balance.ResultDraining
	case ReasonFull, ReasonShed:
		return balance.ResultRefused
	case ReasonUnreachable, ReasonBroken, ReasonDeadline, ReasonSlow:
		if ctx.Err() != nil && !deadlinePassed(ctx) {
			return balance.ResultNone
		}
		return balance.ResultFailed
	}
	return balance.ResultNone
}

// relayResponse gives a backend server's answer to the caller. If the answer breaks, so does the connection to
// the caller: a short body never looks whole.
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
