// Package call routes HTTP calls to backend servers. An Ingress accepts calls at the node that the caller
// connects to and forwards them to owner nodes. An Owner runs forwarded calls at its node's backend server.
package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/balance"
)

// Headers of calls and responses.
const (
	// HeaderKey holds the request key of a call that runs at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome holds the Outcome of every response.
	HeaderOutcome = "Bambooknot-Outcome"
	// HeaderReason holds the Reason of every response that a node generates in place of a backend server.
	HeaderReason = "Bambooknot-Reason"
	// HeaderTimeout holds the time left for a call, in milliseconds.
	HeaderTimeout = "Bambooknot-Timeout-Ms"
	// HeaderDepth holds the number of calls that this call is nested in. The owner node adds one before it sends the
	// call to the backend server, which copies the header to the calls it makes.
	HeaderDepth = "Bambooknot-Depth"
	// HeaderAttempt holds 1 if the caller sends the request key for the first time and will not use the key
	// again unless the call is answered.
	HeaderAttempt = "Bambooknot-Attempt"
	// HeaderNoRetry holds 1 if a hop nearer to the original caller retries.
	HeaderNoRetry = "Bambooknot-No-Retry"
	// HeaderLoad holds the load of a backend server, sent by its node to the ingress node.
	HeaderLoad = "Bambooknot-Load"
	// HeaderService holds the requested service, sent by the ingress node to the owner node.
	HeaderService = "Bambooknot-Service"
)

// MaxDepth is the maximum nesting depth of calls.
const MaxDepth = 16

// Outcome tells a caller whether a call has run.
type Outcome string

// Outcomes of a call.
const (
	// OutcomeAnswered means that a backend server responded. The response is complete unless the connection breaks.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the call did not run and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBad means that the call was rejected as invalid. Repeating it unchanged fails again.
	OutcomeBad Outcome = "bad"
)

// Reason is a short code for why a node generated a response in place of a backend server.
type Reason string

// Reasons of OutcomeNotRun. ReasonJoining and ReasonRate also occur with OutcomeUnknown, if an earlier attempt with
// the same request key may have run.
const (
	ReasonJoining     Reason = "joining"      // the node has no configuration yet
	ReasonNoServer    Reason = "no-server"    // no backend server is ready
	ReasonDraining    Reason = "draining"     // the node or the backend server accepts no new calls
	ReasonFull        Reason = "full"         // no slot became free in time, or the queue is full
	ReasonShed        Reason = "shed"         // the backend server itself shed the call
	ReasonUnreachable Reason = "unreachable"  // no connection could be made, nothing was sent
	ReasonRate        Reason = "rate"         // the rate limit of one of the route's resources is exceeded
	ReasonKeyRefused  Reason = "key-refused"  // the records say that the call with this key did not run; a new key is needed
	ReasonCancelled   Reason = "cancelled"    // the caller disconnected, or the deadline passed, while the call waited for a slot
	ReasonQuarantined Reason = "quarantined"  // servers crashed while they ran the same call
	ReasonWrongServer Reason = "wrong-server" // the server now belongs to another service
)

// Reasons of OutcomeUnknown. ReasonDeadline and ReasonOwnerGone also occur with OutcomeNotRun, if it is certain that
// the call has not run.
const (
	ReasonBroken    Reason = "broken"     // the connection broke after the call was sent
	ReasonEnded     Reason = "ended"      // the same, because the backend server's process ended
	ReasonDeadline  Reason = "deadline"   // no response before the deadline
	ReasonSlow      Reason = "slow"       // no response within half of the remaining time, and no further attempt ran
	ReasonOwnerGone Reason = "owner-gone" // the node process that the key names is gone or unreachable
	ReasonForgotten Reason = "forgotten"  // the key is expired, the outcome of its call is not known, or its response is not stored
)

// Reasons of OutcomeBad.
const (
	ReasonNoRoute     Reason = "no-route"     // no route matches the path
	ReasonPath        Reason = "path"         // the path contains a "." or ".." segment
	ReasonKeyMissing  Reason = "key-missing"  // the route requires a request key
	ReasonKeyBad      Reason = "key-bad"      // the key is malformed, was not issued by a node of this fleet, or has an issue time in the future
	ReasonKeyReused   Reason = "key-reused"   // the key was already used for another request
	ReasonKeyService  Reason = "key-service"  // the key was issued for another service
	ReasonTooDeep     Reason = "too-deep"     // calls are nested deeper than MaxDepth
	ReasonBody        Reason = "body"         // the body of the request could not be read
	ReasonBadArgument Reason = "bad-argument" // a query argument is invalid
)

// failure is a response that a node generates in place of a backend server.
type failure struct {
	outcome    Outcome
	reason     Reason
	status     int
	retryAfter time.Duration
	detail     string
}

// defaultRetryAfter is the Retry-After hint for transient failures.
const defaultRetryAfter = time.Second

func notRun(reason Reason, detail string) failure {
	return failure{outcome: OutcomeNotRun, reason: reason, status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, detail: detail}
}

func unknown(reason Reason, detail string) failure {
	return failure{outcome: OutcomeUnknown, reason: reason, status: http.StatusGatewayTimeout, retryAfter: defaultRetryAfter, detail: detail}
}

func bad(status int, reason Reason, detail string) failure {
	return failure{outcome: OutcomeBad, reason: reason, status: status, detail: detail}
}

// write sends the failure as the response.
func (f failure) write(w http.ResponseWriter) {
	h := w.Header()
	setHeader(h, HeaderOutcome, string(f.outcome))
	setHeader(h, HeaderReason, string(f.reason))
	setHeader(h, "Content-Type", "text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		setHeader(h, "Retry-After", strconv.Itoa(int((f.retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.detail + "\n"))
}

// readFailure returns the failure that an owner node responded with, and false for the response of a
// backend server.
func readFailure(resp *http.Response) (failure, bool) {
	f := failure{
		outcome: Outcome(resp.Header.Get(HeaderOutcome)),
		reason:  Reason(resp.Header.Get(HeaderReason)),
		status:  resp.StatusCode,
		detail:  "refused beside the backend server: " + resp.Header.Get(HeaderReason),
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.retryAfter = time.Duration(s) * time.Second
	}
	switch f.outcome {
	case OutcomeAnswered:
		return failure{}, false
	case OutcomeNotRun, OutcomeUnknown, OutcomeBad:
		return f, true
	}
	return unknown(ReasonBroken, "the owner's answer carries no outcome"), true
}

// setHeader sets a header whose name is already in canonical form.
func setHeader(h http.Header, name, value string) { h[name] = []string{value} }

// formatLoad encodes a load as "running/queued".
func formatLoad(running, queued int) string {
	return strconv.Itoa(running) + "/" + strconv.Itoa(queued)
}

// parseLoad decodes what formatLoad encoded.
func parseLoad(text string) (balance.Load, bool) {
	running, queued, ok := strings.Cut(text, "/")
	r, err1 := strconv.Atoi(running)
	q, err2 := strconv.Atoi(queued)
	return balance.NewLoad(r, q), ok && err1 == nil && err2 == nil
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies all headers except hop-by-hop ones, which include those that a Connection
// header lists. The value slices are shared.
func copyEndToEndHeaders(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if !isHopByHopHeader(name) {
			to[name] = values
		}
	}
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}

func isHopByHopHeader(name string) bool {
	for _, hop := range hopByHopHeaders {
		if name == hop {
			return true
		}
	}
	return false
}

// timeLeft returns the time left according to the timeout header, or limit if that is shorter or the header
// is missing or malformed.
func timeLeft(h http.Header, limit time.Duration) time.Duration {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return limit
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return limit
	}
	return min(time.Duration(ms)*time.Millisecond, limit)
}

func setTimeoutHeader(h http.Header, left time.Duration) {
	setHeader(h, HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
}

// nestingDepth returns the value of the depth header, or 0 if that is missing or malformed.
func nestingDepth(h http.Header) int {
	text := h.Get(HeaderDepth)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// hasDotSegment reports whether a path contains a "." or ".." segment, which a backend server may resolve to
// the path of another route.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
