package balance

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Load is the load of a server as its node reports it with each answer.
type Load struct {
	running int
	queued  int
}

// NewLoad returns the load of a server with those numbers of running and queued calls.
func NewLoad(running, queued int) Load { return Load{running: running, queued: queued} }

// Running returns the number of calls that occupy a slot.
func (l Load) Running() int { return l.running }

// Queued returns the number of calls that are waiting for a slot.
func (l Load) Queued() int { return l.queued }

// Result classifies the end of a call by what it says about the server.
type Result uint8

// Results of a call.
const (
	// ResultAnswered means that the server answered.
	ResultAnswered Result = iota + 1
	// ResultRefused means that the server or its node had no capacity for the call.
	ResultRefused
	// ResultDraining means that the server accepts no new calls of the service: it is draining, not ready, gone or
	// replaced by a server of another service.
	ResultDraining
	// ResultFailed means that the server or its node refused or closed the connection or did not answer in time.
	// Package proxy also uses it for answers with a status of 500 or above.
	ResultFailed
	// ResultUnreachable means that opening a connection to the server or its node timed out. The server gets no further calls
	// for a moment, as each one to a VM that is gone waits for a time-out.
	ResultUnreachable
	// ResultNone means that the call says nothing about the server, for example because the caller disconnected.
	ResultNone
)

// RecordStart records that a call was sent to a server.
func (m *Machine) RecordStart(key member.Key) {
	if t, ok := m.targets[key]; ok {
		t.inFlight++
	}
}

// RecordExpected records that a call to a server is expected soon, for example because a request key was issued. It
// counts as reported load, so it expires if the call does not follow.
func (m *Machine) RecordExpected(now time.Time, key member.Key) {
	t, ok := m.targets[key]
	if !ok {
		return
	}
	if now.Sub(t.loadReportedAt) >= loadMaxAge {
		t.otherCalls = 0
		t.loadReportedAt = now
	}
	t.otherCalls++
}

// RecordEnd records the end of a call for which RecordStart was called, and reports whether it caused the
// server to be ejected.
func (m *Machine) RecordEnd(now time.Time, key member.Key, result Result) (ejected bool) {
	t, ok := m.targets[key]
	if !ok {
		return false
	}
	t.inFlight = max(t.inFlight-1, 0)
	switch result {
	case ResultAnswered:
		t.consecutiveFailures = 0
		t.consecutiveEjections = 0
	case ResultRefused:
		t.consecutiveFailures = 0
		t.refusalBackoffUntil = now.Add(m.refusalBackoff(t))
	case ResultDraining:
		t.drainBackoffUntil = now.Add(drainBackoff)
	case ResultUnreachable:
		t.unreachableUntil = now.Add(unreachableBackoff)
		return m.recordFailure(now, t)
	case ResultFailed:
		return m.recordFailure(now, t)
	}
	return false
}

// RecordLoad records the load that was reported with an answer.
func (m *Machine) RecordLoad(now time.Time, key member.Key, load Load) {
	if t, ok := m.targets[key]; ok {
		t.otherCalls = max(load.running+load.queued-t.inFlight, 0)
		t.loadReportedAt = now
	}
}

// RecordLimit records the number of calls per second that a server accepts from all nodes together; 0 means no limit.
func (m *Machine) RecordLimit(now time.Time, key member.Key, perSecond float64) {
	if t, ok := m.targets[key]; ok {
		t.rate, t.rateReportedAt = perSecond, now
	}
}

func (m *Machine) recordFailure(now time.Time, t *target) (ejected bool) {
	t.consecutiveFailures++
	if t.consecutiveFailures < m.settings.EjectionFailures || now.Before(t.ejectedUntil) {
		return false
	}
	p := m.ejectionPool(now, t)
	if !m.ejectionAllowed(p, now) {
		return false
	}
	t.consecutiveFailures = 0
	t.ejectedUntil = now.Add(min(m.settings.BaseEjectionTime<<min(t.consecutiveEjections, 5), maxEjectionTime))
	t.consecutiveEjections++
	return true
}

// withinEjectionCap reports whether another server of a pool may be ejected. At most a third of the servers, but always
// one, may be ejected at the same time, and never the last one in use.
func withinEjectionCap(p *pool, now time.Time) bool {
	ejected := 0
	for _, tier := range p.tiers {
		for _, t := range tier {
			if now.Before(t.ejectedUntil) {
				ejected++
			}
		}
	}
	limit := max(p.size/3, 1)
	return ejected < min(limit, p.size-1)
}

// TargetCount returns the number of servers of a service to which this node may send calls.
func (m *Machine) TargetCount(now time.Time, view *member.View, service string) int {
	return m.pool(now, view, service).size
}

func (m *Machine) refusalBackoff(t *target) time.Duration {
	if m.distance(t.member.Place()) == otherRegion {
		return m.settings.CrossRegionBackoff
	}
	return m.settings.RefusalBackoff
}

// RecordLatency records the latency of an answered call.
func (m *Machine) RecordLatency(key member.Key, latency time.Duration) {
	t, ok := m.targets[key]
	if !ok {
		return
	}
	t.meanLatency = smooth(t.meanLatency, latency)
	service := t.member.Server().Service()
	m.meanLatencies[service] = smooth(m.meanLatencies[service], latency)
}

// smooth returns an exponential moving average with a further sample. An average of 0 has no samples yet.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencySampleWeight*float64(sample-average))
}
