// Package presence tracks the state of a node's backend server from the heartbeats that the server sends.
// Heartbeats may arrive late, out of order, and after the server that sent them has ended. The package is a
// deterministic state machine.
package presence

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Heartbeat is one report by a backend server.
type Heartbeat struct {
	ID       string // chosen by the server; a restarted process may keep it
	Started  int64  // when the server started, in Unix milliseconds on its clock; 0 if not reported
	Sequence int64  // increases with each heartbeat since the start
	Address  netip.AddrPort
	Server   member.Server
}

// Verdict is the result of recording a heartbeat.
type Verdict uint8

// Verdicts.
const (
	// VerdictTaken means that the heartbeat is the newest one of the current server.
	VerdictTaken Verdict = iota + 1
	// VerdictLate means that a newer heartbeat of the same server process was recorded before.
	VerdictLate
	// VerdictGone means that the server process has left or was replaced by another one, as far as clocks and departure
	// notices show. Unless another server is in use, PendingCheck returns it.
	VerdictGone
)

// String returns the name used in logs.
func (v Verdict) String() string {
	names := [...]string{"invalid", "taken", "late", "gone"}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

const (
	// maxDeparted limits the number of servers whose departed processes are remembered.
	maxDeparted = 256
	// lateNoticeTime is how long the heartbeats of a process have to go on after its departure notice before the notice is
	// put down to an earlier process of the same ID.
	lateNoticeTime = 10 * time.Second
	// foundTimeoutDivisor divides the heartbeat timeout for a server found by a health check, which may have announced its
	// departure to an earlier process of the node.
	foundTimeoutDivisor = 2
)

// Machine tracks the backend server of one node. It is not safe for concurrent use.
type Machine struct {
	heartbeatTimeout time.Duration
	trustFirst       bool  // the first server needs no health check
	latestTime       int64 // that the clock has shown, in Unix milliseconds; it may have been set back since
	current          *observedServer
	// candidate is a server that may have departed, and replaces the current one once it has passed a health check.
	candidate *observedServer
	// departed holds, by ID, the latest time, in Unix milliseconds, at which a process that left or was replaced may have
	// started. A departure notice names no process, so it also covers processes that have sent no heartbeat yet.
	departed map[string]int64
}

// observedServer is the state of a server, as of its last accepted heartbeat.
type observedServer struct {
	heartbeat       Heartbeat
	lastHeartbeatAt time.Time
	draining        bool      // announced in a heartbeat or a response at any time since its start
	left            bool      // by a departure notice, which may be of another process of the ID
	reportsSince    time.Time // first heartbeat after the departure notice
	reportsAgain    bool      // whether a candidate has sent a further heartbeat
	checked         bool      // known to accept calls
	expired         bool
	found           bool // by a health check; its start, sequence and slots are not known yet
}

func (s *observedServer) isProcess(h Heartbeat) bool {
	return s.heartbeat.ID == h.ID && s.heartbeat.Started == h.Started && !s.found
}

// New returns a machine without a server. A server that sends no heartbeat for heartbeatTimeout has the state
// member.ServerNone until its next one, unless it is draining. trustFirst must be false for a node that may start while
// its server is running, as after a crash: its previous process may have received the announcement that the server is
// leaving.
func New(heartbeatTimeout time.Duration, trustFirst bool) *Machine {
	return &Machine{heartbeatTimeout: heartbeatTimeout, trustFirst: trustFirst, departed: make(map[string]int64)}
}

// RecordHeartbeat updates the current server from a heartbeat, unless it is out of date.
func (m *Machine) RecordHeartbeat(now time.Time, h Heartbeat) Verdict {
	switch {
	case m.current != nil && m.current.isProcess(h):
		return m.recordNext(now, h)
	case m.isSuccessor(h):
		m.replaceCurrent(now, h)
		return VerdictTaken
	case !m.inUse():
		m.propose(now, h)
	}
	return VerdictGone
}

// recordNext records a further heartbeat of the current server.
func (m *Machine) recordNext(now time.Time, h Heartbeat) Verdict {
	c := m.current
	if h.Sequence <= c.heartbeat.Sequence {
		return VerdictLate
	}
	c.heartbeat, c.lastHeartbeatAt = h, now
	c.draining = c.draining || h.Server.State() == member.ServerDraining
	if !c.left {
		c.expired, m.candidate = false, nil
		return VerdictTaken
	}
	if c.reportsSince.IsZero() {
		c.reportsSince = now
	}
	if !c.draining && now.Sub(c.reportsSince) >= lateNoticeTime {
		m.propose(now, h)
	}
	return VerdictGone
}

// isSuccessor reports whether a heartbeat is surely of a process that started after the current one and after all that
// have departed, as far as the node knows.
func (m *Machine) isSuccessor(h Heartbeat) bool {
	if started, ok := m.departed[h.ID]; ok && h.Started <= started {
		return false
	}
	if m.current == nil {
		return true
	}
	last := m.current.heartbeat
	if m.current.found {
		return last.ID != h.ID || m.current.state() != member.ServerDraining
	}
	return h.Started > last.Started || h.Started == 0 && last.Started == 0
}

// inUse reports whether the current server may receive calls.
func (m *Machine) inUse() bool { return m.current != nil && m.current.state() == member.ServerReady }

// propose makes the sender of a heartbeat the candidate. The clock of the VM may have been set back before the process
// started, or the departure notice may be of an earlier process, so the heartbeat can be that of a sound server.
func (m *Machine) propose(now time.Time, h Heartbeat) {
	if m.candidate == nil || !m.candidate.isProcess(h) {
		m.candidate = &observedServer{heartbeat: h}
	}
	c := m.candidate
	c.reportsAgain = c.reportsAgain || h.Sequence > c.heartbeat.Sequence
	c.heartbeat, c.lastHeartbeatAt = h, now
	c.draining = c.draining || h.Server.State() == member.ServerDraining
}

// replaceCurrent makes the sender of a heartbeat the current server. After a restart of the node, the heartbeats of several
// earlier processes may arrive, so the successor of a server that has not been checked has to be checked too, and so does
// another server than the one found by a health check.
func (m *Machine) replaceCurrent(now time.Time, h Heartbeat) {
	checked := m.trustFirst
	if m.current != nil {
		checked = m.current.checked && (!m.current.found || m.current.heartbeat.ID == h.ID)
		m.retireCurrent(h.ID)
	}
	m.setCurrent(now, h, checked)
}

// retireCurrent records that the current server is replaced by one of an ID. Of two processes of one ID, the start tells
// which one is newer.
func (m *Machine) retireCurrent(next string) {
	if last := m.current.heartbeat; last.ID != next {
		m.markDeparted(last.ID, last.Started)
	}
}

func (m *Machine) setCurrent(now time.Time, h Heartbeat, checked bool) {
	m.current = &observedServer{heartbeat: h, lastHeartbeatAt: now, draining: h.Server.State() == member.ServerDraining, checked: checked}
	m.candidate, m.trustFirst = nil, false
}

// RecordFound records a server that has sent no heartbeat yet but has stated its ID in a successful health check. A node
// that starts while its server is running learns of it earlier than by the next heartbeat. It reports false if a heartbeat
// or a departure notice says more.
func (m *Machine) RecordFound(now time.Time, h Heartbeat) bool {
	if _, departed := m.departed[h.ID]; departed || m.current != nil {
		return false
	}
	m.setCurrent(now, h, true)
	m.current.found = true
	return true
}

// RecordLeave records that a server has announced its departure, and reports whether it is the current one, which counts
// as draining from then on. unixMilli is the wall-clock time of the announcement. It may come from a process that has sent
// no heartbeat yet, so only a process of the same ID that started later counts as a new one.
func (m *Machine) RecordLeave(id string, unixMilli int64) bool {
	m.markDeparted(id, max(unixMilli, m.latestTime))
	if m.candidate != nil && m.candidate.heartbeat.ID == id {
		m.candidate = nil
	}
	if m.current == nil || m.current.heartbeat.ID != id {
		return false
	}
	m.markDeparted(id, m.current.heartbeat.Started)
	m.current.left, m.current.reportsSince = true, time.Time{}
	return true
}

// RecordLeaving records that a process of a server has stated in a response that it is about to leave, and reports whether
// that makes the current server draining. Heartbeats of that process do not change it back. A server found by a health check
// may be any process of its ID.
func (m *Machine) RecordLeaving(id string, started int64) bool {
	c := m.current
	if c == nil || c.state() == member.ServerDraining || c.heartbeat.ID != id || !c.found && c.heartbeat.Started != started {
		return false
	}
	c.draining = true
	return true
}

// RecordEnded records that a process of a server accepts no connections, and reports whether that changes the current
// server, which has the state member.ServerNone until its next heartbeat.
func (m *Machine) RecordEnded(id string, started int64) bool {
	if m.current == nil || m.current.expired || m.current.heartbeat.ID != id || m.current.heartbeat.Started != started {
		return false
	}
	m.current.expired = true
	return true
}

// markDeparted records that the processes of an ID that started up to a time have departed.
func (m *Machine) markDeparted(id string, started int64) {
	if _, known := m.departed[id]; !known && len(m.departed) >= maxDeparted {
		oldest := id
		for other, at := range m.departed {
			if oldest == id || at < m.departed[oldest] {
				oldest = other
			}
		}
		delete(m.departed, oldest)
	}
	m.departed[id] = max(started, m.departed[id])
}

// Check is a health check that decides about a server.
type Check struct {
	server    *observedServer
	heartbeat Heartbeat
}

// Heartbeat returns the heartbeat of the server to check.
func (c Check) Heartbeat() Heartbeat { return c.heartbeat }

// PendingCheck returns the check that the candidate or the current server has to pass before it receives calls, and false
// if there is none.
func (m *Machine) PendingCheck() (Check, bool) {
	if c := m.candidate; c != nil && c.reportsAgain && !c.draining {
		return Check{server: c, heartbeat: c.heartbeat}, true
	}
	if c := m.current; c != nil && !c.checked && !c.draining && !c.left && !c.expired {
		return Check{server: c, heartbeat: c.heartbeat}, true
	}
	return Check{}, false
}

// RecordCheck records the result of a health check. It has no effect if the server has been replaced or has announced its
// departure since. An unhealthy result leaves the check of the current server pending, and that of a candidate until its
// next heartbeat.
func (m *Machine) RecordCheck(c Check, healthy bool) {
	switch {
	case c.server == nil:
	case c.server == m.current:
		m.current.checked = m.current.checked || healthy
	case c.server == m.candidate:
		m.candidate = nil
		if healthy && !c.server.draining && !m.inUse() {
			m.promote(c.server)
		}
	}
}

// promote makes a candidate the current server. The health check shows the ID only, so heartbeats of a later process of the
// same ID must still count as newer.
func (m *Machine) promote(s *observedServer) {
	if m.current != nil {
		m.retireCurrent(s.heartbeat.ID)
	}
	s.checked = true
	m.current, m.trustFirst = s, false
}

// Tick marks the server as expired if its last heartbeat is too old.
func (m *Machine) Tick(now time.Time) {
	m.latestTime = max(m.latestTime, now.UnixMilli())
	if m.current == nil {
		return
	}
	timeout := m.heartbeatTimeout
	if m.current.found {
		timeout /= foundTimeoutDivisor
	}
	if now.Sub(m.current.lastHeartbeatAt) >= timeout {
		m.current.expired = true
	}
}

// Current returns the last accepted heartbeat with the state that the node assigns to the server, and false if there is
// none.
func (m *Machine) Current() (Heartbeat, bool) {
	if m.current == nil {
		return Heartbeat{}, false
	}
	h := m.current.heartbeat
	h.Server = h.Server.WithState(m.current.state())
	return h, true
}

func (s *observedServer) state() member.ServerState {
	switch {
	case s.draining, s.left:
		return member.ServerDraining
	case s.expired, !s.checked:
		return member.ServerNone
	}
	return member.ServerReady
}
