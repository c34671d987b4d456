// Package burn counts, on each node, the calls that met and missed the objective of their route, and
// works out from the counts of many nodes how fast each service burns its budget of bad calls.
package burn

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

// MaxRoutes is the number of routes that a node counts. Each takes 207 buckets of 24 bytes and, with all
// around them, 5.9 kB (BenchmarkNewRoute), so that all of them take 3 MB. Calls on further routes are left
// out and counted as dropped.
const MaxRoutes = 512

const secondsPerMinute = 60

// Counter counts the calls of one node. It is safe for concurrent use.
type Counter struct {
	node   member.Key
	region member.Region
	clock  *timer.Service
	scope  tally.Scope
	series sync.Map // route name to *routeCounter
	held   atomic.Int64
	drops  tally.Counter
	grow   sync.Mutex
}

// New returns an empty counter of a node in a region.
func New(node member.Key, region member.Region, clock *timer.Service, scope tally.Scope) *Counter {
	return &Counter{
		node: node, region: region, clock: clock, scope: scope,
		drops: scope.Counter(metric.ObjectiveDropped),
	}
}

// Observe counts one call on a route. It is good if it ended without an error, which ok says, and
// within the latency of the route's objective. Calls on routes without an objective are not counted.
func (c *Counter) Observe(route record.Route, ok bool, elapsed time.Duration) {
	if route.Objective().IsZero() {
		return
	}
	s := c.find(route)
	if s == nil {
		c.drops.Inc(1)
		return
	}
	s.observe(c.clock.Now().Unix(), ok && elapsed <= route.Objective().Latency())
}

func (c *Counter) find(route record.Route) *routeCounter {
	if held, ok := c.series.Load(route.Name()); ok && held.(*routeCounter).counts(route) {
		return held.(*routeCounter)
	}
	return c.add(route)
}

// add starts the series of a route, anew if its service or objective has changed: counts against
// another objective would say nothing about the present one.
func (c *Counter) add(route record.Route) *routeCounter {
	c.grow.Lock()
	defer c.grow.Unlock()
	held, ok := c.series.Load(route.Name())
	if ok && held.(*routeCounter).counts(route) {
		return held.(*routeCounter)
	}
	if !ok && c.held.Load() >= MaxRoutes {
		return nil
	}
	s := newRouteCounter(route, c.scope)
	c.series.Store(route.Name(), s)
	if !ok {
		c.held.Add(1)
	}
	return s
}

// Counts returns what was counted on routes that still are as they were when their calls were counted,
// and forgets the other routes.
func (c *Counter) Counts(routes []record.Route) Counts {
	now := c.clock.Now()
	current := make(map[string]record.Route, len(routes))
	for _, r := range routes {
		current[r.Name()] = r
	}
	out := Counts{nodes: []member.Key{c.node}, at: now}
	c.series.Range(func(name, value any) bool {
		s := value.(*routeCounter)
		route, ok := current[name.(string)]
		if !ok {
			c.forget(name.(string))
			return true
		}
		if s.counts(route) {
			out.series = append(out.series, s.snapshot(c.region, now.Unix()))
		}
		return true
	})
	slices.SortFunc(out.series, compareSeries)
	return out
}

func (c *Counter) forget(name string) {
	c.grow.Lock()
	defer c.grow.Unlock()
	if _, ok := c.series.LoadAndDelete(name); ok {
		c.held.Add(-1)
	}
}

// routeCounter counts the calls of one route under one objective.
type routeCounter struct {
	service   string
	route     string
	objective record.Objective
	calls     tally.Counter
	badCalls  tally.Counter

	mu      sync.Mutex
	current bucket // the minute in progress, not yet in the rings
	rings   [len(resolutions)]ring
}

func newRouteCounter(route record.Route, scope tally.Scope) *routeCounter {
	tagged := scope.Tagged(map[string]string{metric.TagService: route.Service(), metric.TagRoute: route.Name()})
	s := &routeCounter{
		service: route.Service(), route: route.Name(), objective: route.Objective(),
		calls:    tagged.Counter(metric.ObjectiveCalls),
		badCalls: tagged.Counter(metric.ObjectiveBadCalls),
	}
	for i, r := range resolutions {
		s.rings[i] = newRing(r)
	}
	return s
}

func (s *routeCounter) counts(route record.Route) bool {
	return s.service == route.Service() && s.objective == route.Objective()
}

// observe counts one call at a Unix time. Times before 1970 count as 1970.
func (s *routeCounter) observe(at int64, good bool) {
	s.calls.Inc(1)
	var bad uint64
	if !good {
		bad = 1
		s.badCalls.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at < s.current.start || at >= s.current.start+secondsPerMinute {
		s.flush()
		s.current.start = max(at-at%secondsPerMinute, 0)
	}
	s.current.calls++
	s.current.bad += bad
}

// flush moves the minute in progress into the rings.
func (s *routeCounter) flush() {
	for i := range s.rings {
		s.rings[i].add(s.current)
	}
	s.current.calls, s.current.bad = 0, 0
}

func (s *routeCounter) snapshot(region member.Region, now int64) series {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	out := series{service: s.service, route: s.route, region: region, objective: s.objective}
	for i := range s.rings {
		out.rings[i] = s.rings[i].list(now)
	}
	return out
}
