package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Limits of probing.
const (
	// maxIndirectProbes bounds the indirect probes that run on behalf of others.
	maxIndirectProbes = 64
	// isolationLimit is how long a node that hears nobody suspects itself rather than all others.
	isolationLimit = time.Minute
	// toleratedFailures is the number of failed probes in a row from which on a node doubts itself.
	toleratedFailures = 3
	// maxHealthMultiplier bounds how many times longer a node that doubts itself waits for refutations.
	maxHealthMultiplier = 8
)

// probe is the running probe, and the state of the round.
type probe struct {
	period              int64      // number of the period in which the last probe started
	target              member.Key // process probed, zero if none
	seq                 uint32
	sentAt              time.Time
	indirectSent        bool // others were asked to probe too
	consecutiveFailures int  // probes failed in a row
}

// indirectProbe is an indirect probe on behalf of another node.
type indirectProbe struct {
	seq        uint32
	requester  member.Key
	requestSeq uint32
	target     member.Key
	expiresAt  time.Time
}

// periodOf returns the number of the node's period at a time. All nodes number periods by the clock
// and start theirs at a phase of their own.
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

// startProbe probes the member that the round has in this period. The round of a region is one shuffled
// order of distances around the ring of its members, the same for all, so that with equal views and
// clocks each member is probed by exactly one other in each period, and by all in turn.
func (m *Machine) startProbe(period int64) {
	ring := m.regionMembers()
	at := slices.Index(ring, m.self)
	if len(ring) < 2 || at < 0 {
		return
	}
	e := ring[(at+ringDistance(period, len(ring)))%len(ring)]
	m.counts.Probes++
	m.probe.target, m.probe.sentAt, m.probe.indirectSent = e.claim.Key(), m.now, false
	m.probe.seq = m.sendPing(e)
}

// ringDistance returns a ringDistance from 1 to n-1 that takes each value once in n-1 periods.
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

// sendPing sends a probe and returns its number.
func (m *Machine) sendPing(e *entry) uint32 {
	m.lastPingSeq++
	m.send(e.peer(), message.NewPing(m.lastPingSeq, m.summary(), m.claimsFor(e)))
	return m.lastPingSeq
}

// claimsFor returns the claims for a probe or an answer: what the receiver should refute, then updates.
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

// maxClaimBytes is the room that one claim with its names takes at most, in bytes.
const maxClaimBytes = 280

// sendIndirectProbes asks others to probe when the direct probe is late.
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

// failProbe suspects the member whose probe got no answer.
func (m *Machine) failProbe() {
	key, sent := m.probe.target, m.probe.sentAt
	m.probe.target = member.Key{}
	if key == (member.Key{}) {
		return
	}
	m.probe.consecutiveFailures++
	e := m.table.byPeer[key.Peer()]
	if e == nil || e.claim.Key() != key || e.claim.Health() != member.HealthAlive || m.isolated(sent) {
		return
	}
	m.counts.Suspicions++
	m.changeHealth(e, member.HealthSuspect)
	m.send(e.peer(), message.NewClaims([]member.Member{e.claim}))
}

// isolated tells whether nobody at all was heard since a probe was sent, so that the fault is probably on
// this side. With one other member in the region, nobody else could have been heard. After
// isolationLimit all others have probably gone.
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

// suspectTimeout is longer for a node whose own probes keep failing.
func (m *Machine) suspectTimeout() time.Duration {
	caution := max(1, min(m.probe.consecutiveFailures-toleratedFailures+1, maxHealthMultiplier))
	return time.Duration(caution) * m.settings.SuspectTimeout
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
	for _, r := range m.indirectProbes {
		if r.seq == a.Seq() && r.target == from {
			m.send(r.requester.Peer(), message.NewPingReqAck(r.requestSeq, r.target))
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
	until := m.now.Add(m.settings.ProbePeriod)
	m.indirectProbes = append(m.indirectProbes, indirectProbe{seq: m.sendPing(e), requester: from, requestSeq: p.Seq(), target: p.Target(), expiresAt: until})
}

func (m *Machine) receivePingReqAck(p message.PingReqAck) {
	if p.Seq() == m.probe.seq && p.Target() == m.probe.target {
		m.completeProbe()
	}
}
