package main

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	slots             = 6
	queueLength       = 24
)

// server is a stand-in for the application server of a machine.
type server struct {
	record  *record
	machine *machine
	id      string
	born    int64
	work    time.Duration
	slow    atomic.Int64 // factor of the work
	http    *http.Server
	stop    chan struct{}
	wg      sync.WaitGroup
	slots   chan struct{}
	once    sync.Once

	mu       sync.Mutex
	waiting  int
	sequence int
	runs     map[string]int // of requests by attempt ID
}

func startServer(r *record, m *machine, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", m.address(portServer))
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	s := &server{
		record: r, machine: m, id: fmt.Sprintf("i-%s-%d", m.name, born), born: born, work: work,
		stop: make(chan struct{}), slots: make(chan struct{}, slots), runs: make(map[string]int),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.wg.Go(func() { _ = s.http.Serve(l) })
	s.wg.Go(func() {
		for {
			s.report()
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

// report sends one liveness report to the node of the machine.
func (s *server) report() {
	s.mu.Lock()
	s.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms","sequence":%d,"born":%d}`,
		s.machine.service, s.machine.address(portServer), s.machine.zone, slots, s.sequence, s.born)
	s.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+s.machine.address(portControl)+"/v1/instances/"+s.id, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
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
	s.mu.Unlock()
	s.record.write("run    %s at %s, %d bytes", attempt, s.machine.name, len(body))
	select {
	case <-time.After(s.work * time.Duration(max(s.slow.Load(), 1))):
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
