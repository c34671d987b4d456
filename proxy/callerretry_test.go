package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

// TestRetryKeepsTargetOfFirstAttempt checks that the target latency of a caller's retry counts from the first attempt, and
// that a request for something else, or one after a success, counts as new.
func TestRetryKeepsTargetOfFirstAttempt(t *testing.T) {
	c := qt.New(t)
	clock := timer.New()
	in := NewIngress(IngressSettings{Timers: clock, Rand: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope})
	defer in.Close()
	start := clock.Now()
	var sender organisation
	attempt := func(target string, after time.Duration) *request {
		r := exchange.NewRequest("POST", target, "a.example", nil, []byte("body")).WithReceivedAt(start.Add(after))
		q := &request{
			original: r, organisation: sender, receivedAt: r.ReceivedAt(), firstReceivedAt: r.ReceivedAt(), timeout: time.Hour, callerTimeout: 2 * time.Hour,
			route: routing.NewRoute(routing.RouteFields{TargetLatency: time.Minute}),
		}
		in.matchRetry(q)
		return q
	}
	target := func(q *request) time.Duration { return q.call(start, "web").timeToTarget }
	first := attempt("/a", 0)
	c.Assert(target(first), qt.Equals, time.Minute)
	in.trackFailure(first, exchange.NewResponse(503, nil, nil))
	c.Assert(target(attempt("/b", 10*time.Second)), qt.Equals, 70*time.Second)
	sender.name = "acme"
	c.Assert(target(attempt("/a", 10*time.Second)), qt.Equals, 70*time.Second, qt.Commentf("a request of another organisation is no retry"))
	sender.name = ""
	second := attempt("/a", 10*time.Second)
	c.Assert(target(second), qt.Equals, time.Minute)
	in.trackFailure(second, exchange.NewResponse(502, nil, nil))
	third := attempt("/a", 20*time.Second)
	c.Assert(target(third), qt.Equals, time.Minute, qt.Commentf("the first attempt counts, not the last one"))
	in.trackFailure(third, exchange.NewResponse(200, nil, nil))
	c.Assert(target(attempt("/a", 30*time.Second)), qt.Equals, 90*time.Second)
}

// TestLateRequestsYield checks the order of the queue: calls of running requests first, then by
// the priority of the organisation, by that of the route, and requests that can be answered in time.
func TestLateRequestsYield(t *testing.T) {
	order := []Call{
		{nested: true, priority: 9},
		{priority: 0, timeToTarget: time.Second},
		{priority: 0, timeToTarget: -time.Second},
		{priority: 1, timeToTarget: time.Second},
		{priority: 1, timeToTarget: 0},
		{priority: 2, timeToTarget: time.Second},
		{priority: 40, timeToTarget: -time.Second},
		{organisation: organisation{name: "a", priority: 1}, timeToTarget: time.Second},
		{organisation: organisation{name: "b", priority: 2}, timeToTarget: time.Second},
	}
	for i := range order[1:] {
		qt.Check(t, queuePriority(order[i]) > queuePriority(order[i+1]), qt.IsTrue, qt.Commentf("%d", i))
	}
}
