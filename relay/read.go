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
	active    bool          // the node reads for its region
	asked     time.Time     // when the read under way was ordered
	waiting   bool          // a read is under way
	notBefore time.Time     // no read is ordered before
	lone      time.Duration // silence after which this node reads whatever its rank
	failures  int
	okAt      time.Time       // when the last read that succeeded was ordered
	failedAt  time.Time       // when a read failed last
	fault     error           // why the last read failed, or nil
	first     record.Offset   // the oldest offset kept when the gap was found
	gap       bool            // the log has trimmed entries that this node lacks
	loader    *catalog.Loader // loads from the trimmed stream, or nil
}

// place returns the node's place in the order of log readers: the region of the log first, then the
// other regions one place later. It is -1 for nodes that cannot fold the fleet's level.
func (m *Machine) place() int {
	rank := m.plan.rankOf(m.self.Place().Region(), m.self.Key().Peer())
	if rank < 0 || m.blocked() || m.retired {
		return -1
	}
	if m.home() {
		return rank
	}
	return rank + 1
}

var errLogShort = errors.New("the log ends before what this node has read from it")

// standbyPlaces is the number of places that take over in turn, not by chance.
const standbyPlaces = 4

// decideReading finds out whether the node should read the log.
func (m *Machine) decideReading(now time.Time) {
	m.log.active = m.shouldRead(now)
}

func (m *Machine) shouldRead(now time.Time) bool {
	place := m.place()
	if place < 0 || now.Before(m.log.notBefore) || m.pullsFirst(now) {
		return false
	}
	if place == 0 {
		return true
	}
	quiet := now.Sub(m.known.heardAt)
	if m.log.active {
		return quiet > m.settings.SilenceTimeout
	}
	if place < standbyPlaces {
		return quiet > m.settings.SilenceTimeout+time.Duration(place-1)*m.settings.SilenceTimeoutStep
	}
	return quiet > m.log.lone
}

// statementAsReader is the statement that a log reader pushes: whether the log is up as far as its own
// reads tell, lest two readers believe each other.
func (m *Machine) statementAsReader(now time.Time) message.LogStatus {
	up := m.log.fault == nil && !m.log.okAt.IsZero() && now.Sub(m.log.okAt) <= m.settings.MaxLogStatusAge
	s := m.statement(now)
	if !s.Known() {
		return message.NewUnknownLogStatus(up)
	}
	return message.NewLogStatus(s.Next(), s.Age(), up).WithGapEnd(m.ownGap())
}

// mayDoBetter tells whether this node should try the log because a reader says that it cannot read it:
// the next few in the order, unless they have failed themselves a short time ago.
func (m *Machine) mayDoBetter(now time.Time, s message.LogStatus) bool {
	place := m.place()
	return !s.Reachable() && place > 0 && place < standbyPlaces && m.join.done && now.Sub(m.log.failedAt) > m.settings.SilenceTimeout
}

// calms tells whether a push of origin means that this node need not read the log. An active reader
// gives way only to one that comes before it.
func (m *Machine) calms(origin netip.AddrPort) bool {
	if !m.log.active {
		return true
	}
	if !m.home() && m.plan.rankOf(m.logRegion, origin) >= 0 {
		return true
	}
	rank := m.plan.rankOf(m.self.Place().Region(), origin)
	return rank >= 0 && rank < m.plan.rankOf(m.self.Place().Region(), m.self.Key().Peer())
}

// readLog orders the next read.
func (m *Machine) readLog(now time.Time) {
	if !m.log.active || m.log.waiting || now.Before(m.log.notBefore) {
		return
	}
	m.log.waiting = true
	m.log.asked = now
	m.out = append(m.out, message.NewReadLog(message.StreamConfig, m.readFrom(), m.settings.LongPollTimeout))
}

// ReceiveLogPage takes the answer to a read of the configuration stream.
func (m *Machine) ReceiveLogPage(now time.Time, view *member.View, page message.LogPage) []message.Action {
	m.enter(now, view)
	m.log.waiting = false
	if page.First() > m.readFrom() {
		m.trimmed(now, page)
	} else if err := page.Err(); err != nil {
		m.readFailed(now, err)
	} else {
		m.readDone(now, page)
	}
	m.decideJoin(now)
	return m.leave()
}

func (m *Machine) readFailed(now time.Time, err error) {
	m.log.failures++
	m.log.fault, m.log.failedAt = err, now
	wait := m.settings.MaxReadBackoff >> max(0, 3-m.log.failures)
	m.log.notBefore = now.Add(wait/2 + m.jitter(wait/2))
}

func (m *Machine) readDone(now time.Time, page message.LogPage) {
	if page.Next() < m.holding.state.Head() {
		m.readFailed(now, errLogShort)
		return
	}
	m.log.failures, m.log.fault, m.log.okAt = 0, nil, m.log.asked
	digest := m.holding.digest()
	m.writer.noteFirst(page.First())
	if m.load(now, page) {
		m.fold(now, page.Entries())
	}
	s := message.NewLogStatus(page.Next(), 0, true)
	m.known.learn(now, m.log.asked, s)
	m.join.confirm(m.log.asked, page.Next())
	m.announce(now, digest, page.Entries())
	m.readOn(now, len(page.Entries()) > 0)
}

// quickRead is the pause of the first readers after a log answered at once that there is nothing,
// though it was asked to wait.
const quickRead = 250 * time.Millisecond

// readOn orders the next read at once, unless the log does not hold reads open.
func (m *Machine) readOn(now time.Time, found bool) {
	if !found && now.Sub(m.log.asked) < m.settings.LongPollTimeout/2 {
		pause := m.settings.LongPollTimeout
		if place := m.place(); place >= 0 && place < standbyPlaces {
			pause = quickRead
		}
		m.log.notBefore = now.Add(pause)
		return
	}
	if m.log.active {
		m.readLog(now)
	}
}

// announce pushes what was read to the fleet. A node that is still joining reads for itself: what it
// reads is old to the others.
func (m *Machine) announce(now time.Time, before message.Digest, entries []record.Entry) {
	if len(entries) == 0 || !m.join.done || entries[0].Offset() != before.Head() {
		return
	}
	if len(entries) > m.settings.MaxWindowEntries {
		entries = nil // a backlog that the others had better pull
		before = m.holding.digest()
	}
	m.originate(now, message.NewEntries(before.Head(), before.Chain(), entries, m.holding.digest(), m.statementAsReader(now)))
}

// beat pushes a heartbeat when the reader has pushed nothing for a period.
func (m *Machine) beat(now time.Time) {
	if !m.log.active || now.Sub(m.tree.pushedAt) < m.settings.HeartbeatInterval {
		return
	}
	d := m.holding.digest()
	m.originate(now, message.NewEntries(d.Head(), d.Chain(), nil, d, m.statementAsReader(now)))
}
