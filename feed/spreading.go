package feed

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// announce begins a round: the first members of each failure domain are told, and pass it on.
func (m *Machine) announce(changed bool) {
	m.round++
	news := message.NewNews(message.NewOrigin(m.order.place, m.round), m.Version(), m.now.Sub(m.proven))
	for _, domain := range m.order.domains {
		members := domain.without(m.order.place)
		for i, e := range members[:min(roots, len(members))] {
			m.pass(e.peer, news, changed && i == 0)
		}
	}
}

// pass sends news, with the document if the receiver probably lacks it.
func (m *Machine) pass(to netip.AddrPort, news message.News, whole bool) {
	if whole && m.table != nil && news.Version() == m.Version() {
		m.send(to, message.NewDocument(news, m.packed))
		return
	}
	m.send(to, news)
}

// receiveNews takes news, and passes those of a round on once.
func (m *Machine) receiveNews(from netip.AddrPort, n message.News) {
	m.learn(n)
	m.hear(from, n.Version())
	m.relay(n, false)
}

// receiveDocument takes a document. One that came in answer to a request is told to the failure domain, which
// the tree has missed.
func (m *Machine) receiveDocument(from netip.AddrPort, d message.Document) {
	changed := false
	if d.News().Version() > m.Version() { // a starting node gets the same document from several others
		data, err := codec.Decompress(d.Data())
		if err != nil {
			m.refuse(err)
			return
		}
		changed = m.adopt(data, d.Data(), from)
	}
	m.learn(d.News())
	m.hear(from, d.News().Version())
	if d.News().Origin() == (message.Origin{}) {
		if changed {
			m.tellDomain()
		}
		return
	}
	m.relay(d.News(), true)
}

// learn notes how long ago the store held no newer version, and who leads.
func (m *Machine) learn(n message.News) {
	if n.Age() >= 0 {
		m.prove(n.Version(), m.now.Add(-n.Age()))
	}
	if place := n.Origin().Place(); place != 0 && m.precedes(place) {
		m.leading = m.now
		m.reader.acting = false
	}
}

// precedes tells whether another reader goes before the node: one nearer to the store, then by place.
func (m *Machine) precedes(place uint64) bool {
	if m.reader.measured && !m.order.inRegion(place) {
		return !m.reader.near()
	}
	return place < m.order.place
}

// relay passes a round on to the node's children in the tree of its failure domain.
func (m *Machine) relay(n message.News, whole bool) {
	origin := n.Origin()
	if origin == (message.Origin{}) || m.rounds[origin.Place()] >= origin.Number() {
		return
	}
	if len(m.rounds) >= maxOrigins {
		clear(m.rounds)
	}
	m.rounds[origin.Place()] = origin.Number()
	passed := message.NewNews(origin, n.Version(), n.Age())
	for _, e := range m.order.children(origin.Place()) {
		m.pass(e.peer, passed, whole)
	}
}

func (m *Machine) tellDomain() {
	news := message.NewNews(message.Origin{}, m.Version(), -1)
	for _, e := range m.order.own().without(m.order.place) {
		m.send(e.peer, news)
	}
}

// hear notes that a node holds a version.
func (m *Machine) hear(from netip.AddrPort, version record.Version) {
	if version <= m.Version() || version <= m.want.version {
		return
	}
	due := m.now.Add(m.settings.RequestDelay)
	if m.table == nil {
		due = m.now // no tree reaches a node that has just started
	}
	if m.want.version > m.Version() && m.want.due.Before(due) {
		due = m.want.due // already waited for an older one
	}
	m.want = want{version: version, from: from, due: due}
}

// request asks for a version that the node has heard of, or for any while it holds none.
func (m *Machine) request() {
	if m.want.version <= m.Version() && m.table != nil || m.now.Before(m.want.due) {
		return
	}
	to := m.want.from
	if !to.IsValid() {
		to = m.anyone()
	}
	m.want.due = m.now.Add(m.settings.RequestRetryInterval)
	if m.table == nil {
		m.want.due = m.now.Add(firstWantRetry)
	}
	m.want.from = m.anyone()
	if !to.IsValid() {
		return
	}
	m.counts.Requests++
	m.send(to, message.NewWant(m.Version()))
}

// anyone returns another member, of the node's failure domain if there is one.
func (m *Machine) anyone() netip.AddrPort {
	others := m.order.own().without(m.order.place)
	if len(others) == 0 {
		others = m.order.all
	}
	if len(others) == 0 {
		return netip.AddrPort{}
	}
	return others[m.rnd.IntN(len(others))].peer
}

func (m *Machine) receiveWant(from netip.AddrPort, w message.Want) {
	if m.table == nil || m.Version() <= w.Held() || m.tokens < 1 {
		return
	}
	m.tokens--
	age := m.now.Sub(m.proven)
	if m.proven.IsZero() {
		age = -1
	}
	m.send(from, message.NewDocument(message.NewNews(message.Origin{}, m.Version(), age), m.packed))
}
