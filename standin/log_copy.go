package standin

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerStoreEra is the header of all responses with the era of the log.
const headerStoreEra = "Store-Era"

var (
	errPersistent = errors.New("a log that writes to a file cannot return from a copy")
	errNoCopy     = errors.New("no copy has been taken")
)

// eraWriter adds the era to a response.
type eraWriter struct {
	http.ResponseWriter
	log     *Log
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.written {
		w.written = true
		w.Header().Set(headerStoreEra, strconv.FormatUint(w.log.Era(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the writer for http.ResponseController.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// LogCopy is a copy of the contents of a Log.
type LogCopy struct {
	streams map[string]*logStream
}

// Era returns the number of times that the log has returned from a copy, plus one.
func (l *Log) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// Copy returns a copy of all streams.
func (l *Log) Copy() LogCopy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogCopy{streams: cloneStreams(l.streams)}
}

// Restore replaces the contents of the log by a copy, which raises the era: what was appended since is lost, and offsets
// are given out again. Groups lose their members. Waiting reads start anew.
func (l *Log) Restore(c LogCopy) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		return errPersistent
	}
	previous := l.streams
	l.streams, l.groups = cloneStreams(c.streams), make(map[string]*logGroup)
	l.era++
	for _, s := range previous {
		s.notifyReaders()
	}
	return nil
}

func cloneStreams(streams map[string]*logStream) map[string]*logStream {
	clone := make(map[string]*logStream, len(streams))
	for name, s := range streams {
		clone[name] = &logStream{
			keyed: s.keyed, first: s.first, entries: slices.Clone(s.entries), newest: slices.Clone(s.newest),
			changed: make(chan struct{}), producers: s.producers.clone(),
		}
	}
	return clone
}

func (p producerStates) clone() producerStates {
	clone := make(producerStates, len(p))
	for name, state := range maps.All(p) {
		copied := *state
		copied.recentResponses = slices.Clone(state.recentResponses)
		clone[name] = &copied
	}
	return clone
}
