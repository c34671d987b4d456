package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/timer"
)

// eventLoop is the control loop: the only goroutine that accesses the control state. It handles events in the order of
// their arrival.
type eventLoop struct {
	queue  *eventQueue
	ticker *timer.Subscription
	wg     sync.WaitGroup
}

// newEventLoop starts a control loop that passes each event to handle.
func newEventLoop(clock *timer.Service, q *eventQueue, handle func(message.Event)) *eventLoop {
	l := &eventLoop{queue: q}
	q.tryPost(message.Tick{}) // callers may be waiting for a node that starts
	l.ticker = clock.Every(control.TickPeriod, func(time.Time) { q.tryPost(message.Tick{}) })
	l.wg.Go(func() {
		for {
			select {
			case e := <-q.events:
				handle(e)
			case <-q.done:
				return
			}
		}
	})
	return l
}

// Close ends the loop and waits for it.
func (l *eventLoop) Close() {
	l.ticker.Close()
	close(l.queue.done)
	l.wg.Wait()
}

// controller runs the control core of a node, executes its actions and publishes its snapshots.
type controller struct {
	*eventLoop
	core         *control.Core
	clock        *timer.Service
	execute      func(message.Action)
	onJoined     func()
	onKeyChange  func(self member.Key)
	onQuarantine func(*quarantine.View)
	self         member.Key
	snapshot     *atomic.Pointer[message.Snapshot]
}

// newController starts a control loop for core. Once the node has joined, it keeps snapshot up to date and calls onJoined
// once, on the loop. It calls onKeyChange when the node gets another key, and onQuarantine after each event.
func newController(core *control.Core, clock *timer.Service, q *eventQueue, snapshot *atomic.Pointer[message.Snapshot], execute func(message.Action), onJoined func(), onKeyChange func(member.Key), onQuarantine func(*quarantine.View)) *controller {
	c := &controller{
		core:         core,
		snapshot:     snapshot,
		clock:        clock,
		execute:      execute,
		onJoined:     onJoined,
		onKeyChange:  onKeyChange,
		onQuarantine: onQuarantine,
		self:         core.Self().Key(),
	}
	c.eventLoop = newEventLoop(clock, q, c.handle)
	return c
}

func (c *controller) handle(e message.Event) {
	actions := c.dispatch(e)
	if self := c.core.Self().Key(); self != c.self {
		c.self = self
		c.onKeyChange(self)
	}
	for _, a := range actions {
		c.execute(a)
	}
	c.onQuarantine(c.core.Quarantine())
	c.publish()
}

// publish makes the newest snapshot available to calls, once the node has joined.
func (c *controller) publish() {
	current := c.snapshot.Load()
	if current == nil && !c.core.Joined() {
		return
	}
	if s := c.core.Snapshot(); s != current {
		c.snapshot.Store(s)
	}
	if current == nil {
		c.onJoined()
	}
}

// dispatch passes an event to the core and returns the resulting actions.
func (c *controller) dispatch(e message.Event) []message.Action {
	now := c.clock.Now()
	switch e := e.(type) {
	case message.PublishRequest:
		return c.core.Publish(now, e.Change(), e.Reply)
	case message.BridgeRequest:
		return c.core.Bridge(now, e.GapEnd(), e.Reply)
	}
	return dispatch(c.core, now, e)
}

// controlCore is the part of the control state's interface that a node and a sidecar share.
type controlCore interface {
	Tick(now time.Time) []message.Action
	Receive(now time.Time, env message.Envelope) []message.Action
	ReceiveLogPage(now time.Time, page message.LogPage) []message.Action
	ReceiveAppendResult(now time.Time, a message.AppendResult) []message.Action
	SetServer(now time.Time, server member.Server) []message.Action
	Leave(now time.Time) []message.Action
	ReportCrash(now time.Time, crash message.ServerCrash) []message.Action
	ClearRequest(now time.Time, cleared message.RequestCleared) []message.Action
	ReleaseContent(now time.Time, released message.ContentReleased) []message.Action
	RecordTrial(now time.Time, tried message.ContentTried) []message.Action
}

// dispatch passes an event to a core and returns the resulting actions.
func dispatch(c controlCore, now time.Time, e message.Event) []message.Action {
	switch e := e.(type) {
	case message.Tick:
		return c.Tick(now)
	case message.Envelope:
		return c.Receive(now, e)
	case message.LogPage:
		return c.ReceiveLogPage(now, e)
	case message.AppendResult:
		return c.ReceiveAppendResult(now, e)
	case message.ServerUpdate:
		return c.SetServer(now, e.Server())
	case message.LeaveRequest:
		return c.Leave(now)
	case message.ServerCrash:
		return c.ReportCrash(now, e)
	case message.RequestCleared:
		return c.ClearRequest(now, e)
	case message.ContentReleased:
		return c.ReleaseContent(now, e)
	case message.ContentTried:
		return c.RecordTrial(now, e)
	case message.StateQuery:
		e.Run()
	}
	return nil
}
