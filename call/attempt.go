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
	// minAttempt is the shortest time after which an attempt is given up for another one. It is longer than
	// a call waits in an owner's queue, so that overload does not look like a stalled server.
	minAttempt = 200 * time.Millisecond
)

var errSlow = errors.New("no answer in half of the time")

// attempt is the result of forwarding a call once: an answer to be passed on, or a refusal.
type attempt struct {
	resp  *http.Response
	fault refusal
	clean bool // no byte of the call was sent
}

// serveIdempotent forwards a call that may run more than once, with retries at other servers.
func (i *Ingress) serveIdempotent(ctx context.Context, q *request, good *bool) *refusal {
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
		a := i.forwardBounded(ctx, q, m.Key(), len(tried))
		if a.resp != nil {
			i.pass(q, m.Key(), a.resp, good)
			return nil
		}
		i.ended(m.Key(), faultResult(ctx, a.fault))
		if fault = worse(fault, a.fault); fault.outcome == OutcomeBad {
			break
		}
		tried = append(tried, m.Key())
	}
	return &fault
}

// worse returns the refusal that tells the truth about all attempts: a call of which one attempt may
// have run is never called not run.
func worse(before, latest refusal) refusal {
	if before.outcome == OutcomeUnknown && latest.outcome == OutcomeNotRun {
		return before
	}
	return latest
}

// mayRetry tells whether a refused attempt may be followed by another. With somebody nearer to the
// first caller retrying, only servers that are leaving are passed over.
func (i *Ingress) mayRetry(ctx context.Context, q *request, fault refusal) bool {
	if ctx.Err() != nil || !q.body.whole() || fault.reason == ReasonDeadline {
		return false
	}
	if q.noRetry && fault.reason != ReasonDraining && fault.reason != ReasonUnreachable {
		return false
	}
	return i.takeRetry(q.route.Service())
}

// forwardBounded forwards a call that may run more than once. While another attempt may follow, a server
// that does not begin to answer in half of the time left is given up.
func (i *Ingress) forwardBounded(ctx context.Context, q *request, owner member.Key, before int) attempt {
	half := q.deadline.Sub(i.settings.Timers.Now()) / 2
	if before+1 >= maxAttempts || q.noRetry || !q.body.whole() || half < minAttempt {
		return i.forward(ctx, q, owner)
	}
	bounded, cancel := context.WithCancelCause(ctx)
	alarm := i.settings.Timers.After(half, func(time.Time) { cancel(errSlow) })
	a := i.forward(bounded, q, owner)
	alarm.Close()
	if a.resp == nil {
		slow := context.Cause(bounded) == errSlow
		cancel(nil)
		if slow && a.fault.reason == ReasonBroken {
			a.fault = unknown(ReasonSlow, "the backend server did not begin to answer in half of the time")
		}
		return a
	}
	a.resp.Body = cancelBody{ReadCloser: a.resp.Body, cancel: cancel}
	return a
}

// cancelBody ends the context of an answer when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// forward sends a call to its owner node once.
func (i *Ingress) forward(ctx context.Context, q *request, owner member.Key) attempt {
	var sent SendTrace
	resp, err := i.settings.Forward.RoundTrip(i.forwardRequest(sent.Context(ctx), q, owner.Peer()))
	if err != nil {
		a := i.forwardFault(ctx, err, sent.Connected())
		q.sent = q.sent || !a.clean
		return a
	}
	q.sent = true
	i.carried(owner, resp.Header)
	if f, refused := readRefusal(resp); refused {
		resp.Body.Close()
		return attempt{fault: f}
	}
	return attempt{resp: resp}
}

func (i *Ingress) forwardFault(ctx context.Context, err error, connected bool) attempt {
	if i.settings.NotSent(err) && !connected {
		return attempt{clean: true, fault: notRun(ReasonUnreachable, "the node beside the backend server could not be reached")}
	}
	if deadlinePassed(ctx) {
		return attempt{fault: unknown(ReasonDeadline, "no answer came in time")}
	}
	return attempt{fault: unknown(ReasonBroken, "the connection to the node beside the backend server broke")}
}

func faultResult(ctx context.Context, f refusal) balance.Result {
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

// pass gives a backend server's answer to the caller. If the answer breaks, so does the connection to
// the caller: a short body never looks whole.
func (i *Ingress) pass(q *request, owner member.Key, resp *http.Response, good *bool) {
	defer resp.Body.Close()
	result := balance.ResultFailed
	defer func() { i.ended(owner, result) }()
	h := q.w.Header()
	copyHeader(h, resp.Header)
	delete(h, HeaderLoad)
	i.counters.outcomes[OutcomeAnswered].Inc(1)
	q.w.WriteHeader(resp.StatusCode)
	if err := stream(q.w, resp); err != nil {
		if q.r.Context().Err() != nil {
			result = balance.ResultNone
		}
		panic(http.ErrAbortHandler)
	}
	result = balance.ResultAnswered
	*good = resp.StatusCode < http.StatusInternalServerError
}
