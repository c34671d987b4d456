package feed

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// startRound sends a version notice to the first members of each failure domain, which forward it within the domain. If
// the document changed, the first member of each domain receives it with the notice.
func (m *Machine) startRound(changed bool) {
	m.roundNumber++
	notice := message.NewVersionNotice(message.NewRound(m.ordering().position, m.roundNumber), m.Version(), m.now.Sub(m.confirmedAt))
	for _, domain := range m.ordering().domains {
		members := domain.without(m.ordering().position)
		for i, root := range members[:min(rootsPerDomain, len(members))] {
			m.sendNotice(root.peer, notice, changed && i == 0)
		}
	}
}

// sendNotice sends a version notice, together with the document if withDocument is set and the node holds the version.
func (m *Machine) sendNotice(to netip.AddrPort, notice message.VersionNotice, withDocument bool) {
	if withDocument && m.table != nil && notice.Version() == m.Version() {
		m.send(to, message.NewDocument(notice, m.compressedDocument()))
		return
	}
	m.send(to, notice)
}

// receiveNotice records a version notice and forwards it if it belongs to a round.
func (m *Machine) receiveNotice(from netip.AddrPort, n message.VersionNotice) {
	m.applyNotice(n)
	m.observeVersion(from, n.Version())
	m.forward(n, false)
}

// receiveDocument applies a document and forwards it if it belongs to a round. A newer document that answers a request is
// announced to the failure domain, as the tree has probably missed the other members too.
func (m *Machine) receiveDocument(from netip.AddrPort, d message.Document) {
	changed := false
	if d.Notice().Version() > m.Version() { // a starting node receives the same document several times; decode it once
		data, err := codec.Decompress(d.Data())
		if err != nil {
			m.reject(err)
			return
		}
		changed = m.apply(data, d.Data(), from)
	}
	m.applyNotice(d.Notice())
	m.observeVersion(from, d.Notice().Version())
	if d.Notice().Round() == (message.Round{}) {
		if changed {
			m.announceToDomain()
		}
		return
	}
	m.forward(d.Notice(), true)
}

// applyNotice records when the store held no newer version, and whether a reader with precedence is active.
func (m *Machine) applyNotice(n message.VersionNotice) {
	if n.Age() >= 0 {
		m.confirm(n.Version(), m.now.Add(-n.Age()))
	}
	if position := n.Round().ReaderHash(); position != 0 {
		m.lastRoundReader = position
	}
	if position := n.Round().ReaderHash(); position != 0 && m.hasPrecedence(position) {
		m.preferredReaderSeenAt = m.now
		m.reader.isSubstitute = false
	}
}

// hasPrecedence reports whether the reader at a position has precedence over the node. Readers in the store's region
// precede others, and within a region lower positions precede higher ones. A node that has not measured the latency of
// the store compares positions only.
func (m *Machine) hasPrecedence(position uint64) bool {
	if m.reader.latencyKnown && !m.ordering().inOwnRegion(position) {
		return !m.reader.nearStore()
	}
	return position < m.ordering().position
}

// forward sends a round once to the node's children in the tree of its failure domain.
func (m *Machine) forward(n message.VersionNotice, withDocument bool) {
	round := n.Round()
	if round == (message.Round{}) || m.latestRounds[round.ReaderHash()] >= round.Number() {
		return
	}
	if len(m.latestRounds) >= maxTrackedReaders {
		clear(m.latestRounds)
	}
	m.latestRounds[round.ReaderHash()] = round.Number()
	forwarded := message.NewVersionNotice(round, n.Version(), n.Age())
	for _, child := range m.ordering().children(round.ReaderHash()) {
		m.sendNotice(child.peer, forwarded, withDocument)
	}
}

func (m *Machine) announceToDomain() {
	notice := message.NewVersionNotice(message.Round{}, m.Version(), -1)
	for _, other := range m.ordering().ownDomain().without(m.ordering().position) {
		m.send(other.peer, notice)
	}
}

// observeVersion schedules a request for the version that another node holds, if it is newer than any known one.
func (m *Machine) observeVersion(from netip.AddrPort, version record.Version) {
	if version <= m.Version() || version < m.pending.version {
		return
	}
	if version == m.pending.version {
		m.addHolder(from)
		return
	}
	sendAt := m.now.Add(m.settings.RequestDelay)
	if m.table == nil {
		sendAt = m.now.Add(m.fetchDelay(from)) // the tree does not reach a node that has just started
	}
	if m.pending.version > m.Version() && m.pending.nextSendAt.Before(sendAt) {
		sendAt = m.pending.nextSendAt // the delay already runs for an older version
	}
	m.pending = pendingRequest{version: version, holder: from, holders: []netip.AddrPort{from}, nextSendAt: sendAt, knownAt: m.now}
}

// addHolder records a further holder of the pending version. A starting node that waits asks it at once if it is near.
func (m *Machine) addHolder(holder netip.AddrPort) {
	p := &m.pending
	if len(p.holders) >= maxHolders || slices.Contains(p.holders, holder) {
		return
	}
	p.holders = append(p.holders, holder)
	if m.table == nil && m.fetchDelay(holder) == 0 && m.fetchDelay(p.holder) > 0 {
		p.holder, p.nextSendAt = holder, m.now
	}
}

// fetchDelay returns how long a starting node waits before it requests the document from a holder. While all nodes restart,
// only some of them fetch it from another region; the others get it from these.
func (m *Machine) fetchDelay(holder netip.AddrPort) time.Duration {
	if m.reader.nearStore() || m.ordering().inOwnRegion(positionOf(holder)) || m.startFraction*float64(m.estimatedFleetSize()) < earlyFetchers {
		return 0
	}
	return crossRegionFetchDelay
}

// nextHolder returns the node to ask after the current one: another holder of the pending version, if one is known.
func (m *Machine) nextHolder() netip.AddrPort {
	if holders := m.pending.holders; len(holders) > 1 {
		return holders[m.rnd.IntN(len(holders))]
	}
	return m.randomPeer()
}

// announceAtStart announces the first document to the nodes that are known so far, if the node is one of the first to hold
// it while all nodes restart. It answers the load of a fleet without routes: nodes on slow links, which would take long to
// read the store, fetch the document from one with a fast link as soon as there is one.
func (m *Machine) announceAtStart() {
	if m.startAnnounced == nil {
		return
	}
	if m.now.Sub(m.startedAt) >= maxWaitForPeers {
		m.startAnnounced = nil
		return
	}
	notice := message.NewVersionNotice(message.Round{}, m.Version(), -1)
	for _, peer := range m.startPeers() {
		if m.startAnnounced[peer] < startAnnouncements {
			m.startAnnounced[peer]++
			m.send(peer, notice)
		}
	}
}

// startPeers returns the other nodes that are known by the view or by an address in the store, in random order, so that they
// turn to different holders that announce at the same time.
func (m *Machine) startPeers() []netip.AddrPort {
	peers := slices.Clone(m.announced)
	for _, other := range m.ordering().others {
		if !slices.Contains(m.announced, other.peer) {
			peers = append(peers, other.peer)
		}
	}
	m.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// requestIfDue requests a newer version that the node knows of, or any version while it holds none. The first request
// goes to the node that announced the version and the following ones to random peers.
func (m *Machine) requestIfDue() {
	if m.pending.version <= m.Version() && m.table != nil || m.now.Before(m.pending.nextSendAt) {
		return
	}
	to := m.pending.holder
	if !to.IsValid() {
		to = m.randomPeer()
	}
	m.pending.nextSendAt = m.now.Add(m.settings.RequestRetryInterval)
	if m.table == nil {
		m.pending.nextSendAt = m.now.Add(firstRequestRetryInterval)
	}
	m.pending.holder = m.nextHolder()
	if !to.IsValid() {
		return
	}
	m.counts.Requests++
	m.send(to, message.NewDocumentRequest(m.Version()))
}

// randomPeer returns a random node to request a document from: a member of the node's failure domain, or of the fleet if the
// domain has no other. A node without a document asks members of its region, as its failure domain may have started with it.
func (m *Machine) randomPeer() netip.AddrPort {
	if m.table == nil && m.startsEarly(earlyRequesters) {
		return m.randomStartPeer()
	}
	others := m.ordering().ownDomain().without(m.ordering().position)
	if m.table == nil {
		others = m.ordering().ownRegion()
	}
	if len(others) == 0 {
		others = m.ordering().others
	}
	if len(others) == 0 {
		return netip.AddrPort{}
	}
	return others[m.rnd.IntN(len(others))].peer
}

// randomStartPeer returns a random node of the fleet. While the node knows few members, it draws from the addresses in the
// store.
func (m *Machine) randomStartPeer() netip.AddrPort {
	others := m.ordering().others
	if len(others) == 0 || len(others) < len(m.announced)/2 {
		return m.announced[m.rnd.IntN(len(m.announced))]
	}
	return others[m.rnd.IntN(len(others))].peer
}

// receiveRequest answers a request with a newer document. A node that holds none yet answers once it does.
func (m *Machine) receiveRequest(from netip.AddrPort, r message.DocumentRequest) {
	if m.table == nil && len(m.parkedRequests) < maxParkedRequests && !slices.Contains(m.parkedRequests, from) {
		m.parkedRequests = append(m.parkedRequests, from)
	}
	if m.table == nil || m.Version() <= r.HeldVersion() {
		return
	}
	m.answerRequest(from)
}

// answerParked answers the requests that arrived before the node held a document.
func (m *Machine) answerParked() {
	parked := m.parkedRequests
	m.parkedRequests = nil
	for _, to := range parked {
		if to != m.source {
			m.answerRequest(to)
		}
	}
}

func (m *Machine) answerRequest(to netip.AddrPort) {
	document := m.compressedDocument()
	if !m.answers.take(len(document)) {
		return
	}
	if m.startAnnounced != nil {
		m.startAnnounced[to] = startAnnouncements
	}
	age := m.now.Sub(m.confirmedAt)
	if m.confirmedAt.IsZero() {
		age = -1
	}
	m.send(to, message.NewDocument(message.NewVersionNotice(message.Round{}, m.Version(), age), document))
}
