package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// sweepPeriod is the time between two searches for claims to forget.
const sweepPeriod = time.Second

// maxNumber bounds incarnations and revisions, so that there is always a greater one to refute with.
const maxNumber = 1 << 62

// take merges claims that a peer sent.
func (m *Machine) take(from member.Key, claims []member.Member) {
	for _, c := range claims {
		m.merge(from, c)
	}
}

func (m *Machine) merge(from member.Key, c member.Member) {
	if max(uint64(c.Key().Incarnation()), c.Revision()) > maxNumber {
		m.counts.RefusedClaims++
		return
	}
	if c.Key().Peer() == m.self.peer() {
		m.mergeSelf(c)
		return
	}
	held := m.table.byPeer[c.Key().Peer()]
	if held != nil && !m.overrides(c, held.claim) {
		return
	}
	known := held != nil
	e := m.store(c)
	if e == nil {
		return
	}
	if !known && !e.live() {
		return // kept against older claims, but not passed on
	}
	m.enqueue(e)
	if e.region() == m.region() && m.regionOf(from) != otherRegion {
		m.crossEnqueue(e)
	}
}

// store puts a claim into the table and starts its timers. It returns nil if the table is full.
func (m *Machine) store(c member.Member) *entry {
	e := m.table.put(m.now, c)
	if e == nil {
		m.counts.RefusedClaims++
		return nil
	}
	m.suspects = slices.DeleteFunc(m.suspects, func(s *entry) bool { return s == e })
	switch {
	case c.Health() == member.HealthSuspect:
		e.suspectUntil = m.now.Add(m.suspectTimeout())
		m.suspects = append(m.suspects, e)
	case !e.live():
		e.goneAt = m.now
	}
	return e
}

// mergeSelf answers what others claim about this node: a newer process at the address means that this
// node's clock stands behind, so it takes a greater incarnation; doubts are refuted.
func (m *Machine) mergeSelf(c member.Member) {
	own := m.self.claim
	if m.left || !m.refutes(c) {
		return
	}
	inc := c.Key().Incarnation()
	if inc < own.Key().Incarnation() || (inc == own.Key().Incarnation() && !m.contradicts(c)) {
		return
	}
	if inc > own.Key().Incarnation() || c.Health() == member.HealthLeft {
		m.rename(inc + 1)
		return
	}
	m.counts.Refutations++
	m.table.put(m.now, own.WithRevision(max(c.Revision(), own.Revision())+1))
	m.enqueue(m.self)
	m.announce(m.self)
}

// contradicts tells whether a claim about this process differs from what the process itself says.
func (m *Machine) contradicts(c member.Member) bool {
	own := m.self.claim
	if c.Health() == member.HealthLeft || c.Revision() > own.Revision() {
		return true
	}
	return c.Revision() == own.Revision() && c.Health() != member.HealthAlive
}

// rename gives the node a greater incarnation.
func (m *Machine) rename(inc member.Incarnation) {
	own := m.self.claim
	key := member.NewKey(own.Key().Peer(), inc)
	m.table.put(m.now, member.New(key, own.Place(), own.NewestSchema()).WithServer(own.Server()))
	m.enqueue(m.self)
	m.announce(m.self)
}

// expire declares suspects dead whose time is over, and forgets old claims.
func (m *Machine) expire() {
	for _, e := range slices.Clone(m.suspects) {
		if e.region() == m.region() && !m.now.Before(e.suspectUntil) {
			m.counts.Deaths++
			m.claimOf(e, member.HealthDead)
		}
	}
	if m.now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = m.now.Add(sweepPeriod)
	var old []*entry
	for _, e := range m.table.entries {
		if !e.live() && e != m.self && m.now.Sub(e.goneAt) >= m.settings.TombstoneRetention {
			old = append(old, e)
		}
	}
	for _, e := range old {
		m.forget(e)
	}
}

func (m *Machine) forget(e *entry) {
	m.queue = slices.DeleteFunc(m.queue, func(q *entry) bool { return q == e })
	m.cross.queue = slices.DeleteFunc(m.cross.queue, func(q *entry) bool { return q == e })
	m.table.remove(e)
}

// claimOf changes the health of a member and spreads the claim.
func (m *Machine) claimOf(e *entry, h member.Health) {
	m.store(e.claim.WithHealth(h))
	m.enqueue(e)
	m.crossEnqueue(e)
	m.announce(e)
}

// gossip spreads claims when its round has come.
func (m *Machine) gossip() {
	if m.now.Before(m.nextRound) {
		return
	}
	m.nextRound = m.now.Add(m.settings.GossipPeriod)
	m.spread()
	m.crossSpread()
}

// disputed returns the claim held about a sender if the sender should know it and refute.
func (m *Machine) disputed(from member.Key) []member.Member {
	e := m.table.byPeer[from.Peer()]
	if e == nil || from.Incarnation() > e.claim.Key().Incarnation() || e.claim.Health() == member.HealthAlive {
		return nil
	}
	return []member.Member{e.claim}
}

// summary returns what probes and answers say about this node.
func (m *Machine) summary() message.Summary {
	return message.NewSummary(m.digest, m.table.hash, m.contacts())
}
