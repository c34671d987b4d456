package relay

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// puller is the state of a node that asks others for what it lacks. One pull is under way at a time.
type puller struct {
	waiting   bool
	nonce     uint64
	to        netip.AddrPort
	sent      time.Time
	notBefore time.Time
	tries     int
	failures  int            // pulls without an answer in a row
	ahead     netip.AddrPort // a peer known to hold more, or zero
	aheadAt   time.Time      // since when
	avoid     netip.AddrPort // the peer that did not answer, or was busy, last
}

// maxPullBackoff bounds how often the time to wait for an answer is doubled.
const maxPullBackoff = 3

// pullTimeout returns the time to wait for an answer. A node that holds nothing expects a whole state,
// which may take long; for others, loss is the likelier cause.
func (m *Machine) pullTimeout() time.Duration {
	if m.holding.state.Head() > 0 {
		return m.settings.PullTimeout
	}
	return m.settings.PullTimeout << min(m.puller.failures, maxPullBackoff)
}

// see notes that a peer is ahead.
func (p *puller) see(now time.Time, peer netip.AddrPort, _ message.Digest) {
	if !p.ahead.IsValid() {
		p.aheadAt = now
	}
	p.ahead = peer
}

func (p *puller) caughtUp() { p.ahead = netip.AddrPort{} }

// pull asks a peer when this node is behind, is joining, or hears no log reader.
func (m *Machine) pull(now time.Time) {
	p := &m.puller
	if p.waiting && now.Sub(p.sent) > m.pullTimeout() {
		p.waiting = false
		p.failures++
		p.avoid = p.to
		p.notBefore = now.Add(m.jitter(m.settings.PullInterval / 4))
	}
	if p.waiting || now.Before(p.notBefore) || !m.wantsPull(now) {
		return
	}
	to := m.pullFrom()
	if !to.IsValid() {
		return
	}
	m.askPeer(now, to)
}

func (m *Machine) askPeer(now time.Time, to netip.AddrPort) {
	p := &m.puller
	p.waiting, p.to, p.sent = true, to, now
	p.nonce = m.rnd.Uint64()
	p.tries++
	p.notBefore = now.Add(m.settings.PullInterval/2 + m.jitter(m.settings.PullInterval))
	m.send(to, message.NewPull(p.nonce, m.holding.digest()))
}

func (m *Machine) wantsPull(now time.Time) bool {
	if !m.join.done {
		return true
	}
	if m.puller.ahead.IsValid() && !m.blocked() && m.rules.PullsWhenBehind() && now.Sub(m.puller.aheadAt) >= m.settings.PullDelay {
		return true
	}
	return m.join.unconfirmed || !m.log.active && now.Sub(m.known.heardAt) > m.settings.SilenceTimeout-m.settings.PullInterval
}

// pullFrom chooses whom to ask: the peer known to be ahead, and otherwise a member of the own region
// by chance, now and then of any region. A node that joins spreads its pulls, for it needs several
// peers' offers while the log is down.
func (m *Machine) pullFrom() netip.AddrPort {
	p := &m.puller
	if p.ahead.IsValid() && p.ahead != p.avoid {
		return p.ahead
	}
	if peer := m.join.nextToAsk(); peer.IsValid() && peer != m.self.Key().Peer() {
		return peer
	}
	if len(m.plan.ring) > 0 && m.rnd.IntN(4) > 0 {
		return m.plan.ring[m.rnd.IntN(len(m.plan.ring))].peer
	}
	members := m.plan.view.Members()
	if len(members) == 0 {
		return netip.AddrPort{}
	}
	peer := members[m.rnd.IntN(len(members))].Key().Peer()
	if peer == m.self.Key().Peer() {
		return netip.AddrPort{}
	}
	return peer
}

// pullsFirst tells whether a node that holds nothing should still ask its peers before it reads the
// log: the entries that it lacks are cheaper there.
func (m *Machine) pullsFirst(now time.Time) bool {
	if m.join.done || m.holding.state.Head() > 0 || len(m.plan.view.Members()) < 2 {
		return false
	}
	return m.puller.tries < pullTries && now.Sub(m.started) < m.settings.SilenceTimeout
}

// pullTries is the number of peers that a joining node asks before it reads the log by itself.
const pullTries = 3

func (m *Machine) receiveAnswer(now time.Time, from member.Key, a message.PullReply) {
	p := &m.puller
	if !p.waiting || a.Nonce() != p.nonce || from.Peer() != p.to {
		m.takeContent(now, from.Peer(), a) // late, but as good as ever but for its statement
		return
	}
	p.waiting, p.failures = false, 0
	p.caughtUp()
	m.hearAnswer(now, from, a)
	advanced := m.takeContent(now, from.Peer(), a)
	m.reportSoon(now)
	if a.Busy() {
		p.avoid = from.Peer()
		p.notBefore = now.Add(m.jitter(m.settings.PullInterval))
		return
	}
	if !advanced && m.join.done {
		p.avoid = from.Peer() // it passed on what another one said, and holds no more itself
	}
	if advanced && p.ahead.IsValid() && !m.blocked() {
		m.askPeer(now, p.ahead)
	}
}

// takeContent folds what an answer carries and tells whether it carried anything new.
func (m *Machine) takeContent(now time.Time, from netip.AddrPort, a message.PullReply) bool {
	if a.Checkpoint() != nil {
		m.takeWhole(a.Checkpoint())
	}
	return m.take(now, from, a.Entries()) || a.Checkpoint() != nil
}

// hearAnswer takes what an answer says about the log. Its statement is no older than the pull plus the
// age stated, however long the answer waited on its way.
func (m *Machine) hearAnswer(now time.Time, from member.Key, a message.PullReply) {
	s := a.Entries().LogStatus()
	sent := m.puller.sent
	m.known.learn(now, sent, s)
	if s.Known() {
		m.join.confirm(sent.Add(-s.Age()), s.Next())
	}
	if s.Reachable() && now.Sub(sent)+s.Age() < m.settings.MaxLogStatusAge && m.calms(from.Peer()) {
		m.known.heardAt = laterOf(m.known.heardAt, sent.Add(-s.Age()))
	}
	m.join.refer(a.Peers())
	if a.Serving() {
		m.join.offer(from.Peer(), offer{digest: a.Entries().Digest(), at: now})
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeWhole takes over a whole state that is ahead of what this node holds.
func (m *Machine) takeWhole(data []byte) {
	taken, err := m.holding.restore(data)
	if err != nil {
		m.counts.InvalidStates++
	}
	if taken {
		m.counts.StatesInstalled++
	}
}

// stateServer bounds the whole states sent.
type stateServer struct {
	tokens float64
	at     time.Time
}

func newStateServer(settings Settings) stateServer {
	return stateServer{tokens: settings.TransferBurst}
}

// allow spends the right to send one whole state.
func (s *stateServer) allow(now time.Time, settings Settings) bool {
	if !s.at.IsZero() {
		s.tokens = min(settings.TransferBurst, s.tokens+now.Sub(s.at).Seconds()*settings.TransferRate)
	}
	s.at = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (m *Machine) receivePull(now time.Time, from member.Key, p message.Pull) {
	m.observe(now, from.Peer(), p.Digest())
	a := m.answer(now, p)
	if !m.join.done {
		a = a.WithPeers(m.join.serving(m.rnd))
	}
	m.send(from.Peer(), a)
}

func (m *Machine) answer(now time.Time, p message.Pull) message.PullReply {
	own := m.holding.digest()
	head := p.Digest().Head()
	chain, known := m.holding.chainAt(head)
	nothing := message.NewEntries(own.Head(), own.Chain(), nil, own, m.statement(now))
	empty := message.NewPullReply(p.Nonce(), m.join.done, nothing)
	if known && chain != p.Digest().Chain() {
		return empty
	}
	if !m.rules.SendsState(uint64(head), uint64(own.Head()), known) {
		items := m.holding.since(head, m.settings.MaxReplyBytes)
		return message.NewPullReply(p.Nonce(), m.join.done, message.NewEntries(head, chain, items, own, m.statement(now)))
	}
	if !m.server.allow(now, m.settings) {
		m.counts.TransfersThrottled++
		return empty.WithBusy()
	}
	data, err := m.holding.whole()
	if err != nil {
		m.counts.InvalidStates++
		return empty
	}
	return empty.WithCheckpoint(data)
}
