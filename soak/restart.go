package main

import (
	"fmt"
	"net/http"
	"time"
)

// startRestartEvent starts, once in six times, a restart of a backend server under its ID with late reports. It does not in
// an upgrade, as the earlier version sends requests to a server that has left so, and does not use one again.
func (s *schedule) startRestartEvent() {
	rnd := s.restarts
	node, kind := rnd.IntN(len(s.fleet.nodes)), rnd.IntN(6)
	late, clockBack := time.Duration(rnd.Int64N(int64(5*time.Second))), time.Duration(rnd.IntN(2))*10*time.Second
	if kind > 0 || s.fleet.oldBinDir != "" {
		return
	}
	s.onBackend(node, fmt.Sprintf("starts again under its ID with reports %v late and its clock set back by %v", late, clockBack), func() {
		s.fleet.backends[node].restartUnderID(late, clockBack)
	})
}

// restartUnderID has the instance leave and start again under its ID. That process leaves before its second report, and its
// first one is late. A third process starts under the ID and stays; its clock may have been set back.
func (b *backend) restartUnderID(late, clockBack time.Duration) {
	b.checker.count("restarts")
	b.leaveSilently()
	b.pause(drainLimit + time.Second)
	b.startAgain(late, 0)
	b.report()
	b.pause(heartbeatInterval / 4)
	b.leaveSilently()
	b.pause(max(drainLimit, late) + time.Second)
	b.startAgain(0, clockBack)
}

// leaveSilently has the instance send its departure notice without a draining report before. It goes on serving.
func (b *backend) leaveSilently() {
	b.mu.Lock()
	id := b.instanceID
	b.draining, b.reportsStopped = true, true
	b.mu.Unlock()
	if b.callControl(http.MethodDelete, id, "") {
		b.recordLeaveAck(id)
	}
}

// startAgain begins a new process of the instance under the same ID, whose reports arrive late.
func (b *backend) startAgain(late, clockBack time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startProcess(time.Now().Add(-clockBack).UnixMilli())
	b.reportDelay = late
}

// checkUsed reports a server that has executed no request for unusedLimit, although nothing prevents it.
func (f *fleet) checkUsed() {
	for i, b := range f.backends {
		b.mu.Lock()
		idle, id := time.Since(b.lastRunAt), b.instanceID
		b.mu.Unlock()
		if idle > unusedLimit {
			f.checker.fail("backend server %s of node %d has executed no request for %v", id, i, idle)
		}
	}
}

// unusedLimit is the time without a request after which a backend server counts as unused at the end of the calm phase.
const unusedLimit = 3 * time.Second
