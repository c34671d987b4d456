package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Detection of pauses of the process. Messages received right after a pause may have waited in a socket buffer, so
// the ages they state are too low.
const (
	pauseThreshold = time.Second            // time between two events beyond which the process was paused
	pauseDistrust  = 500 * time.Millisecond // time after a pause for which statuses of the log are ignored
)

// maxPushTransit is an upper bound on the transit time of a push. A push does not state when it was sent, so the
// receiver adds this time to the age of its log status.
const maxPushTransit = 2 * time.Second

// logHealth is what a node knows about the log and its readers.
type logHealth struct {
	lastHeartbeatAt time.Time // last heartbeat of a log reader, or the start
	lastEventAt     time.Time // last event of any kind, to detect pauses
	distrustUntil   time.Time // log statuses in messages are ignored until then

	endOffset      record.Offset // offset of the log's next append as of endReadAt
	endReadAt      time.Time     // zero if unknown
	reachableAt    time.Time     // when a node is last known to have read the log; zero if never
	reportedGapEnd record.Offset // end of the gap that a log reader reported, or zero
	gapReportedAt  time.Time     // when reportedGapEnd was last set, which every push does
}

// detectPause starts to ignore log statuses for a while if the process was paused before now.
func (h *logHealth) detectPause(now time.Time) {
	if !h.lastEventAt.IsZero() && now.Sub(h.lastEventAt) > pauseThreshold {
		h.distrustUntil = now.Add(pauseDistrust)
	}
	h.lastEventAt = now
}

// distrusts reports whether log statuses in messages are ignored because of a pause.
func (h *logHealth) distrusts(now time.Time) bool { return now.Before(h.distrustUntil) }

// update takes over a log status that was correct no later than sent.
func (h *logHealth) update(now, sent time.Time, s message.LogStatus) {
	if h.distrusts(now) || !s.Known() {
		return
	}
	readAt := sent.Add(-s.Age())
	if readAt.After(h.endReadAt) {
		h.endOffset, h.endReadAt = max(h.endOffset, s.Next()), readAt
	}
	if s.Reachable() && readAt.After(h.reachableAt) {
		h.reachableAt = readAt
	}
}

// updateFromPush takes over the log status of a push.
func (h *logHealth) updateFromPush(now time.Time, s message.LogStatus) {
	h.update(now, now.Add(-maxPushTransit), s)
}

// status returns the log status that the node sends to others. The log counts as reachable if it was read within
// limit.
func (h *logHealth) status(now time.Time, limit time.Duration) message.LogStatus {
	up := !h.reachableAt.IsZero() && now.Sub(h.reachableAt) <= limit
	if h.endReadAt.IsZero() {
		return message.NewUnknownLogStatus(up)
	}
	return message.NewLogStatus(h.endOffset, max(now.Sub(h.endReadAt), 0), up)
}

// logUnreachable reports whether no node is known to have read the log recently.
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

// countConflict counts a digest or entries that contradict the node's state. Such entries are never applied.
func (m *Machine) countConflict() { m.counts.Conflicts++ }
