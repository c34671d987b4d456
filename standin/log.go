// Package standin holds small programs that take the place of the platform in tests and demos: a log service
// and a backend server, with ways to make them fail.
package standin

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bambooknot/bambooknot/timer"
)

// LogSettings are the limits of a Log.
type LogSettings struct {
	MaxEntries       int           // entries kept per stream
	MaxAge           time.Duration // time for which an entry is kept, 0 for no limit
	AppendsPerSecond int           // appends taken per second, over all streams
	MaxEntrySize     int           // size of an entry in bytes
}

// DefaultLogSettings returns limits like those of the platform.
func DefaultLogSettings() LogSettings {
	return LogSettings{MaxEntries: 10_000, MaxAge: 24 * time.Hour, AppendsPerSecond: 500, MaxEntrySize: 64 << 10}
}

// Limits that do not vary.
const (
	maxStreams   = 100
	maxReadWait   = 30 * time.Second
	maxPageBytes = 1 << 20
	maxRequestBytes      = 2 << 20
	entryPrefixBytes  = 4 // bytes before each entry
)

var (
	errTooManyStreams = errors.New("there are too many streams")
	errEntryTooLarge  = errors.New("an entry is too large")
	errTruncatedBody    = errors.New("the body ends within an entry")
	errAppendRate        = errors.New("too many appends a second")
	errOutage      = errors.New("the log is out of service")
)

// Log is a stand-in for the platform's store, as an http.Handler:
//
//	POST /v1/log-append?topic=&part=0&at=        appends the entries in the body, each after its length in four
//	                                             bytes, and answers {"offset": N, "end_offset": N}
//	GET  /v1/log-read?topic=&part=0&from=&wait_ms=&max_kb=   answers the next offset and the first one kept,
//	                                             eight bytes each, and entries as above
//	GET  /v1/log-newest?topic=&part=0&after=     answers the newest entry of each key of a topic "keyed.NAME"
//	POST /v1/log-trim?topic=&part=0&before=      drops entries
//	POST /v1/log-join, -leave, -commit, GET /v1/log-owners   share partitions among the members of a group
//
// An append may name a producer with its epoch and sequence; one that repeats an earlier turn gets its first answer.
// A read waits up to wait_ms for a first entry. It answers 410 with first when from was trimmed. An append beyond
// the rate gets 429, beyond the size 413. The endpoints below /control/ make the log fail.
type Log struct {
	settings LogSettings
	timer    *timer.Service
	mux      *http.ServeMux
	limiter  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*logStream
	groups  map[string]*logGroup
	file   *entryFile // nil keeps entries in memory only
	faults  logFaults
	closed  chan struct{}
	requests  sync.WaitGroup
	stopped bool
}

// NewLog returns an empty log without faults.
func NewLog(settings LogSettings, t *timer.Service) *Log {
	l := &Log{
		settings: settings,
		timer:    t,
		mux:      http.NewServeMux(),
		limiter:  rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), max(1, settings.AppendsPerSecond/10)),
		streams:  make(map[string]*logStream),
		groups:   make(map[string]*logGroup),
		faults:   newLogFaults(),
		closed:   make(chan struct{}),
	}
	l.mux.HandleFunc("POST /v1/log-append", l.serveAppend)
	l.mux.HandleFunc("GET /v1/log-read", l.serveRead)
	l.mux.HandleFunc("GET /v1/log-newest", l.serveNewest)
	l.mux.HandleFunc("POST /v1/log-trim", l.serveTrim)
	l.routeGroups()
	l.routeControl()
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.beginRequest() {
		writeError(w, http.StatusServiceUnavailable, errOutage)
		return
	}
	defer l.requests.Done()
	l.mux.ServeHTTP(w, r)
}

func (l *Log) beginRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.requests.Add(1)
	return true
}

// Close ends all waiting requests and waits for them to return.
func (l *Log) Close() {
	l.mu.Lock()
	if !l.stopped {
		l.stopped = true
		close(l.closed)
	}
	l.mu.Unlock()
	l.requests.Wait()
	l.file.close()
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	entries, err2 := decodeEntries(data)
	if err = errors.Join(err, err2); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	for _, e := range entries {
		if len(e) > l.settings.MaxEntrySize {
			writeError(w, http.StatusRequestEntityTooLarge, errEntryTooLarge)
			return
		}
	}
	at, err := parseExpectedEnd(r)
	turn, err2 := parseProducer(r)
	if err = errors.Join(err, err2); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	l.appendEntries(w, appendRequest{topic: r.FormValue("topic"), entries: entries, expectedEnd: at, producer: turn})
}

// parseExpectedEnd returns the offset at which the topic must end, or nil.
func parseExpectedEnd(r *http.Request) (*uint64, error) {
	text := r.FormValue("at")
	if text == "" {
		return nil, nil
	}
	at, err := strconv.ParseUint(text, 10, 64)
	return &at, err
}

func decodeEntries(data []byte) ([][]byte, error) {
	var entries [][]byte
	for len(data) > 0 {
		if len(data) < entryPrefixBytes {
			return nil, errTruncatedBody
		}
		size := binary.BigEndian.Uint32(data)
		data = data[entryPrefixBytes:]
		if uint64(size) > uint64(len(data)) {
			return nil, errTruncatedBody
		}
		entries = append(entries, data[:size:size])
		data = data[size:]
	}
	return entries, nil
}

// appendRequest is one call that appends entries.
type appendRequest struct {
	topic    string
	entries  [][]byte
	expectedEnd       *uint64 // where the topic must end, or nil
	producer *producerSequence
}

func (l *Log) appendEntries(w http.ResponseWriter, call appendRequest) {
	if !l.limiter.AllowN(l.timer.Now(), 1) {
		writeError(w, http.StatusTooManyRequests, errAppendRate)
		return
	}
	l.mu.Lock()
	fate := l.faults.nextAppendFault()
	if fate == appendFaultDelayed {
		delay := l.faults.appendDelay
		l.mu.Unlock()
		l.timer.After(delay, func(time.Time) { l.applyDelayed(call) })
		panic(http.ErrAbortHandler) // breaks the connection without an answer
	}
	status, body := l.apply(call)
	l.mu.Unlock()
	if fate == appendFaultLostAck {
		panic(http.ErrAbortHandler)
	}
	writeStatusJSON(w, status, body)
}

// applyDelayed carries out a call whose caller has got no answer.
func (l *Log) applyDelayed(call appendRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.apply(call) // nobody waits for the result
	}
}

// apply appends entries and returns what to answer. The caller holds mu.
func (l *Log) apply(call appendRequest) (status int, body any) {
	now := l.timer.Now()
	s, err := l.stream(call.topic)
	if err != nil {
		return http.StatusBadRequest, errorResponse{Reason: err.Error()}
	}
	if call.producer != nil {
		if status, body, settled := s.producers.checkSequence(*call.producer); settled {
			return status, body
		}
	}
	offset := s.nextOffset()
	if call.expectedEnd != nil && *call.expectedEnd != offset {
		return http.StatusPreconditionFailed, appendResponse{End: offset}
	}
	for _, data := range call.entries {
		if err := l.file.write(call.topic, now, data); err != nil {
			return http.StatusInternalServerError, errorResponse{Reason: err.Error()}
		}
		s.add(now, data)
	}
	done := appendResponse{Offset: offset, End: s.nextOffset()}
	s.applyRetention(now, l.settings)
	if call.producer != nil {
		s.producers.recordAppend(*call.producer, done)
	}
	return http.StatusOK, done
}

// stream returns the stream of that name and creates it if need be. The caller holds mu.
func (l *Log) stream(name string) (*logStream, error) {
	if s, ok := l.streams[name]; ok {
		return s, nil
	}
	if len(l.streams) >= maxStreams {
		return nil, errTooManyStreams
	}
	s := newLogStream(name)
	l.streams[name] = s
	return s, nil
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseReadRequest(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	page, trimmed, err := l.waitForPage(r, q)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err)
	case trimmed:
		writeStatusJSON(w, http.StatusGone, trimmedResponse{First: page.first})
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(page.encode()) // the reader may have gone
	}
}

func writeError(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}

func writeStatusJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the reader may have gone
}

type readRequest struct {
	topic string
	from  uint64
	maxWait  time.Duration
	maxBytes int
}

func parseReadRequest(r *http.Request) (readRequest, error) {
	q := readRequest{topic: r.FormValue("topic"), maxBytes: maxPageBytes}
	var err error
	if text := r.FormValue("from"); text != "" {
		if q.from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, err
		}
	}
	if text := r.FormValue("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return q, err
		}
		q.maxWait = time.Duration(ms) * time.Millisecond
	}
	if text := r.FormValue("max_kb"); text != "" {
		kb, err := strconv.Atoi(text)
		if err != nil {
			return q, err
		}
		q.maxBytes = kb << 10
	}
	q.maxWait = max(0, min(q.maxWait, maxReadWait))
	q.maxBytes = max(1, min(q.maxBytes, maxPageBytes))
	return q, nil
}
