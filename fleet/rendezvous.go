package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Pace of the rendezvous stream.
const (
	// rendezvousPeers is the number of addresses in an entry.
	rendezvousPeers = 4
	// rendezvousContacts bounds the unknown addresses contacted after one read.
	rendezvousContacts = 8
	// rendezvousStale is the age from which on an entry's addresses are not contacted.
	rendezvousStale = 10 * time.Minute
	// rendezvousEntry bounds an entry, in bytes.
	rendezvousEntry = 1024
	// hintPeriod is the mean time between two contacts of a starting node with hints.
	hintPeriod = 2 * time.Second
	// hintStartup is how long a node counts as starting.
	hintStartup = time.Minute
)

// rendezvous is the state of a node's use of the stream.
type rendezvous struct {
	at       time.Time        // next read
	waiting  bool             // a read is running
	delay    time.Duration    // last delay after a fault
	next     record.Offset    // offset to read from
	newest   time.Time        // newest entry seen
	appended time.Time        // last own append
	pending  bool             // an append is running
	addAt    time.Time        // when to append if the stream is still old, zero if it was not
	known    bool             // the stream was read to its end
	end      record.Offset    // end of the stream when it was first read
	grown    time.Time        // when an entry beyond that was last seen
	looked   bool             // the stream was first read, before the node's own entry stands there
	told     bool             // the node has appended its address since its start
	meet     []netip.AddrPort // addresses read that are yet to be contacted
	token    uint64
	hinted   int       // hint contacted last
	hintAt   time.Time // next contact with a hint
}

type rendezvousWire struct {
	Fleet string   `cbor:"1,keyasint"`
	Unix  int64    `cbor:"2,keyasint"`
	Peers [][]byte `cbor:"3,keyasint"`
}

// rendezvousTick reads the stream when this node knows nobody or is a gateway.
func (m *Machine) rendezvousTick() {
	m.contactHint()
	m.meetFound()
	if m.introducing() {
		m.introduce()
		return
	}
	if m.rendezvous.waiting || m.now.Before(m.rendezvous.at) {
		return
	}
	if m.sync.joined && m.gatewayRank() < 0 {
		m.rendezvous.at = m.now.Add(m.settings.RendezvousReadPeriod)
		return
	}
	m.readTail()
}

// introducing tells whether the node's own entry does not stand in the stream yet, and has to.
func (m *Machine) introducing() bool { return m.settings.RendezvousAppendAtStart && !m.rendezvous.told }

// introduce appends the node's address, and reads at once what stands there from before, as the store carries appends out
// one after the other: nodes that start at once would have to wait for all of theirs.
func (m *Machine) introduce() {
	if !m.rendezvous.looked {
		m.rendezvous.looked = true
		m.readTail()
	}
	if !m.rendezvous.pending && !m.now.Before(m.rendezvous.at) {
		m.appendSelf()
	}
}

func (m *Machine) readTail() {
	m.rendezvous.waiting = true
	m.out = append(m.out, message.NewReadLog(message.StreamRendezvous, m.rendezvous.next, 0))
}

// contactHint compares views with a hint that is not a live member, so that fleets which formed apart
// meet without the log. Every node does so while it is starting, later only gateways do, and less often.
func (m *Machine) contactHint() {
	if !m.sync.joined || len(m.settings.Hints) == 0 || m.now.Before(m.rendezvous.hintAt) {
		return
	}
	starting := m.now.Sub(m.started) < hintStartup
	period := m.settings.RendezvousReadPeriod
	if starting {
		period = hintPeriod
	}
	m.rendezvous.hintAt = m.now.Add(period/2 + m.jitter(period))
	if starting || m.gatewayRank() >= 0 {
		m.rendezvous.hinted++
		m.contact(m.settings.Hints[m.rendezvous.hinted%len(m.settings.Hints)])
	}
}

// contact asks an address that is no live member for its view.
func (m *Machine) contact(peer netip.AddrPort) bool {
	if e := m.table.byPeer[peer]; peer == m.self.peer() || e != nil && e.live() {
		return false
	}
	m.requestSync(peer, m.contactMode())
	return true
}

// ReceiveLogPage takes the answer to a read of the rendezvous stream.
func (m *Machine) ReceiveLogPage(now time.Time, page message.LogPage) []message.Action {
	if page.Stream() != message.StreamRendezvous {
		return nil
	}
	m.advance(now)
	m.rendezvous.waiting = false
	if m.left {
		return m.flush()
	}
	if m.seekTail(page) {
		m.readTail()
		return m.flush()
	}
	if page.Err() != nil && m.introducing() {
		return m.flush() // the next read follows the node's own entry
	}
	if page.Err() != nil {
		m.rendezvous.delay = min(max(2*m.rendezvous.delay, m.settings.RendezvousStartDelay), m.settings.RendezvousMaxBackoff)
		m.rendezvous.at = now.Add(m.rendezvous.delay/2 + m.jitter(m.rendezvous.delay))
		return m.flush()
	}
	m.rendezvous.delay = 0
	m.noteEnd(page)
	m.readEntries(page)
	m.meetFound()
	if !m.introducing() {
		m.decideAppend()
	}
	return m.flush()
}

// seekTail moves the offset to read from to the end of the stream, if the page ends before it.
func (m *Machine) seekTail(page message.LogPage) bool {
	tail := page.First()
	if page.Next() > record.Offset(m.settings.RendezvousTailEntries) {
		tail = max(tail, page.Next()-record.Offset(m.settings.RendezvousTailEntries))
	}
	end := m.rendezvous.next + record.Offset(len(page.Entries()))
	if page.Next() == 0 || end >= page.Next() && page.Err() == nil || tail <= m.rendezvous.next {
		return false
	}
	m.rendezvous.next = tail
	return true
}

func (m *Machine) noteEnd(page message.LogPage) {
	if !m.rendezvous.known {
		m.rendezvous.known, m.rendezvous.end = true, page.Next()
	}
}

func (m *Machine) readEntries(page message.LogPage) {
	contacts := 0
	for _, e := range slices.Backward(page.Entries()) {
		m.rendezvous.next = max(m.rendezvous.next, e.Offset()+1)
		at, peers, err := m.parseRendezvous(e.Data())
		if err != nil {
			continue
		}
		if at.After(m.now) {
			at = m.now
		}
		if at.After(m.rendezvous.newest) {
			m.rendezvous.newest = at
		}
		if e.Offset() >= m.rendezvous.end {
			m.rendezvous.grown = m.now
		}
		if m.now.Sub(at) >= rendezvousStale {
			continue
		}
		for _, peer := range peers {
			m.remember(peer)
			if m.settings.RendezvousAppendAtStart {
				m.meetLater(peer)
				continue
			}
			if m.gatewayRank() >= 0 && contacts < rendezvousContacts && m.contact(peer) {
				contacts++
			}
		}
	}
}

// meetPerTick bounds the addresses contacted at once, as each one that answers makes most of the others known.
const meetPerTick = 3

// largeFleet is the number of nodes from which on a contact must not bring a whole view over the link between the regions:
// at 128 nodes, views of 9 kB that all nodes get some ten times take 0.2 s of a link of 30 Mbit/s, and grow with the square.
const largeFleet = 128

// contactMode returns how to ask a node of unknown region. Whole views make small fleets meet the soonest.
func (m *Machine) contactMode() message.SyncMode {
	if max(len(m.sync.found), len(m.table.entries)) >= largeFleet {
		return message.SyncJoin
	}
	return message.SyncCompare
}

// maxMeet bounds the addresses that wait to be contacted.
const maxMeet = 4096

// meetLater has an address contacted unless its node has become known by then.
func (m *Machine) meetLater(peer netip.AddrPort) {
	if len(m.rendezvous.meet) < maxMeet && !slices.Contains(m.rendezvous.meet, peer) {
		m.rendezvous.meet = append(m.rendezvous.meet, peer)
	}
}

// meetFound contacts some of the addresses read that are no live members.
func (m *Machine) meetFound() {
	met := 0
	for len(m.rendezvous.meet) > 0 && met < meetPerTick {
		last := len(m.rendezvous.meet) - 1
		peer := m.rendezvous.meet[last]
		m.rendezvous.meet = m.rendezvous.meet[:last]
		if m.contact(peer) {
			met++
		}
	}
}

// remember keeps an address for attempts to join.
func (m *Machine) remember(peer netip.AddrPort) {
	if m.sync.joined || peer == m.self.peer() || slices.Contains(m.sync.found, peer) {
		return
	}
	m.sync.found = append(m.sync.found, peer)
	if len(m.sync.found) > m.settings.RendezvousTailEntries*rendezvousPeers {
		m.sync.found = m.sync.found[1:]
	}
}

// decideAppend appends if the stream is old and stays so for a random time, and sets the time of the
// next read.
func (m *Machine) decideAppend() {
	period := m.settings.RendezvousReadPeriod
	if !m.sync.joined {
		period = m.settings.RendezvousRetryInterval
	}
	m.rendezvous.at = m.now.Add(period/2 + m.jitter(period))
	recent := m.now.Sub(m.rendezvous.appended) < m.settings.RendezvousMaxAge
	switch {
	case m.fresh() || recent || m.rendezvous.pending:
		m.rendezvous.addAt = time.Time{}
	case m.rendezvous.addAt.IsZero():
		m.rendezvous.addAt = m.now.Add(m.jitter(m.settings.RendezvousAppendDelay))
	case !m.now.Before(m.rendezvous.addAt):
		m.rendezvous.addAt = time.Time{}
		m.appendSelf()
		return
	}
	if m.rendezvous.addAt.After(m.now) && m.rendezvous.addAt.Before(m.rendezvous.at) {
		m.rendezvous.at = m.rendezvous.addAt
	}
}

// fresh tells whether the stream needs no new entry. A node that still knows nobody after it has tried
// the addresses written before its start trusts only in entries written since.
func (m *Machine) fresh() bool {
	if m.now.Sub(m.rendezvous.grown) < m.settings.RendezvousMaxAge {
		return true
	}
	overdue := !m.sync.joined && m.now.Sub(m.started) >= m.settings.RendezvousGracePeriod
	return !overdue && m.now.Sub(m.rendezvous.newest) < m.settings.RendezvousMaxAge
}

func (m *Machine) appendSelf() {
	m.rendezvous.token++
	m.rendezvous.pending = true
	m.rendezvous.appended = m.now
	m.counts.Appends++
	data := m.formatRendezvous()
	m.out = append(m.out, message.NewAppendLog(message.StreamRendezvous, m.rendezvous.token, data))
}

// ReceiveAppendResult takes the answer to an append to the rendezvous stream. An append that failed is not
// tried again before the next read.
func (m *Machine) ReceiveAppendResult(now time.Time, a message.AppendResult) []message.Action {
	if a.Stream() == message.StreamRendezvous && a.Token() == m.rendezvous.token {
		m.advance(now)
		m.rendezvous.pending = false
		m.noteTold(a.Err() == nil)
	}
	return m.flush()
}

// noteTold goes on to read once the node's first entry stands, or tries again later. An entry that may stand although
// the append failed does no harm twice.
func (m *Machine) noteTold(ok bool) {
	if !m.introducing() {
		return
	}
	m.rendezvous.told = ok
	if ok {
		m.rendezvous.at = m.now
		return
	}
	m.rendezvous.at = m.now.Add(m.settings.RendezvousRetryInterval/2 + m.jitter(m.settings.RendezvousRetryInterval))
}

func (m *Machine) formatRendezvous() []byte {
	w := rendezvousWire{Fleet: m.settings.Fleet, Unix: m.now.Unix()}
	for _, e := range append([]*entry{m.self}, m.pick(rendezvousPeers-1, m.liveMembers())...) {
		b, _ := e.peer().MarshalBinary() // never fails
		w.Peers = append(w.Peers, b)
	}
	data, _ := cbor.Marshal(w) // strings, numbers and bytes never fail
	return data
}

// parseRendezvous returns the time and the addresses in an entry of this fleet.
func (m *Machine) parseRendezvous(data []byte) (time.Time, []netip.AddrPort, error) {
	step := oops.In("fleet.rendezvous")
	var w rendezvousWire
	if len(data) > rendezvousEntry {
		return time.Time{}, nil, step.Errorf("entry of %d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &w); err != nil {
		return time.Time{}, nil, step.Wrapf(err, "entry")
	}
	if w.Fleet != m.settings.Fleet {
		return time.Time{}, nil, step.Errorf("entry of another fleet")
	}
	var peers []netip.AddrPort
	for _, b := range w.Peers[:min(len(w.Peers), rendezvousPeers)] {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(b); err != nil || !peer.IsValid() || peer.Port() == 0 {
			return time.Time{}, nil, step.Errorf("address in entry")
		}
		peers = append(peers, peer)
	}
	return time.Unix(w.Unix, 0), peers, nil
}
