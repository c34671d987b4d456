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
	usual    map[requestClass]*usualRunTime
	running  []*pacedRequest
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
	usual     *usualRunTime // of its class
	startedAt time.Time
	probe     bool
	index     int // in paceMonitor.running
}

func newPaceMonitor(timers *timer.Service, onChange func(slowdown float64)) *paceMonitor {
	return &paceMonitor{timers: timers, onChange: onChange, usual: make(map[requestClass]*usualRunTime), slowdown: 1}
}

// usualOf returns the usual run time of a class of requests.
func (m *paceMonitor) usualOf(class requestClass) *usualRunTime {
	u, ok := m.usual[class]
	if !ok {
		u = &usualRunTime{}
		m.usual[class] = u
	}
	return u
}

// reset forgets everything, for a server that has been replaced by another one.
func (m *paceMonitor) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.usual)
	m.running = nil
	m.slowdown, m.probes = 1, 0
	m.update(m.timers.Now())
}

// admit reports whether a request can finish at the current pace of the server. While the server is slow, one request at
// a time is admitted regardless, as a probe; its caller must set probe on start.
func (m *paceMonitor) admit(c Call) (ok, probe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(m.timers.Now())
	if m.slowdown == 1 || time.Duration(float64(m.usualOf(classOf(c)).mean)*m.slowdown) <= c.timeLeft {
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
	r := &pacedRequest{usual: m.usualOf(classOf(c)), startedAt: m.timers.Now(), probe: probe, index: len(m.running)}
	m.running = append(m.running, r)
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
	if r.index >= len(m.running) || m.running[r.index] != r {
		return // started at a server that has been replaced
	}
	m.remove(r)
	if r.probe {
		m.probes--
	}
	if answered {
		m.observe(now, r.usual, now.Sub(r.startedAt))
	}
	m.update(now)
}

func (m *paceMonitor) remove(r *pacedRequest) {
	last := len(m.running) - 1
	m.running[r.index] = m.running[last]
	m.running[r.index].index = r.index
	m.running[last] = nil
	m.running = m.running[:last]
}

// observe updates the usual run time and the slowdown with an answer.
func (m *paceMonitor) observe(now time.Time, usual *usualRunTime, runTime time.Duration) {
	usual.samples++
	if usual.samples <= firstUsualSamples {
		usual.mean += (runTime - usual.mean) / time.Duration(usual.samples)
		return
	}
	ratio := float64(runTime) / float64(max(usual.mean, time.Millisecond))
	weight := usualWeight
	if ratio >= overdueRatio {
		weight = slowUsualWeight
	}
	usual.mean += time.Duration(weight * float64(runTime-usual.mean))
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
	for _, r := range m.running {
		if r.usual.samples < firstUsualSamples {
			continue
		}
		if ratio := float64(now.Sub(r.startedAt)) / float64(max(r.usual.mean, time.Millisecond)); ratio >= overdueRatio {
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
