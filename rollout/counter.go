package rollout

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Counter counts the requests of one service and order at one node. It is safe for concurrent use.
type Counter struct {
	service string
	order   uint64

	mu       sync.Mutex
	routes   map[string]*RouteCounts
	inFlight [2]int // by Side
}

// NewCounter returns a counter of an order of a service.
func NewCounter(service string, order uint64) *Counter {
	return &Counter{service: service, order: order, routes: make(map[string]*RouteCounts)}
}

// Start counts a request sent to a side.
func (c *Counter) Start(side Side) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[side]++
}

// End counts the end of a request: cohort is that of the server if the side is SideTarget. A request that was not run, or
// that its caller gave up, ends with Cancel.
func (c *Counter) End(route string, side Side, cohort int, failed bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[side]--
	r := c.routes[route]
	if r == nil {
		r = &RouteCounts{route: route}
		c.routes[route] = r
	}
	if side == SideTarget {
		r.target[cohort].record(failed, took)
	} else {
		r.base.record(failed, took)
	}
}

// Cancel counts the end of a request that says nothing about the server.
func (c *Counter) Cancel(side Side) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[side]--
}

// Counts returns the totals for a report, with the routes in the order of their names.
func (c *Counter) Counts(sequence uint64, guarded bool) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	routes := make([]RouteCounts, 0, len(c.routes))
	for _, r := range c.routes {
		routes = append(routes, *r)
	}
	slices.SortFunc(routes, func(a, b RouteCounts) int { return strings.Compare(a.route, b.route) })
	return NewCounts(CountsFields{
		Service: c.service, Order: c.order, Sequence: sequence, Routes: routes,
		InFlightBase: c.inFlight[SideBase], InFlightTarget: c.inFlight[SideTarget], Guarded: guarded,
	})
}
