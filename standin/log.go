// Package standin holds small programs that take the place of the platform in tests and demos: a log service
// and a backend server, with ways to make them fail.
package standin

import (
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
	Retain           int           // entries kept per stream
	RetainAge        time.Duration // time for which an entry is kept, 0 for no limit
	AppendsPerSecond int           // appends taken per second, over all streams
	MaxEntry         int           // size of an entry in bytes
}

// DefaultLogSettings returns limits like those of the platform.
func DefaultLogSettings() LogSettings {
	return LogSettings{Retain: 10_000, RetainAge: 24 * time.Hour, AppendsPerSecond: 500, MaxEntry: 64 << 10}
}

// Limits that do not vary.
const (
	maxStreams   = 64
	maxLogPage   = 1024
	maxLogWait   = time.Minute
	maxPageBytes = 2 << 20
)

var (
	errManyStreams = errors.New("there are too many streams")
	errEmptyEntry  = errors.New("the entry is empty")
	errRate        = errors.New("too many appends a second")
	errOutage      = errors.New("the log is out of service")
)

// Log is a stand-in for the platform's append-only log service, as an http.Handler:
//
//	POST /streams/NAME               appends the body and answers {"offset": N}
//	GET  /streams/NAME?from=&wait=&max=   answers {"first":, "next":, "entries": [{"offset":, "data":}]}
//
// A read waits up to wait for a first entry. It answers 410 with first and next when from was trimmed. An append
// beyond the rate gets 429, beyond the size 413. The endpoints below /control/ make the log fail.
type Log struct {
	settings LogSettings
	timer    *timer.Service
	mux      *http.ServeMux
	limiter  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*logStream
	store   *logStore // nil keeps entries in memory only
	faults  logFaults
	closed  chan struct{}
	active  sync.WaitGroup
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
		faults:   newLogFaults(),
		closed:   make(chan struct{}),
	}
	l.mux.HandleFunc("POST /streams/{name}", l.serveAppend)
	l.mux.HandleFunc("GET /streams/{name}", l.serveRead)
	l.routeControl()
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.enter() {
		refuse(w, http.StatusServiceUnavailable, errOutage)
		return
	}
	defer l.active.Done()
	l.mux.ServeHTTP(w, r)
}

func (l *Log) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.active.Add(1)
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
	l.active.Wait()
	l.store.close()
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(l.settings.MaxEntry)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(w, http.StatusRequestEntityTooLarge, err)
		return
	case err != nil:
		refuse(w, http.StatusBadRequest, err)
		return
	case len(data) == 0:
		refuse(w, http.StatusBadRequest, errEmptyEntry)
		return
	}
	if !l.pass(w, r) {
		return
	}
	l.appendEntry(w, r.PathValue("name"), data)
}

func (l *Log) appendEntry(w http.ResponseWriter, name string, data []byte) {
	now := l.timer.Now()
	if !l.limiter.AllowN(now, 1) {
		refuse(w, http.StatusTooManyRequests, errRate)
		return
	}
	l.mu.Lock()
	s, err := l.stream(name)
	if err != nil {
		l.mu.Unlock()
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if err := l.store.write(name, now, data); err != nil {
		l.mu.Unlock()
		refuse(w, http.StatusInternalServerError, err)
		return
	}
	offset := s.add(now, data)
	s.trim(now, l.settings)
	lost := l.faults.takeLostAck()
	l.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // breaks the connection without an answer
	}
	answer(w, http.StatusOK, logAppended{Offset: offset})
}

// stream returns the stream of that name and creates it if need be. The caller holds mu.
func (l *Log) stream(name string) (*logStream, error) {
	if s, ok := l.streams[name]; ok {
		return s, nil
	}
	if len(l.streams) >= maxStreams {
		return nil, errManyStreams
	}
	s := newLogStream()
	l.streams[name] = s
	return s, nil
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseLogQuery(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if !l.pass(w, r) {
		return
	}
	page, trimmed, err := l.readPage(r, q)
	switch {
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, err)
	case trimmed:
		answer(w, http.StatusGone, page)
	default:
		answer(w, http.StatusOK, page)
	}
}

func refuse(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the reader may have gone
}

type logQuery struct {
	from  uint64
	wait  time.Duration
	limit int
}

func parseLogQuery(r *http.Request) (logQuery, error) {
	q := logQuery{limit: maxLogPage}
	form := r.URL.Query()
	var err error
	if text := form.Get("from"); text != "" {
		if q.from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, err
		}
	}
	if text := form.Get("wait"); text != "" {
		if q.wait, err = time.ParseDuration(text); err != nil {
			return q, err
		}
	}
	if text := form.Get("max"); text != "" {
		if q.limit, err = strconv.Atoi(text); err != nil {
			return q, err
		}
	}
	q.wait = max(0, min(q.wait, maxLogWait))
	q.limit = max(1, min(q.limit, maxLogPage))
	return q, nil
}
