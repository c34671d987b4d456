package call

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/ledger"
)

// serveKeyed runs a call at most once, or gives again what became of it.
func (o *Owner) serveKeyed(w http.ResponseWriter, r *http.Request, body payload, deadline time.Time, text string) {
	key, err := ledger.ParseKey(o.fleet, text)
	if err != nil {
		o.refuse(w, bad(http.StatusBadRequest, ReasonKeyBad, err.Error()))
		return
	}
	ctx, cancel := WithDeadline(r.Context(), o.timers, deadline)
	defer cancel()
	fp := body.fingerprint(r)
	for {
		verdict, answer, done := o.begin(key, fp)
		switch verdict {
		case ledger.VerdictRun:
			o.runKeyed(ctx, w, r, body, deadline, key)
			return
		case ledger.VerdictReplay:
			o.counters.replays.Inc(1)
			o.replay(w, answer)
			return
		case ledger.VerdictWait:
			o.counters.waits.Inc(1)
			if !await(ctx, done) {
				o.refuse(w, unknown(ReasonDeadline, "the call is still running"))
				return
			}
		default:
			o.refuse(w, verdictRefusal(verdict, r.Header.Get(HeaderAttempt) == "1"))
			return
		}
	}
}

func await(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// verdictRefusal answers for a call that is not run. A first attempt of a key that never runs here has
// not run.
func verdictRefusal(v ledger.Verdict, first bool) refusal {
	switch v {
	case ledger.VerdictStale:
		if first {
			return notRun(ReasonOwnerGone, "the process that the key names is gone, or the key is expired; take a new key")
		}
	case ledger.VerdictNotRun:
		return notRun(ReasonKeyRefused, "the key was refused as not run; take a new key")
	case ledger.VerdictMismatch:
		return bad(http.StatusUnprocessableEntity, ReasonKeyReused, "the key belongs to another request")
	case ledger.VerdictFuture:
		return bad(http.StatusBadRequest, ReasonKeyBad, "the key claims to be minted in the future")
	}
	return unknown(ReasonForgotten, "the key is expired, or its answer is no longer kept")
}

// runKeyed runs the call that the ledger gave to this arrival. A call that runs goes on when the
// caller goes away, so that a retry of the key gets the answer.
func (o *Owner) runKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, body payload, deadline time.Time, key ledger.Key) {
	defer func() { o.ledger.MarkUnknown(o.timers.Now(), key) }()
	to, fault := o.admit(ctx, r, admission.PriorityKeyed, deadline)
	if fault != nil {
		o.refuseKeyed(w, key, *fault)
		return
	}
	started := o.timers.Now()
	defer func() { o.gate.Release(o.timers.Now().Sub(started)) }()
	run, cancel := WithDeadline(context.WithoutCancel(ctx), o.timers, deadline)
	defer cancel()
	resp, fault := o.send(run, r, to, body, deadline)
	if fault != nil {
		o.refuseKeyed(w, key, *fault)
		return
	}
	defer resp.Body.Close()
	o.answerKeyed(run, w, resp, key)
}

// refuseKeyed settles the key before it answers, so that a key refused as not run never runs.
func (o *Owner) refuseKeyed(w http.ResponseWriter, key ledger.Key, f refusal) {
	if f.outcome == OutcomeNotRun {
		o.tombstone(o.timers.Now(), key)
	} else {
		o.ledger.MarkUnknown(o.timers.Now(), key)
	}
	o.refuse(w, f)
}

// answerKeyed keeps a small answer and gives it. A large one is given while it comes, and not kept.
func (o *Owner) answerKeyed(ctx context.Context, w http.ResponseWriter, resp *http.Response, key ledger.Key) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		o.refuseKeyed(w, key, serverFault(ctx, true))
		return
	}
	if len(data) <= maxBuffered {
		answer := ledger.NewResponse(resp.StatusCode, keptHeader(resp.Header), data)
		o.ledger.Finish(o.timers.Now(), key, answer)
		o.replay(w, answer)
		return
	}
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	o.head(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(data), resp.Body), resp.Body}
	if err := stream(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func keptHeader(h http.Header) []ledger.HeaderField {
	passed := make(http.Header, len(h))
	copyHeader(passed, h)
	fields := make([]ledger.HeaderField, 0, len(passed))
	for name, values := range passed {
		for _, value := range values {
			fields = append(fields, ledger.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// replay gives a kept answer.
func (o *Owner) replay(w http.ResponseWriter, answer ledger.Response) {
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	header := make(http.Header, len(answer.Header()))
	for _, f := range answer.Header() {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	o.head(w, header)
	w.WriteHeader(answer.Status())
	_, _ = w.Write(answer.Body())
}
