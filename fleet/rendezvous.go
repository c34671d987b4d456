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
	// peersPerEntry is the number of addresses in an entry.
	peersPerEntry = 4
	// maxContactsPerRead bounds the unknown addresses contacted after one read.
	maxContactsPerRead = 8
	// maxContactableAge is the age from which on an entry's addresses are not contacted.
	maxContactableAge = 10 * time.Minute
	// maxRendezvousEntryBytes bounds an entry, in bytes.
	maxRendezvousEntryBytes = 1024
	// hintPeriod is the mean time between two contacts of a starting node with hints.
	hintPeriod = 2 * time.Second
	// startupDuration is how long a node counts as starting.
	startupDuration = time.Minute
)

// rendezvousState is the state of a node's use of the stream.
type rendezvousState struct {
	nextReadAt        time.Time        // next read
	readPending       bool             // a read is running
	backoff           time.Duration    // last delay after a fault
	nextOffset        record.Offset    // offset to read from
	newestEntryAt     time.Time        // newest entry seen
	lastAppendAt      time.Time        // last own append
	appendPending     bool             // an append is running
	appendDueAt       time.Time        // when to append if the stream is still old, zero if it was not
	endKnown          bool             // the stream was read to its end
	initialEnd        record.Offset    // end of the stream when it was first read
	lastGrowthAt      time.Time        // when an entry beyond that was last seen
	startupReadSent   bool             // the stream was first read, before the node's own entry stands there
	startupAppendDone bool             // the node has appended its address since its start
	contactQueue      []netip.AddrPort // addresses read that are yet to be contacted
	appendToken       uint64
	hintAttempts      int       // hint contacted last
	nextHintAt        time.Time // next contact with a hint
}

type rendezvousEntry struct {
	Fleet string   `cbor:"1,keyasint"`
	Unix  int64    `cbor:"2,keyasint"`
	Peers [][]byte `cbor:"3,keyasint"`
}

// rendezvousTick reads the stream when this node knows nobody or is a gateway.
func (m *Machine) rendezvousTick() {
	m.contactHint()
	m.contactQueued()
	if m.startupAppendDue() {
		m.startupTick()
		return
	}
	if m.rendezvous.readPending || m.now.Before(m.rendezvous.nextReadAt) {
		return
	}
	if m.sync.joined && m.gatewayRank() < 0 {
		m.rendezvous.nextReadAt = m.now.Add(m.settings.RendezvousReadPeriod)
		return
	}
	m.readTail()
}

// startupAppendDue tells whether the node's own entry does not stand in the stream yet, and has to.
func (m *Machine) startupAppendDue() bool {
	return m.settings.RendezvousAppendAtStart && !m.rendezvous.startupAppendDone
}

// startupTick appends the node's address, and reads at once what stands there from before, as the store carries appends out
// one after the other: nodes that start at once would have to wait for all of theirs.
func (m *Machine) startupTick() {
	if !m.rendezvous.startupReadSent {
		m.rendezvous.startupReadSent = true
		m.readTail()
	}
	if !m.rendezvous.appendPending && !m.now.Before(m.rendezvous.nextReadAt) {
		m.appendSelf()
	}
}

func (m *Machine) readTail() {
	m.rendezvous.readPending = true
	m.actions = append(m.actions, message.NewReadLog(message.StreamRendezvous, m.rendezvous.nextOffset, 0))
}

// contactHint compares views with a hint that is not a live member, so that fleets which formed apart
// meet without the log. Every node does so while it is starting, later only gateways do, and less often.
func (m *Machine) contactHint() {
	if !m.sync.joined || len(m.settings.Hints) == 0 || m.now.Before(m.rendezvous.nextHintAt) {
		return
	}
	starting := m.now.Sub(m.startedAt) < startupDuration
	period := m.settings.RendezvousReadPeriod
	if starting {
		period = hintPeriod
	}
	m.rendezvous.nextHintAt = m.now.Add(period/2 + m.jitter(period))
	if starting || m.gatewayRank() >= 0 {
		m.rendezvous.hintAttempts++
		m.contact(m.settings.Hints[m.rendezvous.hintAttempts%len(m.settings.Hints)])
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
	m.rendezvous.readPending = false
	if m.hasLeft {
		return m.takeActions()
	}
	if m.skipToTail(page) {
		m.readTail()
		return m.takeActions()
	}
	if page.Err() != nil && m.startupAppendDue() {
		return m.takeActions() // the next read follows the node's own entry
	}
	if page.Err() != nil {
		m.rendezvous.backoff = min(max(2*m.rendezvous.backoff, m.settings.RendezvousStartDelay), m.settings.RendezvousMaxBackoff)
		m.rendezvous.nextReadAt = now.Add(m.rendezvous.backoff/2 + m.jitter(m.rendezvous.backoff))
		return m.takeActions()
	}
	m.rendezvous.backoff = 0
	m.recordInitialEnd(page)
	m.readEntries(page)
	m.contactQueued()
	if !m.startupAppendDue() {
		m.decideAppend()
	}
	return m.takeActions()
}

// skipToTail moves the offset to read from to the end of the stream, if the page ends before it.
func (m *Machine) skipToTail(page message.LogPage) bool {
	tail := page.First()
	if page.Next() > record.Offset(m.settings.RendezvousTailEntries) {
		tail = max(tail, page.Next()-record.Offset(m.settings.RendezvousTailEntries))
	}
	end := m.rendezvous.nextOffset + record.Offset(len(page.Entries()))
	if page.Next() == 0 || end >= page.Next() && page.Err() == nil || tail <= m.rendezvous.nextOffset {
		return false
	}
	m.rendezvous.nextOffset = tail
	return true
}

func (m *Machine) recordInitialEnd(page message.LogPage) {
	if !m.rendezvous.endKnown {
		m.rendezvous.endKnown, m.rendezvous.initialEnd = true, page.Next()
	}
}

func (m *Machine) readEntries(page message.LogPage) {
	contacts := 0
	for _, e := range slices.Backward(page.Entries()) {
		m.rendezvous.nextOffset = max(m.rendezvous.nextOffset, e.Offset()+1)
		at, peers, err := m.decodeRendezvousEntry(e.Data())
		if err != nil {
			continue
		}
		if at.After(m.now) {
			at = m.now
		}
		if at.After(m.rendezvous.newestEntryAt) {
			m.rendezvous.newestEntryAt = at
		}
		if e.Offset() >= m.rendezvous.initialEnd {
			m.rendezvous.lastGrowthAt = m.now
		}
		if m.now.Sub(at) >= maxContactableAge {
			continue
		}
		for _, peer := range peers {
			m.addJoinCandidate(peer)
			if m.settings.RendezvousAppendAtStart {
				m.queueContact(peer)
				continue
			}
			if m.gatewayRank() >= 0 && contacts < maxContactsPerRead && m.contact(peer) {
				contacts++
			}
		}
	}
}

// contactsPerTick bounds the addresses contacted at once, as each one that answers makes most of the others known.
const contactsPerTick = 3

// largeFleet is the number of nodes from which on a contact must not bring a whole view over the link between the regions:
// at 128 nodes, views of 9 kB that all nodes get some ten times take 0.2 s of a link of 30 Mbit/s, and grow with the square.
const largeFleet = 128

// contactMode returns how to ask a node of unknown region. Whole views make small fleets meet the soonest.
func (m *Machine) contactMode() message.SyncMode {
	if max(len(m.sync.streamPeers), len(m.table.entries)) >= largeFleet {
		return message.SyncJoin
	}
	return message.SyncCompare
}

// maxQueuedContacts bounds the addresses that wait to be contacted.
const maxQueuedContacts = 4096

// queueContact has an address contacted unless its node has become known by then.
func (m *Machine) queueContact(peer netip.AddrPort) {
	if len(m.rendezvous.contactQueue) < maxQueuedContacts && !slices.Contains(m.rendezvous.contactQueue, peer) {
		m.rendezvous.contactQueue = append(m.rendezvous.contactQueue, peer)
	}
}

// contactQueued contacts some of the addresses read that are no live members.
func (m *Machine) contactQueued() {
	met := 0
	for len(m.rendezvous.contactQueue) > 0 && met < contactsPerTick {
		last := len(m.rendezvous.contactQueue) - 1
		peer := m.rendezvous.contactQueue[last]
		m.rendezvous.contactQueue = m.rendezvous.contactQueue[:last]
		if m.contact(peer) {
			met++
		}
	}
}

// addJoinCandidate keeps an address for attempts to join.
func (m *Machine) addJoinCandidate(peer netip.AddrPort) {
	if m.sync.joined || peer == m.self.peer() || slices.Contains(m.sync.streamPeers, peer) {
		return
	}
	m.sync.streamPeers = append(m.sync.streamPeers, peer)
	if len(m.sync.streamPeers) > m.settings.RendezvousTailEntries*peersPerEntry {
		m.sync.streamPeers = m.sync.streamPeers[1:]
	}
}

// decideAppend appends if the stream is old and stays so for a random time, and sets the time of the
// next read.
func (m *Machine) decideAppend() {
	period := m.settings.RendezvousReadPeriod
	if !m.sync.joined {
		period = m.settings.RendezvousRetryInterval
	}
	m.rendezvous.nextReadAt = m.now.Add(period/2 + m.jitter(period))
	recent := m.now.Sub(m.rendezvous.lastAppendAt) < m.settings.RendezvousMaxAge
	switch {
	case m.hasRecentEntry() || recent || m.rendezvous.appendPending:
		m.rendezvous.appendDueAt = time.Time{}
	case m.rendezvous.appendDueAt.IsZero():
		m.rendezvous.appendDueAt = m.now.Add(m.jitter(m.settings.RendezvousAppendDelay))
	case !m.now.Before(m.rendezvous.appendDueAt):
		m.rendezvous.appendDueAt = time.Time{}
		m.appendSelf()
		return
	}
	if m.rendezvous.appendDueAt.After(m.now) && m.rendezvous.appendDueAt.Before(m.rendezvous.nextReadAt) {
		m.rendezvous.nextReadAt = m.rendezvous.appendDueAt
	}
}

// hasRecentEntry tells whether the stream needs no new entry. A node that still knows nobody after it has tried
// the addresses written before its start trusts only in entries written since.
func (m *Machine) hasRecentEntry() bool {
	if m.now.Sub(m.rendezvous.lastGrowthAt) < m.settings.RendezvousMaxAge {
		return true
	}
	overdue := !m.sync.joined && m.now.Sub(m.startedAt) >= m.settings.RendezvousGracePeriod
	return !overdue && m.now.Sub(m.rendezvous.newestEntryAt) < m.settings.RendezvousMaxAge
}

func (m *Machine) appendSelf() {
	m.rendezvous.appendToken++
	m.rendezvous.appendPending = true
	m.rendezvous.lastAppendAt = m.now
	m.counts.Appends++
	data := m.encodeRendezvousEntry()
	m.actions = append(m.actions, message.NewAppendLog(message.StreamRendezvous, m.rendezvous.appendToken, data))
}

// ReceiveAppendResult takes the answer to an append to the rendezvous stream. An append that failed is not
// tried again before the next read.
func (m *Machine) ReceiveAppendResult(now time.Time, a message.AppendResult) []message.Action {
	if a.Stream() == message.StreamRendezvous && a.Token() == m.rendezvous.appendToken {
		m.advance(now)
		m.rendezvous.appendPending = false
		m.finishStartupAppend(a.Err() == nil)
	}
	return m.takeActions()
}

// finishStartupAppend goes on to read once the node's first entry stands, or tries again later. An entry that may stand although
// the append failed does no harm twice.
func (m *Machine) finishStartupAppend(ok bool) {
	if !m.startupAppendDue() {
		return
	}
	m.rendezvous.startupAppendDone = ok
	if ok {
		m.rendezvous.nextReadAt = m.now
		return
	}
	m.rendezvous.nextReadAt = m.now.Add(m.settings.RendezvousRetryInterval/2 + m.jitter(m.settings.RendezvousRetryInterval))
}

func (m *Machine) encodeRendezvousEntry() []byte {
	w := rendezvousEntry{Fleet: m.settings.Fleet, Unix: m.now.Unix()}
	for _, e := range append([]*entry{m.self}, m.pickRandom(peersPerEntry-1, m.liveMembers())...) {
		b, _ := e.peer().MarshalBinary() // never fails
		w.Peers = append(w.Peers, b)
	}
	data, _ := cbor.Marshal(w) // strings, numbers and bytes never fail
	return data
}

// decodeRendezvousEntry returns the time and the addresses in an entry of this fleet.
func (m *Machine) decodeRendezvousEntry(data []byte) (time.Time, []netip.AddrPort, error) {
	step := oops.In("fleet.rendezvous")
	var w rendezvousEntry
	if len(data) > maxRendezvousEntryBytes {
		return time.Time{}, nil, step.Errorf("entry of %d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &w); err != nil {
		return time.Time{}, nil, step.Wrapf(err, "entry")
	}
	if w.Fleet != m.settings.Fleet {
		return time.Time{}, nil, step.Errorf("entry of another fleet")
	}
	var peers []netip.AddrPort
	for _, b := range w.Peers[:min(len(w.Peers), peersPerEntry)] {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(b); err != nil || !peer.IsValid() || peer.Port() == 0 {
			return time.Time{}, nil, step.Errorf("address in entry")
		}
		peers = append(peers, peer)
	}
	return time.Unix(w.Unix, 0), peers, nil
}
