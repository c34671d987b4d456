package message

import (
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// Event is input to the control loop from the goroutines that do its I/O and from operators.
type Event interface {
	// Event marks the types that implement Event.
	Event()
}

// Event implements Event.
func (Envelope) Event() {}

// Event implements Event.
func (LogPage) Event() {}

// Event implements Event.
func (AppendResult) Event() {}

// Tick is the periodic event on which the control loop does its timed work.
type Tick struct{}

// Event implements Event.
func (Tick) Event() {}

// ServerUpdate is the event that the backend server of the node announced itself, changed its state or was lost.
type ServerUpdate struct {
	server member.Server
}

// NewServerUpdate returns the event with the new state of the server.
func NewServerUpdate(server member.Server) ServerUpdate {
	return ServerUpdate{server: server}
}

// Event implements Event.
func (ServerUpdate) Event() {}

// Server returns the new state of the server.
func (s ServerUpdate) Server() member.Server { return s.server }

// PublishRequest is the event that an operator asks to publish a change set.
type PublishRequest struct {
	change record.ChangeSet
	reply  func(Receipt)
}

// NewPublishRequest returns the event. The control loop calls reply once, and reply must not block.
func NewPublishRequest(change record.ChangeSet, reply func(Receipt)) PublishRequest {
	return PublishRequest{change: change, reply: reply}
}

// Event implements Event.
func (PublishRequest) Event() {}

// Change returns the change set.
func (p PublishRequest) Change() record.ChangeSet { return p.change }

// Reply sends the receipt to the operator.
func (p PublishRequest) Reply(r Receipt) { p.reply(r) }

// StateQuery is the event that makes the control loop call a function, which may read the control state.
type StateQuery struct {
	run func()
}

// NewStateQuery returns the event. The function must not block.
func NewStateQuery(run func()) StateQuery { return StateQuery{run: run} }

// Event implements Event.
func (StateQuery) Event() {}

// Run calls the function. The control loop calls Run.
func (a StateQuery) Run() { a.run() }

// LeaveRequest is the event that the node is about to stop and has to announce that it leaves the fleet.
type LeaveRequest struct{}

// Event implements Event.
func (LeaveRequest) Event() {}
