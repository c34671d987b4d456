package relay

import (
	"errors"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// logReader is the state of a node as reader of the log.
type logReader struct {
	active          bool          // the node reads for its region
	requestedAt     time.Time     // when the read under way was ordered
	pending         bool          // a read is under way
	nextReadAt      time.Time     // no read is ordered before
	fallbackTimeout time.Duration // silence after which this node reads whatever its rank
	failures        int
	lastSuccessAt   time.Time       // when the last read that succeeded was ordered
	lastFailureAt   time.Time       // when a read failed last
	lastErr         error           // why the last read failed, or nil
	gapEnd          record.Offset   // the oldest offset kept when the gap was found
	behindTrim      bool            // the log has trimmed entries that this node lacks
	loader          *catalog.Loader // loads from the trimmed stream, or nil
}

// readerRank returns the node's readerRank in the order of log readers: the region of the log first, then the
// other regions one readerRank later. It is -1 for nodes that cannot fold the fleet's level.
func (m *Machine) readerRank() int {
	rank := m.topology.rankOf(m.self.Place().Region(), m.self.Key().Peer())
	if rank < 0 || m.needsNewerSchema() || m.retired {
		return -1
	}
	if m.inLogRegion() {
		return rank
	}
	return rank + 1
}

var errLogShort = errors.New("the log ends before what this node has read from it")

// orderedReaders is the number of places that take over in turn, not by chance.
const orderedReaders = 4

// updateReaderRole finds out whether the node should read the log.
func (m *Machine) updateReaderRole(now time.Time) {
	m.reader.active = m.shouldRead(now)
}

func (m *Machine) shouldRead(now time.Time) bool {
	place := m.readerRank()
	if place < 0 || now.Before(m.reader.nextReadAt) || m.pullsBeforeReading(now) {
		return false
	}
	if place == 0 {
		return true
	}
	quiet := now.Sub(m.logHealth.lastHeartbeatAt)
	if m.reader.active {
		return quiet > m.settings.SilenceTimeout
	}
	if place < orderedReaders {
		return quiet > m.settings.SilenceTimeout+time.Duration(place-1)*m.settings.SilenceTimeoutStep
	}
	return quiet > m.reader.fallbackTimeout
}

// readerLogStatus is the statement that a log reader pushes: whether the log is up as far as its own
// reads tell, lest two readers believe each other.
func (m *Machine) readerLogStatus(now time.Time) message.LogStatus {
	up := m.reader.lastErr == nil && !m.reader.lastSuccessAt.IsZero() && now.Sub(m.reader.lastSuccessAt) <= m.settings.MaxLogStatusAge
	s := m.logStatus(now)
	if !s.Known() {
		return message.NewUnknownLogStatus(up)
	}
	return message.NewLogStatus(s.Next(), s.Age(), up).WithGapEnd(m.ownGapEnd())
}

// shouldTryLog tells whether this node should try the log because a reader says that it cannot read it:
// the next few in the order, unless they have failed themselves a short time ago.
func (m *Machine) shouldTryLog(now time.Time, s message.LogStatus) bool {
	place := m.readerRank()
	return !s.Reachable() && place > 0 && place < orderedReaders && m.join.joined && now.Sub(m.reader.lastFailureAt) > m.settings.SilenceTimeout
}

// suppressesReading tells whether a push of origin means that this node need not read the log. An active reader
// gives way only to one that comes before it.
func (m *Machine) suppressesReading(origin netip.AddrPort) bool {
	if !m.reader.active {
		return true
	}
	if !m.inLogRegion() && m.topology.rankOf(m.logRegion, origin) >= 0 {
		return true
	}
	rank := m.topology.rankOf(m.self.Place().Region(), origin)
	return rank >= 0 && rank < m.topology.rankOf(m.self.Place().Region(), m.self.Key().Peer())
}

// requestRead orders the next read.
func (m *Machine) requestRead(now time.Time) {
	if !m.reader.active || m.reader.pending || now.Before(m.reader.nextReadAt) {
		return
	}
	m.reader.pending = true
	m.reader.requestedAt = now
	m.actions = append(m.actions, message.NewReadLog(message.StreamConfig, m.readOffset(), m.settings.LongPollTimeout))
}

// ReceiveLogPage takes the answer to a read of the configuration stream.
func (m *Machine) ReceiveLogPage(now time.Time, view *member.View, page message.LogPage) []message.Action {
	m.begin(now, view)
	m.reader.pending = false
	if page.First() > m.readOffset() {
		m.startLoading(now, page)
	} else if err := page.Err(); err != nil {
		m.handleReadError(now, err)
	} else {
		m.handlePage(now, page)
	}
	m.updateJoin(now)
	return m.takeActions()
}

func (m *Machine) handleReadError(now time.Time, err error) {
	m.reader.failures++
	m.reader.lastErr, m.reader.lastFailureAt = err, now
	wait := m.settings.MaxReadBackoff >> max(0, 3-m.reader.failures)
	m.reader.nextReadAt = now.Add(wait/2 + m.jitter(wait/2))
}

func (m *Machine) handlePage(now time.Time, page message.LogPage) {
	if page.Next() < m.replica.state.Head() {
		m.handleReadError(now, errLogShort)
		return
	}
	m.reader.failures, m.reader.lastErr, m.reader.lastSuccessAt = 0, nil, m.reader.requestedAt
	digest := m.replica.digest()
	m.writer.setLogStart(page.First())
	if m.loadPage(now, page) {
		m.applyEntries(now, page.Entries())
	}
	s := message.NewLogStatus(page.Next(), 0, true)
	m.logHealth.update(now, m.reader.requestedAt, s)
	m.join.setLogEnd(m.reader.requestedAt, page.Next())
	m.pushEntries(now, digest, page.Entries())
	m.requestNextRead(now, len(page.Entries()) > 0)
}

// emptyReadPause is the pause of the first readers after a log answered at once that there is nothing,
// though it was asked to wait.
const emptyReadPause = 250 * time.Millisecond

// requestNextRead orders the next read at once, unless the log does not hold reads open.
func (m *Machine) requestNextRead(now time.Time, found bool) {
	if !found && now.Sub(m.reader.requestedAt) < m.settings.LongPollTimeout/2 {
		pause := m.settings.LongPollTimeout
		if place := m.readerRank(); place >= 0 && place < orderedReaders {
			pause = emptyReadPause
		}
		m.reader.nextReadAt = now.Add(pause)
		return
	}
	if m.reader.active {
		m.requestRead(now)
	}
}

// pushEntries pushes what was read to the fleet. A node that is still joining reads for itself: what it
// reads is old to the others.
func (m *Machine) pushEntries(now time.Time, before message.Digest, entries []record.Entry) {
	if len(entries) == 0 || !m.join.joined || entries[0].Offset() != before.Head() {
		return
	}
	if len(entries) > m.settings.MaxWindowEntries {
		entries = nil // a backlog that the others had better pull
		before = m.replica.digest()
	}
	m.originate(now, message.NewEntries(before.Head(), before.Chain(), entries, m.replica.digest(), m.readerLogStatus(now)))
}

// sendHeartbeat pushes a heartbeat when the reader has pushed nothing for a period.
func (m *Machine) sendHeartbeat(now time.Time) {
	if !m.reader.active || now.Sub(m.tree.lastPushAt) < m.settings.HeartbeatInterval {
		return
	}
	d := m.replica.digest()
	m.originate(now, message.NewEntries(d.Head(), d.Chain(), nil, d, m.readerLogStatus(now)))
}
