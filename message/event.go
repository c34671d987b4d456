package message

import (
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// Event is what the edges tell the control thread.
type Event interface {
	// Event marks the types that are events.
	Event()
}

// Event implements Event.
func (Envelope) Event() {}

// Event implements Event.
func (LogPage) Event() {}

// Event implements Event.
func (AppendResult) Event() {}

// Tick says that the control thread's period has passed.
type Tick struct{}

// Event implements Event.
func (Tick) Event() {}

// ServerUpdate says that the backend server beside the node announced itself or was lost.
type ServerUpdate struct {
	server member.Server
}

// NewServerUpdate returns the event with what the server announced.
func NewServerUpdate(server member.Server) ServerUpdate {
	return ServerUpdate{server: server}
}

// Event implements Event.
func (ServerUpdate) Event() {}

// Server returns what the server announced.
func (s ServerUpdate) Server() member.Server { return s.server }

// PublishRequest says that an operator wants a change set published.
type PublishRequest struct {
	change record.ChangeSet
	reply  func(Receipt)
}

// NewPublishRequest returns the event. The control thread calls reply once, and reply must not block.
func NewPublishRequest(change record.ChangeSet, reply func(Receipt)) PublishRequest {
	return PublishRequest{change: change, reply: reply}
}

// Event implements Event.
func (PublishRequest) Event() {}

// Change returns the change set.
func (p PublishRequest) Change() record.ChangeSet { return p.change }

// Reply answers the operator.
func (p PublishRequest) Reply(r Receipt) { p.reply(r) }

// StateQuery has the control thread call a function, for queries that need its state.
type StateQuery struct {
	run func()
}

// NewStateQuery returns the event. The function must not block.
func NewStateQuery(ask func()) StateQuery { return StateQuery{run: ask} }

// Event implements Event.
func (StateQuery) Event() {}

// Run calls the function.
func (a StateQuery) Run() { a.run() }

// LeaveRequest says that the node is about to stop and must tell the fleet.
type LeaveRequest struct{}

// Event implements Event.
func (LeaveRequest) Event() {}
