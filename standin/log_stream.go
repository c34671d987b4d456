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

// errorResponse is the body of the response to a rejected request.
type errorResponse struct {
	Reason   string `json:"why"`
	Sequence uint64 `json:"sequence,omitempty"` // sequence number expected next from the producer
}

type trimmedResponse struct {
	First uint64 `json:"first"`
	End   uint64 `json:"end_offset"`
}

// logPage is the response to a read.
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
	appendedAt time.Time
	data       []byte
}

// logStream holds the entries of a topic from offset first on. It is guarded by the mutex of the Log.
type logStream struct {
	keyed   bool
	first   uint64
	entries []logEntry
	newest  []keyedEntry  // newest entry of each key of a keyed topic, ordered by key
	changed chan struct{} // closed and replaced when entries are added or the outage changes

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

// applyRetention deletes the oldest entries until the limits of the settings are met.
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

// waitForPage waits up to req.maxWait for a first entry. The boolean reports whether the entry at req.from has been
// trimmed.
func (l *Log) waitForPage(r *http.Request, req readRequest) (logPage, bool, error) {
	expired := make(chan struct{})
	if req.maxWait > 0 {
		sub := l.timer.After(req.maxWait, func(time.Time) { close(expired) })
		defer sub.Close()
	} else {
		close(expired)
	}
	for {
		page, trimmed, changed, err := l.readPage(req)
		if err != nil || trimmed || len(page.entries) > 0 || req.from > page.next {
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

// readPage returns the entries from req.from on without waiting, whether the entry at req.from has been trimmed, and
// the channel that is closed when entries are added or the outage changes.
func (l *Log) readPage(req readRequest) (logPage, bool, <-chan struct{}, error) {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.outage != OutageOff {
		return logPage{}, false, nil, errOutage
	}
	s, err := l.stream(req.topic)
	if err != nil {
		return logPage{}, false, nil, err
	}
	s.applyRetention(now, l.settings)
	if req.from < s.first {
		return logPage{first: s.first, next: s.nextOffset()}, true, nil, nil
	}
	return s.pageFrom(req.from, req.maxBytes), false, s.changed, nil
}
