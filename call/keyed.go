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

// serveKeyed runs a keyed call at most once. A repeated call gets the outcome of the first one.
func (o *Owner) serveKeyed(w http.ResponseWriter, r *http.Request, body requestBody, deadline time.Time, text string) {
	key, err := ledger.ParseKey(o.fleet, text)
	if err != nil {
		o.fail(w, bad(http.StatusBadRequest, ReasonKeyBad, err.Error()))
		return
	}
	ctx, cancel := WithDeadline(r.Context(), o.timers, deadline)
	defer cancel()
	fingerprint := body.fingerprint(r)
	for {
		verdict, stored, done := o.beginKeyed(key, fingerprint)
		switch verdict {
		case ledger.VerdictRun:
			o.runKeyed(ctx, w, r, body, deadline, key)
			return
		case ledger.VerdictReplay:
			o.counters.replays.Inc(1)
			o.replay(w, stored)
			return
		case ledger.VerdictWait:
			o.counters.waits.Inc(1)
			if !await(ctx, done) {
				o.fail(w, unknown(ReasonDeadline, "the call is still running"))
				return
			}
		default:
			o.fail(w, verdictFailure(verdict, r.Header.Get(HeaderAttempt) == "1"))
			return
		}
	}
}

// await waits until done is closed and reports whether that was before the context ended.
func await(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// verdictFailure returns the failure for a call that the ledger does not let run. If the verdict is stale on
// a first attempt, the call has not run anywhere.
func verdictFailure(v ledger.Verdict, first bool) failure {
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

// runKeyed runs a call for which the ledger returned VerdictRun. A running call is not cancelled when the
// caller disconnects, so that a retry with the key gets the response.
func (o *Owner) runKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, body requestBody, deadline time.Time, key ledger.Key) {
	defer func() { o.ledger.MarkUnknown(o.timers.Now(), key) }()
	target, f := o.admit(ctx, r, admission.PriorityKeyed, deadline)
	if f != nil {
		o.failKeyed(w, key, *f)
		return
	}
	defer o.gate.Release()
	runCtx, cancel := WithDeadline(context.WithoutCancel(ctx), o.timers, deadline)
	defer cancel()
	resp, f := o.send(runCtx, r, target, body, deadline)
	if f != nil {
		o.failKeyed(w, key, *f)
		return
	}
	defer resp.Body.Close()
	if o.respondKeyed(runCtx, w, resp, key) {
		o.clearSuspicion(r, body)
	}
}

// failKeyed records the outcome of the key before it responds, so that a key refused as not run never runs.
func (o *Owner) failKeyed(w http.ResponseWriter, key ledger.Key, f failure) {
	if f.outcome == OutcomeNotRun {
		o.tombstone(o.timers.Now(), key)
	} else {
		o.ledger.MarkUnknown(o.timers.Now(), key)
	}
	o.fail(w, f)
}

// respondKeyed stores a response of up to maxBuffered bytes in the ledger and then sends it. A larger one is
// streamed and not stored. It reports whether the response was complete.
func (o *Owner) respondKeyed(ctx context.Context, w http.ResponseWriter, resp *http.Response, key ledger.Key) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		o.failKeyed(w, key, serverFailure(ctx, true))
		return false
	}
	if len(data) <= maxBuffered {
		stored := ledger.NewResponse(resp.StatusCode, storedHeader(resp.Header), data)
		o.ledger.Finish(o.timers.Now(), key, stored)
		o.replay(w, stored)
		return true
	}
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	o.setResponseHeader(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(data), resp.Body), resp.Body}
	if err := copyResponse(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// storedHeader returns the end-to-end headers as ledger fields.
func storedHeader(h http.Header) []ledger.HeaderField {
	endToEnd := make(http.Header, len(h))
	copyEndToEndHeaders(endToEnd, h)
	fields := make([]ledger.HeaderField, 0, len(endToEnd))
	for name, values := range endToEnd {
		for _, value := range values {
			fields = append(fields, ledger.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// replay sends a response stored in the ledger.
func (o *Owner) replay(w http.ResponseWriter, stored ledger.Response) {
	o.counters.outcomes[OutcomeAnswered].Inc(1)
	header := make(http.Header, len(stored.Header()))
	for _, f := range stored.Header() {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	o.setResponseHeader(w, header)
	w.WriteHeader(stored.Status())
	_, _ = w.Write(stored.Body())
}
