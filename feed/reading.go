package feed

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// storeReader is the state of the node's reads of the store.
type storeReader struct {
	inFlight            bool
	readStartedAt       time.Time
	longPoll            bool // the store may hold the read in flight open
	readsNewest         bool // the read in flight is for the newest document, whatever its offset
	nextOffsetKnown     bool
	nextOffset          record.Offset // where the next read continues
	era                 record.Era    // of the store, in which nextOffset holds
	nextReadAt          time.Time     // earliest time of the next read
	consecutiveFailures int
	minLatency          time.Duration // of the reads that the store did not hold open
	latencyKnown        bool
	isSubstitute        bool // reads because the readers with precedence were silent
	succeededAt         time.Time
}

// nearStore reports whether the store is in the node's region, as far as measured.
func (r storeReader) nearStore() bool { return r.latencyKnown && r.minLatency < nearStoreLatency }

// readIfDue starts a read if the node is a reader or has to substitute for one.
func (m *Machine) readIfDue() {
	r := &m.reader
	if r.inFlight || m.now.Before(r.nextReadAt) {
		return
	}
	switch {
	case m.isReader() || r.isSubstitute:
		m.startRead(m.settings.LongPollTimeout)
	case m.readOverdue():
		m.startRead(0)
	}
}

// isReader reports whether the node is one of the readers. A node that holds a document but has not measured the
// latency of the store counts as one until its first read. While the whole fleet starts, a node that knows few others does
// not take itself for the first.
func (m *Machine) isReader() bool {
	if m.ordering().rank >= m.settings.Readers {
		return false
	}
	if m.table == nil && (m.settings.FirstStart && len(m.ordering().others) == 0 || m.estimatedRank() >= m.settings.Readers) {
		return false
	}
	if !m.reader.latencyKnown {
		return m.table != nil
	}
	return m.reader.nearStore()
}

// readOverdue reports whether the node has to read the store itself, as it has had no notice of a successful read for too
// long.
func (m *Machine) readOverdue() bool {
	if m.table == nil {
		if m.fetching() {
			return false
		}
		if m.readsEarly() {
			return true
		}
		delay := startDelay(m.reader.nearStore(), m.startFraction, m.estimatedFleetSize(), m.settings.FirstStart)
		if !m.reader.nearStore() && len(m.ordering().others) == 0 {
			delay = max(delay, farStartDelayWithoutPeers)
		}
		return m.now.Sub(m.startedAt) >= m.settings.StartDelay+delay
	}
	return m.now.Sub(m.confirmedAt) >= m.settings.SilenceTimeout+takeoverDelay(m.ordering().rank)
}

// estimatedFleetSize returns the greater of the nodes in the view and those announced in the store.
func (m *Machine) estimatedFleetSize() int {
	return max(len(m.ordering().others), len(m.announced)) + 1
}

// hasFastLink reports whether the node can send the document to many others within a moment.
func (m *Machine) hasFastLink() bool {
	return m.settings.LinkBytesPerSecond == 0 || m.settings.LinkBytesPerSecond >= fastLink
}

// readsEarly reports whether a starting node is one of those that read the store before the others.
func (m *Machine) readsEarly() bool {
	count := earlyFarReaders
	if m.reader.nearStore() {
		count = earlyNearReaders
	}
	if !m.hasFastLink() {
		return m.startsEarly(count) && m.now.Sub(m.announcedAt) >= slowReadDelay
	}
	if m.reader.nearStore() {
		count = earlyFastReaders
	}
	return m.startsEarly(count)
}

// fetching reports whether a starting node expects the document from another node.
func (m *Machine) fetching() bool {
	return m.pending.version > 0 && m.now.Sub(m.pending.knownAt) < fetchPatience
}

// startsEarly reports whether a starting node is among about count nodes, drawn at random from those that start at the same
// time. It returns false as long as their number is unknown.
func (m *Machine) startsEarly(count int) bool {
	return len(m.announced) > 0 && !m.settings.FirstStart && m.startFraction*float64(m.estimatedFleetSize()) < float64(count)
}

// estimatedRank returns the node's rank in its region. While the view lacks most of the nodes that have started, it
// returns at least a random rank among these, as all ranks in a small view are low.
func (m *Machine) estimatedRank() int {
	if len(m.ordering().others) >= len(m.announced)/2 {
		return m.ordering().rank
	}
	return max(m.ordering().rank, int(m.startFraction*float64(len(m.announced))))
}

// ObserveStore records the latency of a read of another stream that the store did not hold open, and the other nodes that
// recently wrote their addresses there.
func (m *Machine) ObserveStore(latency time.Duration, announced []netip.AddrPort) {
	m.reader.observeLatency(latency)
	if len(announced) > len(m.announced) {
		if len(m.announced) == 0 {
			m.announcedAt = m.now
		}
		m.announced = announced
	}
}

// observeLatency records the latency of a read that the store did not hold open.
func (r *storeReader) observeLatency(latency time.Duration) {
	if !r.latencyKnown || latency < r.minLatency {
		r.minLatency, r.latencyKnown = latency, true
	}
}

func (m *Machine) startRead(wait time.Duration) {
	r := &m.reader
	r.inFlight, r.readStartedAt = true, m.now
	m.counts.Reads++
	r.readsNewest = !r.nextOffsetKnown || m.table == nil
	if r.readsNewest {
		r.longPoll = false
		m.actions = append(m.actions, message.NewReadNewest())
		return
	}
	if !r.latencyKnown || r.consecutiveFailures > 0 {
		wait = 0 // a store that has returned states its era at once
	}
	r.longPoll = wait > 0
	m.actions = append(m.actions, message.NewReadNext(r.nextOffset, wait))
}

// observeEra records the era of the store in an answer and reports whether the read was from the same era. Otherwise, the
// store may hold other documents at the offsets that were read before, so the next read asks for the newest document.
func (m *Machine) observeEra(era record.Era) bool {
	r := &m.reader
	if era == 0 || era == r.era {
		return true
	}
	known := r.era != 0
	r.era = era
	if known {
		m.counts.StoreReturns++
		r.nextOffsetKnown = false
	}
	return !known
}

// ReceivePage handles the answer to a ReadDocument. gone reports whether its error means that the store does not have the
// requested offset.
func (m *Machine) ReceivePage(now time.Time, page message.DocumentPage, gone bool) []message.Action {
	m.advance(now, m.view)
	r := &m.reader
	r.inFlight = false
	sameEra := m.observeEra(page.Era())
	if page.Err() != nil {
		m.handleReadFailure(gone)
		return m.takeActions()
	}
	if !r.longPoll {
		r.observeLatency(m.now.Sub(r.readStartedAt))
	}
	r.consecutiveFailures, r.nextReadAt, r.succeededAt = 0, m.now, m.now
	if sameEra || r.readsNewest {
		r.nextOffsetKnown, r.nextOffset = true, page.Next()
	}
	changed := page.Data() != nil && m.applyFromStore(page.Data())
	if page.Data() != nil || m.table == nil {
		r.nextReadAt = m.now.Add(m.settings.MinReadInterval)
	}
	m.confirmedAt = m.now
	r.isSubstitute = m.preferredReaderSilent()
	if changed || m.announcesUnchanged() {
		m.startRound(changed)
	}
	return m.takeActions()
}

// applyFromStore makes a document of the store the active one if it is newer, and reports whether it was. A starting node
// that knows of a newer version at another node waits for that one: the store may have returned from a copy without it.
func (m *Machine) applyFromStore(data []byte) bool {
	if m.table == nil && m.pending.version > 0 && m.now.Sub(m.startedAt) < maxWaitForPeers {
		table, err := m.settings.Decode(data)
		if err == nil && table.Version() < m.pending.version {
			m.counts.Outdated++
			return false
		}
	}
	first := m.table == nil
	applied := m.apply(data, nil, netip.AddrPort{})
	if first && applied && m.pending.version == 0 && !m.settings.FirstStart && m.hasFastLink() {
		m.startAnnounced = make(map[netip.AddrPort]int)
		m.announceAtStart()
	}
	return applied
}

func (m *Machine) handleReadFailure(gone bool) {
	r := &m.reader
	m.counts.ReadFailures++
	r.isSubstitute = false
	if gone {
		r.nextOffsetKnown, r.nextReadAt = false, m.now
		return
	}
	delay := retryDelay(r.consecutiveFailures, m.estimatedRank())
	r.consecutiveFailures++
	r.nextReadAt = m.now.Add(delay/2 + time.Duration(m.rnd.Int64N(int64(delay))))
}

// preferredReaderSilent reports whether no round of a reader with precedence has arrived for the silence timeout.
func (m *Machine) preferredReaderSilent() bool {
	return m.now.Sub(m.preferredReaderSeenAt) >= m.settings.SilenceTimeout
}

// announcesUnchanged reports whether the node starts a round also after a read without a newer document. Only the reader
// with the highest precedence does.
func (m *Machine) announcesUnchanged() bool {
	return (m.reader.isSubstitute || m.isReader()) && m.now.Sub(m.preferredReaderSeenAt) >= m.settings.SilenceTimeout
}

// Leads reports whether the node is the reader with the highest precedence, as far as it knows. A reader whose reads fail
// stops leading when another node reads the store meanwhile. While the store answers nobody, it goes on.
func (m *Machine) Leads() bool {
	overtaken := m.reader.consecutiveFailures > 0 && m.confirmedAt.After(m.reader.succeededAt)
	starting := m.now.Sub(m.startedAt) < m.settings.SilenceTimeout // a round of a reader with precedence may not have arrived yet
	return m.announcesUnchanged() && !overtaken && !starting
}

// Leader returns the other node whose round arrived last, which probably leads reading, and false if none is known.
func (m *Machine) Leader() (netip.AddrPort, bool) {
	for _, other := range m.ordering().others {
		if other.position == m.lastRoundReader {
			return other.peer, true
		}
	}
	return netip.AddrPort{}, false
}
