package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// pauseLimit is the time between two events beyond which the process was not running. What it receives
// right after may have waited in a buffer, so ages in it are not to be believed.
const (
	pauseLimit = time.Second
	pauseGuard = 500 * time.Millisecond
)

// maxPushTime bounds the time that a push is on its way. Nothing in a push tells that time, so its
// statement is taken to be as much older.
const maxPushTime = 2 * time.Second

// knowledge is what a node has heard about the log and its readers.
type knowledge struct {
	heardAt  time.Time // last heartbeat, or the start
	lastAt   time.Time // last event of any kind
	guardEnd time.Time // statements in messages count for nothing until then

	next   record.Offset // offset of the log's next append as of readAt
	readAt time.Time     // zero if unknown
	upAt   time.Time     // when the log was last known to be readable, zero if never
	gap    record.Offset // first offset after the gap that a reader reported, or zero
	gapAt  time.Time     // when it did
}

// notice finds out whether the process was paused.
func (k *knowledge) notice(now time.Time) {
	if !k.lastAt.IsZero() && now.Sub(k.lastAt) > pauseLimit {
		k.guardEnd = now.Add(pauseGuard)
	}
	k.lastAt = now
}

func (k *knowledge) guarded(now time.Time) bool { return now.Before(k.guardEnd) }

// learn takes a statement that was made no later than sent.
func (k *knowledge) learn(now, sent time.Time, s message.LogStatus) {
	if k.guarded(now) || !s.Known() {
		return
	}
	readAt := sent.Add(-s.Age())
	if readAt.After(k.readAt) {
		k.next, k.readAt = max(k.next, s.Next()), readAt
	}
	if s.Reachable() && readAt.After(k.upAt) {
		k.upAt = readAt
	}
}

// learnPushed takes the statement of a push.
func (k *knowledge) learnPushed(now time.Time, s message.LogStatus) {
	k.learn(now, now.Add(-maxPushTime), s)
}

// statement returns what the node can tell others.
func (k *knowledge) statement(now time.Time, limit time.Duration) message.LogStatus {
	up := !k.upAt.IsZero() && now.Sub(k.upAt) <= limit
	if k.readAt.IsZero() {
		return message.NewUnknownLogStatus(up)
	}
	return message.NewLogStatus(k.next, max(now.Sub(k.readAt), 0), up)
}

// logDown tells whether nobody has said lately that the log can be read.
func (m *Machine) logDown(now time.Time) bool {
	since := m.known.upAt
	if since.IsZero() {
		since = m.started
	}
	return now.Sub(since) > m.settings.MaxLogStatusAge
}

func (m *Machine) statement(now time.Time) message.LogStatus {
	return m.known.statement(now, m.settings.MaxLogStatusAge)
}

// sayUnequal counts contents that contradict what this node has folded. They are never applied.
func (m *Machine) sayUnequal() { m.counts.Conflicts++ }
