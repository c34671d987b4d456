package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// upgradeDown is the time for which a node is down while its program is replaced.
	upgradeDown = 100 * time.Millisecond
	// minUpTime is the time after the start of a process before its program is replaced: SIGTERM ends one that has not reached
	// main yet, which has served nothing, without its own exit status.
	minUpTime = 500 * time.Millisecond
)

// upgrade replaces the program of one node after the other by the new build, in random order, and then brings the former one
// back on half of them. The faults of the schedule go on meanwhile: a node that they kill comes back with its current program.
func (s *schedule) upgrade(ctx context.Context) {
	nodes := s.upgrades.Perm(len(s.fleet.nodes))
	steps := len(nodes) + len(nodes)/2
	deadline, _ := ctx.Deadline()
	pause := time.Until(deadline) / time.Duration(steps+1)
	for step := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		node := nodes[step%len(nodes)]
		s.replaceProgram(ctx, node, step < len(nodes))
	}
}

// replaceProgram stops a node and starts it with the other program, by SIGKILL every fourth time.
func (s *schedule) replaceProgram(ctx context.Context, node int, upgraded bool) {
	for !s.claim(node) { // an event of the node is in progress
		if ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, startedAt := s.fleet.lastStart(node)
	time.Sleep(time.Until(startedAt.Add(minUpTime)))
	sig := syscall.SIGTERM
	if !s.plannedOnly && s.upgrades.IntN(4) == 0 {
		sig = syscall.SIGKILL
	}
	s.logEvent("node %d: its program is replaced, new build: %t", node, upgraded)
	s.fleet.setUpgraded(node, upgraded)
	s.signalClaimed(node, sig, 0, upgradeDown)
}
