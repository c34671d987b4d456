package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outage is how a Log fails while it is out of service.
type Outage string

// Kinds of outages.
const (
	// OutageOff: the log serves.
	OutageOff Outage = "off"
	// OutageRefuse: requests are answered by 503 and not applied.
	OutageRefuse Outage = "refuse"
	// OutageDrop: connections break without an answer, and nothing is applied.
	OutageDrop Outage = "drop"
	// OutageHang: requests get no answer until the outage ends, and are not applied.
	OutageHang Outage = "hang"
)

// maxFaultDelay bounds the slow mode.
const maxFaultDelay = time.Minute

// logFaults is what the control endpoints set. The mutex of the Log guards it.
type logFaults struct {
	outage   Outage
	requestDelay    time.Duration
	lostAcks int // appends that are applied and not answered
	delayedAppends     int // appends that are applied only after lateBy, and not answered
	appendDelay   time.Duration
	outageChanged  chan struct{} // closed and replaced when the outage changes
}

func newLogFaults() logFaults {
	return logFaults{outage: OutageOff, outageChanged: make(chan struct{})}
}

// appendFault is what the faults make of one append.
type appendFault uint8

const (
	appendFaultNone appendFault = iota
	appendFaultLostAck       // it is applied, and its answer lost
	appendFaultDelayed       // its answer is lost, and it is applied later
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

// SetOutage starts an outage of a kind, or ends it. Waiting reads fail when it starts. Entries are kept.
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

// SetRequestDelay makes the log wait before it handles each request. An append is applied even if its sender has gone
// by then.
func (l *Log) SetRequestDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.requestDelay = max(0, min(d, maxFaultDelay))
}

// LoseAcks makes the log apply the next count appends without answering them.
func (l *Log) LoseAcks(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.lostAcks = max(0, count)
}

// DelayAppends makes the log leave the next count appends unanswered and apply them after a delay, if what they depend on
// still holds then.
func (l *Log) DelayAppends(count int, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.delayedAppends, l.faults.appendDelay = max(0, count), max(0, min(delay, maxFaultDelay))
}

// Trim drops the entries of a stream before an offset.
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

// applyFaults holds a request up as the faults demand and tells whether it may go on. If not, it was answered.
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
			panic(http.ErrAbortHandler) // breaks the connection without an answer
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
	Streams  map[string]logStreamStatus `json:"streams"`
}

func (l *Log) serveStatus(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	status := logStatus{
		Outage: l.faults.outage, Delay: l.faults.requestDelay.String(), LostAcks: l.faults.lostAcks,
		Streams: make(map[string]logStreamStatus, len(l.streams)),
	}
	for name, s := range l.streams {
		status.Streams[name] = logStreamStatus{First: s.first, Next: s.nextOffset()}
	}
	l.mu.Unlock()
	writeStatusJSON(w, http.StatusOK, status)
}
