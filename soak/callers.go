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
	// lossSlack is how long after it was sent a request may be cut unread.
	lossSlack = 200 * time.Millisecond
	// stability is how long nothing may be wrong for promises that hold in calm times only.
	stability = 3 * time.Second
	callLimit = 1500 * time.Millisecond
	callPause = 15 * time.Millisecond // mean time between two requests of a caller
	// inForce is the time after its acknowledgement within which a version is in force.
	inForce = 2500 * time.Millisecond
)

// callers send requests to one node, over connections that they keep.
type callers struct {
	world  *world
	node   int
	client *http.Client
	stop   context.Context
	wg     sync.WaitGroup
}

func newCallers(stop context.Context, w *world, node, count int) *callers {
	c := &callers{world: w, node: node, stop: stop, client: &http.Client{
		Timeout:   2 * callLimit,
		Transport: &http.Transport{MaxIdleConnsPerHost: count, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}}
	for i := range count {
		rnd := rand.New(rand.NewPCG(w.seed, uint64(node*100+i)))
		c.wg.Go(func() {
			for n := 0; stop.Err() == nil; n++ {
				c.ask(fmt.Sprintf("%d-%d-%d", node, i, n), rnd)
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(callPause)))
			}
		})
	}
	c.wg.Go(func() {
		held, boot := 0, 0
		for stop.Err() == nil {
			held, boot = c.probe(held, boot)
			time.Sleep(100 * time.Millisecond)
		}
	})
	return c
}

// ask sends one request and checks what comes back.
func (c *callers) ask(attempt string, rnd *rand.Rand) {
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
	c.world.checks.asked(attempt, safe)
	var written atomic.Pointer[time.Time] // when the request was sent whole
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			written.Store(&now)
		}
	}}
	status, header, answer, err := c.send(httptrace.WithClientTrace(ctx, trace), method, path, attempt, body)
	var refused *net.OpError
	switch {
	case err == nil:
		c.world.checks.answered(attempt, status, header, answer, method+" "+path+" "+body)
	case ctx.Err() != nil:
	case errors.As(err, &refused) && refused.Op == "dial":
	case written.Load() != nil:
		c.world.checks.unanswered(attempt, *written.Load(), err)
	}
}

func (c *callers) send(ctx context.Context, method, path, attempt, body string) (int, http.Header, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.world.callersOf(c.node).String()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	req.GetBody = nil // nothing may be sent twice by the client's own doing
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(callLimit.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(answer), err
}

// probe asks for the route that the newest version added. It must be known in time, and be known for good within one
// start of the node.
func (c *callers) probe(held, boot int) (int, int) {
	version, acked := c.world.newest()
	started, since := c.world.boot(c.node)
	if started != boot {
		held, boot = 0, started
	}
	want := max(version, held)
	if want == 0 {
		return held, boot
	}
	asked := time.Now()
	attempt := fmt.Sprintf("probe-%d-%d", c.node, asked.UnixNano())
	c.world.checks.asked(attempt, true)
	status, _, _, err := c.send(c.stop, http.MethodGet, fmt.Sprintf("/v%d/", want), attempt, "")
	if now, _ := c.world.boot(c.node); err != nil || now != boot {
		return held, boot
	}
	known := status != http.StatusNotFound && status != http.StatusServiceUnavailable
	switch {
	case status == http.StatusNotFound && want <= held:
		c.world.checks.fail("node %d knew version %d and does no more", c.node, want)
	case status == http.StatusNotFound && asked.Sub(acked) > inForce && c.world.checks.calm(c.node, asked.Add(-inForce-stability)) && time.Since(since) > inForce+stability:
		c.world.checks.fail("node %d does not know version %d, acknowledged %v before", c.node, want, asked.Sub(acked))
	case known:
		held = max(held, want)
	}
	return held, boot
}
