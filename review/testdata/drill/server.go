package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	slots             = 6
	queueLength       = 24
	// drainBound is the bound "drain" of the deployment.
	drainBound = 2500 * time.Millisecond
)

// server is a stand-in for the application server of a machine.
type server struct {
	record  *record
	machine *machine
	id      string
	born    int64
	work    time.Duration
	http    *http.Server
	stop    chan struct{}
	wg      sync.WaitGroup
	slots   chan struct{}
	once    sync.Once

	mu       sync.Mutex
	waiting  int
	sequence int
	runs     map[string]int // of requests by attempt ID
	leaving  bool
	lateRuns int       // requests that arrived later than drainBound after leftAt
	leftAt   time.Time // when the node acknowledged that the server is gone
}

func startServer(r *record, m *machine, work time.Duration) (*server, error) {
	return startBoot(r, m, work, fmt.Sprintf("i-%s-%d", m.name, time.Now().UnixMilli()), 0)
}

// startBoot starts a boot of a server under an ID. Its first liveness report arrives after a delay.
func startBoot(r *record, m *machine, work time.Duration, id string, delay time.Duration) (*server, error) {
	l, err := net.Listen("tcp", m.address(portServer))
	if err != nil {
		return nil, err
	}
	s := &server{
		record: r, machine: m, id: id, born: time.Now().UnixMilli(), work: work,
		stop: make(chan struct{}), slots: make(chan struct{}, slots), runs: make(map[string]int),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.wg.Go(func() { _ = s.http.Serve(l) })
	s.wg.Go(func() {
		for {
			body, reporting := s.nextReport()
			if !reporting {
				return
			}
			late := delay
			delay = 0
			s.wg.Go(func() { s.report(body, late) })
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	})
	m.server = s
	return s, nil
}

// nextReport returns the next liveness report, and false once the server leaves.
func (s *server) nextReport() (body string, reporting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return "", false
	}
	s.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms","sequence":%d,"born":%d}`,
		s.machine.service, s.machine.address(portServer), s.machine.zone, slots, s.sequence, s.born), true
}

// report sends a liveness report to the node of the machine, where it arrives after a delay.
func (s *server) report(body string, delay time.Duration) {
	if delay > 0 {
		s.record.write("beat   of %s, born %d, is on its way for %v", s.id, s.born, delay)
		select {
		case <-time.After(delay):
		case <-s.stop:
			return
		}
		s.record.write("beat   of %s, born %d, arrives", s.id, s.born)
	}
	s.call(http.MethodPut, body)
}

// leave tells the node that the server is gone, without a report that it drains. The server goes on serving.
func (s *server) leave() bool {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if !s.call(http.MethodDelete, "") {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftAt = time.Now()
	s.record.write("leave  of %s, born %d, is acknowledged", s.id, s.born)
	return true
}

// call calls the node of the machine and reports whether it acknowledged that within a second.
func (s *server) call(method, body string) bool {
	req, err := http.NewRequest(method, "http://"+s.machine.address(portControl)+"/v1/instances/"+s.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		if s.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if r.Header.Get("X-Target-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.acquire(r) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[attempt]++
	if late := time.Since(s.leftAt) - drainBound; !s.leftAt.IsZero() && late > 0 {
		s.lateRuns++
		s.record.write("late   %s reaches %s, born %d, %v after the acknowledgement", attempt, s.id, s.born, late+drainBound)
	}
	s.mu.Unlock()
	s.record.write("run    %s at %s, %d bytes", attempt, s.machine.name, len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.record.write("left   %s at %s: the connection closed", attempt, s.machine.name)
		return
	}
	answer := fmt.Sprintf("%s %s %d", r.Method, r.URL.Path, len(body))
	w.Header().Set("X-Server-Seal", seal(attempt, answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// acquire waits for a slot, and reports false if the queue is full or the request has ended.
func (s *server) acquire(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// seal returns the digest of an answer.
func seal(attempt, body string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(attempt+"/"+body))), 16)
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// late returns the number of requests that arrived later than drainBound after the node acknowledged the leave.
func (s *server) late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateRuns
}

func (s *server) ran(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt] > 0
}

func (s *server) close() { s.once.Do(s.shutDown) }

func (s *server) shutDown() {
	close(s.stop)
	_ = s.http.Close()
	s.wg.Wait()
}
