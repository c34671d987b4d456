package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// pauseThreshold is the time between two events beyond which the process was not running. What it receives
// right after may have waited in a buffer, so ages in it are not to be believed.
const (
	pauseThreshold = time.Second
	pauseDistrust  = 500 * time.Millisecond
)

// maxPushTransit bounds the time that a push is on its way. Nothing in a push tells that time, so its
// statement is taken to be as much older.
const maxPushTransit = 2 * time.Second

// logHealth is what a node has heard about the log and its readers.
type logHealth struct {
	lastHeartbeatAt time.Time // last heartbeat, or the start
	lastEventAt     time.Time // last event of any kind
	distrustUntil   time.Time // statements in messages count for nothing until then

	endOffset      record.Offset // offset of the log's next append as of readAt
	endReadAt      time.Time     // zero if unknown
	reachableAt    time.Time     // when the log was last known to be readable, zero if never
	reportedGapEnd record.Offset // first offset after the gap that a reader reported, or zero
	gapReportedAt  time.Time     // when it did
}

// detectPause finds out whether the process was paused.
func (k *logHealth) detectPause(now time.Time) {
	if !k.lastEventAt.IsZero() && now.Sub(k.lastEventAt) > pauseThreshold {
		k.distrustUntil = now.Add(pauseDistrust)
	}
	k.lastEventAt = now
}

func (k *logHealth) distrusts(now time.Time) bool { return now.Before(k.distrustUntil) }

// update takes a statement that was made no later than sent.
func (k *logHealth) update(now, sent time.Time, s message.LogStatus) {
	if k.distrusts(now) || !s.Known() {
		return
	}
	readAt := sent.Add(-s.Age())
	if readAt.After(k.endReadAt) {
		k.endOffset, k.endReadAt = max(k.endOffset, s.Next()), readAt
	}
	if s.Reachable() && readAt.After(k.reachableAt) {
		k.reachableAt = readAt
	}
}

// updateFromPush takes the statement of a push.
func (k *logHealth) updateFromPush(now time.Time, s message.LogStatus) {
	k.update(now, now.Add(-maxPushTransit), s)
}

// status returns what the node can tell others.
func (k *logHealth) status(now time.Time, limit time.Duration) message.LogStatus {
	up := !k.reachableAt.IsZero() && now.Sub(k.reachableAt) <= limit
	if k.endReadAt.IsZero() {
		return message.NewUnknownLogStatus(up)
	}
	return message.NewLogStatus(k.endOffset, max(now.Sub(k.endReadAt), 0), up)
}

// logUnreachable tells whether nobody has said lately that the log can be read.
func (m *Machine) logUnreachable(now time.Time) bool {
	since := m.logHealth.reachableAt
	if since.IsZero() {
		since = m.startedAt
	}
	return now.Sub(since) > m.settings.MaxLogStatusAge
}

func (m *Machine) logStatus(now time.Time) message.LogStatus {
	return m.logHealth.status(now, m.settings.MaxLogStatusAge)
}

// countConflict counts contents that contradict what this node has folded. They are never applied.
func (m *Machine) countConflict() { m.counts.Conflicts++ }
