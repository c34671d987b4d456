package proxy

import (
	"net/netip"
	"time"
)

const (
	// limitMemoryTime is how long a node remembers the limit of a server without a further response of it.
	limitMemoryTime = time.Minute
	// maxRememberedLimits bounds the servers whose limits are remembered.
	maxRememberedLimits = 4096
)

// limitMemory holds the limits of servers as their responses stated them, by the node beside the server. The node passes
// them on with its requests, because the one beside the server may have been restarted. It is not safe for concurrent
// use.
type limitMemory struct {
	byNode map[netip.AddrPort]rememberedLimit
}

type rememberedLimit struct {
	perSecond float64
	statedAt  time.Time
}

func newLimitMemory() *limitMemory {
	return &limitMemory{byNode: make(map[netip.AddrPort]rememberedLimit)}
}

// record stores what a response said about the limit of a server.
func (m *limitMemory) record(now time.Time, node netip.AddrPort, limited bool, perSecond float64) {
	if !limited {
		delete(m.byNode, node)
		return
	}
	if _, known := m.byNode[node]; !known && len(m.byNode) >= maxRememberedLimits {
		m.forgetExpired(now)
	}
	m.byNode[node] = rememberedLimit{perSecond: perSecond, statedAt: now}
}

func (m *limitMemory) forgetExpired(now time.Time) {
	for node, l := range m.byNode {
		if now.Sub(l.statedAt) >= limitMemoryTime {
			delete(m.byNode, node)
		}
	}
}

// recall returns the limit of the server beside a node, if it has one.
func (m *limitMemory) recall(now time.Time, node netip.AddrPort) (learnedLimit, bool) {
	l, ok := m.byNode[node]
	age := now.Sub(l.statedAt)
	if !ok || age >= limitMemoryTime {
		return learnedLimit{}, false
	}
	return learnedLimit{perSecond: l.perSecond, age: age}, true
}
