package node

import (
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/message"
)

// eventQueue bounds the events that wait for the control thread.
const eventQueue = 4096

// queue carries events from the edges to the control thread.
type queue struct {
	events  chan message.Event
	done    chan struct{} // closed when the thread ends
	dropped tally.Counter
}

func newQueue(scope tally.Scope) *queue {
	return &queue{
		events:  make(chan message.Event, eventQueue),
		done:    make(chan struct{}),
		dropped: scope.Counter("control_events_dropped"),
	}
}

// offer posts an event that may be lost: it is dropped and counted when the queue is full.
func (q *queue) offer(e message.Event) {
	select {
	case q.events <- e:
	default:
		q.dropped.Inc(1)
	}
}

// post posts an event that must not be lost, and tells whether the thread still runs.
func (q *queue) post(e message.Event) bool {
	select {
	case q.events <- e:
		return true
	case <-q.done:
		return false
	}
}

// ask runs a query on the thread and waits for it. It returns false when the thread has ended.
func (q *queue) ask(query func()) bool {
	answered := make(chan struct{})
	asked := message.NewStateQuery(func() {
		query()
		close(answered)
	})
	if !q.post(asked) {
		return false
	}
	select {
	case <-answered:
		return true
	case <-q.done:
		return false
	}
}
