package balance

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Load is what the node beside a server says about it with each answer.
type Load struct {
	running int
	queued  int
}

// NewLoad returns the numbers of calls that run and that are queued.
func NewLoad(running, queued int) Load { return Load{running: running, queued: queued} }

// Running returns the number of calls that hold a slot.
func (l Load) Running() int { return l.running }

// Queued returns the number of calls that wait for a slot.
func (l Load) Queued() int { return l.queued }

// Result is how a call to a server ended, as far as the choice of servers is concerned.
type Result uint8

// Results of a call.
const (
	// ResultAnswered: the server answered.
	ResultAnswered Result = iota + 1
	// ResultRefused: the server or its node had no place for the call.
	ResultRefused
	// ResultDraining: the server takes no new work.
	ResultDraining
	// ResultFailed: the server or its node was not reached, broke off or did not answer in time.
	ResultFailed
	// ResultNone: the call says nothing about the server, as when the caller went away.
	ResultNone
)

// RecordStart records that a call was sent to a server.
func (m *Machine) RecordStart(key member.Key) {
	if t, ok := m.targets[key]; ok {
		t.inFlight++
	}
}

// RecordExpected records that a call to a server will follow soon, as when a request key is issued. It counts
// like a load carried back, so it fades should the call not come.
func (m *Machine) RecordExpected(now time.Time, key member.Key) {
	t, ok := m.targets[key]
	if !ok {
		return
	}
	if now.Sub(t.carriedAt) >= loadMemory {
		t.carried = 0
		t.carriedAt = now
	}
	t.carried++
}

// RecordEnd records the end of a call for which Started was called, and tells whether the server is ejected
// now for it.
func (m *Machine) RecordEnd(now time.Time, key member.Key, result Result) (ejected bool) {
	t, ok := m.targets[key]
	if !ok {
		return false
	}
	t.inFlight = max(t.inFlight-1, 0)
	switch result {
	case ResultAnswered:
		t.failures = 0
		t.ejections = 0
	case ResultRefused:
		t.failures = 0
		t.coolUntil = now.Add(m.cooling(t))
	case ResultDraining:
		t.drainUntil = now.Add(drainMemory)
	case ResultFailed:
		return m.failed(now, t)
	}
	return false
}

// RecordLoad records the load that an answer carried back.
func (m *Machine) RecordLoad(now time.Time, key member.Key, load Load) {
	if t, ok := m.targets[key]; ok {
		t.carried = max(load.running+load.queued-t.inFlight, 0)
		t.carriedAt = now
	}
}

func (m *Machine) failed(now time.Time, t *target) (ejected bool) {
	t.failures++
	if t.failures < m.settings.EjectionFailures || now.Before(t.ejected) {
		return false
	}
	p := m.pool(now, m.recent[0].view, t.member.Server().Service())
	if !m.mayEject(p, now) {
		return false
	}
	t.failures = 0
	t.ejected = now.Add(min(m.settings.BaseEjectionTime<<min(t.ejections, 5), maxEjection))
	t.ejections++
	return true
}

// withinEjectionCap keeps two thirds of the servers of a pool in use, and always one of them.
func withinEjectionCap(p *pool, now time.Time) bool {
	ejected := 0
	for _, tier := range p.tiers {
		for _, t := range tier {
			if now.Before(t.ejected) {
				ejected++
			}
		}
	}
	limit := max(p.size/3, 1)
	return ejected < min(limit, p.size-1)
}

// TargetCount returns the number of servers to which this node may send calls of a service.
func (m *Machine) TargetCount(now time.Time, view *member.View, service string) int {
	return m.pool(now, view, service).size
}

func (m *Machine) cooling(t *target) time.Duration {
	if m.distance(t.member.Place()) == otherRegion {
		return m.settings.CrossRegionBackoff
	}
	return m.settings.RefusalBackoff
}

// RecordLatency records how long an answered call took.
func (m *Machine) RecordLatency(key member.Key, took time.Duration) {
	t, ok := m.targets[key]
	if !ok {
		return
	}
	t.took = smooth(t.took, took)
	service := t.member.Server().Service()
	m.mean[service] = smooth(m.mean[service], took)
}

func smooth(held, sample time.Duration) time.Duration {
	if held == 0 {
		return sample
	}
	return held + time.Duration(tookWeight*float64(sample-held))
}
