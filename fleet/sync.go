package fleet

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Limits of view comparisons, the anti-entropy of the membership.
const (
	// minSyncInterval is the least time between two view comparisons that a node starts.
	minSyncInterval = 2 * time.Second
	// maxReferrals bounds the members named to a joining node that does not get a full answer.
	maxReferrals = 8
	// unsettledFactor times SyncSettleTime is how long a view that keeps changing may differ from all others
	// before a comparison starts.
	unsettledFactor = 2
)

// syncState limits the rate of view comparisons and holds the progress of joining.
type syncState struct {
	joined          bool
	joinedAt        time.Time
	nextSyncAt      time.Time        // earliest start of the next comparison or attempt to join
	lastAgreementAt time.Time        // when another node last had the same view
	tokens          float64          // datagrams that answers may still use
	joinAttempts    int              // attempts to join through hints and stream peers
	streamPeers     []netip.AddrPort // addresses from the rendezvous stream
}

func (s *syncState) refill(gap time.Duration, rate int) {
	s.tokens = min(s.tokens+gap.Seconds()*float64(rate), float64(rate))
}

// join asks a node for its view until the node has joined.
func (m *Machine) join() {
	if m.sync.joined || m.now.Before(m.sync.nextSyncAt) {
		return
	}
	m.sync.nextSyncAt = m.now.Add(m.settings.JoinRetryInterval + m.jitter(m.settings.JoinRetryInterval))
	if to, ok := m.joinTarget(); ok {
		m.requestSync(to, message.SyncJoin)
	}
}

// joinTarget prefers known members of the region, then hints and addresses from the rendezvous stream in turn,
// then any member.
func (m *Machine) joinTarget() (netip.AddrPort, bool) {
	if picked := m.pickRandom(1, m.regionMembers()); len(picked) > 0 {
		return picked[0].peer(), true
	}
	candidates := append(append([]netip.AddrPort(nil), m.settings.Hints...), m.sync.streamPeers...)
	if len(candidates) > 0 {
		m.sync.joinAttempts++
		to := candidates[m.sync.joinAttempts%len(candidates)]
		return to, to != m.self.peer()
	}
	if picked := m.pickRandom(1, m.liveMembers()); len(picked) > 0 {
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

// compareViews processes the summary of a ping or an ack, and starts a view comparison if the sender is unknown or
// its view differs. With a known sender, only the side that sent the ping starts one, and only when its own view
// is settled or has differed from all others for a long time.
func (m *Machine) compareViews(from member.Key, s message.Summary, mayStart bool) {
	m.mergeContacts(from, s.Contacts())
	e := m.table.byPeer[from.Peer()]
	unknown := e == nil || from.Incarnation() > e.claim.Key().Incarnation()
	if s.ViewHash() == m.table.viewHash && !unknown {
		m.sync.lastAgreementAt = m.now
		return
	}
	if m.hasLeft || m.now.Before(m.sync.nextSyncAt) || !(unknown || mayStart && m.differencePersists()) {
		return
	}
	m.sync.nextSyncAt = m.now.Add(minSyncInterval)
	m.requestSync(from.Peer(), message.SyncCompare)
}

// differencePersists reports whether a difference of views has lasted long enough to be attributed to lost
// messages.
func (m *Machine) differencePersists() bool {
	settleTime := m.settings.SyncSettleTime
	return m.now.Sub(m.table.lastChangeAt) >= settleTime || m.now.Sub(m.sync.lastAgreementAt) >= unsettledFactor*settleTime
}

func (m *Machine) receiveSync(from member.Key, s message.SyncReq) {
	if s.Mode() == message.SyncReply && !m.sync.joined {
		m.sync.joined, m.sync.joinedAt = true, m.now
	}
	if s.Mode() == message.SyncJoin && m.referToOwnRegion(from) {
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

// referToOwnRegion refers a joining node of another region to members of that region, so that full views are not
// sent between regions. It reports whether it did so.
func (m *Machine) referToOwnRegion(from member.Key) bool {
	e := m.table.byPeer[from.Peer()]
	if e == nil || e.region() == m.region() || len(m.membersOf(e.region())) < 2 {
		return false
	}
	m.sendReferrals(from)
	return true
}

// sendReferrals sends a node claims about some members of its region.
func (m *Machine) sendReferrals(to member.Key) {
	region := m.region()
	if e := m.table.byPeer[to.Peer()]; e != nil {
		region = e.region()
	}
	p := packer{remaining: claimsMessageBytes}
	for _, e := range m.pickRandom(maxReferrals, m.membersOf(region)) {
		if e.peer() != to.Peer() {
			p.add(e.claim)
		}
	}
	p.add(m.self.claim)
	m.send(to.Peer(), message.NewClaims(p.claims))
}

// sendBuckets sends the claims of the buckets that differ, within the limit on datagrams. It reports whether all
// of them were sent.
func (m *Machine) sendBuckets(to member.Key, hashes [message.SyncBuckets]uint32) bool {
	p := packer{remaining: claimsMessageBytes}
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
		p = packer{remaining: claimsMessageBytes}
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

// worthSending excludes tombstones in the second half of their retention, so that nodes do not keep restoring them
// in each other.
func (m *Machine) worthSending(e *entry) bool {
	return e.live() || m.now.Sub(e.goneAt) < m.settings.TombstoneRetention/2
}
