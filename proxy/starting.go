package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

const (
	// startupTime is the time after its start in which a node expects to learn of servers at any moment.
	startupTime = 1500 * time.Millisecond
	// maxStartWait is the longest time for which a request waits for routes or for a server. A caller who is refused
	// instead comes back no earlier than after defaultRetryAfter, and only once or twice.
	maxStartWait = 400 * time.Millisecond
)

// startState lets requests wait for what a node that has just started is about to learn. It answers the load of the first
// moments after many nodes have been killed or lost power: callers send at once, while routes and members arrive within
// some tenths of a second. It is safe for concurrent use.
type startState struct {
	timers    *timer.Service
	startedAt time.Time

	mu      sync.Mutex
	changed chan struct{} // closed at the next change of the snapshot
}

func newStartState(timers *timer.Service) startState {
	return startState{timers: timers, startedAt: timers.Now(), changed: make(chan struct{})}
}

// snapshotChanged wakes the requests that wait for a change.
func (s *startState) snapshotChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *startState) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// isStarting reports whether the node has started so recently that more servers are expected.
func (s *startState) isStarting() bool { return s.timers.Now().Sub(s.startedAt) < startupTime }

// await waits for a change until the time limit and reports whether there may have been one.
func (s *startState) await(ctx context.Context, change <-chan struct{}, limit time.Time) bool {
	left := limit.Sub(s.timers.Now())
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timeout := make(chan struct{})
	expiry := s.timers.After(left, func(time.Time) { close(timeout) })
	defer expiry.Close()
	select {
	case <-change:
		return true
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

// SnapshotChanged must be called after each change of the snapshot. Requests that wait for routes or servers look at it.
func (in *Ingress) SnapshotChanged() { in.starting.snapshotChanged() }

// awaitRoutes returns the current snapshot. A node without routes has just started and waits for them for a short time.
func (in *Ingress) awaitRoutes(ctx context.Context, q *request) *routing.Snapshot {
	for {
		change := in.starting.nextChange()
		if snapshot := in.settings.Snapshot(); snapshot != nil {
			return snapshot
		}
		if !in.starting.await(ctx, change, q.receivedAt.Add(maxStartWait)) {
			return in.settings.Snapshot()
		}
	}
}

// awaitView waits for a newer view if the node has just started and has not found a server for the request yet, and
// reports whether there is one.
func (in *Ingress) awaitView(ctx context.Context, q *request) bool {
	limit := q.receivedAt.Add(maxStartWait)
	for len(q.tried) == 0 && in.starting.isStarting() {
		change := in.starting.nextChange()
		if current := in.settings.Snapshot(); current != nil && current.View() != q.snapshot.View() {
			q.snapshot = routing.NewSnapshot(q.snapshot.Table(), current.View()).WithPlans(current.Plans())
			return true
		}
		if !in.starting.await(ctx, change, limit) {
			return false
		}
	}
	return false
}
