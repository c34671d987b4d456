package proxy

import (
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/timer"
)

// Parameters of a paceMonitor.
const (
	overdueRatio      = 2.5             // ratio of elapsed to usual run time from which a running request is overdue
	minOverdue        = 3               // overdue requests that show that the server has slowed down
	minOverdueShare   = 0.25            // the same as a share of the running requests
	maxSlowdown       = 16              // limit of the estimated slowdown
	usualWeight       = 1.0 / 32        // weight of one sample in the usual run time
	slowUsualWeight   = 1.0 / 512       // the same for samples that are overdue, so that a slow spell does not become usual
	slowdownWeight    = 1.0 / 2         // weight of one answer in the slowdown
	minSlowdown       = 1.5             // smaller slowdowns count as none
	slowdownHoldTime  = 5 * time.Second // time without evidence after which a slowdown ends
	firstUsualSamples = 4               // samples without which no run time is usual
)

// paceMonitor estimates by what factor a server is slower than usual. It answers the load of a server that turns slow for
// seconds: its requests do not end, so that averages over answers do not show it, and each of the many nodes that send
// requests to it sees too few of them. The node beside the server sees all of them, and knows how long those that have not
// ended have been running. It is safe for concurrent use.
type paceMonitor struct {
	timers   *timer.Service
	onChange func(slowdown float64) // called when the server turns slow or is as fast as usual again; must not block

	mu       sync.Mutex
	usual    map[requestClass]usualRunTime
	running  map[*pacedRequest]struct{}
	slowdown float64   // at least 1
	slow     bool      // as last passed to onChange
	provedAt time.Time // last evidence of a slowdown
	probes   int       // requests in flight that were admitted to find out whether the server is still slow
}

// usualRunTime is the moving average of the run time of a class while the server is not slow.
type usualRunTime struct {
	mean    time.Duration
	samples int
}

// pacedRequest is a running request.
type pacedRequest struct {
	class     requestClass
	startedAt time.Time
	probe     bool
}

func newPaceMonitor(timers *timer.Service, onChange func(slowdown float64)) *paceMonitor {
	return &paceMonitor{timers: timers, onChange: onChange, usual: make(map[requestClass]usualRunTime), running: make(map[*pacedRequest]struct{}), slowdown: 1}
}

// reset forgets everything, for a server that has been replaced by another one.
func (m *paceMonitor) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.usual)
	clear(m.running)
	m.slowdown, m.probes = 1, 0
	m.update(m.timers.Now())
}

// admit reports whether a request can finish at the current pace of the server. While the server is slow, one request at
// a time is admitted regardless, as a probe; its caller must set probe on start.
func (m *paceMonitor) admit(c Call) (ok, probe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(m.timers.Now())
	if m.slowdown == 1 || time.Duration(float64(m.usual[classOf(c)].mean)*m.slowdown) <= c.timeLeft {
		return true, false
	}
	return m.probes == 0, true
}

// current returns the slowdown of the server, which is 1 if it is not slower than usual.
func (m *paceMonitor) current() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(m.timers.Now())
	return m.slowdown
}

// start records that a request begins to run. finish must be called at its end.
func (m *paceMonitor) start(c Call, probe bool) *pacedRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &pacedRequest{class: classOf(c), startedAt: m.timers.Now(), probe: probe}
	m.running[r] = struct{}{}
	if probe {
		m.probes++
	}
	return r
}

// finish records the end of a request. answered states that the server completed it.
func (m *paceMonitor) finish(r *pacedRequest, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timers.Now()
	if _, ok := m.running[r]; !ok {
		return // started at a server that has been replaced
	}
	delete(m.running, r)
	if r.probe {
		m.probes--
	}
	if answered {
		m.observe(now, r.class, now.Sub(r.startedAt))
	}
	m.update(now)
}

// observe updates the usual run time and the slowdown with an answer.
func (m *paceMonitor) observe(now time.Time, class requestClass, runTime time.Duration) {
	usual := m.usual[class]
	usual.samples++
	if usual.samples <= firstUsualSamples {
		usual.mean += (runTime - usual.mean) / time.Duration(usual.samples)
		m.usual[class] = usual
		return
	}
	ratio := float64(runTime) / float64(max(usual.mean, time.Millisecond))
	weight := usualWeight
	if ratio >= overdueRatio {
		weight = slowUsualWeight
	}
	usual.mean += time.Duration(weight * float64(runTime-usual.mean))
	m.usual[class] = usual
	if m.slowdown > 1 {
		m.slowdown += slowdownWeight * (min(ratio, maxSlowdown) - m.slowdown)
		m.provedAt = now
	}
}

// update raises the slowdown while many running requests are overdue, and ends it after a time without evidence.
func (m *paceMonitor) update(now time.Time) {
	wasSlow := m.slow
	m.updateSlowdown(now)
	if m.slow = m.slowdown > 1; m.slow != wasSlow {
		m.onChange(m.slowdown)
	}
}

func (m *paceMonitor) updateSlowdown(now time.Time) {
	overdue, sum := 0, 0.0
	for r := range m.running {
		usual := m.usual[r.class]
		if usual.samples < firstUsualSamples {
			continue
		}
		if ratio := float64(now.Sub(r.startedAt)) / float64(max(usual.mean, time.Millisecond)); ratio >= overdueRatio {
			overdue++
			sum += ratio
		}
	}
	if overdue >= minOverdue && float64(overdue) >= minOverdueShare*float64(len(m.running)) {
		m.slowdown = max(m.slowdown, min(sum/float64(overdue), maxSlowdown))
		m.provedAt = now
	}
	if m.slowdown < minSlowdown || now.Sub(m.provedAt) >= slowdownHoldTime {
		m.slowdown = 1
	}
}

// paceLoad returns the load of a server for placing requests. While the server is slow, each request counts for as many as
// could run in its time usually, so that other servers are preferred as long as they have room.
func paceLoad(running, queued int, slowdown float64) balance.Load {
	return balance.NewLoad(int(slowdown*float64(running)), int(slowdown*float64(queued)))
}
