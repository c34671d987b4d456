package relay

import (
	"errors"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// readOffset returns the offset of the next read: the node's head, or the next offset of the loader if that is greater.
func (m *Machine) readOffset() record.Offset {
	l := m.reader.loader
	if l == nil || l.Next() <= m.replica.state.Head() {
		return m.replica.state.Head()
	}
	return l.Next()
}

// startLoading starts to search for a checkpoint after the log has trimmed entries that this node lacks. Until one is
// found, the node keeps its state.
func (m *Machine) startLoading(now time.Time, page message.LogPage) {
	m.reader.lacksTrimmed, m.reader.loadStart = true, page.First()
	m.reader.loader = catalog.NewLoaderWithMinVersion(page.First(), m.replica.state.Version(), m.replica.newestSchema)
	m.logHealth.update(now, m.reader.requestedAt, message.NewLogStatus(page.Next(), 0, true))
	m.reader.nextReadAt = now.Add(m.jitter(m.settings.MaxReadBackoff / 4))
}

// loadPage passes a page to the loader, if there is one. It reports whether the page must still be applied to the
// node's state.
func (m *Machine) loadPage(now time.Time, page message.LogPage) bool {
	l := m.reader.loader
	if l == nil {
		return true
	}
	if m.replica.state.Head() >= page.First() && m.readOffset() == m.replica.state.Head() {
		m.endLoading()
		return true
	}
	err := l.Add(page.Entries())
	m.handleLoadError(err)
	if l.State() != nil && m.replica.replace(l.State()) {
		m.counts.StatesInstalled++
		m.endLoading()
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

// endLoading ends the search for a checkpoint.
func (m *Machine) endLoading() {
	m.reader.lacksTrimmed = false
	m.reader.loader = nil
	m.reader.lastErr = nil
}
