package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Limits of probing.
const (
	// maxIndirectProbes bounds the indirect probes that run at once for other nodes.
	maxIndirectProbes = 64
	// isolationLimit is how long a node that receives no messages attributes failed probes to its own connection
	// rather than to the members probed.
	isolationLimit = time.Minute
	// toleratedFailures is the number of consecutive failed probes up to which the suspect timeout stays
	// unchanged.
	toleratedFailures = 3
	// maxHealthMultiplier bounds the factor by which a node whose own probes fail extends the suspect timeout.
	maxHealthMultiplier = 8
)

// probe is the state of the node's direct probing.
type probe struct {
	period              int64      // number of the period in which the last probe started
	target              member.Key // process being probed, zero if none
	seq                 uint32
	sentAt              time.Time
	indirectSent        bool // other members were asked to probe the target
	consecutiveFailures int
}

// indirectProbe is a probe on behalf of another node.
type indirectProbe struct {
	seq        uint32
	requester  member.Key
	requestSeq uint32
	target     member.Key
	expiresAt  time.Time
}

// periodOf returns the number of the node's probe period at a time. Periods are numbered by the wall clock, with a
// phase that depends on the node.
func (m *Machine) periodOf(now time.Time) int64 {
	phase := int64(m.self.rank % uint64(m.settings.ProbePeriod))
	return (now.UnixNano() - phase) / int64(m.settings.ProbePeriod)
}

func (m *Machine) probeTick() {
	period := m.periodOf(m.now)
	if period == m.probe.period {
		m.sendIndirectProbes()
		return
	}
	m.failProbe()
	m.probe.period = period
	m.startProbe(period)
}

// startProbe probes the member that is scheduled for the period. All members of a region step through the same
// permutation of distances around the ring of members, so that with equal views and clocks each member is probed
// by exactly one other member in each period, and by every other member in turn.
func (m *Machine) startProbe(period int64) {
	ring := m.regionMembers()
	index := slices.Index(ring, m.self)
	if len(ring) < 2 || index < 0 {
		return
	}
	e := ring[(index+ringDistance(period, len(ring)))%len(ring)]
	m.counts.Probes++
	m.probe.target, m.probe.sentAt, m.probe.indirectSent = e.claim.Key(), m.now, false
	m.probe.seq = m.sendPing(e)
}

// ringDistance returns a distance from 1 to n-1, taking each value once in n-1 periods.
func ringDistance(period int64, n int) int {
	round := int64(n - 1)
	stride := round*5/8 | 1
	for gcd(stride, round) != 1 {
		stride += 2
	}
	return 1 + int((period%round)*stride%round)
}

func gcd(a, b int64) int64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// sendPing sends a ping and returns its sequence number.
func (m *Machine) sendPing(e *entry) uint32 {
	m.lastPingSeq++
	m.send(e.peer(), message.NewPing(m.lastPingSeq, m.summary(), m.claimsFor(e)))
	return m.lastPingSeq
}

// claimsFor returns the claims to attach to a ping or an ack: first a claim that the receiver should refute, then
// queued updates.
func (m *Machine) claimsFor(to *entry) []member.Member {
	if to == nil {
		return m.takeUpdates(probeClaimBytes, 1)
	}
	claims := m.claimToRefute(to.claim.Key())
	updates := m.takeUpdates(probeClaimBytes-len(claims)*maxClaimBytes, 1)
	for _, c := range updates {
		if c.Key() != to.claim.Key() {
			claims = append(claims, c)
		}
	}
	return claims
}

// maxClaimBytes bounds the encoded size of one claim with its names.
const maxClaimBytes = 280

// sendIndirectProbes asks other members to probe the target when the ack of the direct probe is late.
func (m *Machine) sendIndirectProbes() {
	p := &m.probe
	if p.target == (member.Key{}) || p.indirectSent || m.now.Sub(p.sentAt) < m.settings.AckTimeout {
		return
	}
	p.indirectSent = true
	target := m.table.byPeer[p.target.Peer()]
	others := slices.DeleteFunc(slices.Clone(m.regionMembers()), func(e *entry) bool { return e == target || e == m.self })
	for _, e := range m.pickRandom(m.settings.IndirectProbes, others) {
		m.send(e.peer(), message.NewPingReq(p.seq, p.target))
	}
}

// failProbe ends the running probe, if any, as unanswered, and suspects its target unless the node is isolated.
func (m *Machine) failProbe() {
	target, sentAt := m.probe.target, m.probe.sentAt
	m.probe.target = member.Key{}
	if target == (member.Key{}) {
		return
	}
	m.probe.consecutiveFailures++
	e := m.table.byPeer[target.Peer()]
	if e == nil || e.claim.Key() != target || e.claim.Health() != member.HealthAlive || m.isolated(sentAt) {
		return
	}
	m.counts.Suspicions++
	m.changeHealth(e, member.HealthSuspect)
	m.send(e.peer(), message.NewClaims([]member.Member{e.claim}))
}

// isolated reports whether no message was received since a probe was sent, in which case the fault is probably on
// this node's side. In a region with a single other member, messages from others cannot be expected. After
// isolationLimit, the other members have probably stopped.
func (m *Machine) isolated(since time.Time) bool {
	if len(m.regionMembers()) <= 2 || !m.lastReceiveAt.Before(since) {
		return false
	}
	last := m.crossRegion.awakeSince
	if m.lastReceiveAt.After(last) {
		last = m.lastReceiveAt
	}
	return m.now.Sub(last) < isolationLimit
}

// suspectTimeout returns SuspectTimeout, extended while the node's own probes keep failing.
func (m *Machine) suspectTimeout() time.Duration {
	multiplier := max(1, min(m.probe.consecutiveFailures-toleratedFailures+1, maxHealthMultiplier))
	return time.Duration(multiplier) * m.settings.SuspectTimeout
}

func (m *Machine) receivePing(from member.Key, p message.Ping) {
	m.compareViews(from, p.Summary(), false)
	e := m.table.byPeer[from.Peer()]
	m.send(from.Peer(), message.NewAck(p.Seq(), m.summary(), m.claimsFor(e)))
}

func (m *Machine) receiveAck(from member.Key, a message.Ack) {
	m.compareViews(from, a.Summary(), true)
	if a.Seq() == m.probe.seq && from == m.probe.target {
		m.completeProbe()
	}
	for _, p := range m.indirectProbes {
		if p.seq == a.Seq() && p.target == from {
			m.send(p.requester.Peer(), message.NewPingReqAck(p.requestSeq, p.target))
		}
	}
}

func (m *Machine) completeProbe() {
	m.probe.target = member.Key{}
	m.probe.consecutiveFailures = 0
}

func (m *Machine) receivePingReq(from member.Key, p message.PingReq) {
	e := m.table.byPeer[p.Target().Peer()]
	if m.hasLeft || e == nil || p.Target() == m.self.claim.Key() {
		return
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool { return m.now.After(r.expiresAt) })
	if len(m.indirectProbes) >= maxIndirectProbes {
		return
	}
	expiresAt := m.now.Add(m.settings.ProbePeriod)
	m.indirectProbes = append(m.indirectProbes, indirectProbe{seq: m.sendPing(e), requester: from, requestSeq: p.Seq(), target: p.Target(), expiresAt: expiresAt})
}

func (m *Machine) receivePingReqAck(p message.PingReqAck) {
	if p.Seq() == m.probe.seq && p.Target() == m.probe.target {
		m.completeProbe()
	}
}
