//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beatInterval is the interval of liveness reports, beat_interval of the settings.
const beatInterval = 870 * time.Millisecond

// serverSettings configure a server.
type serverSettings struct {
	slots int
	queue int
	work  time.Duration
	// uploadWork is the time of a request with a large body.
	uploadWork time.Duration
	// workOf returns the time of a request by its path; nil means work.
	workOf func(path string) time.Duration
}

// server is a stand-in for an application server as PROTOCOL.md describes one.
type server struct {
	machine  *machine
	settings serverSettings
	id       string
	born     int64
	listener net.Listener
	http     *http.Server
	slots    chan struct{}
	client   *http.Client
	onRun    func(id string) // called when a request begins to run; nil for none

	mu       sync.Mutex
	leaving  bool // has announced its departure
	lying    bool // health checks pass whatever the state
	pending  int
	factor   float64 // of the time of work
	sequence int
	runs     map[string]int // by attempt ID
	stopped  bool
}

func newServer(m *machine, settings serverSettings) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, portApp))
	if err != nil {
		return nil, err
	}
	s := &server{
		machine: m, settings: settings, id: fmt.Sprintf("i-%d-%d", m.index, time.Now().UnixNano()%1e9), born: time.Now().UnixMilli(), listener: l,
		slots: make(chan struct{}, settings.slots), factor: 1, runs: make(map[string]int), client: &http.Client{Timeout: time.Second},
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// ServeHTTP answers health checks and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if !s.healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	remaining, _ := strconv.Atoi(r.Header.Get("X-Deadline-Remaining"))
	limit := time.NewTimer(time.Duration(remaining) * time.Millisecond)
	defer limit.Stop()
	if !s.enter() {
		s.reject(w)
		return
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-limit.C:
		s.reject(w)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	work := s.begin(id, r.URL.Path, size)
	if s.onRun != nil {
		s.onRun(id)
	}
	s.machine.fleet.record.count("runs")
	select {
	case <-time.After(work):
		w.Header().Set("X-Server-Seal", "seal-"+id)
		_, _ = w.Write(bytes.Repeat([]byte("a"), int(400+size%100)))
	case <-limit.C:
		w.Header().Set("X-Server-Seal", "seal-"+id)
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

func (s *server) reject(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending >= s.settings.slots+s.settings.queue {
		return false
	}
	s.pending++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

// begin records a run and returns how long it takes.
func (s *server) begin(id, path string, size int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	work := s.settings.work
	if s.settings.workOf != nil {
		work = s.settings.workOf(path)
	}
	if size >= 1<<20 && s.settings.uploadWork > 0 {
		work = s.settings.uploadWork
	}
	return time.Duration(float64(work) * s.factor)
}

func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// setFactor makes all work take longer by a factor.
func (s *server) setFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
}

// healthy reports what a health check is told.
func (s *server) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lying || !s.leaving
}

// lieFor makes health checks pass whatever the state, for a time.
func (s *server) lieFor(d time.Duration) {
	s.setLying(true)
	time.AfterFunc(d, func() { s.setLying(false) })
}

func (s *server) setLying(lying bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lying = lying
}

// nextReport returns a liveness report with the next sequence number.
func (s *server) nextReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms","sequence":%d,"born":%d}`,
		s.machine.service, s.machine.ip, portApp, s.machine.zone, s.settings.slots, s.sequence, s.born)
}

// sendReport sends a liveness report to the sidecar on the machine, and reports whether it was acknowledged.
func (s *server) sendReport(report string) bool { return s.call(http.MethodPut, report) }

// call sends a liveness report, or the notice that the server leaves.
func (s *server) call(method, body string) bool {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/v1/instances/%s", s.machine.ip, portControl, s.id), strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// beat sends liveness reports until the server leaves or is closed.
func (s *server) beat() {
	for {
		s.mu.Lock()
		ended := s.stopped || s.leaving
		s.mu.Unlock()
		if ended {
			return
		}
		pause := beatInterval
		if !s.sendReport(s.nextReport()) {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// depart sends the notice that the server leaves, without having reported that it drains, until it is acknowledged. It returns
// the time of the acknowledgement.
func (s *server) depart() (time.Time, bool) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for range 20 {
		if s.call(http.MethodDelete, "") {
			return time.Now(), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

func (s *server) close() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.http.Close()
}
