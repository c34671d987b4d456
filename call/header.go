// Package call carries the calls of callers: an Ingress takes them at the node that the caller reaches
// and forwards them, an Owner runs them at the backend server beside its node.
package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/balance"
)

// Headers of calls and answers.
const (
	// HeaderKey holds the request key of a call that runs at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome holds the Outcome on every answer.
	HeaderOutcome = "Bambooknot-Outcome"
	// HeaderReason holds the Reason on every answer that a node gives in place of a backend server.
	HeaderReason = "Bambooknot-Reason"
	// HeaderTimeout holds the milliseconds that are left for a call.
	HeaderTimeout = "Bambooknot-Timeout-Ms"
	// HeaderDepth holds the number of calls that this call is nested in.
	HeaderDepth = "Bambooknot-Depth"
	// HeaderAttempt holds 1 when the caller sends the request key for the first time and gives the key
	// up unless the call is answered.
	HeaderAttempt = "Bambooknot-Attempt"
	// HeaderNoRetry holds 1 when somebody nearer to the first caller retries.
	HeaderNoRetry = "Bambooknot-No-Retry"
	// HeaderLoad carries the load of a server from its node to the ingress node.
	HeaderLoad = "Bambooknot-Load"
	// HeaderService carries the service wanted from the ingress node to the owner node.
	HeaderService = "Bambooknot-Service"
)

// MaxDepth is the deepest nesting of calls that is served.
const MaxDepth = 16

// Outcome tells a caller what became of a call.
type Outcome string

// Outcomes of a call.
const (
	// OutcomeAnswered: a backend server answered; the answer is whole unless the connection breaks.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: the call did not run and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the call may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBad: the call was refused as wrong; the same call will be refused again.
	OutcomeBad Outcome = "bad"
)

// Reason says in one word why a node answered in place of a backend server.
type Reason string

// Reasons of OutcomeNotRun.
const (
	ReasonJoining     Reason = "joining"      // the node holds no configuration yet
	ReasonNoServer    Reason = "no-server"    // no backend server is ready
	ReasonDraining    Reason = "draining"     // the backend server takes no new work
	ReasonFull        Reason = "full"         // no slot and no place in the queue in time
	ReasonShed        Reason = "shed"         // the backend server itself refused
	ReasonUnreachable Reason = "unreachable"  // nothing could be sent
	ReasonRate        Reason = "rate"         // a resource of the route is used up
	ReasonKeyRefused  Reason = "key-refused"  // the key was refused as not run before; take a new one
	ReasonCancelled   Reason = "cancelled"    // the caller went away
	ReasonWrongServer Reason = "wrong-server" // the server now belongs to another service
)

// Reasons of OutcomeUnknown.
const (
	ReasonBroken    Reason = "broken"     // the connection broke after the call was sent
	ReasonDeadline  Reason = "deadline"   // no answer before the deadline
	ReasonSlow      Reason = "slow"       // no answer in half of the time, and no attempt more
	ReasonOwnerGone Reason = "owner-gone" // the node that the key names is not there
	ReasonForgotten Reason = "forgotten"  // the key is expired, or its answer is no longer kept
)

// Reasons of OutcomeBad.
const (
	ReasonNoRoute     Reason = "no-route"     // no route matches the path
	ReasonPath        Reason = "path"         // the path holds "." or ".."
	ReasonKeyMissing  Reason = "key-missing"  // the route needs a request key
	ReasonKeyBad      Reason = "key-bad"      // the key was not issued by a node of this fleet
	ReasonKeyReused   Reason = "key-reused"   // the key belongs to another request
	ReasonKeyService  Reason = "key-service"  // the key was issued for another service
	ReasonTooDeep     Reason = "too-deep"     // calls are nested deeper than MaxDepth
	ReasonBody        Reason = "body"         // the body of the request could not be read
	ReasonBadArgument Reason = "bad-argument" // a query argument is wrong
)

// failure is an answer that a node gives in place of a backend server.
type failure struct {
	outcome    Outcome
	reason     Reason
	status     int
	retryAfter time.Duration
	detail     string
}

// defaultRetryAfter is the hint for faults that pass quickly.
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

// write answers with the refusal.
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

// readFailure returns the refusal that an owner node answered with, and false for the answer of a
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

// setHeader sets a header whose name is canonical already.
func setHeader(h http.Header, name, value string) { h[name] = []string{value} }

// formatLoad and parseLoad carry a load as "running/queued".
func formatLoad(running, queued int) string {
	return strconv.Itoa(running) + "/" + strconv.Itoa(queued)
}

func parseLoad(text string) (balance.Load, bool) {
	running, queued, ok := strings.Cut(text, "/")
	r, err1 := strconv.Atoi(running)
	q, err2 := strconv.Atoi(queued)
	return balance.NewLoad(r, q), ok && err1 == nil && err2 == nil
}

// hopByHopHeaders are meant for one connection and never passed on.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies what may be passed on. The values are shared, not copied.
func copyEndToEndHeaders(to, from http.Header) {
	listed := from["Connection"]
	for name, values := range from {
		if !isHopByHopHeader(name) {
			to[name] = values
		}
	}
	for _, line := range listed {
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

// timeLeft reads the time left from a header, at most limit.
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

// setTimeoutHeader passes on the time left.
func setTimeoutHeader(h http.Header, left time.Duration) {
	setHeader(h, HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
}

// nestingDepth reads how many calls a call is nested in.
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

// hasDotSegment tells whether a path holds "." or "..", which a backend server may resolve to the path
// of another route.
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
