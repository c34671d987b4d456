package standin

import (
	"net/http"
	"slices"
	"time"
)

type logAppended struct {
	Offset uint64 `json:"offset"`
}

type logEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type logPage struct {
	First   uint64     `json:"first"`
	Next    uint64     `json:"next"`
	Entries []logEntry `json:"entries"`
}

type keptEntry struct {
	at   time.Time
	data []byte
}

// logStream holds the entries from first on. The mutex of the Log guards it.
type logStream struct {
	first   uint64
	entries []keptEntry
	changed chan struct{} // closed and replaced when readers should look again
}

func newLogStream() *logStream { return &logStream{changed: make(chan struct{})} }

func (s *logStream) next() uint64 { return s.first + uint64(len(s.entries)) }

func (s *logStream) add(now time.Time, data []byte) uint64 {
	offset := s.next()
	s.entries = append(s.entries, keptEntry{at: now, data: data})
	s.wake()
	return offset
}

func (s *logStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops entries beyond the retention.
func (s *logStream) trim(now time.Time, settings LogSettings) {
	drop := max(0, len(s.entries)-settings.Retain)
	for settings.RetainAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].at) > settings.RetainAge {
		drop++
	}
	s.drop(drop)
}

func (s *logStream) drop(n int) {
	if n <= 0 {
		return
	}
	n = min(n, len(s.entries))
	s.entries = slices.Clone(s.entries[n:])
	s.first += uint64(n)
}

func (s *logStream) page(from uint64, limit int) logPage {
	p := logPage{First: s.first, Next: s.next(), Entries: []logEntry{}}
	size := 0
	for offset := max(from, s.first); offset < p.Next && len(p.Entries) < limit; offset++ {
		data := s.entries[offset-s.first].data
		size += len(data)
		if size > maxPageBytes && len(p.Entries) > 0 {
			break
		}
		p.Entries = append(p.Entries, logEntry{Offset: offset, Data: data})
	}
	return p
}

// readPage waits for a first entry. The flag tells that the entry wanted is no longer kept.
func (l *Log) readPage(r *http.Request, q logQuery) (logPage, bool, error) {
	expired := make(chan struct{})
	if q.wait > 0 {
		sub := l.timer.After(q.wait, func(time.Time) { close(expired) })
		defer sub.Close()
	} else {
		close(expired)
	}
	for {
		page, trimmed, changed, err := l.look(r.PathValue("name"), q)
		if err != nil || trimmed || len(page.Entries) > 0 || q.from > page.Next {
			return page, trimmed, err
		}
		select {
		case <-changed:
		case <-expired:
			return page, false, nil
		case <-r.Context().Done():
			return page, false, r.Context().Err()
		case <-l.closed:
			return page, false, errOutage
		}
	}
}

func (l *Log) look(name string, q logQuery) (logPage, bool, <-chan struct{}, error) {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.outage != OutageOff {
		return logPage{}, false, nil, errOutage
	}
	s, err := l.stream(name)
	if err != nil {
		return logPage{}, false, nil, err
	}
	s.trim(now, l.settings)
	if q.from < s.first {
		return logPage{First: s.first, Next: s.next(), Entries: []logEntry{}}, true, nil, nil
	}
	return s.page(q.from, q.limit), false, s.changed, nil
}
