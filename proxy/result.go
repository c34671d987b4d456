// Package proxy carries callers' requests to backend servers: the node beside the caller chooses a server
// (Ingress), the node beside that server decides when it runs (Owner).
package proxy

import (
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
)

// Outcome says what became of a request at a server.
type Outcome uint8

// Endings.
const (
	// OutcomeAnswered: the server's answer is whole.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the request did not run there and never will.
	OutcomeNotRun
	// OutcomeUnknown: it may have run.
	OutcomeUnknown
)

// String returns the word that logs and counters use.
func (e Outcome) String() string {
	switch e {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Reason says why a request was not answered.
type Reason string

// Reasons why a request did not run.
const (
	ReasonNoRoutes         Reason = "no_routes"    // the node holds no routes yet
	ReasonNoServer         Reason = "no_server"    // no server of the service is ready
	ReasonDraining         Reason = "draining"     // the server takes no new work
	ReasonFull             Reason = "full"         // it would not get its slot in time
	ReasonShed             Reason = "shed"         // the server refused it
	ReasonUnreachable      Reason = "unreachable"  // no connection to the server or its node
	ReasonOtherServer      Reason = "other_server" // another server has the address
	ReasonCallerLeft       Reason = "caller_left"
	ReasonDeadlineExceeded Reason = "deadline"
	ReasonStopping         Reason = "stopping" // the caller's node is about to end
)

// Reasons why it is not known what became of a request.
const (
	ReasonConnectionLost Reason = "broken"    // the connection ended before the answer was whole
	ReasonUnsealed       Reason = "unsealed"  // the answer does not carry the server's signature
	ReasonNodeLost       Reason = "node_lost" // the connection to the server's node broke
)

// Result is what became of a request at one server.
type Result struct {
	ending     Outcome
	reason     Reason
	answer     *exchange.Response // if answered
	retryAfter time.Duration      // when there may be room, if not run
	load       balance.Load
	arrived    bool          // the server saw the request
	waited     time.Duration // for a slot at the server
	ran        time.Duration // at the server
}

func answered(r *exchange.Response) Result {
	return Result{ending: OutcomeAnswered, answer: r, arrived: true}
}

func notRun(reason Reason) Result { return Result{ending: OutcomeNotRun, reason: reason} }

func unknown(reason Reason) Result {
	return Result{ending: OutcomeUnknown, reason: reason, arrived: true}
}

// Outcome returns what became of the request.
func (r Result) Outcome() Outcome { return r.ending }

// Reason returns why there is no answer.
func (r Result) Reason() Reason { return r.reason }

// Response returns the server's answer, if there is one.
func (r Result) Response() *exchange.Response { return r.answer }
