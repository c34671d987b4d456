package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outage is the way in which a Log fails.
type Outage string

// Kinds of outages.
const (
	// OutageOff means that the log is in service.
	OutageOff Outage = "off"
	// OutageRefuse rejects requests with status 503 without applying them.
	OutageRefuse Outage = "refuse"
	// OutageDrop breaks connections without a response and without applying requests.
	OutageDrop Outage = "drop"
	// OutageHang holds requests back until the outage ends, and handles them then.
	OutageHang Outage = "hang"
)

// maxFaultDelay bounds the delays that can be injected.
const maxFaultDelay = time.Minute

// logFaults are the faults set through the control endpoints. They are guarded by the mutex of the Log.
type logFaults struct {
	outage         Outage
	requestDelay   time.Duration
	lostAcks       int // appends still to be applied without a response
	delayedAppends int // appends still to be left without a response and applied after appendDelay
	appendDelay    time.Duration
	outageChanged  chan struct{} // closed and replaced whenever the outage changes
}

func newLogFaults() logFaults {
	return logFaults{outage: OutageOff, outageChanged: make(chan struct{})}
}

// appendFault is the fault injected into one append.
type appendFault uint8

const (
	appendFaultNone    appendFault = iota
	appendFaultLostAck             // the append is applied, and its response is lost
	appendFaultDelayed             // the response is lost, and the append is applied later
)

func (f *logFaults) nextAppendFault() appendFault {
	switch {
	case f.lostAcks > 0:
		f.lostAcks--
		return appendFaultLostAck
	case f.delayedAppends > 0:
		f.delayedAppends--
		return appendFaultDelayed
	}
	return appendFaultNone
}

// SetOutage starts an outage, or ends it with OutageOff. Waiting reads fail when an outage starts. Entries are kept.
func (l *Log) SetOutage(kind Outage) error {
	switch kind {
	case OutageOff, OutageRefuse, OutageDrop, OutageHang:
	default:
		return fmt.Errorf("outage %q is unknown", kind)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.outage = kind
	close(l.faults.outageChanged)
	l.faults.outageChanged = make(chan struct{})
	for _, s := range l.streams {
		s.notifyReaders()
	}
	return nil
}

// SetRequestDelay makes the log wait before it handles each request. An append is applied even if its client has
// disconnected in the meantime.
func (l *Log) SetRequestDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.requestDelay = max(0, min(d, maxFaultDelay))
}

// LoseAcks makes the log apply the next count appends and break their connections without a response.
func (l *Log) LoseAcks(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.lostAcks = max(0, count)
}

// DelayAppends makes the log break the connections of the next count appends without a response and apply the
// appends after a delay, subject to the same checks as other appends.
func (l *Log) DelayAppends(count int, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.delayedAppends, l.faults.appendDelay = max(0, count), max(0, min(delay, maxFaultDelay))
}

// Trim deletes the entries of a stream before an offset.
func (l *Log) Trim(name string, before uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.stream(name)
	if err != nil {
		return err
	}
	if before > s.first {
		s.dropOldest(int(min(before-s.first, uint64(len(s.entries)))))
	}
	return nil
}

// applyFaults injects the delay and the outage that are set into a request. It reports whether to handle the request;
// if not, the response has been written or the client has disconnected.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	l.delayRequest()
	for {
		l.mu.Lock()
		kind, changed := l.faults.outage, l.faults.outageChanged
		l.mu.Unlock()
		switch kind {
		case OutageRefuse:
			writeError(w, http.StatusServiceUnavailable, errOutage)
			return false
		case OutageDrop:
			panic(http.ErrAbortHandler) // breaks the connection without a response
		case OutageOff:
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-l.closed:
			writeError(w, http.StatusServiceUnavailable, errOutage)
			return false
		}
	}
}

func (l *Log) delayRequest() {
	l.mu.Lock()
	delay := l.faults.requestDelay
	l.mu.Unlock()
	if delay == 0 {
		return
	}
	done := make(chan struct{})
	sub := l.timer.After(delay, func(time.Time) { close(done) })
	defer sub.Close()
	select {
	case <-done:
	case <-l.closed:
	}
}

func (l *Log) routeControl() {
	l.mux.HandleFunc("POST /control/outage", controlHandler(func(r *http.Request) error {
		return l.SetOutage(Outage(r.FormValue("kind")))
	}))
	l.mux.HandleFunc("POST /control/slow", controlHandler(func(r *http.Request) error {
		d, err := time.ParseDuration(r.FormValue("delay"))
		if err == nil {
			l.SetRequestDelay(d)
		}
		return err
	}))
	l.mux.HandleFunc("POST /control/lose-acks", controlHandler(func(r *http.Request) error {
		count, err := strconv.Atoi(r.FormValue("count"))
		if err == nil {
			l.LoseAcks(count)
		}
		return err
	}))
	l.mux.HandleFunc("POST /control/defer", controlHandler(func(r *http.Request) error {
		count, err := strconv.Atoi(r.FormValue("count"))
		delay, err2 := time.ParseDuration(r.FormValue("delay"))
		if err = errors.Join(err, err2); err == nil {
			l.DelayAppends(count, delay)
		}
		return err
	}))
	l.mux.HandleFunc("POST /control/reassign", controlHandler(func(r *http.Request) error {
		l.Reassign(r.FormValue("group"))
		return nil
	}))
	l.mux.HandleFunc("POST /control/trim", controlHandler(func(r *http.Request) error {
		before, err := strconv.ParseUint(r.FormValue("before"), 10, 64)
		if err != nil {
			return err
		}
		return l.Trim(r.FormValue("stream"), before)
	}))
	copies := make(chan LogCopy, 1) // holds the copy that /control/copy has taken last
	l.mux.HandleFunc("POST /control/copy", controlHandler(func(*http.Request) error {
		select {
		case <-copies:
		default:
		}
		copies <- l.Copy()
		return nil
	}))
	l.mux.HandleFunc("POST /control/restore", controlHandler(func(*http.Request) error {
		select {
		case c := <-copies:
			return l.Restore(c)
		default:
			return errNoCopy
		}
	}))
	l.mux.HandleFunc("GET /control/status", l.serveStatus)
}

func controlHandler(do func(r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := do(r); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

type logStreamStatus struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

type logStatus struct {
	Outage   Outage                     `json:"outage"`
	Delay    string                     `json:"delay"`
	LostAcks int                        `json:"lost_acks"`
	Era      uint64                     `json:"era"`
	Streams  map[string]logStreamStatus `json:"streams"`
}

func (l *Log) serveStatus(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	status := logStatus{
		Era: l.era, Outage: l.faults.outage, Delay: l.faults.requestDelay.String(), LostAcks: l.faults.lostAcks,
		Streams: make(map[string]logStreamStatus, len(l.streams)),
	}
	for name, s := range l.streams {
		status.Streams[name] = logStreamStatus{First: s.first, Next: s.nextOffset()}
	}
	l.mu.Unlock()
	writeStatusJSON(w, http.StatusOK, status)
}
