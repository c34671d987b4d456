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
func (LogAppended) Event() {}

// Ticked says that the control thread's period has passed.
type Ticked struct{}

// Event implements Event.
func (Ticked) Event() {}

// ServerAnnounced says that the backend server beside the node announced itself or was lost.
type ServerAnnounced struct {
	server member.Server
}

// NewServerAnnounced returns the event with what the server announced.
func NewServerAnnounced(server member.Server) ServerAnnounced {
	return ServerAnnounced{server: server}
}

// Event implements Event.
func (ServerAnnounced) Event() {}

// Server returns what the server announced.
func (s ServerAnnounced) Server() member.Server { return s.server }

// PublishAsked says that an operator wants a change set published.
type PublishAsked struct {
	change record.ChangeSet
	reply  func(Receipt)
}

// NewPublishAsked returns the event. The control thread calls reply once, and reply must not block.
func NewPublishAsked(change record.ChangeSet, reply func(Receipt)) PublishAsked {
	return PublishAsked{change: change, reply: reply}
}

// Event implements Event.
func (PublishAsked) Event() {}

// Change returns the change set.
func (p PublishAsked) Change() record.ChangeSet { return p.change }

// Reply answers the operator.
func (p PublishAsked) Reply(r Receipt) { p.reply(r) }

// Asked has the control thread call a function, for queries that need its state.
type Asked struct {
	ask func()
}

// NewAsked returns the event. The function must not block.
func NewAsked(ask func()) Asked { return Asked{ask: ask} }

// Event implements Event.
func (Asked) Event() {}

// Ask calls the function.
func (a Asked) Ask() { a.ask() }

// LeaveAsked says that the node is about to stop and must tell the fleet.
type LeaveAsked struct{}

// Event implements Event.
func (LeaveAsked) Event() {}
