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

// logReader is the state of a node that reads the log, or may have to.
type logReader struct {
	active          bool            // the node reads the log
	requestedAt     time.Time       // when the last read was requested
	pending         bool            // a read has been requested and not answered
	nextReadAt      time.Time       // earliest time of the next read
	fallbackTimeout time.Duration   // time without a heartbeat after which this node reads regardless of its rank
	failures        int             // consecutive failed reads
	lastSuccessAt   time.Time       // when the last successful read was requested
	lastFailureAt   time.Time       // when the last failed read was answered
	lastErr         error           // error of the last read, or nil
	loadStart       record.Offset   // first offset that the log retained when the search for a checkpoint started
	lacksTrimmed    bool            // the log has trimmed entries that this node lacks
	loader          *catalog.Loader // searches the trimmed log for a checkpoint, or nil
}

// readerRank returns the node's rank as log reader. In the region of the log this is its rank in the region; in other
// regions it is one greater, so that their first-ranked node is a standby. It is -1 for nodes that must not read: those
// that are not alive, are retired or do not support the fleet's schema level.
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

// orderedReaders is the number of ranks that take over in order of rank. Nodes of higher ranks take over after a random
// time.
const orderedReaders = 4

// updateReaderRole decides whether the node reads the log.
func (m *Machine) updateReaderRole(now time.Time) {
	m.reader.active = m.shouldRead(now)
}

func (m *Machine) shouldRead(now time.Time) bool {
	rank := m.readerRank()
	if rank < 0 || now.Before(m.reader.nextReadAt) || m.shouldPullFirst(now) {
		return false
	}
	if rank == 0 {
		return true
	}
	silence := now.Sub(m.logHealth.lastHeartbeatAt)
	if m.reader.active {
		return silence > m.settings.SilenceTimeout
	}
	if rank < orderedReaders {
		return silence > m.settings.SilenceTimeout+time.Duration(rank-1)*m.settings.SilenceTimeoutStep
	}
	return silence > m.reader.fallbackTimeout
}

// readerLogStatus returns the log status that a log reader pushes. It reports the log as reachable only because of the
// node's own reads; otherwise two readers could confirm to each other that an unreachable log is reachable.
func (m *Machine) readerLogStatus(now time.Time) message.LogStatus {
	up := m.reader.lastErr == nil && !m.reader.lastSuccessAt.IsZero() && now.Sub(m.reader.lastSuccessAt) <= m.settings.MaxLogStatusAge
	s := m.logStatus(now)
	if !s.Known() {
		return message.NewUnknownLogStatus(up)
	}
	return message.NewLogStatus(s.Next(), s.Age(), up).WithGapEnd(m.ownGapEnd())
}

// shouldTryLog reports whether this node should try to read the log because the reader reports that it is unreachable.
// Only the nodes that take over in order of rank do so, and not right after a failed read of their own.
func (m *Machine) shouldTryLog(now time.Time, s message.LogStatus) bool {
	rank := m.readerRank()
	return !s.Reachable() && rank > 0 && rank < orderedReaders && m.join.joined && now.Sub(m.reader.lastFailureAt) > m.settings.SilenceTimeout
}

// suppressesReading reports whether a push of origin means that this node need not read the log. An active reader
// yields only to a reader of better rank in its region or, outside the region of the log, to any possible reader in that
// region.
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

// requestRead requests the next read if the node reads the log and no read is pending.
func (m *Machine) requestRead(now time.Time) {
	if !m.reader.active || m.reader.pending || now.Before(m.reader.nextReadAt) {
		return
	}
	m.reader.pending = true
	m.reader.requestedAt = now
	m.actions = append(m.actions, message.NewReadLog(message.StreamConfig, m.readOffset(), m.settings.LongPollTimeout))
}

// ReceiveLogPage handles the result of a read of the configuration stream.
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

// emptyReadPause is the pause of the best-ranked readers after a read that returned no entries without waiting for the
// long-poll timeout. Other readers pause for the whole timeout.
const emptyReadPause = 250 * time.Millisecond

// requestNextRead requests the next read at once, or after a pause if the log does not support long polling.
func (m *Machine) requestNextRead(now time.Time, found bool) {
	if !found && now.Sub(m.reader.requestedAt) < m.settings.LongPollTimeout/2 {
		pause := m.settings.LongPollTimeout
		if rank := m.readerRank(); rank >= 0 && rank < orderedReaders {
			pause = emptyReadPause
		}
		m.reader.nextReadAt = now.Add(pause)
		return
	}
	if m.reader.active {
		m.requestRead(now)
	}
}

// pushEntries pushes newly read entries to the fleet. A joining node does not push, because the entries that it reads
// are old to the other nodes.
func (m *Machine) pushEntries(now time.Time, before message.Digest, entries []record.Entry) {
	if len(entries) == 0 || !m.join.joined || entries[0].Offset() != before.Head() {
		return
	}
	if len(entries) > m.settings.MaxWindowEntries {
		entries = nil // the other nodes pull a backlog of this size
		before = m.replica.digest()
	}
	m.originate(now, message.NewEntries(before.Head(), before.Chain(), entries, m.replica.digest(), m.readerLogStatus(now)))
}

// sendHeartbeat pushes a heartbeat if the reader has pushed nothing for the heartbeat interval.
func (m *Machine) sendHeartbeat(now time.Time) {
	if !m.reader.active || now.Sub(m.tree.lastPushAt) < m.settings.HeartbeatInterval {
		return
	}
	d := m.replica.digest()
	m.originate(now, message.NewEntries(d.Head(), d.Chain(), nil, d, m.readerLogStatus(now)))
}
