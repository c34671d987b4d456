package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxFailures bounds the number of violations that are kept.
const maxFailures = 50

// checker records what callers and backend servers observe, and each violation of a guarantee.
type checker struct {
	start time.Time

	mu              sync.Mutex
	executions      map[string]int       // number of executions of each request
	rejectedAt      map[string]time.Time // when a request got a 503 response, which says that it was not executed
	safe            map[string]bool      // requests that may be executed more than once
	failures        []string
	counts          map[string]int    // requests, responses by status, and requests without response
	lastFaultAt     time.Time         // last start or end of an unplanned fault anywhere
	lastDisturbedAt map[int]time.Time // last event of each node, and of the store under storeIndex
	knownSince      map[knowledge]time.Time
	fatal           map[string]*fatalRequest // requests that crash backend servers, by path
}

// knowledge is that a node has passed on a response in which an instance made a statement about itself.
type knowledge struct {
	node      int
	instance  string
	statement string
}

// nodeOf returns the node to which a caller sent a request.
func nodeOf(attempt string) int {
	var node int
	if _, err := fmt.Sscanf(strings.TrimPrefix(attempt, "probe-"), "%d-", &node); err != nil {
		return storeIndex
	}
	return node
}

// recordKnowledge records what a response that a node has passed on states about its server. The caller holds mu.
func (c *checker) recordKnowledge(attempt string, h http.Header) {
	for _, s := range []string{h.Get("Server-Limit"), strings.ReplaceAll(h.Get("Server-Leaving"), "1", "leaving")} {
		k := knowledge{node: nodeOf(attempt), instance: h.Get("X-Instance-Id"), statement: s}
		if since, known := c.knownSince[k]; s != "" && (!known || since.Before(c.lastDisturbedAt[k.node])) {
			c.knownSince[k] = time.Now()
		}
	}
}

// knows reports whether the node of a request had passed on a statement of an instance before a time, and was not
// disturbed since.
func (c *checker) knows(attempt, instance, statement string, before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := knowledge{node: nodeOf(attempt), instance: instance, statement: statement}
	since, known := c.knownSince[k]
	return known && since.Before(before) && c.lastDisturbedAt[k.node].Before(since)
}

func newChecker() *checker {
	return &checker{
		start: time.Now(), executions: make(map[string]int), rejectedAt: make(map[string]time.Time), safe: make(map[string]bool),
		counts: make(map[string]int), lastDisturbedAt: make(map[int]time.Time), knownSince: make(map[knowledge]time.Time), fatal: make(map[string]*fatalRequest),
	}
}

func (c *checker) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(format, args...)
}

// count adds one to a count of the summary.
func (c *checker) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

func (c *checker) failLocked(format string, args ...any) {
	if len(c.failures) < maxFailures {
		c.failures = append(c.failures, fmt.Sprintf("%7.3fs ", time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// recordExecution records that a backend server executes a request.
func (c *checker) recordExecution(attempt string, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[attempt]++
	if c.executions[attempt] > 1 && !c.safe[attempt] {
		c.failLocked("unsafe request %s was executed %d times", attempt, c.executions[attempt])
	}
	if at, ok := c.rejectedAt[attempt]; ok && !c.safe[attempt] {
		c.failLocked("request %s was executed %v after its 503 response", attempt, time.Since(at))
	}
	if r.Header.Get("X-Caller-Service") != callerService {
		c.failLocked("request %s names the wrong caller service %q", attempt, r.Header.Get("X-Caller-Service"))
	}
}

// recordRequest records, before a request is sent, whether it is safe to execute it more than once.
func (c *checker) recordRequest(attempt string, safe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.safe[attempt] = safe
	c.counts["asked"]++
}

// checkResponse checks the response to a request.
func (c *checker) checkResponse(attempt string, status int, h http.Header, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprint(status)]++
	c.recordKnowledge(attempt, h)
	switch {
	case status == http.StatusServiceUnavailable:
		c.rejectedAt[attempt] = time.Now()
		if c.executions[attempt] > 0 && !c.safe[attempt] {
			c.failLocked("request %s got a 503 response although it was executed", attempt)
		}
	case status == http.StatusOK && (body != want || h.Get("X-Server-Seal") != seal(attempt, body) || h.Get("X-Attempt-Id") != attempt):
		c.failLocked("request %s got a response with the body %q, the seal %q and the attempt ID %q", attempt, body, h.Get("X-Server-Seal"), h.Get("X-Attempt-Id"))
	case status == http.StatusOK && c.executions[attempt] == 0:
		c.failLocked("request %s got a 200 response but was never executed", attempt)
	}
}

// checkLostRequest checks a request that got no response and was sent completely at sentAt. Without a recent unplanned
// fault, a request that was executed needs a response, and the connection of any other request has to be closed within
// maxCutDelay.
func (c *checker) checkLostRequest(attempt string, sentAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["unanswered"]++
	needsResponse := c.executions[attempt] > 0 || time.Since(sentAt) > maxCutDelay
	if needsResponse && sentAt.Sub(c.lastFaultAt) > settleTime {
		c.failLocked("request %s, executed %d times, got no response although there was no recent fault; failed %v after it was sent: %v", attempt, c.executions[attempt], time.Since(sentAt), err)
	}
}

// recordFault records the start or end of an unplanned fault anywhere.
func (c *checker) recordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFaultAt = time.Now()
}

// recordDisturbance records a planned or unplanned event at a node or, with storeIndex, at the store, which affects all
// nodes.
func (c *checker) recordDisturbance(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDisturbedAt[node] = time.Now()
}

// undisturbedSince reports whether no event was recorded for the node and the store since a time.
func (c *checker) undisturbedSince(node int, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastDisturbedAt[node].Before(since) && c.lastDisturbedAt[storeIndex].Before(since)
}

func (c *checker) results() (failures []string, counts map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures, c.counts
}
