package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// call is what a requester sends.
type call struct {
	method, path string
	key          string // of a tenant; none if empty
	body         int    // length in bytes
	limit        time.Duration
}

// loss is a request whose connection ended without an answer.
type loss struct {
	attempt string
	machine string
	kept    bool // the connection had answered another request before
	at      time.Time
}

// requesters send requests to the outbound address of one machine over kept connections.
type requesters struct {
	record  *record
	machine *machine
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	losses   []loss
	statuses map[string]int
}

func newRequesters(r *record, m *machine) *requesters {
	return &requesters{record: r, machine: m, stop: make(chan struct{}), statuses: make(map[string]int)}
}

// run sends a call again and again over one connection at a time, with a pause between two requests.
func (q *requesters) run(c call, pause time.Duration) {
	q.wg.Go(func() {
		var conn net.Conn
		var reader *bufio.Reader
		answered := 0
		defer func() {
			if conn != nil {
				_ = conn.Close()
			}
		}()
		for !q.stopped() {
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", q.machine.address(portOutbound), time.Second); err != nil {
					conn = nil
					time.Sleep(20 * time.Millisecond)
					continue
				}
				reader, answered = bufio.NewReader(conn), 0
			}
			closed := q.send(c, conn, reader, answered > 0)
			answered++
			if closed {
				_ = conn.Close()
				conn = nil
			}
			select {
			case <-q.stop:
			case <-time.After(pause):
			}
		}
	})
}

func (q *requesters) stopped() bool {
	select {
	case <-q.stop:
		return true
	default:
		return false
	}
}

// send sends one request and reads its answer. It reports whether the connection can't be used again.
func (q *requesters) send(c call, conn net.Conn, reader *bufio.Reader, kept bool) (closed bool) {
	attempt := fmt.Sprintf("%016x", lastAttempt.Add(1))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n", c.method, c.path, attempt, c.limit.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", c.key)
	}
	if c.body > 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", c.body)
	}
	head.WriteString("\r\n")
	q.record.write("sent   %s %s %s through %s, %d bytes", attempt, c.method, c.path, q.machine.name, c.body)
	_ = conn.SetDeadline(time.Now().Add(c.limit))
	_, err := io.WriteString(conn, head.String())
	if err == nil && c.body > 0 {
		_, err = io.CopyN(conn, zeros{}, int64(c.body))
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(reader, &http.Request{Method: c.method})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			q.count("time limit")
			q.record.write("limit  %s: no answer within the time limit", attempt)
			return true
		}
		q.count("closed")
		q.record.write("closed %s without an answer: %v", attempt, err)
		q.mu.Lock()
		q.losses = append(q.losses, loss{attempt: attempt, machine: q.machine.name, kept: kept, at: time.Now()})
		q.mu.Unlock()
		return true
	}
	q.count(resp.Status)
	q.record.write("answer %s %s, sealed %t", attempt, resp.Status, resp.Header.Get("X-Server-Seal") != "")
	return resp.Close
}

func (q *requesters) count(ending string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.statuses[ending]++
}

func (q *requesters) close() {
	close(q.stop)
	q.wg.Wait()
}

// lost returns the requests whose connection ended without an answer.
func (q *requesters) lost() []loss {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]loss(nil), q.losses...)
}

func (q *requesters) summary() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return fmt.Sprintf("%s: %v", q.machine.name, q.statuses)
}

// zeros is a reader of endless zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
