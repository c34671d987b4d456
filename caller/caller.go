// Package caller is a client library for programs that make calls through a node. Every call ends in exactly
// one of four outcomes: answered completely, not run, outcome unknown, or rejected as invalid.
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
	Node    netip.AddrPort    // the node's port for callers
	HTTP    http.RoundTripper // transport to the node; nil creates an http.Transport
	Timers  *timer.Service    // nil uses the system clock
	Timeout time.Duration     // longest time for a call, retries included; zero means DefaultTimeout
	MaxBody int64             // largest accepted response body in bytes; zero means DefaultMaxBody
	Retry   retry.Settings
}

// Defaults of Settings.
const (
	DefaultTimeout = 5 * time.Second
	DefaultMaxBody = 16 << 20

	maxAttempts            = 4
	maxIdleConns           = 64
	maxResponseHeaderBytes = 256 << 10
)

// Call describes a call to be made.
type Call struct {
	Method string
	Path   string // path and query, starting with a slash
	Header http.Header
	Body   []byte
	Keyed  bool        // the route is not idempotent, so the call runs at most once
	Route  string      // name of the route; if set, request keys are fetched in batches and cached
	Parent http.Header // header of the request being served, for a nested call; nil for the first call of a chain
}

// Result is the result of a call.
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

// Outcome returns the outcome of the call.
func (r Result) Outcome() call.Outcome { return r.outcome }

// Reason returns why no backend server answered, empty if one did.
func (r Result) Reason() call.Reason { return r.reason }

// Status returns the HTTP status, zero if no node answered.
func (r Result) Status() int { return r.status }

// Header returns the response header.
func (r Result) Header() http.Header { return r.header }

// Body returns the complete response body.
func (r Result) Body() []byte { return r.body }

// RetryAfter returns the delay, from the end of this call, after which a call that was not run may be retried.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Key returns the request key of a keyed call. If the outcome is unknown, Resume retries the call with it.
func (r Result) Key() string { return r.key }

// Err returns the error of the connection to the node, or nil.
func (r Result) Err() error { return r.err }

// Client makes calls through one node. It is safe for concurrent use.
type Client struct {
	settings     Settings
	ownTransport *http.Transport // nil if Settings.HTTP provides the transport
	timers       *timer.Service
	keys         *keyCache
	budget       *retryBudget
}

// New returns a client and fills in the defaults of the settings.
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
		c.ownTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
		c.settings.HTTP = c.ownTransport
	}
	c.keys = newKeyCache()
	return c
}

// Close closes idle connections. Calls in flight continue.
func (c *Client) Close() {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
}

// Do makes a call. A keyed call that was not run is retried with a new key, and one whose outcome is
// unknown is retried with the same key, within the deadline and the retry budget.
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

// Resume retries a keyed call whose outcome is unknown, with the key of its Result.
func (c *Client) Resume(ctx context.Context, q Call, key string) Result {
	ctx, cancel := c.withDeadline(ctx, q)
	defer cancel()
	return c.send(ctx, q, key, false)
}

// sendKeyed obtains a key and sends the call with it, retrying with the same key while the outcome is unknown.
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

// allowNewKeyRetry reports whether a call that was not run is retried at once with a new key, which it is only
// if another server is likely to accept it. It takes the retry from the retry budget.
func (c *Client) allowNewKeyRetry(ctx context.Context, q Call, r Result) bool {
	if r.outcome != call.OutcomeNotRun || ctx.Err() != nil || q.Parent.Get(call.HeaderNoRetry) == "1" {
		return false
	}
	switch r.reason {
	case call.ReasonDraining, call.ReasonOwnerGone, call.ReasonUnreachable:
		c.keys.discard(q.Route) // other cached keys may name the same server
	case call.ReasonRate, call.ReasonNoServer, call.ReasonJoining, call.ReasonDeadline:
		return false
	}
	return c.budget.allowRetry()
}

// allowSameKeyRetry reports whether a call of unknown outcome is retried with its key, which it is unless a retry
// can't settle the outcome. It takes the retry from the retry budget.
func (c *Client) allowSameKeyRetry(ctx context.Context, q Call, r Result) bool {
	if r.outcome != call.OutcomeUnknown || ctx.Err() != nil || q.Parent.Get(call.HeaderNoRetry) == "1" {
		return false
	}
	if r.reason == call.ReasonForgotten || r.reason == call.ReasonOwnerGone || r.reason == call.ReasonDeadline {
		return false
	}
	return c.budget.allowRetry()
}

// withDeadline limits a call to the timeout of the settings and to the time left to its parent request.
func (c *Client) withDeadline(ctx context.Context, q Call) (context.Context, context.CancelFunc) {
	timeout := c.settings.Timeout
	if ms, err := strconv.Atoi(q.Parent.Get(call.HeaderTimeout)); err == nil {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return call.WithDeadline(ctx, c.timers, c.timers.Now().Add(timeout))
}

// send makes one attempt and returns its result.
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

// transportFailure returns the result of an attempt without a complete response. The call is known not to have
// run only if neither this attempt nor an earlier one sent anything.
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

// newResult converts a response. One without a known outcome counts as unknown, as the call may have run.
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
