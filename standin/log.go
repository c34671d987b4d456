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
	MaxEntries       int           // maximum number of entries kept per stream
	MaxAge           time.Duration // maximum age of kept entries, 0 for no limit
	AppendsPerSecond int           // append requests accepted per second over all streams
	MaxEntrySize     int           // maximum size of an entry in bytes
}

// DefaultLogSettings returns limits like those of the platform's log service.
func DefaultLogSettings() LogSettings {
	return LogSettings{MaxEntries: 10_000, MaxAge: 24 * time.Hour, AppendsPerSecond: 500, MaxEntrySize: 64 << 10}
}

// Limits that are not configurable.
const (
	maxStreams       = 100
	maxReadWait      = 30 * time.Second
	maxPageBytes     = 1 << 20
	maxRequestBytes  = 2 << 20
	entryPrefixBytes = 4 // bytes of the length before each entry
)

var (
	errTooManyStreams = errors.New("there are too many streams")
	errEntryTooLarge  = errors.New("an entry is too large")
	errTruncatedBody  = errors.New("the body ends within an entry")
	errAppendRate     = errors.New("too many appends a second")
	errOutage         = errors.New("the log is out of service")
)

// Log is a stand-in for the platform's log service. It is an http.Handler:
//
//	POST /v1/log-append?topic=&part=0&at=        appends the entries in the body, each prefixed with its length in
//	                                             four bytes, and returns {"offset": N, "end_offset": N}
//	GET  /v1/log-read?topic=&part=0&from=&wait_ms=&max_kb=   returns the next offset and the first kept offset,
//	                                             eight bytes each, and entries encoded as above
//	GET  /v1/log-newest?topic=&part=0&after=     returns the newest entry of each key of a topic "keyed.NAME"
//	POST /v1/log-trim?topic=&part=0&before=      deletes the entries before an offset
//	POST /v1/log-join, -leave, -commit, GET /v1/log-owners   assign partitions to the members of a group
//
// An append may carry a producer name with an epoch and a sequence number; a repeated sequence number gets the
// response to the first attempt. A read waits up to wait_ms for a first entry. It returns 410 and the first kept
// offset if the entry at from has been trimmed, or if from is behind the end. All responses have the header Store-Era. An append above the rate limit gets 429, above the size limit 413.
// The endpoints below /control/ inject faults.
type Log struct {
	settings LogSettings
	timer    *timer.Service
	mux      *http.ServeMux
	limiter  *rate.Limiter

	mu       sync.Mutex
	streams  map[string]*logStream
	groups   map[string]*logGroup
	era      uint64     // rises with each Restore
	file     *entryFile // nil if entries are kept in memory only
	faults   logFaults
	closed   chan struct{}
	requests sync.WaitGroup
	stopped  bool
}

// NewLog returns an empty log that injects no faults.
func NewLog(settings LogSettings, t *timer.Service) *Log {
	l := &Log{
		settings: settings,
		timer:    t,
		mux:      http.NewServeMux(),
		limiter:  rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), max(1, settings.AppendsPerSecond/10)),
		streams:  make(map[string]*logStream),
		groups:   make(map[string]*logGroup),
		era:      1,
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
	l.mux.ServeHTTP(&eraWriter{ResponseWriter: w, log: l}, r)
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

// Close ends all waiting requests, waits until they have returned and closes the file.
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
	expectedEnd, err := parseExpectedEnd(r)
	producer, err2 := parseProducer(r)
	if err = errors.Join(err, err2); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	l.appendEntries(w, appendRequest{topic: r.FormValue("topic"), entries: entries, expectedEnd: expectedEnd, producer: producer})
}

// parseExpectedEnd returns the end offset that the append requires of the topic, or nil if it requires none.
func parseExpectedEnd(r *http.Request) (*uint64, error) {
	text := r.FormValue("at")
	if text == "" {
		return nil, nil
	}
	offset, err := strconv.ParseUint(text, 10, 64)
	return &offset, err
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

type appendRequest struct {
	topic       string
	entries     [][]byte
	expectedEnd *uint64 // required end offset of the topic, nil for none
	producer    *producerSequence
}

func (l *Log) appendEntries(w http.ResponseWriter, req appendRequest) {
	if !l.limiter.AllowN(l.timer.Now(), 1) {
		writeError(w, http.StatusTooManyRequests, errAppendRate)
		return
	}
	l.mu.Lock()
	fault := l.faults.nextAppendFault()
	if fault == appendFaultDelayed {
		delay := l.faults.appendDelay
		l.mu.Unlock()
		l.timer.After(delay, func(time.Time) { l.applyDelayed(req) })
		panic(http.ErrAbortHandler) // breaks the connection without a response
	}
	status, body := l.apply(req)
	l.mu.Unlock()
	if fault == appendFaultLostAck {
		panic(http.ErrAbortHandler)
	}
	writeStatusJSON(w, status, body)
}

// applyDelayed applies an append whose connection has been broken.
func (l *Log) applyDelayed(req appendRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.apply(req) // the connection is broken, so the result is discarded
	}
}

// apply appends entries and returns the status and body of the response. The caller must hold mu.
func (l *Log) apply(req appendRequest) (status int, body any) {
	now := l.timer.Now()
	s, err := l.stream(req.topic)
	if err != nil {
		return http.StatusBadRequest, errorResponse{Reason: err.Error()}
	}
	if req.producer != nil {
		if status, body, settled := s.producers.checkSequence(*req.producer); settled {
			return status, body
		}
	}
	offset := s.nextOffset()
	if req.expectedEnd != nil && *req.expectedEnd != offset {
		return http.StatusPreconditionFailed, appendResponse{End: offset}
	}
	for _, data := range req.entries {
		if err := l.file.write(req.topic, now, data); err != nil {
			return http.StatusInternalServerError, errorResponse{Reason: err.Error()}
		}
		s.add(now, data)
	}
	response := appendResponse{Offset: offset, End: s.nextOffset()}
	s.applyRetention(now, l.settings)
	if req.producer != nil {
		s.producers.recordAppend(*req.producer, response)
	}
	return http.StatusOK, response
}

// stream returns the stream with a name and creates it if it does not exist. The caller must hold mu.
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
	req, err := parseReadRequest(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	page, trimmed, err := l.waitForPage(r, req)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err)
	case trimmed || req.from > page.next:
		writeStatusJSON(w, http.StatusGone, trimmedResponse{First: page.first, End: page.next})
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(page.encode()) // fails only if the client has disconnected
	}
}

func writeError(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}

func writeStatusJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

type readRequest struct {
	topic    string
	from     uint64
	maxWait  time.Duration
	maxBytes int
}

func parseReadRequest(r *http.Request) (readRequest, error) {
	req := readRequest{topic: r.FormValue("topic"), maxBytes: maxPageBytes}
	var err error
	if text := r.FormValue("from"); text != "" {
		if req.from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return req, err
		}
	}
	if text := r.FormValue("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return req, err
		}
		req.maxWait = time.Duration(ms) * time.Millisecond
	}
	if text := r.FormValue("max_kb"); text != "" {
		kb, err := strconv.Atoi(text)
		if err != nil {
			return req, err
		}
		req.maxBytes = kb << 10
	}
	req.maxWait = max(0, min(req.maxWait, maxReadWait))
	req.maxBytes = max(1, min(req.maxBytes, maxPageBytes))
	return req, nil
}
