package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// fatalMark stands in the path of requests that crash the backend servers that run them.
	fatalMark = "/fatal-"
	// fatalRunTime is how long such a request runs before its backend server crashes.
	fatalRunTime = 40 * time.Millisecond
	// restartGap is the time between two nodes that are restarted in turn.
	restartGap = 700 * time.Millisecond
	// maxLateArrivals is the number of times that such a request may reach backend servers from undisturbed nodes later than
	// settleTime after it has crashed the third one. The users require this bound.
	maxLateArrivals = 3
	// maxHarmlessRefusal is the time until which a request that does not crash backend servers may be refused: the first
	// trial, and the end of a planned stop of its node.
	maxHarmlessRefusal = 10 * time.Second
	// maxNodeMemory is the memory that a node may use, in bytes.
	maxNodeMemory = 256 << 20
)

// fatalRequest is what has become of a request that crashes backend servers.
type fatalRequest struct {
	crashed      map[string]bool // instances
	thirdCrashAt time.Time
	lateArrivals int
}

// harmlessBody is the body of requests that have the path of a request that crashes backend servers, and do not crash them.
const harmlessBody = "harmless"

// fatalPath returns the part of a path that names a request that crashes backend servers, or "" for other requests.
func fatalPath(path, body string) string {
	if i := strings.Index(path, fatalMark); i >= 0 && body != harmlessBody {
		return path[i:]
	}
	return ""
}

// recordFatalArrival records that a request that crashes backend servers has reached one.
func (c *checker) recordFatalArrival(path, attempt string) {
	now, node := time.Now(), nodeOf(attempt)
	undisturbed := c.undisturbedSince(node, now.Add(-settleTime))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["fatal arrivals"]++
	r := c.fatalRequest(path)
	if !undisturbed || r.thirdCrashAt.IsZero() || now.Sub(r.thirdCrashAt) <= settleTime {
		return
	}
	r.lateArrivals++
	if r.lateArrivals > maxLateArrivals {
		c.failLocked("request %s for %s reached a backend server %v after it had crashed the third one; %d crashed in all", attempt, path, now.Sub(r.thirdCrashAt), len(r.crashed))
	}
}

// recordFatalCrash records that an instance has ended while it was running a request that crashes backend servers.
func (c *checker) recordFatalCrash(path, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.fatalRequest(path)
	r.crashed[instance] = true
	if len(r.crashed) == 3 && r.thirdCrashAt.IsZero() {
		r.thirdCrashAt = time.Now()
	}
	c.counts["crashes"]++
}

// checkHarmless checks the response to a request that has the path of one that crashes backend servers. It may be refused
// because it ran beside that one, but only until its first trial.
func (c *checker) checkHarmless(path, attempt string, status int, h http.Header) {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || status != http.StatusServiceUnavailable {
		return
	}
	if refused := time.Duration(seconds * float64(time.Second)); refused > maxHarmlessRefusal {
		c.fail("request %s for %s, which does not crash backend servers, is to come again after %v", attempt, path, refused)
	}
}

// fatalRequest returns the record of a request. The caller holds mu.
func (c *checker) fatalRequest(path string) *fatalRequest {
	if c.fatal[path] == nil {
		c.fatal[path] = &fatalRequest{crashed: make(map[string]bool)}
	}
	return c.fatal[path]
}

// crashWhileRunning ends the instance while it runs a request, unless another request has ended it by then.
func (b *backend) crashWhileRunning(path, instance string) {
	b.pause(fatalRunTime)
	b.mu.Lock()
	first := b.instanceID == instance && !b.crashed
	if first {
		b.crashed, b.reportsStopped = true, true
	}
	down := time.Second + time.Duration(b.rnd.Int64N(int64(2*time.Second)))
	b.mu.Unlock()
	b.checker.recordFatalCrash(path, instance)
	if !first {
		return
	}
	b.front.stopListening()
	go func() {
		b.pause(down)
		b.startInstance()
		if err := b.front.listen(); err != nil {
			b.checker.fail("the address of a backend server cannot be opened again: %v", err)
		}
	}()
}

// answerWithoutEnd sends a head or a body without end until the connection is closed.
func (b *backend) answerWithoutEnd(w http.ResponseWriter, r *http.Request) {
	resp := b.handle(r)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head, piece := "HTTP/1.1 200 OK\r\n", strings.Repeat("A: a\r\n", 1000)
	if b.draw(2) == 0 {
		head, piece = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: x\r\n\r\n", r.Header.Get("X-Attempt-Id")), strings.Repeat("a", 6000)
	}
	if resp.drop {
		return
	}
	for text := head; ; text = piece {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func (b *backend) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rnd.IntN(n)
}

// endlessFor has the instance answer one request in twenty without end for a time.
func (b *backend) endlessFor(duration time.Duration) {
	b.setEndless(true)
	b.pause(duration)
	b.setEndless(false)
}

func (b *backend) setEndless(endless bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endless = endless
}

func (b *backend) answersWithoutEnd() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endless && b.rnd.IntN(20) == 0
}

// startCrashEvent starts, seldom, a request that crashes backend servers, answers without end, or a power loss of all nodes
// right after a change.
func (s *schedule) startCrashEvent(ctx context.Context) {
	rnd := s.crashes
	node, kind, duration := rnd.IntN(len(s.fleet.nodes)), rnd.IntN(24), 3*time.Second+time.Duration(rnd.Int64N(int64(7*time.Second)))
	perSecond, seed, delay, restarts := 2+rnd.IntN(30), rnd.Uint64(), time.Duration(5+rnd.IntN(395))*time.Millisecond, rnd.IntN(2) == 0
	if s.plannedOnly {
		return
	}
	switch {
	case kind < 2:
		if restarts {
			duration += time.Duration(len(s.fleet.nodes)) * restartGap
			s.restartInTurn(ctx)
		}
		s.sendFatalRequests(ctx, perSecond, duration, rand.New(rand.NewPCG(seed, 1)))
	case kind == 2:
		s.onBackend(node, fmt.Sprintf("answers without end for %v", duration), func() { s.fleet.backends[node].endlessFor(duration) })
	case kind == 3:
		s.losePower(delay)
	}
}

// restartInTurn kills and restarts all nodes one after the other.
func (s *schedule) restartInTurn(ctx context.Context) {
	s.logEvent("all nodes are killed and restarted in turn")
	s.wg.Go(func() {
		for node := range s.fleet.nodes {
			time.Sleep(restartGap)
			if ctx.Err() != nil {
				return
			}
			if s.claim(node) {
				s.signalClaimed(node, syscall.SIGKILL, 0, 50*time.Millisecond)
			}
		}
	})
}

// sendFatalRequests sends the same request, which crashes backend servers, at random nodes.
func (s *schedule) sendFatalRequests(ctx context.Context, perSecond int, duration time.Duration, rnd *rand.Rand) {
	s.fatalCount++
	method, path, body := http.MethodGet, fmt.Sprintf("/read%s%d", fatalMark, s.fatalCount), ""
	if rnd.IntN(2) == 0 {
		method, path, body = http.MethodPost, fmt.Sprintf("/pay%s%d", fatalMark, s.fatalCount), "x"
	}
	number := s.fatalCount
	s.logEvent("%s %s, which crashes backend servers, %d times a second for %v", method, path, perSecond, duration)
	s.wg.Go(func() {
		for n, end := 0, time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; n++ {
			node := rnd.IntN(len(s.fleet.nodes))
			s.wg.Go(func() { s.sendFatalRequest(method, path, body, node, fmt.Sprintf("%d-fatal-%d-%d", node, number, n)) })
			if method == http.MethodPost {
				s.wg.Go(func() {
					s.sendFatalRequest(method, path, harmlessBody, node, fmt.Sprintf("%d-harmless-%d-%d", node, number, n))
				})
			}
			time.Sleep(time.Duration(rnd.ExpFloat64() / float64(perSecond) * float64(time.Second)))
		}
	})
}

// sendFatalRequest sends one of these requests, or a harmless one with the same path.
func (s *schedule) sendFatalRequest(method, path, body string, node int, attempt string) {
	checker := s.fleet.checker
	checker.recordRequest(attempt, method == http.MethodGet)
	req, err := http.NewRequest(method, "http://"+s.fleet.callerAddress(node).String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	req.GetBody = nil // prevents retries by the HTTP client
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := s.fleet.client.Do(req)
	if err != nil {
		return // the node is down or frozen
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body) // a body that ends early differs from the one wanted
	want := ""
	if body == harmlessBody {
		want = method + " " + path + " " + body
		checker.checkHarmless(path, attempt, resp.StatusCode, resp.Header)
	}
	checker.checkResponse(attempt, resp.StatusCode, resp.Header, string(answer), want)
}

// losePower kills all nodes some time after a change was accepted.
func (s *schedule) losePower(delay time.Duration) {
	s.logEvent("all nodes lose power %v after a change", delay)
	s.wg.Go(func() {
		if s.fleet.publish() != nil {
			return // the store is unavailable and has not acknowledged the version
		}
		time.Sleep(delay)
		for node := range s.fleet.nodes {
			if s.claim(node) {
				s.signalClaimed(node, syscall.SIGKILL, 0, 500*time.Millisecond)
			}
		}
	})
}

// checkMemory checks the peak memory of the running processes of all nodes.
func (f *fleet) checkMemory() {
	for i := range f.nodes {
		peak, err := f.process(i).PeakMemory()
		if err != nil {
			f.checker.fail("node %d: %v", i, err)
		} else if peak > maxNodeMemory {
			f.checker.fail("node %d used %d MB, permitted %d", i, peak>>20, maxNodeMemory>>20)
		}
	}
}
