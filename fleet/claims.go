package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// sweepPeriod is the time between two removals of expired tombstones.
const sweepPeriod = time.Second

// maxVersionNumber bounds incarnations and revisions, so that a greater number for a refutation always exists.
const maxVersionNumber = 1 << 62

// mergeClaims merges claims received from a peer.
func (m *Machine) mergeClaims(from member.Key, claims []member.Member) {
	for _, c := range claims {
		m.mergeClaim(from, c)
	}
}

func (m *Machine) mergeClaim(from member.Key, c member.Member) {
	if max(uint64(c.Key().Incarnation()), c.Revision()) > maxVersionNumber {
		m.counts.RefusedClaims++
		return
	}
	if c.Key().Peer() == m.self.peer() {
		m.mergeOwnClaim(c)
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
		return // kept to override older claims, but not gossiped
	}
	m.enqueue(e)
	if e.region() == m.region() && m.regionOf(from) != otherRegion {
		m.enqueueCrossRegion(e)
	}
}

// store puts a claim into the table and sets its deadlines. It returns nil if the table is full.
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

// mergeOwnClaim handles a claim about this node. A newer incarnation at its address means that its clock is behind
// that of an earlier process. In this case, and if it is said to have left, it takes a greater incarnation. Other
// contradicting claims are refuted by a greater revision.
func (m *Machine) mergeOwnClaim(c member.Member) {
	own := m.self.claim
	if m.hasLeft || !m.shouldRefute(c) {
		return
	}
	inc := c.Key().Incarnation()
	if inc < own.Key().Incarnation() || (inc == own.Key().Incarnation() && !m.contradicts(c)) {
		return
	}
	if inc > own.Key().Incarnation() || c.Health() == member.HealthLeft {
		m.raiseIncarnation(inc + 1)
		return
	}
	m.counts.Refutations++
	m.table.put(m.now, own.WithRevision(max(c.Revision(), own.Revision())+1))
	m.enqueue(m.self)
	m.announce(m.self)
}

// contradicts reports whether a claim about this process differs from the process's own claim.
func (m *Machine) contradicts(c member.Member) bool {
	own := m.self.claim
	if c.Health() == member.HealthLeft || c.Revision() > own.Revision() {
		return true
	}
	return c.Revision() == own.Revision() && c.Health() != member.HealthAlive
}

// raiseIncarnation replaces the node's own claim by one with the given, greater incarnation.
func (m *Machine) raiseIncarnation(inc member.Incarnation) {
	own := m.self.claim
	key := member.NewKey(own.Key().Peer(), inc)
	m.table.put(m.now, member.New(key, own.Place(), own.NewestSchema()).WithServer(own.Server()))
	m.enqueue(m.self)
	m.announce(m.self)
}

// expire declares suspects of this region dead whose timeout has passed, and removes expired tombstones.
func (m *Machine) expire() {
	for _, e := range slices.Clone(m.suspects) {
		if e.region() == m.region() && !m.now.Before(e.suspectUntil) {
			m.counts.Deaths++
			m.changeHealth(e, member.HealthDead)
		}
	}
	if m.now.Before(m.nextSweepAt) {
		return
	}
	m.nextSweepAt = m.now.Add(sweepPeriod)
	var expired []*entry
	for _, e := range m.table.entries {
		if !e.live() && e != m.self && m.now.Sub(e.goneAt) >= m.settings.TombstoneRetention {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		m.removeEntry(e)
	}
}

func (m *Machine) removeEntry(e *entry) {
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(q *entry) bool { return q == e })
	m.crossRegion.queue = slices.DeleteFunc(m.crossRegion.queue, func(q *entry) bool { return q == e })
	m.table.remove(e)
}

// changeHealth sets the health of a member and gossips the claim.
func (m *Machine) changeHealth(e *entry, h member.Health) {
	m.store(e.claim.WithHealth(h))
	m.enqueue(e)
	m.enqueueCrossRegion(e)
	m.announce(e)
}

// gossipTick sends claims when the next gossip round is due.
func (m *Machine) gossipTick() {
	if m.now.Before(m.nextGossipAt) {
		return
	}
	m.nextGossipAt = m.now.Add(m.settings.GossipPeriod)
	m.sendGossip()
	m.sendCrossRegion()
}

// claimToRefute returns the claim held about the sender if the sender should refute it.
func (m *Machine) claimToRefute(from member.Key) []member.Member {
	e := m.table.byPeer[from.Peer()]
	if e == nil || from.Incarnation() > e.claim.Key().Incarnation() || e.claim.Health() == member.HealthAlive {
		return nil
	}
	return []member.Member{e.claim}
}

// summary returns what pings and acks report about this node.
func (m *Machine) summary() message.Summary {
	return message.NewSummary(m.digest, m.table.viewHash, m.regionContacts()).WithQuarantine(m.quarantineDigest).WithRollouts(m.rolloutDigest)
}
