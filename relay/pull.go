package relay

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// puller is the state of a node that asks others for what it lacks. One pull is under way at a time.
type puller struct {
	pending     bool
	nonce       uint64
	peer        netip.AddrPort
	sentAt      time.Time
	nextPullAt  time.Time
	sentCount   int
	timeouts    int            // pulls without an answer in a row
	aheadPeer   netip.AddrPort // a peer known to hold more, or zero
	aheadSince  time.Time      // since when
	avoidedPeer netip.AddrPort // the peer that did not answer, or was busy, last
}

// maxPullBackoffShift bounds how often the time to wait for an answer is doubled.
const maxPullBackoffShift = 3

// pullTimeout returns the time to wait for an answer. A node that holds nothing expects a whole state,
// which may take long; for others, loss is the likelier cause.
func (m *Machine) pullTimeout() time.Duration {
	if m.replica.state.Head() > 0 {
		return m.settings.PullTimeout
	}
	return m.settings.PullTimeout << min(m.puller.timeouts, maxPullBackoffShift)
}

// setAhead notes that a peer is ahead.
func (p *puller) setAhead(now time.Time, peer netip.AddrPort, _ message.Digest) {
	if !p.aheadPeer.IsValid() {
		p.aheadSince = now
	}
	p.aheadPeer = peer
}

func (p *puller) clearAhead() { p.aheadPeer = netip.AddrPort{} }

// pull asks a peer when this node is behind, is joining, or hears no log reader.
func (m *Machine) pull(now time.Time) {
	p := &m.puller
	if p.pending && now.Sub(p.sentAt) > m.pullTimeout() {
		p.pending = false
		p.timeouts++
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
	p.sentCount++
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

// choosePullPeer chooses whom to ask: the peer known to be ahead, and otherwise a member of the own region
// by chance, now and then of any region. A node that joins spreads its pulls, for it needs several
// peers' offers while the log is down.
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

// pullsBeforeReading tells whether a node that holds nothing should still ask its peers before it reads the
// log: the entries that it lacks are cheaper there.
func (m *Machine) pullsBeforeReading(now time.Time) bool {
	if m.join.joined || m.replica.state.Head() > 0 || len(m.topology.view.Members()) < 2 {
		return false
	}
	return m.puller.sentCount < pullsBeforeRead && now.Sub(m.startedAt) < m.settings.SilenceTimeout
}

// pullsBeforeRead is the number of peers that a joining node asks before it reads the log by itself.
const pullsBeforeRead = 3

func (m *Machine) receivePullReply(now time.Time, from member.Key, a message.PullReply) {
	p := &m.puller
	if !p.pending || a.Nonce() != p.nonce || from.Peer() != p.peer {
		m.applyReply(now, from.Peer(), a) // late, but as good as ever but for its statement
		return
	}
	p.pending, p.timeouts = false, 0
	p.clearAhead()
	m.observeReply(now, from, a)
	advanced := m.applyReply(now, from.Peer(), a)
	m.markCensusChanged(now)
	if a.Busy() {
		p.avoidedPeer = from.Peer()
		p.nextPullAt = now.Add(m.jitter(m.settings.PullInterval))
		return
	}
	if !advanced && m.join.joined {
		p.avoidedPeer = from.Peer() // it passed on what another one said, and holds no more itself
	}
	if advanced && p.aheadPeer.IsValid() && !m.needsNewerSchema() {
		m.sendPull(now, p.aheadPeer)
	}
}

// applyReply folds what an answer carries and tells whether it carried anything new.
func (m *Machine) applyReply(now time.Time, from netip.AddrPort, a message.PullReply) bool {
	if a.Checkpoint() != nil {
		m.installState(a.Checkpoint())
	}
	return m.receiveEntries(now, from, a.Entries()) || a.Checkpoint() != nil
}

// observeReply takes what an answer says about the log. Its statement is no older than the pull plus the
// age stated, however long the answer waited on its way.
func (m *Machine) observeReply(now time.Time, from member.Key, a message.PullReply) {
	s := a.Entries().LogStatus()
	sent := m.puller.sentAt
	m.logHealth.update(now, sent, s)
	if s.Known() {
		m.join.setLogEnd(sent.Add(-s.Age()), s.Next())
	}
	if s.Reachable() && now.Sub(sent)+s.Age() < m.settings.MaxLogStatusAge && m.suppressesReading(from.Peer()) {
		m.logHealth.lastHeartbeatAt = laterOf(m.logHealth.lastHeartbeatAt, sent.Add(-s.Age()))
	}
	m.join.addReferrals(a.Peers())
	if a.Serving() {
		m.join.addServingPeer(from.Peer(), servingPeer{digest: a.Entries().Digest(), receivedAt: now})
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// installState takes over a whole state that is ahead of what this node holds.
func (m *Machine) installState(data []byte) {
	taken, err := m.replica.restore(data)
	if err != nil {
		m.counts.InvalidStates++
	}
	if taken {
		m.counts.StatesInstalled++
	}
}

// transferLimiter bounds the whole states sent.
type transferLimiter struct {
	tokens     float64
	refilledAt time.Time
}

func newTransferLimiter(settings Settings) transferLimiter {
	return transferLimiter{tokens: settings.TransferBurst}
}

// allow spends the right to send one whole state.
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
	a := m.pullReply(now, p)
	if !m.join.joined {
		a = a.WithPeers(m.join.referrals(m.rnd))
	}
	m.send(from.Peer(), a)
}

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
