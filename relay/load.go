package relay

import (
	"errors"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// readOffset returns the offset of the next read: the head, or what the loader needs after a gap.
func (m *Machine) readOffset() record.Offset {
	l := m.reader.loader
	if l == nil || l.Next() <= m.replica.state.Head() {
		return m.replica.state.Head()
	}
	return l.Next()
}

// startLoading begins to load from a stream that has lost entries which this node lacks. What is held stays
// in force meanwhile.
func (m *Machine) startLoading(now time.Time, page message.LogPage) {
	m.reader.behindTrim, m.reader.gapEnd = true, page.First()
	m.reader.loader = catalog.NewLoaderWithMinVersion(page.First(), m.replica.state.Version(), m.replica.newestSchema)
	m.logHealth.update(now, m.reader.requestedAt, message.NewLogStatus(page.Next(), 0, true))
	m.reader.nextReadAt = now.Add(m.jitter(m.settings.MaxReadBackoff / 4))
}

// loadPage gives a page to the loader, if there is a gap. It returns false when that used the page up.
func (m *Machine) loadPage(now time.Time, page message.LogPage) bool {
	l := m.reader.loader
	if l == nil {
		return true
	}
	if m.replica.state.Head() >= page.First() && m.readOffset() == m.replica.state.Head() {
		m.closeGap()
		return true
	}
	err := l.Add(page.Entries())
	m.handleLoadError(err)
	if l.State() != nil && m.replica.replace(l.State()) {
		m.counts.StatesInstalled++
		m.closeGap()
		return false
	}
	if l.Next() >= page.Next() {
		m.reader.lastErr = l.End()
		m.reader.nextReadAt = now.Add(m.settings.MaxReadBackoff)
	}
	return false
}

func (m *Machine) handleLoadError(err error) {
	var gap *catalog.GapError
	if errors.As(err, &gap) {
		m.reader.loader = nil
		return
	}
	m.replica.noteMissingLevel(err)
}

func (m *Machine) closeGap() {
	m.reader.behindTrim = false
	m.reader.loader = nil
	m.reader.lastErr = nil
}
