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

// Limits of the rendezvous stream and of contacts with hints.
const (
	// peersPerEntry is the number of addresses in an entry.
	peersPerEntry = 4
	// maxContactsPerRead bounds the unknown addresses contacted after one read.
	maxContactsPerRead = 8
	// maxContactableAge is the age at which the addresses of an entry are no longer contacted.
	maxContactableAge = 10 * time.Minute
	// maxRendezvousEntryBytes bounds the size of an entry.
	maxRendezvousEntryBytes = 1024
	// hintPeriod is the mean time between two contacts with hints by a starting node.
	hintPeriod = 2 * time.Second
	// startupDuration is how long after its start a node counts as starting.
	startupDuration = time.Minute
)

// rendezvousState is the node's state as a user of the rendezvous stream.
type rendezvousState struct {
	nextReadAt        time.Time        // next read, or next startup append
	storeEra          record.Era       // of the store in its newest answer
	readPending       bool             // a read is running
	backoff           time.Duration    // mean delay after a failed read, zero after a successful one
	nextOffset        record.Offset    // offset to read from
	newestEntryAt     time.Time        // time of the newest entry read
	lastAppendAt      time.Time        // time of the node's last append
	appendPending     bool             // an append is running
	appendDueAt       time.Time        // when to append if there is still no recent entry, zero if there is one
	endKnown          bool             // the stream was read to its end
	initialEnd        record.Offset    // end of the stream when it was first read
	lastGrowthAt      time.Time        // when an entry at or beyond initialEnd was last read
	startupReadSent   bool             // the read that precedes the startup append was requested
	startupAppendDone bool             // the node has appended its address since its start
	contactQueue      []netip.AddrPort // addresses read that are still to be contacted
	fleetRestarts     bool             // the stream holds entries from before the node's start
	appendToken       uint64           // token of the last append
	hintAttempts      int              // contacts with hints so far
	nextHintAt        time.Time        // next contact with a hint
}

// rendezvousEntry is the encoded form of an entry.
type rendezvousEntry struct {
	Fleet string   `cbor:"1,keyasint"`
	Unix  int64    `cbor:"2,keyasint"`
	Peers [][]byte `cbor:"3,keyasint"`
}

// rendezvousTick contacts queued addresses and hints, and reads the stream when it is due if the node has not
// joined or is a gateway.
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

// startupAppendDue reports whether the node must still append its address at its start.
func (m *Machine) startupAppendDue() bool {
	return m.settings.RendezvousAppendAtStart && !m.rendezvous.startupAppendDone
}

// startupTick appends the node's address. It also reads the existing entries at once: the store performs appends
// one after the other, so nodes that start at the same time would otherwise wait for each other's appends.
func (m *Machine) startupTick() {
	if !m.rendezvous.startupReadSent && !m.settings.RendezvousEmptyAtStart {
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

// contactHint compares views with a hint that is not a live member, so that fleets that formed separately merge
// without the log. Every node does so while it is starting; later only gateways do, less often.
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

// contact requests the view of an address that is not a live member. It reports whether it did so.
func (m *Machine) contact(peer netip.AddrPort) bool {
	if e := m.table.byPeer[peer]; peer == m.self.peer() || e != nil && e.live() {
		return false
	}
	m.requestSync(peer, m.contactMode())
	return true
}

// ObserveStoreEra handles the era of the store in one of its answers, of whatever stream. When the store has returned from
// a copy without its last entries, the node appends its address again, as the entries that named it may be gone, and
// reads the stream from its tail, as offsets are given out again.
func (m *Machine) ObserveStoreEra(now time.Time, era record.Era) []message.Action {
	m.advance(now)
	m.observeStoreEra(era)
	return m.takeActions()
}

// StoreEra returns the era of the store in its newest answer, or 0 before the first one.
func (m *Machine) StoreEra() record.Era { return m.rendezvous.storeEra }

// observeStoreEra reports whether an answer is from the current era of the store.
func (m *Machine) observeStoreEra(era record.Era) bool {
	r := &m.rendezvous
	if era == 0 || era == r.storeEra {
		return true
	}
	known := r.storeEra != 0
	if era < r.storeEra {
		return false
	}
	r.storeEra = era
	if !known {
		return true
	}
	m.counts.StoreReturns++
	r.nextOffset, r.endKnown = 0, false
	r.lastGrowthAt, r.newestEntryAt, r.lastAppendAt = time.Time{}, time.Time{}, time.Time{}
	r.startupReadSent, r.startupAppendDone, r.appendPending = false, false, false
	r.appendToken++ // the append in progress may be gone with the earlier era
	r.backoff, r.appendDueAt = 0, time.Time{}
	r.nextReadAt = m.now.Add(m.jitter(m.settings.RendezvousAppendDelay))
	return false
}

// ReceiveLogPage processes the result of a read of the rendezvous stream.
func (m *Machine) ReceiveLogPage(now time.Time, page message.LogPage) []message.Action {
	if page.Stream() != message.StreamRendezvous {
		return nil
	}
	m.advance(now)
	m.rendezvous.readPending = false
	if !m.observeStoreEra(page.Era()) || m.hasLeft {
		return m.takeActions()
	}
	if m.skipToTail(page) {
		m.readTail()
		return m.takeActions()
	}
	if page.Err() != nil && m.startupAppendDue() {
		return m.takeActions() // the next read follows the startup append
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

// skipToTail moves the offset to read from to the tail of the stream if the page ends before it, and reports
// whether it did so.
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
		writtenAt, peers, err := m.decodeRendezvousEntry(e.Data())
		if err != nil {
			continue
		}
		if writtenAt.After(m.now) {
			writtenAt = m.now
		}
		if writtenAt.After(m.rendezvous.newestEntryAt) {
			m.rendezvous.newestEntryAt = writtenAt
		}
		if e.Offset() >= m.rendezvous.initialEnd {
			m.rendezvous.lastGrowthAt = m.now
		}
		if m.now.Sub(writtenAt) >= maxContactableAge {
			continue
		}
		if m.startedAt.Sub(writtenAt) >= earlierEntryAge {
			m.rendezvous.fleetRestarts = true
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

// contactsPerTick bounds the queued addresses contacted at once, as the answer of each one usually makes most of
// the others known.
const contactsPerTick = 3

// largeFleet is the smallest number of nodes with which a contact must not request a full view across regions. At
// 128 nodes, views of 9 kB that every node receives about ten times take 0.2 s of a link of 30 Mbit/s, and the
// load grows with the square of the number.
const largeFleet = 128

// contactMode returns how to request the view of a node of unknown region. Full views make small fleets form
// fastest.
func (m *Machine) contactMode() message.SyncMode {
	if max(len(m.sync.streamPeers), len(m.table.entries)) >= largeFleet {
		return message.SyncJoin
	}
	return message.SyncCompare
}

// maxQueuedContacts bounds the addresses that wait to be contacted.
const maxQueuedContacts = 4096

// queueContact queues an address. It is contacted unless it has become a live member by then.
func (m *Machine) queueContact(peer netip.AddrPort) {
	if len(m.rendezvous.contactQueue) < maxQueuedContacts && !slices.Contains(m.rendezvous.contactQueue, peer) {
		m.rendezvous.contactQueue = append(m.rendezvous.contactQueue, peer)
	}
}

// startContacts is the number of contacts that all nodes of a restarting fleet together make at once, so that each node of a
// fleet of 32 contacts all others and each of a larger one fewer. A contact takes a datagram of about 150 bytes, and its answer
// the view. Callers fail until the node knows the servers.
const startContacts = 32 * 32

// earlierEntryAge is the age at the node's start from which an entry is known to be from before, as entries state whole
// seconds and clocks differ. While a fleet starts for the first time, its size can't be told from the stream.
const earlierEntryAge = 2 * time.Second

// contactQueued contacts some of the queued addresses that are not live members, and more of them when the fleet restarts.
func (m *Machine) contactQueued() {
	contacted, limit := 0, contactsPerTick
	if m.rendezvous.fleetRestarts {
		limit = max(limit, startContacts/max(len(m.sync.streamPeers), 1))
	}
	for len(m.rendezvous.contactQueue) > 0 && contacted < limit {
		last := len(m.rendezvous.contactQueue) - 1
		peer := m.rendezvous.contactQueue[last]
		m.rendezvous.contactQueue = m.rendezvous.contactQueue[:last]
		if m.contact(peer) {
			contacted++
		}
	}
}

// Announced returns the addresses of other nodes that were read from the rendezvous stream before the node joined.
func (m *Machine) Announced() []netip.AddrPort { return m.sync.streamPeers }

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

// decideAppend appends an entry if the stream has had no recent entry for a random time, and schedules the next
// read.
func (m *Machine) decideAppend() {
	period := m.settings.RendezvousReadPeriod
	if !m.sync.joined {
		period = m.settings.RendezvousRetryInterval
	}
	m.rendezvous.nextReadAt = m.now.Add(period/2 + m.jitter(period))
	appendedRecently := m.now.Sub(m.rendezvous.lastAppendAt) < m.settings.RendezvousMaxAge
	switch {
	case m.hasRecentEntry() || appendedRecently || m.rendezvous.appendPending:
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

// hasRecentEntry reports whether the stream needs no new entry. A node that has not joined within
// RendezvousGracePeriod no longer counts entries written before its start.
func (m *Machine) hasRecentEntry() bool {
	if m.now.Sub(m.rendezvous.lastGrowthAt) < m.settings.RendezvousMaxAge {
		return true
	}
	graceOver := !m.sync.joined && m.now.Sub(m.startedAt) >= m.settings.RendezvousGracePeriod
	return !graceOver && m.now.Sub(m.rendezvous.newestEntryAt) < m.settings.RendezvousMaxAge
}

func (m *Machine) appendSelf() {
	m.rendezvous.appendToken++
	m.rendezvous.appendPending = true
	m.rendezvous.lastAppendAt = m.now
	m.counts.Appends++
	data := m.encodeRendezvousEntry()
	m.actions = append(m.actions, message.NewAppendLog(message.StreamRendezvous, m.rendezvous.appendToken, data))
}

// ReceiveAppendResult processes the result of an append to the rendezvous stream. Except for the startup append, a
// failed append is not retried before the next read.
func (m *Machine) ReceiveAppendResult(now time.Time, a message.AppendResult) []message.Action {
	if a.Stream() == message.StreamRendezvous && a.Token() == m.rendezvous.appendToken {
		m.advance(now)
		m.rendezvous.appendPending = false
		m.finishStartupAppend(a.Err() == nil && m.observeStoreEra(a.Era()))
	}
	return m.takeActions()
}

// finishStartupAppend schedules a read after the startup append succeeded, or a retry after it failed. A failed
// append may have written its entry all the same; a duplicate does no harm.
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
	content := rendezvousEntry{Fleet: m.settings.Fleet, Unix: m.now.Unix()}
	for _, e := range append([]*entry{m.self}, m.pickRandom(peersPerEntry-1, m.liveMembers())...) {
		b, _ := e.peer().MarshalBinary() // never fails
		content.Peers = append(content.Peers, b)
	}
	data, _ := cbor.Marshal(content) // never fails for strings, integers and byte strings
	return data
}

// decodeRendezvousEntry returns the time and the addresses of an entry of this fleet.
func (m *Machine) decodeRendezvousEntry(data []byte) (time.Time, []netip.AddrPort, error) {
	errs := oops.In("fleet.rendezvous")
	var content rendezvousEntry
	if len(data) > maxRendezvousEntryBytes {
		return time.Time{}, nil, errs.Errorf("entry of %d bytes exceeds the size limit", len(data))
	}
	if err := cbor.Unmarshal(data, &content); err != nil {
		return time.Time{}, nil, errs.Wrapf(err, "decode entry")
	}
	if content.Fleet != m.settings.Fleet {
		return time.Time{}, nil, errs.Errorf("entry belongs to another fleet")
	}
	var peers []netip.AddrPort
	for _, b := range content.Peers[:min(len(content.Peers), peersPerEntry)] {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(b); err != nil || !peer.IsValid() || peer.Port() == 0 {
			return time.Time{}, nil, errs.Errorf("entry contains an invalid address")
		}
		peers = append(peers, peer)
	}
	return time.Unix(content.Unix, 0), peers, nil
}
