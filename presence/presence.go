// Package presence decides what a node believes of the backend server beside it, from the heartbeats that the
// server sends. Heartbeats may arrive late, out of order and after the server that sent them has ended. It is a
// deterministic state machine.
package presence

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Heartbeat is one report of a backend server.
type Heartbeat struct {
	ID       string
	Started  int64 // when the server started, in Unix milliseconds on its clock
	Sequence int64 // rises with each report since the start
	Address  netip.AddrPort
	Server   member.Server
}

// Verdict says what became of a report.
type Verdict uint8

// Verdicts.
const (
	// VerdictTaken: the report is the newest of the server.
	VerdictTaken Verdict = iota + 1
	// VerdictLate: a newer report of the same start was taken before.
	VerdictLate
	// VerdictGone: the server has left, or another one has taken its place.
	VerdictGone
)

// String returns the word that logs use.
func (v Verdict) String() string {
	names := [...]string{"invalid", "taken", "late", "gone"}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// maxDeparted bounds the servers remembered as gone.
const maxDeparted = 256

// Machine is the belief about one backend server. It is not safe for concurrent use.
type Machine struct {
	lapse    time.Duration
	trusting bool // the first server needs no check
	current  *belief
	departed map[string]int64 // start of the last process that left, by ID
}

// belief is what is known of the server that reported last.
type belief struct {
	heartbeat Heartbeat
	seen      time.Time
	draining  bool // it has said so since its start
	checked   bool // it is known to take work
	lapsed    bool
}

// New returns the machine of a node that knows of no server. A server that is silent for lapse counts as gone until
// it reports again. A node that starts beside a running server, as after a crash of its own, must not be
// trusting: it may have been told before that the server leaves.
func New(lapse time.Duration, trusting bool) *Machine {
	return &Machine{lapse: lapse, trusting: trusting, departed: make(map[string]int64)}
}

// RecordHeartbeat takes a heartbeat.
func (m *Machine) RecordHeartbeat(now time.Time, h Heartbeat) Verdict {
	if started, ok := m.departed[h.ID]; ok && h.Started <= started {
		return VerdictGone
	}
	if m.current == nil {
		m.begin(now, h, m.trusting)
		return VerdictTaken
	}
	held := &m.current.heartbeat
	switch {
	case h.Started < held.Started, h.Started == held.Started && h.ID != held.ID && h.Started != 0:
		return VerdictGone
	case h.Started > held.Started, h.ID != held.ID:
		m.depart(held.ID, held.Started)
		m.begin(now, h, true)
		return VerdictTaken
	case h.Sequence <= held.Sequence:
		return VerdictLate
	}
	m.current.heartbeat, m.current.seen, m.current.lapsed = h, now, false
	m.current.draining = m.current.draining || h.Server.State() == member.ServerDraining
	return VerdictTaken
}

func (m *Machine) begin(now time.Time, h Heartbeat, checked bool) {
	m.current = &belief{heartbeat: h, seen: now, draining: h.Server.State() == member.ServerDraining, checked: checked}
	m.trusting = false
}

// RecordLeave takes the word of a server that it leaves, at the time of day unixMilli, by which a later process of the
// same ID is told apart if nothing is known of this one. It tells whether the server was the present one.
func (m *Machine) RecordLeave(id string, unixMilli int64) bool {
	if m.current != nil && m.current.heartbeat.ID == id {
		m.depart(id, m.current.heartbeat.Started)
		m.current.draining = true
		return true
	}
	if _, known := m.departed[id]; !known {
		m.depart(id, unixMilli)
	}
	return false
}

func (m *Machine) depart(id string, started int64) {
	if len(m.departed) >= maxDeparted {
		clear(m.departed)
	}
	m.departed[id] = max(started, m.departed[id])
}

// RecordCheck takes the answer to a check of the present server, and whether it takes work.
func (m *Machine) RecordCheck(id string, healthy bool) {
	if m.current != nil && m.current.heartbeat.ID == id && healthy {
		m.current.checked = true
	}
}

// PendingCheck returns the server that has to be checked before it gets work.
func (m *Machine) PendingCheck() (Heartbeat, bool) {
	if m.current == nil || m.current.checked || m.current.draining || m.current.lapsed {
		return Heartbeat{}, false
	}
	return m.current.heartbeat, true
}

// Tick notes silence.
func (m *Machine) Tick(now time.Time) {
	if m.current != nil && now.Sub(m.current.seen) >= m.lapse {
		m.current.lapsed = true
	}
}

// Current returns the server that reported last, in the state that the node believes in, and false if none has.
func (m *Machine) Current() (Heartbeat, bool) {
	if m.current == nil {
		return Heartbeat{}, false
	}
	h := m.current.heartbeat
	h.Server = h.Server.WithState(m.state())
	return h, true
}

func (m *Machine) state() member.ServerState {
	switch {
	case m.current.draining:
		return member.ServerDraining
	case m.current.lapsed, !m.current.checked:
		return member.ServerNone
	}
	return member.ServerReady
}
