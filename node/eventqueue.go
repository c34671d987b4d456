package node

import (
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/message"
)

// eventQueueSize is the maximum number of events that wait for the control loop.
const eventQueueSize = 4096

// eventQueue holds events for the control loop.
type eventQueue struct {
	events  chan message.Event
	done    chan struct{} // closed when the loop ends
	dropped tally.Counter
}

func newEventQueue(scope tally.Scope) *eventQueue {
	return &eventQueue{
		events:  make(chan message.Event, eventQueueSize),
		done:    make(chan struct{}),
		dropped: scope.Counter("control_events_dropped"),
	}
}

// tryPost adds an event. If the queue is full, the event is dropped and counted.
func (q *eventQueue) tryPost(e message.Event) {
	select {
	case q.events <- e:
	default:
		q.dropped.Inc(1)
	}
}

// post adds an event that must not be lost and blocks while the queue is full. It returns false if the loop has ended.
func (q *eventQueue) post(e message.Event) bool {
	select {
	case q.events <- e:
		return true
	case <-q.done:
		return false
	}
}

// query runs a function on the control loop and waits for it. It returns false if the loop has ended.
func (q *eventQueue) query(f func()) bool {
	finished := make(chan struct{})
	query := message.NewStateQuery(func() {
		f()
		close(finished)
	})
	if !q.post(query) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-q.done:
		return false
	}
}
