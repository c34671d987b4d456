// Package burn counts, on each node, the calls that met and missed the objective of their route, and
// computes error budget burn rates per service from the counts of many nodes.
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

// MaxRoutes is the maximum number of routes that a node counts. A route takes 207 buckets of 24 bytes and
// 5.9 kB in total (BenchmarkNewRoute), so 512 routes take 3 MB. Calls on further routes are only counted
// as dropped.
const MaxRoutes = 512

const secondsPerMinute = 60

// Counter counts the calls of one node. It is safe for concurrent use.
type Counter struct {
	node         member.Key
	region       member.Region
	clock        *timer.Service
	scope        tally.Scope
	routes       sync.Map // route name to *routeCounter; routesMu serialises changes
	routeCount   atomic.Int64
	droppedCalls tally.Counter
	routesMu     sync.Mutex
}

// New returns an empty counter for a node in a region.
func New(node member.Key, region member.Region, clock *timer.Service, scope tally.Scope) *Counter {
	return &Counter{
		node: node, region: region, clock: clock, scope: scope,
		droppedCalls: scope.Counter(metric.ObjectiveDropped),
	}
}

// Observe counts one call on a route. The call is good if ok, meaning that it ended without an error, and
// if elapsed is within the latency of the route's objective. Calls on routes without an objective are not
// counted.
func (c *Counter) Observe(route record.Route, ok bool, elapsed time.Duration) {
	if route.Objective().IsZero() {
		return
	}
	s := c.counterOf(route)
	if s == nil {
		c.droppedCalls.Inc(1)
		return
	}
	s.observe(c.clock.Now().Unix(), ok && elapsed <= route.Objective().Latency())
}

// counterOf returns the counter of a route, or nil if MaxRoutes routes are counted already.
func (c *Counter) counterOf(route record.Route) *routeCounter {
	if existing, ok := c.routes.Load(route.Name()); ok && existing.(*routeCounter).matches(route) {
		return existing.(*routeCounter)
	}
	return c.addRoute(route)
}

// addRoute starts the counter of a route. It replaces an existing one if the service or objective has
// changed, because counts against another objective do not apply to the present one.
func (c *Counter) addRoute(route record.Route) *routeCounter {
	c.routesMu.Lock()
	defer c.routesMu.Unlock()
	existing, ok := c.routes.Load(route.Name())
	if ok && existing.(*routeCounter).matches(route) {
		return existing.(*routeCounter)
	}
	if !ok && c.routeCount.Load() >= MaxRoutes {
		return nil
	}
	s := newRouteCounter(route, c.scope)
	c.routes.Store(route.Name(), s)
	if !ok {
		c.routeCount.Add(1)
	}
	return s
}

// Counts returns the counts of those routes whose service and objective are unchanged since their calls
// were counted. It stops counting routes that are not in routes.
func (c *Counter) Counts(routes []record.Route) Counts {
	now := c.clock.Now()
	current := make(map[string]record.Route, len(routes))
	for _, r := range routes {
		current[r.Name()] = r
	}
	out := Counts{nodes: []member.Key{c.node}, takenAt: now}
	c.routes.Range(func(name, value any) bool {
		s := value.(*routeCounter)
		route, ok := current[name.(string)]
		if !ok {
			c.removeRoute(name.(string))
			return true
		}
		if s.matches(route) {
			out.series = append(out.series, s.snapshot(c.region, now.Unix()))
		}
		return true
	})
	slices.SortFunc(out.series, compareSeries)
	return out
}

func (c *Counter) removeRoute(name string) {
	c.routesMu.Lock()
	defer c.routesMu.Unlock()
	if _, ok := c.routes.LoadAndDelete(name); ok {
		c.routeCount.Add(-1)
	}
}

// routeCounter counts the calls of one route under one objective.
type routeCounter struct {
	service   string
	route     string
	objective record.Objective
	calls     tally.Counter
	badCalls  tally.Counter

	mu            sync.Mutex
	currentMinute bucket // not yet added to the rings
	rings         [len(resolutions)]ring
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

// matches reports whether the counter counts under the service and objective of route.
func (s *routeCounter) matches(route record.Route) bool {
	return s.service == route.Service() && s.objective == route.Objective()
}

// observe counts one call at a Unix time. Negative times count as 0, as bucket starts are not negative.
func (s *routeCounter) observe(unixTime int64, good bool) {
	s.calls.Inc(1)
	var bad uint64
	if !good {
		bad = 1
		s.badCalls.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if unixTime < s.currentMinute.start || unixTime >= s.currentMinute.start+secondsPerMinute {
		s.flush()
		s.currentMinute.start = max(unixTime-unixTime%secondsPerMinute, 0)
	}
	s.currentMinute.calls++
	s.currentMinute.badCalls += bad
}

// flush adds the current minute to the rings and resets it.
func (s *routeCounter) flush() {
	for i := range s.rings {
		s.rings[i].add(s.currentMinute)
	}
	s.currentMinute.calls, s.currentMinute.badCalls = 0, 0
}

func (s *routeCounter) snapshot(region member.Region, now int64) series {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	out := series{service: s.service, route: s.route, region: region, objective: s.objective}
	for i := range s.rings {
		out.rings[i] = s.rings[i].nonEmptyBuckets(now)
	}
	return out
}
