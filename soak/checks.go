package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxFailures bounds the violations kept.
const maxFailures = 50

// checks holds what callers and backend servers have seen, and the promises that it breaks.
type checks struct {
	start time.Time

	mu       sync.Mutex
	runs     map[string]int       // runs of each attempt
	denied   map[string]time.Time // attempts that were said not to have run
	safe     map[string]bool
	failures []string
	counts   map[string]int
	harmed   time.Time // when an unplanned fault was last at work
	nodes    map[int]time.Time
}

func newChecks() *checks {
	return &checks{
		start: time.Now(), runs: make(map[string]int), denied: make(map[string]time.Time), safe: make(map[string]bool),
		counts: make(map[string]int), nodes: make(map[int]time.Time),
	}
}

func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(format, args...)
}

func (c *checks) failLocked(format string, args ...any) {
	if len(c.failures) < maxFailures {
		c.failures = append(c.failures, fmt.Sprintf("%7.3fs ", time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// ran notes that a server works on a request.
func (c *checks) ran(attempt string, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[attempt]++
	if c.runs[attempt] > 1 && !c.safe[attempt] {
		c.failLocked("unsafe request %s ran %d times", attempt, c.runs[attempt])
	}
	if at, ok := c.denied[attempt]; ok && !c.safe[attempt] {
		c.failLocked("request %s ran %v after it was said not to have run", attempt, time.Since(at))
	}
	if r.Header.Get("X-Caller-Service") != callerService {
		c.failLocked("request %s names the caller's service %q", attempt, r.Header.Get("X-Caller-Service"))
	}
}

// asked notes what may be repeated, before a request is sent.
func (c *checks) asked(attempt string, safe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.safe[attempt] = safe
	c.counts["asked"]++
}

// answered checks the answer to a request.
func (c *checks) answered(attempt string, status int, h http.Header, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprint(status)]++
	switch {
	case status == http.StatusServiceUnavailable:
		c.denied[attempt] = time.Now()
		if c.runs[attempt] > 0 && !c.safe[attempt] {
			c.failLocked("request %s was said not to have run, and has", attempt)
		}
	case status == http.StatusOK && (body != want || h.Get("X-Server-Seal") != seal(attempt, body) || h.Get("X-Attempt-Id") != attempt):
		c.failLocked("request %s got the answer %q sealed %q for %q", attempt, body, h.Get("X-Server-Seal"), h.Get("X-Attempt-Id"))
	case status == http.StatusOK && c.runs[attempt] == 0:
		c.failLocked("request %s was answered and never ran", attempt)
	}
}

// unanswered checks a request whose connection ended without an answer. It was sent whole at a time; one that a server
// has seen must be answered, and one that was not read must be cut soon.
func (c *checks) unanswered(attempt string, sent time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["unanswered"]++
	owed := c.runs[attempt] > 0 || time.Since(sent) > lossSlack
	if owed && sent.Sub(c.harmed) > stability {
		c.failLocked("request %s, run %d times, got no answer around planned work only, after %v: %v", attempt, c.runs[attempt], time.Since(sent), err)
	}
}

// harm notes that an unplanned fault is at work anywhere.
func (c *checks) harm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.harmed = time.Now()
}

// disturb notes that something is done to a node, or to the store for all of them.
func (c *checks) disturb(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[node] = time.Now()
}

// calm tells whether a node and the store have been left alone since a time.
func (c *checks) calm(node int, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[node].Before(since) && c.nodes[store].Before(since)
}

func (c *checks) result() (failures []string, counts map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures, c.counts
}
