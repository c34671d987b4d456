// Package caller is a library for programs that call through a node. Every call ends in exactly one of
// four outcomes: answered whole, not run, outcome unknown, or refused as bad.
package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/timer"
)

// Settings of a Client.
type Settings struct {
	Node    netip.AddrPort    // callers' port of the node
	HTTP    http.RoundTripper // nil for a net/http Transport
	Timers  *timer.Service    // nil for the system clock
	Timeout time.Duration     // time for a call whose context has no deadline; zero means DefaultTimeout
	MaxBody int64             // bytes of an answer's body; zero means DefaultMaxBody
	Retry   retry.Settings
}

// Defaults of Settings.
const (
	DefaultTimeout = 5 * time.Second
	DefaultMaxBody = 16 << 20

	maxAttempts  = 4
	maxIdleConns = 64
)

// Call is one call to be made.
type Call struct {
	Method string
	Path   string // path and query, starting with a slash
	Header http.Header
	Body   []byte
	Keyed  bool        // the route is not idempotent, so the call runs at most once
	Route  string      // name of the route; with it, keys are fetched ahead
	Parent http.Header // header of the request that is being served, nil at the first caller
}

// Result is what became of a call.
type Result struct {
	outcome    call.Outcome
	reason     call.Reason
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
	key        string
	err        error
}

// Outcome returns one of the four outcomes.
func (r Result) Outcome() call.Outcome { return r.outcome }

// Reason returns why there is no answer of a backend server, empty if there is one.
func (r Result) Reason() call.Reason { return r.reason }

// Status returns the HTTP status, zero if no node answered.
func (r Result) Status() int { return r.status }

// Header returns the header of the answer.
func (r Result) Header() http.Header { return r.header }

// Body returns the whole body of the answer.
func (r Result) Body() []byte { return r.body }

// RetryAfter returns when a call that was not run may be made again, from the end of this one.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Key returns the request key of a keyed call. With an unknown outcome, Resume asks again about it.
func (r Result) Key() string { return r.key }

// Err returns the fault of the connection to the node, or nil.
func (r Result) Err() error { return r.err }

// Client makes calls through one node. It is safe for concurrent use.
type Client struct {
	settings     Settings
	ownTransport *http.Transport // nil if the transport was given
	timers       *timer.Service
	keys         *keyCache
	budget       *retryBudget
}

// New returns a client.
func New(s Settings) *Client {
	c := &Client{settings: s, timers: s.Timers, budget: newRetryBudget(s.Retry)}
	if c.timers == nil {
		c.timers = timer.New()
	}
	if c.settings.Timeout <= 0 {
		c.settings.Timeout = DefaultTimeout
	}
	if c.settings.MaxBody <= 0 {
		c.settings.MaxBody = DefaultMaxBody
	}
	if c.settings.HTTP == nil {
		c.ownTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
		c.settings.HTTP = c.ownTransport
	}
	c.keys = newKeyCache()
	return c
}

// Close closes idle connections. Calls in flight go on.
func (c *Client) Close() {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
}

// Do makes a call. A keyed call that was not run is made again with another key, and one whose outcome
// is unknown is repeated with the same key, as far as the deadline and the retry budget permit.
func (c *Client) Do(ctx context.Context, q Call) Result {
	ctx, cancel := c.withDeadline(ctx, q)
	defer cancel()
	c.budget.recordFirstAttempt()
	if !q.Keyed {
		return c.send(ctx, q, "", false)
	}
	result := c.sendKeyed(ctx, q)
	for n := 1; n < maxAttempts && c.allowNewKeyRetry(ctx, q, result); n++ {
		result = c.sendKeyed(ctx, q)
	}
	return result
}

// Resume repeats a keyed call whose outcome is unknown, with its key.
func (c *Client) Resume(ctx context.Context, q Call, key string) Result {
	ctx, cancel := c.withDeadline(ctx, q)
	defer cancel()
	return c.send(ctx, q, key, false)
}

func (c *Client) sendKeyed(ctx context.Context, q Call) Result {
	key, fault := c.acquireKey(ctx, q)
	if fault != nil {
		return *fault
	}
	result := c.send(ctx, q, key, true)
	for n := 1; n < maxAttempts && c.allowSameKeyRetry(ctx, q, result); n++ {
		result = c.send(ctx, q, key, false)
	}
	return result
}

// allowNewKeyRetry tells whether a call that was not run is made again at once with another key: only where
// another server may well take it.
func (c *Client) allowNewKeyRetry(ctx context.Context, q Call, r Result) bool {
	if r.outcome != call.OutcomeNotRun || ctx.Err() != nil || q.Parent.Get(call.HeaderNoRetry) == "1" {
		return false
	}
	switch r.reason {
	case call.ReasonDraining, call.ReasonOwnerGone, call.ReasonUnreachable:
		c.keys.discard(q.Route) // more of the keys fetched ahead may name that server
	case call.ReasonRate, call.ReasonNoServer, call.ReasonJoining, call.ReasonDeadline:
		return false
	}
	return c.budget.allowRetry()
}

func (c *Client) allowSameKeyRetry(ctx context.Context, q Call, r Result) bool {
	if r.outcome != call.OutcomeUnknown || ctx.Err() != nil || q.Parent.Get(call.HeaderNoRetry) == "1" {
		return false
	}
	if r.reason == call.ReasonForgotten || r.reason == call.ReasonOwnerGone || r.reason == call.ReasonDeadline {
		return false
	}
	return c.budget.allowRetry()
}

// withDeadline gives a call its deadline.
func (c *Client) withDeadline(ctx context.Context, q Call) (context.Context, context.CancelFunc) {
	timeout := c.settings.Timeout
	if ms, err := strconv.Atoi(q.Parent.Get(call.HeaderTimeout)); err == nil {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return call.WithDeadline(ctx, c.timers, c.timers.Now().Add(timeout))
}

// send makes one attempt.
func (c *Client) send(ctx context.Context, q Call, key string, firstAttempt bool) Result {
	req, err := c.newRequest(ctx, q, key, firstAttempt)
	if err != nil {
		return Result{outcome: call.OutcomeBad, reason: call.ReasonBadArgument, err: err}
	}
	trace := call.NewSendTrace()
	resp, err := c.settings.HTTP.RoundTrip(call.SendOnce(req.WithContext(trace.Context(ctx))))
	if err != nil {
		return c.transportFailure(key, firstAttempt, trace.Connected(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxBody+1))
	if err != nil || int64(len(body)) > c.settings.MaxBody {
		return c.transportFailure(key, firstAttempt, true, err)
	}
	return newResult(resp, body, key)
}

// transportFailure returns the result of an attempt without a whole answer. Only a call of which nothing was
// sent, now or before, was surely not run.
func (c *Client) transportFailure(key string, firstAttempt, sent bool, err error) Result {
	r := Result{
		outcome: call.OutcomeUnknown, reason: call.ReasonBroken, key: key, retryAfter: time.Second,
		err: oops.In("caller.send").With("peer", c.settings.Node).Wrap(err),
	}
	if !sent && (key == "" || firstAttempt) {
		r.outcome = call.OutcomeNotRun
		r.reason = call.ReasonUnreachable
	}
	return r
}

func newResult(resp *http.Response, body []byte, key string) Result {
	r := Result{
		outcome: call.Outcome(resp.Header.Get(call.HeaderOutcome)),
		reason:  call.Reason(resp.Header.Get(call.HeaderReason)),
		status:  resp.StatusCode,
		header:  resp.Header,
		body:    body,
		key:     key,
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.retryAfter = time.Duration(s) * time.Second
	}
	switch r.outcome {
	case call.OutcomeAnswered, call.OutcomeNotRun, call.OutcomeUnknown, call.OutcomeBad:
		return r
	}
	r.outcome = call.OutcomeUnknown
	r.reason = call.ReasonBroken
	return r
}

func (c *Client) newRequest(ctx context.Context, q Call, key string, firstAttempt bool) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+c.settings.Node.String()+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, oops.In("caller.request").Wrap(err)
	}
	for name, values := range q.Header {
		req.Header[name] = values
	}
	for _, name := range []string{call.HeaderDepth, call.HeaderNoRetry} {
		if v := q.Parent.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(call.HeaderTimeout, strconv.FormatInt(max(deadline.Sub(c.timers.Now()).Milliseconds(), 0), 10))
	}
	if key != "" {
		req.Header.Set(call.HeaderKey, key)
	}
	if firstAttempt {
		req.Header.Set(call.HeaderAttempt, "1")
	}
	req.GetBody = nil
	return req, nil
}
