// Package proxy forwards callers' requests to backend servers. The node on the caller's VM chooses a server (Ingress);
// the node on the VM of that server decides when the request runs (Owner).
package proxy

import (
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
)

// Outcome is how a request ended at a server.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeAnswered means that the complete response of the server has been received.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the request did not run at the server and never will.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Reason is why a request was not answered.
type Reason string

// Reasons why a request did not run. ReasonCallerLeft and ReasonDeadlineExceeded also occur if it may have run.
const (
	ReasonNoRoutes         Reason = "no_routes"    // the node has not received a routing table yet
	ReasonNoServer         Reason = "no_server"    // no server of the service is ready, or the node that was asked has no server
	ReasonDraining         Reason = "draining"     // the server accepts no new requests, or its node is shutting down
	ReasonFull             Reason = "full"         // the request would not get a slot in time
	ReasonSlow             Reason = "slow"         // the server is so slow that the request would not finish in time
	ReasonLink             Reason = "link"         // the link of the VM would not carry the response in time
	ReasonShed             Reason = "shed"         // the server refused the request
	ReasonUnreachable      Reason = "unreachable"  // no connection to the server or its node
	ReasonOtherServer      Reason = "other_server" // the address belongs to another server or service
	ReasonCallerLeft       Reason = "caller_left"  // the caller disconnected
	ReasonDeadlineExceeded Reason = "deadline"     // the request would not finish, or did not finish, within its timeout
	ReasonQuarantined      Reason = "quarantined"  // servers crashed while they ran the same request
	ReasonStopping         Reason = "stopping"     // the node on the caller's VM is shutting down
)

// Reasons why it is unknown whether a request ran.
const (
	ReasonConnectionLost Reason = "broken"    // the connection broke before the response was complete
	ReasonServerEnded    Reason = "ended"     // the same, because the server's process ended
	ReasonUnsealed       Reason = "unsealed"  // a response with a success status lacks the seal, the signature of the server
	ReasonNodeLost       Reason = "node_lost" // the connection to the node on the server's VM broke
)

// Result is the outcome of a request at one server.
type Result struct {
	outcome       Outcome
	reason        Reason
	response      *exchange.Response // set if answered
	retryAfter    time.Duration      // if not run, the delay after which a slot may be free
	load          balance.Load
	statement     statement     // of the server
	reachedServer bool          // whether the server may have received the request
	queueTime     time.Duration // time spent waiting for a slot
	runTime       time.Duration // time from the grant of a slot to the end of the request
}

func answered(r *exchange.Response) Result {
	return Result{outcome: OutcomeAnswered, response: r, reachedServer: true}
}

func notRun(reason Reason) Result { return Result{outcome: OutcomeNotRun, reason: reason} }

func unknown(reason Reason) Result {
	return Result{outcome: OutcomeUnknown, reason: reason, reachedServer: true}
}

// Outcome returns how the request ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Reason returns why there is no response.
func (r Result) Reason() Reason { return r.reason }

// Response returns the response of the server, or nil if there is none.
func (r Result) Response() *exchange.Response { return r.response }
