package standin

import (
	"encoding/binary"
	"net/http"
	"slices"
	"strings"
	"time"
)

type logAppended struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end_offset"`
}

// logRefused says why a call was refused.
type logRefused struct {
	Why      string `json:"why"`
	Sequence uint64 `json:"sequence,omitempty"` // expected from the producer
}

type logGone struct {
	First uint64 `json:"first"`
}

// logPage is the answer to a read.
type logPage struct {
	first   uint64
	next    uint64
	entries [][]byte
}

func (p logPage) encode() []byte {
	data := binary.BigEndian.AppendUint64(nil, p.next)
	data = binary.BigEndian.AppendUint64(data, p.first)
	for _, e := range p.entries {
		data = binary.BigEndian.AppendUint32(data, uint32(len(e)))
		data = append(data, e...)
	}
	return data
}

type keptEntry struct {
	at   time.Time
	data []byte
}

// logStream holds the entries from first on. The mutex of the Log guards it.
type logStream struct {
	keyed   bool
	first   uint64
	entries []keptEntry
	newest  []keyedEntry  // of a keyed topic, ordered by key
	changed chan struct{} // closed and replaced when readers should look again

	producers producers
}

func newLogStream(topic string) *logStream {
	return &logStream{keyed: strings.HasPrefix(topic, keyedPrefix), changed: make(chan struct{}), producers: make(producers)}
}

func (s *logStream) next() uint64 { return s.first + uint64(len(s.entries)) }

func (s *logStream) add(now time.Time, data []byte) uint64 {
	offset := s.next()
	if s.keyed {
		s.noteKeyed(data, offset)
	}
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
	drop := max(0, len(s.entries)-settings.MaxEntries)
	for settings.MaxAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].at) > settings.MaxAge {
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
	p := logPage{first: s.first, next: s.next()}
	size := 0
	for offset := max(from, s.first); offset < p.next; offset++ {
		data := s.entries[offset-s.first].data
		size += len(data)
		if size > limit && len(p.entries) > 0 {
			break
		}
		p.entries = append(p.entries, data)
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
		page, trimmed, changed, err := l.look(q)
		if err != nil || trimmed || len(page.entries) > 0 || q.from > page.next {
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

func (l *Log) look(q logQuery) (logPage, bool, <-chan struct{}, error) {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.outage != OutageOff {
		return logPage{}, false, nil, errOutage
	}
	s, err := l.stream(q.topic)
	if err != nil {
		return logPage{}, false, nil, err
	}
	s.trim(now, l.settings)
	if q.from < s.first {
		return logPage{first: s.first, next: s.next()}, true, nil, nil
	}
	return s.page(q.from, q.bytes), false, s.changed, nil
}
