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
	// rendezvousStart bounds the random delay before a node's first read.
	rendezvousStart = time.Second
	// rendezvousSpread bounds the random delay before a node that knows nobody appends.
	rendezvousSpread = 8 * time.Second
	// rendezvousBackoff bounds the time between two reads while the log fails.
	rendezvousBackoff = 30 * time.Second
	// rendezvousTail is the number of entries read from the end of the stream.
	rendezvousTail = 16
	// rendezvousPeers is the number of addresses in an entry.
	rendezvousPeers = 4
	// rendezvousContacts bounds the unknown addresses contacted after one read.
	rendezvousContacts = 8
	// rendezvousStale is the age from which on an entry's addresses are not contacted.
	rendezvousStale = 10 * time.Minute
	// rendezvousEntry bounds an entry, in bytes.
	rendezvousEntry = 1024
	// hintPeriod is the mean time between two contacts of a young node with hints.
	hintPeriod = 2 * time.Second
	// hintYouth is how long a node counts as young.
	hintYouth = time.Minute
)

// rendezvous is the state of a node's use of the stream.
type rendezvous struct {
	at       time.Time     // next read
	waiting  bool          // a read is running
	delay    time.Duration // last delay after a fault
	next     record.Offset // offset to read from
	newest   time.Time     // newest entry seen
	appended time.Time     // last own append
	pending  bool          // an append is running
	mayAdd   bool          // the stream was old when last read; append if it is still so
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
	if m.meet.waiting || m.now.Before(m.meet.at) {
		return
	}
	if m.sync.joined && m.gatewayRank() < 0 {
		m.meet.at = m.now.Add(m.settings.RendezvousRead)
		return
	}
	m.readTail()
}

func (m *Machine) readTail() {
	m.meet.waiting = true
	m.out = append(m.out, message.NewReadLog(message.StreamRendezvous, m.meet.next, 0))
}

// contactHint compares views with a hint that is not a live member, so that fleets which formed apart
// meet without the log. Every node does so while it is young, later only gateways do, and less often.
func (m *Machine) contactHint() {
	if !m.sync.joined || len(m.settings.Hints) == 0 || m.now.Before(m.meet.hintAt) {
		return
	}
	young := m.now.Sub(m.started) < hintYouth
	period := m.settings.RendezvousRead
	if young {
		period = hintPeriod
	}
	m.meet.hintAt = m.now.Add(period/2 + m.jitter(period))
	if young || m.gatewayRank() >= 0 {
		m.meet.hinted++
		m.contact(m.settings.Hints[m.meet.hinted%len(m.settings.Hints)])
	}
}

// contact compares views with an address that is no live member.
func (m *Machine) contact(peer netip.AddrPort) bool {
	if e := m.table.byPeer[peer]; peer == m.self.peer() || e != nil && e.live() {
		return false
	}
	mode := message.SyncCompare
	if !m.sync.joined {
		mode = message.SyncJoin
	}
	m.requestSync(peer, mode)
	return true
}

// LogPage takes the answer to a read of the rendezvous stream.
func (m *Machine) LogPage(now time.Time, page message.LogPage) []message.Action {
	if page.Stream() != message.StreamRendezvous {
		return nil
	}
	m.advance(now)
	m.meet.waiting = false
	if m.left {
		return m.flush()
	}
	if m.seekTail(page) {
		m.readTail()
		return m.flush()
	}
	if page.Err() != nil {
		m.meet.delay = min(max(2*m.meet.delay, rendezvousStart), rendezvousBackoff)
		m.meet.at = now.Add(m.meet.delay/2 + m.jitter(m.meet.delay))
		return m.flush()
	}
	m.meet.delay = 0
	m.readEntries(page)
	m.decideAppend()
	return m.flush()
}

// seekTail moves the offset to read from to the end of the stream, if the page ends before it.
func (m *Machine) seekTail(page message.LogPage) bool {
	tail := page.First()
	if page.Next() > rendezvousTail {
		tail = max(tail, page.Next()-rendezvousTail)
	}
	end := m.meet.next + record.Offset(len(page.Entries()))
	if page.Next() == 0 || end >= page.Next() && page.Err() == nil || tail <= m.meet.next {
		return false
	}
	m.meet.next = tail
	return true
}

func (m *Machine) readEntries(page message.LogPage) {
	contacts := 0
	for _, e := range slices.Backward(page.Entries()) {
		m.meet.next = max(m.meet.next, e.Offset()+1)
		at, peers, err := m.parseRendezvous(e.Data())
		if err != nil {
			continue
		}
		if at.After(m.now) {
			at = m.now
		}
		if at.After(m.meet.newest) {
			m.meet.newest = at
		}
		if m.now.Sub(at) >= rendezvousStale {
			continue
		}
		for _, peer := range peers {
			m.remember(peer)
			if contacts < rendezvousContacts && m.contact(peer) {
				contacts++
			}
		}
	}
}

// remember keeps an address for attempts to join.
func (m *Machine) remember(peer netip.AddrPort) {
	if m.sync.joined || peer == m.self.peer() || slices.Contains(m.sync.found, peer) {
		return
	}
	m.sync.found = append(m.sync.found, peer)
	if len(m.sync.found) > rendezvousTail*rendezvousPeers {
		m.sync.found = m.sync.found[1:]
	}
}

// decideAppend appends if the stream is old and it was already so at the last read, and sets the time
// of the next read.
func (m *Machine) decideAppend() {
	fresh := m.now.Sub(m.meet.newest) < m.settings.RendezvousAge
	recent := m.now.Sub(m.meet.appended) < m.settings.RendezvousAge
	if fresh || recent || m.meet.pending {
		m.meet.mayAdd = false
		m.meet.at = m.now.Add(m.settings.RendezvousRead/2 + m.jitter(m.settings.RendezvousRead))
		return
	}
	if !m.meet.mayAdd {
		m.meet.mayAdd = true
		m.meet.at = m.now.Add(m.jitter(rendezvousSpread))
		return
	}
	m.meet.mayAdd = false
	m.meet.at = m.now.Add(m.settings.RendezvousRead)
	m.appendSelf()
}

func (m *Machine) appendSelf() {
	m.meet.token++
	m.meet.pending = true
	m.meet.appended = m.now
	m.counts.Appends++
	data := m.formatRendezvous()
	m.out = append(m.out, message.NewAppendLog(message.StreamRendezvous, m.meet.token, data))
}

// LogAppended takes the answer to an append to the rendezvous stream. An append that failed is not
// tried again before the next read.
func (m *Machine) LogAppended(now time.Time, a message.LogAppended) []message.Action {
	if a.Stream() == message.StreamRendezvous && a.Token() == m.meet.token {
		m.advance(now)
		m.meet.pending = false
	}
	return m.flush()
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
