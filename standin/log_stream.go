package standin

import (
	"encoding/binary"
	"net/http"
	"slices"
	"strings"
	"time"
)

type appendResponse struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end_offset"`
}

// errorResponse says why a call was refused.
type errorResponse struct {
	Reason      string `json:"why"`
	Sequence uint64 `json:"sequence,omitempty"` // expected from the producer
}

type trimmedResponse struct {
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

type logEntry struct {
	appendedAt   time.Time
	data []byte
}

// logStream holds the entries from first on. The mutex of the Log guards it.
type logStream struct {
	keyed   bool
	first   uint64
	entries []logEntry
	newest  []keyedEntry  // of a keyed topic, ordered by key
	changed chan struct{} // closed and replaced when readers should look again

	producers producerStates
}

func newLogStream(topic string) *logStream {
	return &logStream{keyed: strings.HasPrefix(topic, keyedPrefix), changed: make(chan struct{}), producers: make(producerStates)}
}

func (s *logStream) nextOffset() uint64 { return s.first + uint64(len(s.entries)) }

func (s *logStream) add(now time.Time, data []byte) uint64 {
	offset := s.nextOffset()
	if s.keyed {
		s.updateNewest(data, offset)
	}
	s.entries = append(s.entries, logEntry{appendedAt: now, data: data})
	s.notifyReaders()
	return offset
}

func (s *logStream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyRetention drops entries beyond the retention.
func (s *logStream) applyRetention(now time.Time, settings LogSettings) {
	drop := max(0, len(s.entries)-settings.MaxEntries)
	for settings.MaxAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].appendedAt) > settings.MaxAge {
		drop++
	}
	s.dropOldest(drop)
}

func (s *logStream) dropOldest(n int) {
	if n <= 0 {
		return
	}
	n = min(n, len(s.entries))
	s.entries = slices.Clone(s.entries[n:])
	s.first += uint64(n)
}

func (s *logStream) pageFrom(from uint64, limit int) logPage {
	p := logPage{first: s.first, next: s.nextOffset()}
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

// waitForPage waits for a first entry. The flag tells that the entry wanted is no longer kept.
func (l *Log) waitForPage(r *http.Request, q readRequest) (logPage, bool, error) {
	expired := make(chan struct{})
	if q.maxWait > 0 {
		sub := l.timer.After(q.maxWait, func(time.Time) { close(expired) })
		defer sub.Close()
	} else {
		close(expired)
	}
	for {
		page, trimmed, changed, err := l.readPage(q)
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

func (l *Log) readPage(q readRequest) (logPage, bool, <-chan struct{}, error) {
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
	s.applyRetention(now, l.settings)
	if q.from < s.first {
		return logPage{first: s.first, next: s.nextOffset()}, true, nil, nil
	}
	return s.pageFrom(q.from, q.maxBytes), false, s.changed, nil
}
