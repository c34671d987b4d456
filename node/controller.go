package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/timer"
)

// loop is the control thread: the one goroutine that owns the control state. It takes events in the order of
// their arrival.
type loop struct {
	queue *queue
	ticks *timer.Subscription
	wg    sync.WaitGroup
}

// newLoop starts a control thread that has events handled. handle is called on that thread only.
func newLoop(clock *timer.Service, q *queue, handle func(message.Event)) *loop {
	l := &loop{queue: q}
	l.ticks = clock.Every(control.TickPeriod, func(time.Time) { q.offer(message.Tick{}) })
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

// Close ends the thread and waits for it.
func (l *loop) Close() {
	l.ticks.Close()
	close(l.queue.done)
	l.wg.Wait()
}

// thread drives the control core of a node, has its actions executed by the edges, and publishes snapshots to
// traffic.
type thread struct {
	*loop
	core     *control.Core
	clock    *timer.Service
	execute  func(message.Action)
	joined   func()
	renamed  func(self member.Key)
	self     member.Key
	snapshot *atomic.Pointer[message.Snapshot]
}

// newThread starts a control thread over core. It sets snapshot from the time on when the node may
// serve, and calls joined then, once, on the thread. renamed is called when the node takes another key.
func newThread(core *control.Core, clock *timer.Service, q *queue, snapshot *atomic.Pointer[message.Snapshot], execute func(message.Action), joined func(), renamed func(member.Key)) *thread {
	t := &thread{
		core:     core,
		snapshot: snapshot,
		clock:    clock,
		execute:  execute,
		joined:   joined,
		renamed:  renamed,
		self:     core.Self().Key(),
	}
	t.loop = newLoop(clock, q, t.handle)
	return t
}

func (t *thread) handle(e message.Event) {
	actions := t.decide(e)
	if self := t.core.Self().Key(); self != t.self {
		t.self = self
		t.renamed(self)
	}
	for _, a := range actions {
		t.execute(a)
	}
	t.publish()
}

// publish hands the newest snapshot to traffic, once the node may serve.
func (t *thread) publish() {
	held := t.snapshot.Load()
	if held == nil && !t.core.Joined() {
		return
	}
	if s := t.core.Snapshot(); s != held {
		t.snapshot.Store(s)
	}
	if held == nil {
		t.joined()
	}
}

// decide hands one event to the core.
func (t *thread) decide(e message.Event) []message.Action {
	now := t.clock.Now()
	switch e := e.(type) {
	case message.PublishRequest:
		return t.core.Publish(now, e.Change(), e.Reply)
	case message.BridgeRequest:
		return t.core.Bridge(now, e.GapEnd(), e.Reply)
	}
	return decide(t.core, now, e)
}

// core is what the control states of a node and of a sidecar take alike.
type core interface {
	Tick(now time.Time) []message.Action
	Receive(now time.Time, env message.Envelope) []message.Action
	LogPage(now time.Time, page message.LogPage) []message.Action
	LogAppended(now time.Time, a message.AppendResult) []message.Action
	SetServer(now time.Time, server member.Server) []message.Action
	Leave(now time.Time) []message.Action
}

// decide hands an event to a core.
func decide(c core, now time.Time, e message.Event) []message.Action {
	switch e := e.(type) {
	case message.Tick:
		return c.Tick(now)
	case message.Envelope:
		return c.Receive(now, e)
	case message.LogPage:
		return c.LogPage(now, e)
	case message.AppendResult:
		return c.LogAppended(now, e)
	case message.ServerUpdate:
		return c.SetServer(now, e.Server())
	case message.LeaveRequest:
		return c.Leave(now)
	case message.StateQuery:
		e.Run()
	}
	return nil
}
