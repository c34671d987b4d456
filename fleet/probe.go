package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Limits of probing.
const (
	// maxRelays bounds the indirect probes that run on behalf of others.
	maxRelays = 64
	// isolationLimit is how long a node that hears nobody suspects itself rather than all others.
	isolationLimit = time.Minute
	// failuresTolerated is the number of failed probes in a row from which on a node doubts itself.
	failuresTolerated = 3
	// maxCaution bounds how many times longer a node that doubts itself waits for refutations.
	maxCaution = 8
)

// probe is the running probe, and the state of the round.
type probe struct {
	period   int64      // number of the period in which the last probe started
	key      member.Key // process probed, zero if none
	seq      uint32
	sent     time.Time
	indirect bool // others were asked to probe too
	failures int  // probes failed in a row
}

// relay is an indirect probe on behalf of another node.
type relay struct {
	seq       uint32
	requester member.Key
	request   uint32
	target    member.Key
	until     time.Time
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
		m.probeOthers()
		return
	}
	m.probeFailed()
	m.probe.period = period
	m.probeNext(period)
}

// probeNext probes the member that the round has in this period. The round of a region is one shuffled
// order of distances around the ring of its members, the same for all, so that with equal views and
// clocks each member is probed by exactly one other in each period, and by all in turn.
func (m *Machine) probeNext(period int64) {
	ring := m.regional()
	at := slices.Index(ring, m.self)
	if len(ring) < 2 || at < 0 {
		return
	}
	e := ring[(at+distance(period, len(ring)))%len(ring)]
	m.counts.Probes++
	m.probe.key, m.probe.sent, m.probe.indirect = e.claim.Key(), m.now, false
	m.probe.seq = m.ping(e)
}

// distance returns a distance from 1 to n-1 that takes each value once in n-1 periods.
func distance(period int64, n int) int {
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

// ping sends a probe and returns its number.
func (m *Machine) ping(e *entry) uint32 {
	m.seq++
	m.send(e.peer(), message.NewPing(m.seq, m.summary(), m.claimsFor(e)))
	return m.seq
}

// claimsFor returns the claims for a probe or an answer: what the receiver should refute, then updates.
func (m *Machine) claimsFor(to *entry) []member.Member {
	if to == nil {
		return m.updates(probeRoom, 1)
	}
	claims := m.disputed(to.claim.Key())
	updates := m.updates(probeRoom-len(claims)*disputedRoom, 1)
	for _, c := range updates {
		if c.Key() != to.claim.Key() {
			claims = append(claims, c)
		}
	}
	return claims
}

// disputedRoom is the room that one claim with its names takes at most, in bytes.
const disputedRoom = 280

// probeOthers asks others to probe when the direct probe is late.
func (m *Machine) probeOthers() {
	p := &m.probe
	if p.key == (member.Key{}) || p.indirect || m.now.Sub(p.sent) < m.settings.AckTimeout {
		return
	}
	p.indirect = true
	target := m.table.byPeer[p.key.Peer()]
	others := slices.DeleteFunc(slices.Clone(m.regional()), func(e *entry) bool { return e == target || e == m.self })
	for _, e := range m.pick(m.settings.IndirectProbes, others) {
		m.send(e.peer(), message.NewPingReq(p.seq, p.key))
	}
}

// probeFailed suspects the member whose probe got no answer.
func (m *Machine) probeFailed() {
	key, sent := m.probe.key, m.probe.sent
	m.probe.key = member.Key{}
	if key == (member.Key{}) {
		return
	}
	m.probe.failures++
	e := m.table.byPeer[key.Peer()]
	if e == nil || e.claim.Key() != key || e.claim.Health() != member.HealthAlive || m.isolated(sent) {
		return
	}
	m.counts.Suspicions++
	m.claimOf(e, member.HealthSuspect)
	m.send(e.peer(), message.NewClaims([]member.Member{e.claim}))
}

// isolated tells whether nobody at all was heard since a probe was sent, so that the fault is probably on
// this side. With one other member in the region, nobody else could have been heard. After
// isolationLimit all others have probably gone.
func (m *Machine) isolated(since time.Time) bool {
	if len(m.regional()) <= 2 || !m.heard.Before(since) {
		return false
	}
	last := m.cross.awake
	if m.heard.After(last) {
		last = m.heard
	}
	return m.now.Sub(last) < isolationLimit
}

// suspectTimeout is longer for a node whose own probes keep failing.
func (m *Machine) suspectTimeout() time.Duration {
	caution := max(1, min(m.probe.failures-failuresTolerated+1, maxCaution))
	return time.Duration(caution) * m.settings.SuspectTimeout
}

func (m *Machine) receivePing(from member.Key, p message.Ping) {
	m.compare(from, p.Summary(), false)
	e := m.table.byPeer[from.Peer()]
	m.send(from.Peer(), message.NewAck(p.Seq(), m.summary(), m.claimsFor(e)))
}

func (m *Machine) receiveAck(from member.Key, a message.Ack) {
	m.compare(from, a.Summary(), true)
	if a.Seq() == m.probe.seq && from == m.probe.key {
		m.probeAnswered()
	}
	for _, r := range m.relays {
		if r.seq == a.Seq() && r.target == from {
			m.send(r.requester.Peer(), message.NewPingReqAck(r.request, r.target))
		}
	}
}

func (m *Machine) probeAnswered() {
	m.probe.key = member.Key{}
	m.probe.failures = 0
}

func (m *Machine) receivePingReq(from member.Key, p message.PingReq) {
	e := m.table.byPeer[p.Target().Peer()]
	if m.left || e == nil || p.Target() == m.self.claim.Key() {
		return
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now.After(r.until) })
	if len(m.relays) >= maxRelays {
		return
	}
	until := m.now.Add(m.settings.ProbePeriod)
	m.relays = append(m.relays, relay{seq: m.ping(e), requester: from, request: p.Seq(), target: p.Target(), until: until})
}

func (m *Machine) receivePingReqAck(p message.PingReqAck) {
	if p.Seq() == m.probe.seq && p.Target() == m.probe.key {
		m.probeAnswered()
	}
}
