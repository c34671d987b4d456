package fleet

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Periods of comparisons.
const (
	// syncGap is the least time between two comparisons that a node starts.
	syncGap = 2 * time.Second
	// referrals is the number of members named to a joining node that is not answered in full.
	referrals = 8
	// unsettledFactor times SyncSettle is how long differing views are left alone while claims come in.
	unsettledFactor = 2
)

// syncState paces comparisons of views.
type syncState struct {
	joined   bool
	joinedAt time.Time
	next     time.Time // earliest start of the next comparison
	agreed   time.Time // when another node last had the same view
	tokens   float64   // datagrams that may be sent in answers now
	hint     int       // hint to try next
	found    []netip.AddrPort
}

func (s *syncState) refill(gap time.Duration, rate int) {
	s.tokens = min(s.tokens+gap.Seconds()*float64(rate), float64(rate))
}

// join contacts a node while this node knows of no other view.
func (m *Machine) join() {
	if m.sync.joined || m.now.Before(m.sync.next) {
		return
	}
	m.sync.next = m.now.Add(m.settings.JoinRetryInterval + m.jitter(m.settings.JoinRetryInterval))
	if to, ok := m.joinTarget(); ok {
		m.requestSync(to, message.SyncJoin)
	}
}

// joinTarget prefers members of the region that are already known, then hints and addresses from the
// rendezvous stream in turn, then any member.
func (m *Machine) joinTarget() (netip.AddrPort, bool) {
	if picked := m.pick(1, m.regional()); len(picked) > 0 {
		return picked[0].peer(), true
	}
	candidates := append(append([]netip.AddrPort(nil), m.settings.Hints...), m.sync.found...)
	if len(candidates) > 0 {
		m.sync.hint++
		to := candidates[m.sync.hint%len(candidates)]
		return to, to != m.self.peer()
	}
	if picked := m.pick(1, m.liveMembers()); len(picked) > 0 {
		return picked[0].peer(), true
	}
	return netip.AddrPort{}, false
}

func (m *Machine) requestSync(to netip.AddrPort, mode message.SyncMode) {
	if mode != message.SyncReply {
		m.counts.Syncs++
	}
	m.send(to, message.NewSyncReq(mode, m.table.buckets, []member.Member{m.self.claim}))
}

// compare looks at the view of a peer that sent a probe or an answer. Only the side that probed starts
// a comparison, when its view is settled or has differed from all others for long.
func (m *Machine) compare(from member.Key, s message.Summary, mayStart bool) {
	m.mergeContacts(from, s.Contacts())
	e := m.table.byPeer[from.Peer()]
	unknown := e == nil || from.Incarnation() > e.claim.Key().Incarnation()
	if s.ViewHash() == m.table.hash && !unknown {
		m.sync.agreed = m.now
		return
	}
	if m.left || m.now.Before(m.sync.next) || !(unknown || mayStart && m.differs()) {
		return
	}
	m.sync.next = m.now.Add(syncGap)
	m.requestSync(from.Peer(), message.SyncCompare)
}

// differs tells whether a difference of views has lasted long enough to count as loss.
func (m *Machine) differs() bool {
	settle := m.settings.SyncSettleTime
	return m.now.Sub(m.table.changed) >= settle || m.now.Sub(m.sync.agreed) >= unsettledFactor*settle
}

func (m *Machine) receiveSync(from member.Key, s message.SyncReq) {
	if s.Mode() == message.SyncReply && !m.sync.joined {
		m.sync.joined, m.sync.joinedAt = true, m.now
	}
	if s.Mode() == message.SyncJoin && m.refer(from) {
		return
	}
	if !m.sendBuckets(from, s.Hashes()) {
		m.sendReferrals(from)
		return
	}
	if s.Mode() != message.SyncReply {
		m.requestSync(from.Peer(), message.SyncReply)
	}
}

// refer sends a joining node of another region to members of its own region, so that whole views do
// not cross between regions.
func (m *Machine) refer(from member.Key) bool {
	e := m.table.byPeer[from.Peer()]
	if e == nil || e.region() == m.region() || len(m.membersOf(e.region())) < 2 {
		return false
	}
	m.sendReferrals(from)
	return true
}

// sendReferrals names some members of the region of a node.
func (m *Machine) sendReferrals(to member.Key) {
	region := m.region()
	if e := m.table.byPeer[to.Peer()]; e != nil {
		region = e.region()
	}
	p := packer{room: claimsRoom}
	for _, e := range m.pick(referrals, m.membersOf(region)) {
		if e.peer() != to.Peer() {
			p.add(e.claim)
		}
	}
	p.add(m.self.claim)
	m.send(to.Peer(), message.NewClaims(p.claims))
}

// sendBuckets sends the claims of the buckets that differ, as far as the rate of datagrams allows. It
// returns false if it does not allow all.
func (m *Machine) sendBuckets(to member.Key, hashes [message.SyncBuckets]uint32) bool {
	p := packer{room: claimsRoom}
	for _, e := range m.table.entries {
		if hashes[e.bucket] == m.table.buckets[e.bucket] || e.peer() == to.Peer() || !m.worthSending(e) {
			continue
		}
		if p.add(e.claim) {
			continue
		}
		if !m.sendPacked(to, p) {
			return false
		}
		p = packer{room: claimsRoom}
		p.add(e.claim)
	}
	return len(p.claims) == 0 || m.sendPacked(to, p)
}

func (m *Machine) sendPacked(to member.Key, p packer) bool {
	if m.sync.tokens < 1 {
		return false
	}
	m.sync.tokens--
	m.send(to.Peer(), message.NewClaims(p.claims))
	return true
}

// worthSending leaves out claims about to be forgotten, so that nodes do not keep reminding each other
// of the dead.
func (m *Machine) worthSending(e *entry) bool {
	return e.live() || m.now.Sub(e.goneAt) < m.settings.TombstoneRetention/2
}
