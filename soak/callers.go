package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callerService = "shop"
	// maxCutDelay is the time after a request was sent within which its connection may be closed without executing it.
	maxCutDelay = 200 * time.Millisecond
	// settleTime is the minimum time since the last fault or disturbance for guarantees that hold only without them.
	settleTime    = 3 * time.Second
	callTimeout   = 1500 * time.Millisecond
	meanCallPause = 15 * time.Millisecond // between two requests of a caller
	// maxPropagation is the time after the acknowledgement of a version within which it has to be in force.
	maxPropagation = 2500 * time.Millisecond
)

// callerGroup sends requests to one node over persistent connections.
type callerGroup struct {
	fleet  *fleet
	node   int
	client *http.Client
	stop   context.Context
	wg     sync.WaitGroup
}

func newCallerGroup(stop context.Context, f *fleet, node, count int) *callerGroup {
	c := &callerGroup{fleet: f, node: node, stop: stop, client: &http.Client{
		Timeout:   2 * callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: count, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}}
	for i := range count {
		rnd := rand.New(rand.NewPCG(f.seed, uint64(node*100+i)))
		c.wg.Go(func() {
			for n := 0; stop.Err() == nil; n++ {
				c.sendRequest(fmt.Sprintf("%d-%d-%d", node, i, n), rnd)
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(meanCallPause)))
			}
		})
	}
	c.wg.Go(func() {
		served, startCount := 0, 0
		for stop.Err() == nil {
			served, startCount = c.probeNewestRoute(served, startCount)
			time.Sleep(100 * time.Millisecond)
		}
	})
	return c
}

// sendRequest sends one request and checks the response. It cancels one request in twenty early.
func (c *callerGroup) sendRequest(attempt string, rnd *rand.Rand) {
	safe := rnd.IntN(2) == 0
	method, path := http.MethodPost, "/pay/"+attempt
	if safe {
		method, path = http.MethodGet, "/read/"+attempt
	}
	body := ""
	if !safe {
		body = strings.Repeat("x", rnd.IntN(6000))
	}
	ctx, cancel := context.WithCancel(c.stop)
	defer cancel()
	if rnd.IntN(20) == 0 {
		defer time.AfterFunc(time.Duration(rnd.IntN(30))*time.Millisecond, cancel).Stop()
	}
	c.fleet.checker.recordRequest(attempt, safe)
	var written atomic.Pointer[time.Time] // when the request was sent completely
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			written.Store(&now)
		}
	}}
	status, header, answer, err := c.roundTrip(httptrace.WithClientTrace(ctx, trace), method, path, attempt, body)
	var opErr *net.OpError
	switch {
	case err == nil:
		c.fleet.checker.checkResponse(attempt, status, header, answer, method+" "+path+" "+body)
	case ctx.Err() != nil:
	case errors.As(err, &opErr) && opErr.Op == "dial":
	case written.Load() != nil:
		c.fleet.checker.checkLostRequest(attempt, *written.Load(), err)
	}
}

func (c *callerGroup) roundTrip(ctx context.Context, method, path, attempt, body string) (int, http.Header, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.callerAddress(c.node).String()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	req.GetBody = nil // prevents retries by the HTTP client
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(answer), err
}

// probeNewestRoute requests the route that the newest version added. The node has to serve it within maxPropagation, and
// to keep serving it until the node restarts. The arguments and results are the newest version that the node served and
// the number of starts of the node at that time.
func (c *callerGroup) probeNewestRoute(served, startCount int) (int, int) {
	version, ackedAt := c.fleet.newestVersion()
	starts, startedAt := c.fleet.lastStart(c.node)
	if starts != startCount {
		served, startCount = 0, starts
	}
	want := max(version, served)
	if want == 0 {
		return served, startCount
	}
	requestedAt := time.Now()
	attempt := fmt.Sprintf("probe-%d-%d", c.node, requestedAt.UnixNano())
	c.fleet.checker.recordRequest(attempt, true)
	status, _, _, err := c.roundTrip(c.stop, http.MethodGet, fmt.Sprintf("/v%d/", want), attempt, "")
	if now, _ := c.fleet.lastStart(c.node); err != nil || now != startCount {
		return served, startCount
	}
	routed := status != http.StatusNotFound && status != http.StatusServiceUnavailable
	switch {
	case status == http.StatusNotFound && want <= served:
		c.fleet.checker.fail("node %d no longer serves the route of version %d", c.node, want)
	case status == http.StatusNotFound && requestedAt.Sub(ackedAt) > maxPropagation && c.fleet.checker.undisturbedSince(c.node, requestedAt.Add(-maxPropagation-settleTime)) && time.Since(startedAt) > maxPropagation+settleTime:
		c.fleet.checker.fail("node %d does not serve the route of version %d, acknowledged %v earlier", c.node, want, requestedAt.Sub(ackedAt))
	case routed:
		served = max(served, want)
	}
	return served, startCount
}
