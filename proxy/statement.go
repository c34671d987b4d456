package proxy

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/admission"
)

const (
	// statementMemoryTime is how long a node remembers what a server stated without a further response of it.
	statementMemoryTime = time.Minute
	// maxStatements is the number of remembered statements from which expired ones are removed.
	maxStatements = 4096
)

// serverProcess identifies one process of a backend server. The zero value stands for none.
type serverProcess struct {
	id      string
	started int64 // in Unix milliseconds, 0 if not known
}

// statement is what a backend server states about itself in its responses, as nodes pass it on to each other.
type statement struct {
	limited   bool
	perSecond float64       // requests that the server accepts per second, if limited
	leaving   serverProcess // the process of the server, if it is about to leave
	age       time.Duration // since the response
}

// empty reports whether a server states nothing.
func (s statement) empty() bool { return !s.limited && s.leaving == serverProcess{} }

// rate returns the requests per second that the server accepts, for a limit that can't be zero, or 0 if the server states
// no limit.
func (s statement) rate() float64 {
	if !s.limited {
		return 0
	}
	return max(s.perSecond, admission.MinRate)
}

// statementMemory holds what servers stated last, by the node beside the server. A node passes it on with its requests,
// because the one beside the server may have been restarted. It is not safe for concurrent use.
type statementMemory struct {
	byNode map[netip.AddrPort]rememberedStatement
}

type rememberedStatement struct {
	statement statement
	statedAt  time.Time
}

func newStatementMemory() *statementMemory {
	return &statementMemory{byNode: make(map[netip.AddrPort]rememberedStatement)}
}

// record stores the statement of the server beside a node.
func (m *statementMemory) record(now time.Time, node netip.AddrPort, s statement) {
	if s.empty() {
		delete(m.byNode, node)
		return
	}
	if len(m.byNode) >= maxStatements {
		m.forgetExpired(now)
	}
	m.byNode[node] = rememberedStatement{statement: s, statedAt: now.Add(-s.age)}
}

func (m *statementMemory) forgetExpired(now time.Time) {
	for node, r := range m.byNode {
		if now.Sub(r.statedAt) >= statementMemoryTime {
			delete(m.byNode, node)
		}
	}
}

// recall returns the last statement of the server beside a node, which is empty if there is none.
func (m *statementMemory) recall(now time.Time, node netip.AddrPort) statement {
	r, ok := m.byNode[node]
	age := now.Sub(r.statedAt)
	if !ok || age >= statementMemoryTime {
		return statement{}
	}
	s := r.statement
	s.age = age
	return s
}
