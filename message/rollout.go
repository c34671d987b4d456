package message

import "github.com/bambooknot/bambooknot/rollout"

// RolloutDecision carries one decision about the roll-out of a service. The deciding node sends it to all members at each
// step and in answer to counts, and nodes whose decisions differ send each other theirs.
type RolloutDecision struct {
	decision  rollout.Decision
	confirmed bool
}

// NewRolloutDecision returns a message with a decision. confirmed states that the sender is the node that decides.
func NewRolloutDecision(decision rollout.Decision, confirmed bool) RolloutDecision {
	return RolloutDecision{decision: decision, confirmed: confirmed}
}

// PeerMessage implements PeerMessage.
func (RolloutDecision) PeerMessage() {}

// Decision returns the decision. Its age is that of the order when the message was sent.
func (d RolloutDecision) Decision() rollout.Decision { return d.decision }

// Confirmed reports whether the sender is the node that decides.
func (d RolloutDecision) Confirmed() bool { return d.confirmed }

// MaxCountedRoutes is the number of routes in one RolloutCounts that always fits into a datagram.
const MaxCountedRoutes = 3

// RolloutCounts carries what a node has counted of a service while its roll-out is not final. It is answered by a
// RolloutDecision of the node that decides.
type RolloutCounts struct {
	counts rollout.Counts
}

// NewRolloutCounts returns a message with counts of at most MaxCountedRoutes routes.
func NewRolloutCounts(counts rollout.Counts) RolloutCounts { return RolloutCounts{counts: counts} }

// PeerMessage implements PeerMessage.
func (RolloutCounts) PeerMessage() {}

// Counts returns the totals.
func (c RolloutCounts) Counts() rollout.Counts { return c.counts }

// RolloutAction is the action to read or write the store for a roll-out: a rollout.AppendDecision, a rollout.ReadDecisions
// or a rollout.WriteStatus. It is answered by exactly one RolloutResult.
type RolloutAction struct {
	request rollout.Action
}

// NewRolloutAction returns the action.
func NewRolloutAction(request rollout.Action) RolloutAction { return RolloutAction{request: request} }

// Action implements Action.
func (RolloutAction) Action() {}

// Request returns what is to be done at the store.
func (a RolloutAction) Request() rollout.Action { return a.request }

// RolloutResult answers a RolloutAction.
type RolloutResult struct {
	request   rollout.Action
	result    rollout.StoreResult
	decisions []rollout.Decision
	end       uint64
	err       error
}

// NewRolloutResult returns the answer to a write.
func NewRolloutResult(request rollout.Action, result rollout.StoreResult, err error) RolloutResult {
	return RolloutResult{request: request, result: result, err: err}
}

// NewRolloutPage returns the answer to a read: decisions in their order and where the topic ends.
func NewRolloutPage(request rollout.Action, decisions []rollout.Decision, end uint64, err error) RolloutResult {
	return RolloutResult{request: request, decisions: decisions, end: end, err: err}
}

// Event implements Event.
func (RolloutResult) Event() {}

// Request returns what was to be done.
func (r RolloutResult) Request() rollout.Action { return r.request }

// Result returns the result of a write.
func (r RolloutResult) Result() rollout.StoreResult { return r.result }

// Decisions returns the decisions that a read found. The caller must not change it.
func (r RolloutResult) Decisions() []rollout.Decision { return r.decisions }

// End returns the offset at which the topic ends, after a read.
func (r RolloutResult) End() uint64 { return r.end }

// Err returns why the store did not do what was asked for, or nil. It wraps one of the errors of package platform.
func (r RolloutResult) Err() error { return r.err }

// RolloutHalt is the event that an operator halts the roll-out of a service.
type RolloutHalt struct {
	service string
}

// NewRolloutHalt returns the event.
func NewRolloutHalt(service string) RolloutHalt { return RolloutHalt{service: service} }

// Event implements Event.
func (RolloutHalt) Event() {}

// Service returns the service.
func (h RolloutHalt) Service() string { return h.service }
