package relay

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// puller is the state of anti-entropy: a node that is behind pulls missing entries from peers, one pull at a time.
type puller struct {
	pending             bool           // a pull has been sent and not answered
	nonce               uint64         // of the last pull
	peer                netip.AddrPort // receiver of the last pull
	sentAt              time.Time      // when the last pull was sent
	nextPullAt          time.Time      // earliest time of the next pull
	pullsSent           int            // pulls sent
	consecutiveTimeouts int            // consecutive pulls without a reply
	aheadPeer           netip.AddrPort // peer known to be ahead, or zero
	aheadSince          time.Time      // since when such a peer has been known
	avoidedPeer         netip.AddrPort // peer that last did not reply, was busy or had nothing new
}

// maxPullBackoffShift limits how often the pull timeout is doubled.
const maxPullBackoffShift = 3

// pullTimeout returns the time to wait for a pull reply. A node without entries expects a whole state, whose transfer
// may take long; for other nodes, a missing reply is more likely due to message loss.
func (m *Machine) pullTimeout() time.Duration {
	if m.replica.state.Head() > 0 {
		return m.settings.PullTimeout
	}
	return m.settings.PullTimeout << min(m.puller.consecutiveTimeouts, maxPullBackoffShift)
}

// setAhead records that a peer is ahead.
func (p *puller) setAhead(now time.Time, peer netip.AddrPort, _ message.Digest) {
	if !p.aheadPeer.IsValid() {
		p.aheadSince = now
	}
	p.aheadPeer = peer
}

func (p *puller) clearAhead() { p.aheadPeer = netip.AddrPort{} }

// pull sends a pull if this node is behind, is joining or receives no heartbeats.
func (m *Machine) pull(now time.Time) {
	p := &m.puller
	if p.pending && now.Sub(p.sentAt) > m.pullTimeout() {
		p.pending = false
		p.consecutiveTimeouts++
		p.avoidedPeer = p.peer
		p.nextPullAt = now.Add(m.jitter(m.settings.PullInterval / 4))
	}
	if p.pending || now.Before(p.nextPullAt) || !m.needsPull(now) {
		return
	}
	to := m.choosePullPeer()
	if !to.IsValid() {
		return
	}
	m.sendPull(now, to)
}

func (m *Machine) sendPull(now time.Time, to netip.AddrPort) {
	p := &m.puller
	p.pending, p.peer, p.sentAt = true, to, now
	p.nonce = m.rnd.Uint64()
	p.pullsSent++
	p.nextPullAt = now.Add(m.settings.PullInterval/2 + m.jitter(m.settings.PullInterval))
	m.send(to, message.NewPull(p.nonce, m.replica.digest()))
}

func (m *Machine) needsPull(now time.Time) bool {
	if !m.join.joined {
		return true
	}
	if m.puller.aheadPeer.IsValid() && !m.needsNewerSchema() && m.rules.PullsWhenBehind() && now.Sub(m.puller.aheadSince) >= m.settings.PullDelay {
		return true
	}
	return m.join.unconfirmed || !m.reader.active && now.Sub(m.logHealth.lastHeartbeatAt) > m.settings.SilenceTimeout-m.settings.PullInterval
}

// choosePullPeer chooses the receiver of the next pull: the peer known to be ahead, else a node that a joining node was
// referred to, else a random member, three times in four of the node's own region. A joining node spreads its pulls,
// because it needs the replies of several serving peers while the log is unreachable.
func (m *Machine) choosePullPeer() netip.AddrPort {
	p := &m.puller
	if p.aheadPeer.IsValid() && p.aheadPeer != p.avoidedPeer {
		return p.aheadPeer
	}
	if peer := m.join.nextReferral(); peer.IsValid() && peer != m.self.Key().Peer() {
		return peer
	}
	if len(m.topology.ring) > 0 && m.rnd.IntN(4) > 0 {
		return m.topology.ring[m.rnd.IntN(len(m.topology.ring))].peer
	}
	members := m.topology.view.Members()
	if len(members) == 0 {
		return netip.AddrPort{}
	}
	peer := members[m.rnd.IntN(len(members))].Key().Peer()
	if peer == m.self.Key().Peer() {
		return netip.AddrPort{}
	}
	return peer
}

// shouldPullFirst reports whether a node without entries should pull from its peers before it reads the log, because
// the missing entries are cheaper to get from peers.
func (m *Machine) shouldPullFirst(now time.Time) bool {
	if m.join.joined || m.replica.state.Head() > 0 || len(m.topology.view.Members()) < 2 {
		return false
	}
	return m.puller.pullsSent < initialPulls && now.Sub(m.startedAt) < m.settings.SilenceTimeout
}

// initialPulls is the number of pulls that a joining node sends before it reads the log itself.
const initialPulls = 3

func (m *Machine) receivePullReply(now time.Time, from member.Key, reply message.PullReply) {
	p := &m.puller
	if !p.pending || reply.Nonce() != p.nonce || from.Peer() != p.peer {
		m.applyReply(now, from.Peer(), reply) // a late reply: its entries are usable, its log status is not
		return
	}
	p.pending, p.consecutiveTimeouts = false, 0
	p.clearAhead()
	m.observeReply(now, from, reply)
	advanced := m.applyReply(now, from.Peer(), reply)
	m.markCensusChanged(now)
	if reply.Busy() {
		p.avoidedPeer = from.Peer()
		p.nextPullAt = now.Add(m.jitter(m.settings.PullInterval))
		return
	}
	if !advanced && m.join.joined {
		p.avoidedPeer = from.Peer() // the peer was believed to be ahead because of an indirect digest, but has no more entries
	}
	if advanced && p.aheadPeer.IsValid() && !m.needsNewerSchema() {
		m.sendPull(now, p.aheadPeer)
	}
}

// applyReply applies the state or entries of a pull reply. It reports whether the reply carried a state or entries that
// advanced the node's head.
func (m *Machine) applyReply(now time.Time, from netip.AddrPort, reply message.PullReply) bool {
	if reply.Checkpoint() != nil {
		m.installState(reply.Checkpoint())
	}
	return m.receiveEntries(now, from, reply.Entries()) || reply.Checkpoint() != nil
}

// observeReply takes over the log status and the serving peers of a pull reply. The status is no older than its stated
// age before the pull was sent, however long the reply was in transit.
func (m *Machine) observeReply(now time.Time, from member.Key, reply message.PullReply) {
	s := reply.Entries().LogStatus()
	sent := m.puller.sentAt
	m.logHealth.update(now, sent, s)
	if s.Known() {
		m.join.setLogEnd(sent.Add(-s.Age()), s.Next())
	}
	if s.Reachable() && now.Sub(sent)+s.Age() < m.settings.MaxLogStatusAge && m.suppressesReading(from.Peer()) {
		m.logHealth.lastHeartbeatAt = laterOf(m.logHealth.lastHeartbeatAt, sent.Add(-s.Age()))
	}
	m.join.addReferrals(reply.Peers())
	if reply.Serving() {
		m.join.addServingPeer(from.Peer(), servingPeer{digest: reply.Entries().Digest(), receivedAt: now})
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// installState replaces the node's state by a received one if that is ahead.
func (m *Machine) installState(data []byte) {
	taken, err := m.replica.restore(data)
	if err != nil {
		m.counts.InvalidStates++
	}
	if taken {
		m.counts.StatesInstalled++
	}
}

// transferLimiter is a token bucket that limits the rate of states sent to peers.
type transferLimiter struct {
	tokens     float64
	refilledAt time.Time
}

func newTransferLimiter(settings Settings) transferLimiter {
	return transferLimiter{tokens: settings.TransferBurst}
}

// allow takes a token for sending one state. It returns false if none is left.
func (s *transferLimiter) allow(now time.Time, settings Settings) bool {
	if !s.refilledAt.IsZero() {
		s.tokens = min(settings.TransferBurst, s.tokens+now.Sub(s.refilledAt).Seconds()*settings.TransferRate)
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (m *Machine) receivePull(now time.Time, from member.Key, p message.Pull) {
	m.observeDigest(now, from.Peer(), p.Digest())
	reply := m.pullReply(now, p)
	if !m.join.joined {
		reply = reply.WithPeers(m.join.referrals(m.rnd))
	}
	m.send(from.Peer(), reply)
}

// pullReply returns the reply to a pull: entries, a state if the window does not reach back to the head of the pulling
// node, or neither if the chains conflict or the rate limit is exceeded.
func (m *Machine) pullReply(now time.Time, p message.Pull) message.PullReply {
	own := m.replica.digest()
	head := p.Digest().Head()
	chain, known := m.replica.chainAt(head)
	nothing := message.NewEntries(own.Head(), own.Chain(), nil, own, m.logStatus(now))
	empty := message.NewPullReply(p.Nonce(), m.join.joined, nothing)
	if known && chain != p.Digest().Chain() {
		return empty
	}
	if !m.rules.SendsState(uint64(head), uint64(own.Head()), known) {
		items := m.replica.entriesFrom(head, m.settings.MaxReplyBytes)
		return message.NewPullReply(p.Nonce(), m.join.joined, message.NewEntries(head, chain, items, own, m.logStatus(now)))
	}
	if !m.transfers.allow(now, m.settings) {
		m.counts.TransfersThrottled++
		return empty.WithBusy()
	}
	data, err := m.replica.encode()
	if err != nil {
		m.counts.InvalidStates++
		return empty
	}
	return empty.WithCheckpoint(data)
}
