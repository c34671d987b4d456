package relay

import (
	"errors"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// readFrom returns the offset of the next read: the head, or what the loader needs after a gap.
func (m *Machine) readFrom() record.Offset {
	l := m.log.loader
	if l == nil || l.Next() <= m.holding.state.Head() {
		return m.holding.state.Head()
	}
	return l.Next()
}

// trimmed begins to load from a stream that has lost entries which this node lacks. What is held stays
// in force meanwhile.
func (m *Machine) trimmed(now time.Time, page message.LogPage) {
	m.log.gap, m.log.first = true, page.First()
	m.log.loader = catalog.NewLoaderWithMinVersion(page.First(), m.holding.state.Version(), m.holding.newest)
	m.known.learn(now, m.log.asked, message.NewLogStatus(page.Next(), 0, true))
	m.log.notBefore = now.Add(m.jitter(m.settings.MaxReadBackoff / 4))
}

// load gives a page to the loader, if there is a gap. It returns false when that used the page up.
func (m *Machine) load(now time.Time, page message.LogPage) bool {
	l := m.log.loader
	if l == nil {
		return true
	}
	if m.holding.state.Head() >= page.First() && m.readFrom() == m.holding.state.Head() {
		m.closeGap()
		return true
	}
	err := l.Add(page.Entries())
	m.noteLoadError(err)
	if l.State() != nil && m.holding.replace(l.State()) {
		m.counts.StatesInstalled++
		m.closeGap()
		return false
	}
	if l.Next() >= page.Next() {
		m.log.fault = l.End()
		m.log.notBefore = now.Add(m.settings.MaxReadBackoff)
	}
	return false
}

func (m *Machine) noteLoadError(err error) {
	var gap *catalog.GapError
	if errors.As(err, &gap) {
		m.log.loader = nil
		return
	}
	m.holding.noteLevel(err)
}

func (m *Machine) closeGap() {
	m.log.gap = false
	m.log.loader = nil
	m.log.fault = nil
}
