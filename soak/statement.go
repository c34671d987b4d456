package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// limitNotice is the time after a backend server first states a limit from which the limit has to be kept.
	limitNotice = 3 * time.Second
	// limitWindow is the span over which the requests that reach a limited backend server are counted.
	limitWindow = 4 * time.Second
	// toldNotice is the time after a node has passed on a response with a limit from which its requests count.
	toldNotice = 500 * time.Millisecond
	// limitedWorkTime is how much longer a backend server works on a request while it states a limit.
	limitedWorkTime = 250 * time.Millisecond
	// routeTimeout is the timeout of all routes.
	routeTimeout = 1200 * time.Millisecond
)

// statement is what a backend server states about itself in its responses.
type statement struct {
	limit      float64 // requests per second that it accepts, 0 for no limit
	limitSince time.Time
	leaving    bool
	arrivals   *[]time.Time // requests from nodes that know the limit; guarded by the mutex of the backend server
}

func (s statement) setHeaders(h http.Header) {
	if s.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// limitFor has the instance state a limit for a time. Each limit differs from earlier ones, so that it can be told apart.
func (b *backend) limitFor(perSecond float64, duration time.Duration) {
	b.mu.Lock()
	id := b.instanceID
	b.statement = statement{limit: perSecond + float64(time.Now().UnixMilli()%100_000)/1e6, limitSince: time.Now(), arrivals: new([]time.Time)}
	b.mu.Unlock()
	b.pause(duration)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instanceID == id && !b.statement.leaving {
		b.statement = statement{}
	}
}

// leaveByResponses has the instance leave without any report: only its responses state that. Its heartbeats go on.
func (b *backend) leaveByResponses() {
	b.mu.Lock()
	b.statement = statement{leaving: true}
	b.mu.Unlock()
	b.pause(drainLimit + 3*time.Second)
	b.startInstance()
}

// copyFor has the instance send each response twice for a time.
func (b *backend) copyFor(duration time.Duration) {
	b.setCopying(true)
	b.pause(duration)
	b.setCopying(false)
}

func (b *backend) setCopying(copying bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copying = copying
}

func (b *backend) sendsCopies() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copying
}

func (b *backend) pause(d time.Duration) {
	select {
	case <-b.stop:
	case <-time.After(d):
	}
}

// checkArrival checks a request that has reached the instance against what the node of its caller knows of the instance.
func (b *backend) checkArrival(id string, r *http.Request) {
	attempt, now := r.Header.Get("X-Attempt-Id"), time.Now()
	remaining, _ := strconv.Atoi(r.Header.Get("X-Deadline-Remaining"))
	sentAt := now.Add(time.Duration(remaining)*time.Millisecond - routeTimeout)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statement
	if s.leaving && b.checker.knows(attempt, id, "leaving", sentAt.Add(-drainLimit)) {
		b.checker.fail("request %s reached instance %s although its node had passed on more than %v before that it leaves", attempt, id, drainLimit)
	}
	if s.limit == 0 || now.Sub(s.limitSince) < limitNotice || !b.checker.knows(attempt, id, strconv.FormatFloat(s.limit, 'f', -1, 64), now.Add(-toldNotice)) {
		return
	}
	*s.arrivals = append(*s.arrivals, now)
	count := 0
	for _, at := range *s.arrivals {
		if now.Sub(at) < limitWindow {
			count++
		}
	}
	if allowed := int(1.5*s.limit*limitWindow.Seconds()) + 5; count > allowed {
		b.checker.fail("instance %s with a limit of %.3f got %d requests within %v, allowed %d", id, s.limit, count, limitWindow, allowed)
	}
}

// serveCopies answers the requests of a connection, and repeats each response: at once, when the connection is idle, or
// after the next request has arrived.
func (b *backend) serveCopies(w http.ResponseWriter, first *http.Request) {
	resp := b.handle(first)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	unread, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	requests := bufio.NewReader(io.MultiReader(bytes.NewReader(bytes.Clone(unread)), conn))
	for !resp.drop && !resp.truncated {
		raw := resp.encode()
		if _, err := conn.Write(raw); err != nil {
			return
		}
		b.mu.Lock()
		late, closing := b.rnd.IntN(3) > 0, b.rnd.IntN(10) == 0
		b.mu.Unlock()
		if !late {
			_, _ = conn.Write(raw)
		}
		if closing {
			return
		}
		next, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if late {
			_, _ = conn.Write(raw)
		}
		resp = b.handle(next)
	}
	if resp.truncated {
		_, _ = conn.Write(resp.encode())
	}
}

func (r response) encode() []byte {
	var out bytes.Buffer
	length := len(r.body)
	if r.truncated {
		length += 10
	}
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.status, http.StatusText(r.status), length)
	_ = r.header.Write(&out)
	out.WriteString("\r\n" + r.body)
	return out.Bytes()
}
