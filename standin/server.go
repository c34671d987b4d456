package standin

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// Headers of requests and responses that the stand-in server uses.
const (
	headerKey     = "Idempotency-Key"
	headerOutcome = "Bambooknot-Outcome"
	headerTimeout = "Bambooknot-Timeout-Ms"
)

// ServerState is the state that a server announces to its local node.
type ServerState string

// States that a server announces.
const (
	ServerCold     ServerState = "cold"
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// ServerSettings configure the behavior of a Server.
type ServerSettings struct {
	Service           string        // name of the service
	Slots             int           // calls processed concurrently; further calls are queued in the server
	ServiceTime       time.Duration // processing time of a call
	ColdPeriod        time.Duration // time after start during which the server is cold
	ColdFactor        int           // factor applied to ServiceTime while the server is cold
	MaxPending        int           // running and queued calls beyond which calls are rejected as not run; 0 for no limit
	HealthLag         time.Duration // age of the state that the health endpoint reports
	HealthAlwaysReady bool          // the health endpoint always reports ready
}

// Server is a stand-in for a backend server. It is an http.Handler that counts the executions of each request key.
type Server struct {
	settings  ServerSettings
	timers    *timer.Service
	startedAt time.Time
	slots     chan struct{}
	calls     sync.WaitGroup

	mu              sync.Mutex
	drainingSince   time.Time // zero if the server is not draining
	pending         int       // running and queued calls
	running         int
	completed       int
	executions      map[string]int
	truncationsLeft int
	stalled         chan struct{} // nil unless calls are stalled; closed when they resume
}

// NewServer returns a server that is cold for settings.ColdPeriod from the time of the call. It has one slot if
// settings.Slots is not positive.
func NewServer(settings ServerSettings, timers *timer.Service) *Server {
	if settings.Slots <= 0 {
		settings.Slots = 1
	}
	return &Server{
		settings:   settings,
		timers:     timers,
		startedAt:  timers.Now(),
		slots:      make(chan struct{}, settings.Slots),
		executions: make(map[string]int),
	}
}

// State returns the current state of the server, which the health endpoint may misreport.
func (s *Server) State() ServerState { return s.stateAt(s.timers.Now()) }

func (s *Server) stateAt(t time.Time) ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainingSince.IsZero() && !t.Before(s.drainingSince) {
		return ServerDraining
	}
	if t.Before(s.startedAt.Add(s.settings.ColdPeriod)) {
		return ServerCold
	}
	return ServerReady
}

// Drain puts the server into the draining state. Calls are still served.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainingSince.IsZero() {
		s.drainingSince = s.timers.Now()
	}
}

// Close waits until all calls have returned.
func (s *Server) Close() { s.calls.Wait() }

// Executions returns how often a call with the request key was started.
func (s *Server) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// AllExecutions returns how often a call with each request key was started.
func (s *Server) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Completed returns the number of calls that were processed to the end.
func (s *Server) Completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed
}

// Running returns the number of calls that are being processed.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// TruncateResponses makes the server break the connection within the body of the next count responses.
func (s *Server) TruncateResponses(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncationsLeft = count
}

// Stall makes calls that start from now on hang until resume is called.
func (s *Server) Stall() (resume func()) {
	stalled := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.stalled = nil
		s.mu.Unlock()
		close(stalled)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		s.serveHealth(w)
	case strings.HasPrefix(r.URL.Path, "/control/"):
		s.serveControl(w, r)
	default:
		s.serveCall(w, r)
	}
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	defer s.calls.Done()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	deadline := s.deadline(r)
	if !s.admit() {
		rejectCall(w, "shed")
		return
	}
	defer s.release()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	if !deadline.IsZero() && !s.timers.Now().Before(deadline) {
		rejectCall(w, "deadline passed")
		return
	}
	s.run(w, r, body)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	truncated := s.countStart(r.Header.Get(headerKey))
	defer s.countEnd()
	if !s.work(r) {
		return
	}
	if truncated {
		truncateResponse(w)
	}
	s.countCompletion()
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "done "+r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = w.Write(body)
}

// work waits for the processing time of one call and reports whether the call was not cancelled in the meantime.
func (s *Server) work(r *http.Request) bool {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-r.Context().Done():
			return false
		}
	}
	d := s.settings.ServiceTime
	if s.settings.ColdFactor > 1 && s.State() == ServerCold {
		d *= time.Duration(s.settings.ColdFactor)
	}
	if d <= 0 {
		return true
	}
	done := make(chan struct{})
	sub := s.timers.After(d, func(time.Time) { close(done) })
	defer sub.Close()
	select {
	case <-done:
		return true
	case <-r.Context().Done():
		return false
	}
}

func truncateResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "done, but")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func rejectCall(w http.ResponseWriter, reason string) {
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) deadline(r *http.Request) time.Time {
	ms, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil {
		return time.Time{}
	}
	return s.timers.Now().Add(time.Duration(ms) * time.Millisecond)
}

func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.MaxPending > 0 && s.pending >= s.settings.MaxPending {
		return false
	}
	s.pending++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

func (s *Server) countStart(key string) (truncate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if key != "" {
		s.executions[key]++
	}
	if s.truncationsLeft > 0 {
		s.truncationsLeft--
		return true
	}
	return false
}

func (s *Server) countEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) countCompletion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed++
}
